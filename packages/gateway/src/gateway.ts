/** An entry that connects directly to endpoints: its state, servers and background tasks, and its shutdown. */
import {setMaxListeners} from 'node:events';
import {performance} from 'node:perf_hooks';
import {keysAreTrusted} from './admission.js';
import {CallerServer} from './caller-server.js';
import {CrashGuard} from './crash-guard.js';
import type {Dialect} from './dialect.js';
import {EndpointGate} from './endpoint-gate.js';
import {EvacuationGuard} from './evacuation-guard.js';
import {EndpointSilence} from './endpoint-silence.js';
import {EntryEventLog} from './event-log.js';
import {GroupMonitor, type GroupProbe} from './group-monitor.js';
import {LimitGuard} from './limit-guard.js';
import {PeerExchange} from './peer-exchange.js';
import {
	syncConfig, syncEndpoints, syncEvacuations, type EntryState, type Registry,
} from './registry.js';
import type {RequestHandlerContext} from './request-handler.js';
import {Shutdown} from './shutdown.js';
import {serveStatus, type StatusResponse} from './status-server.js';
import {
	BufferBudget, ConnectionPool, SWEEP_INTERVAL_MS, type MachineLimits,
} from '#connections';
import {RetryBudget} from '#coordination';
import {
	guardCallback, sleep, startUnlessAborted, superviseTask, type Address,
} from '#core';
import {
	ConfigCache, EndpointAvailability, EndpointDirectory, EndpointHealth, EndpointLimits, EndpointPace, LoadTracker, MIN_SHARING_ENTRIES, readInstant, ServiceAdmission, ServiceCapacity, SPARE_SHARING_ENTRIES_SHARE,
	WarmupRate, type EndpointRecord, type WarmupBounds,
} from '#dispatch';
import {CrashCauses} from '#quarantine';
import {processClock, ReadDelay} from '#requests';
import {initHashing} from '#routing';
import type {LogFields, Logger, Metrics} from '#telemetry';

export type GatewayOptions = {
	readonly name: string;
	readonly zone: string;
	readonly callers: Address;
	readonly ready: Address;
	/** Address that serves the metrics. */
	readonly metricsAddress: Address;
	/** Address for other entries, with the addresses of some of them as seeds; undefined for an entry without peers. */
	readonly peers: (Address & {readonly seeds: readonly string[]}) | undefined;
	/** Age of the configuration from which its keys are no longer trusted, in ms; undefined if they are always trusted. */
	readonly keyTrustMs: number | undefined;
	readonly retry: {
		/** Share of a service's requests that may be retried, across all entries. */
		readonly fraction: number;
		readonly windowMs: number;
		/** Retries per window in addition to the share, across all entries. */
		readonly slack: number;
		/** Whether no process of any entry ran before; otherwise the retries of the first window are restricted, since an earlier process may have used them. */
		readonly isFirstStart: boolean;
	};
	/** How far the rate of a cold endpoint may be exceeded; undefined or not given if endpoints have no warm-up. */
	readonly warmup?: WarmupBounds | undefined;
	/** Time from the acknowledgement of a zone's evacuation to the moment from which no request reaches the zone, in ms; undefined if zones are not evacuated. */
	readonly evacuateMs?: number | undefined;
	/** Time from the stop signal until the process is killed, in ms. */
	readonly graceMs: number;
	/** Limits of the machine; those of the smallest known one where they are not given. */
	readonly machine?: MachineLimits;
	/** Checks whether the group of an endpoint runs. */
	readonly probeGroup: GroupProbe;
	readonly dialect: Dialect;
	readonly registry: Registry;
	readonly logger: Logger;
	readonly metrics: Metrics;
};

/** Stopping ends this long before the process would be killed, in ms. */
const STOP_MARGIN_MS = 150;

/** Longest time for which a stopping entry holds new requests to empty its backlog, in ms: a caller whose request is not read for a second tries elsewhere. */
const MAX_HOLD_MS = 500;

/** Interval at which a stopping entry checks whether all requests have ended, in ms. */
const STOP_POLL_MS = 50;

/** An entry's share of the slack that all entries have together. */
export class SlackShare {
	static create(): SlackShare {
		return new SlackShare();
	}

	#mostEntries = 0;

	/** Share of `slack` for an entry that counts `entries` now. It does not grow when the entry loses sight of others, which still use theirs. */
	of(slack: number, entries: number): number {
		this.#mostEntries = Math.max(this.#mostEntries, entries);
		return Math.floor(slack / Math.max(MIN_SHARING_ENTRIES, this.#mostEntries * (1 + SPARE_SHARING_ENTRIES_SHARE)));
	}
}

export class Gateway {
	/** Starts the entry. Rejects if an address is taken, or with the reason of `signal` if that aborts before the entry takes requests. */
	static async create(options: GatewayOptions, signal?: AbortSignal): Promise<Gateway> {
		await initHashing();
		const gateway = new Gateway(options);
		await startUnlessAborted(async () => gateway.#start(), gateway.#stop, signal);
		return gateway;
	}

	readonly config = ConfigCache.create();
	readonly directory = EndpointDirectory.create();
	readonly #events: EntryEventLog;
	readonly #evacuations: EvacuationGuard | undefined;
	readonly #context: RequestHandlerContext;
	readonly #stop = new AbortController();
	readonly #shutdown: Shutdown;
	#stopped: Promise<void> | undefined;
	readonly #budgets = new Map<string, RetryBudget>();
	readonly #capacities = new Map<string, ServiceCapacity>();
	readonly #admissions = new Map<string, ServiceAdmission>();
	readonly #paces = new Map<string, EndpointPace>();
	readonly #slackShare = SlackShare.create();
	readonly #readDelay = ReadDelay.create(processClock);

	readonly #createdAt = performance.now();
	#callerServer: CallerServer | undefined;
	#peerExchange: PeerExchange | undefined;
	readonly #options: GatewayOptions;

	private constructor(options: GatewayOptions) {
		this.#options = options;
		// Each server and task listens.
		setMaxListeners(0, this.#stop.signal);
		const monotonicNow = () => performance.now();
		this.#shutdown = Shutdown.create(options.graceMs, monotonicNow);
		this.#events = EntryEventLog.create(options.logger, options.metrics, monotonicNow);
		const pool = ConnectionPool.create(monotonicNow, this.#stop.signal, id => this.directory.lookUp(id, monotonicNow()) !== undefined);
		const health = EndpointHealth.create();
		const limits = EndpointLimits.create(this.#createWarmupRate());
		const announce = () => {
			this.#peerExchange?.announce();
		};

		const crashGuard: CrashGuard = CrashGuard.create({
			entry: options.name,
			suspects: CrashCauses.create(),
			pool,
			requestProbe: async causes => this.#peerExchange?.requestProbe(causes) ?? crashGuard.takeProbe(causes),
			announce,
			events: this.#events,
			now: monotonicNow,
		});
		const limitGuard: LimitGuard = LimitGuard.create({
			limits,
			requestPermit: async endpointId => this.#peerExchange?.requestPermit(endpointId) ?? limitGuard.takePermit(limitGuard.reportOf(endpointId), 1, 1),
			announce,
			events: this.#events,
			now: monotonicNow,
		});
		this.#evacuations = this.#createEvacuationGuard();
		const evacuations = this.#evacuations;
		const availability = EndpointAvailability.create({
			directory: this.directory, limits, health, closureOf: evacuations === undefined ? undefined : zone => evacuations.closureOf(zone),
		});
		this.#context = {
			config: this.config,
			directory: this.directory,
			health,
			gate: EndpointGate.create({
				availability, events: this.#events, evacuations, now: monotonicNow,
			}),
			load: LoadTracker.create(),
			silence: EndpointSilence.create(monotonicNow),
			limitGuard,
			pool,
			crashGuard,
			dialect: options.dialect,
			events: this.#events,
			groups: GroupMonitor.create({
				probe: options.probeGroup, endpointsOf: service => this.#groupMembers(service), events: this.#events, random: Math.random,
			}, this.#stop.signal),
			budgetOf: service => this.#budgetOf(service),
			capacityOf: service => this.#capacityOf(service),
			admissionOf: service => this.#admissionOf(service),
			paceOf: service => this.#paceOf(service),
			shutdown: this.#shutdown,
			buffers: BufferBudget.create(),
			keyTrustMs: options.keyTrustMs,
			now: readInstant,
			random: Math.random,
		};
	}

	get events(): EntryEventLog {
		return this.#events;
	}

	/** Whether the load balancer should send new connections here. */
	get isReady(): boolean {
		return this.#callerServer !== undefined && !this.#shutdown.hasBegun && this.config.current !== undefined && keysAreTrusted(this.#context) && this.directory.size > 0;
	}

	/** Whether the end of the process would cut a response. */
	get isBusy(): boolean {
		return this.#callerServer?.isBusy ?? false;
	}

	/** Describes the requests that are open now, for the log. */
	describeOpen(): LogFields {
		return {openRequests: this.#callerServer?.openRequests ?? 0, requests: this.#callerServer?.describeOpen() ?? [], lingeringConnections: this.#callerServer?.lingeringConnections ?? 0};
	}

	/**
	 * Stops gracefully: waits for removal from the load balancer and for open requests, then closes. Settles when nothing is open or
	 * the grace period is over, for each call alike. The grace period counts from the signal: the first call is made by its handler.
	 */
	async stop(): Promise<void> {
		this.#stopped ??= this.#stopOnce();
		return this.#stopped;
	}

	async #stopOnce(): Promise<void> {
		const signalDelayMs = this.#readDelay.signalDelayMs();
		this.#shutdown.begin(signalDelayMs);
		/** Runs a step whose exception must not end the wait for the requests in progress. */
		const runStep = (step: () => void) => {
			guardCallback(step, this.#events.errorListener('stop'))();
		};

		const startedAt = performance.now();
		const endsAt = startedAt + this.#options.graceMs - STOP_MARGIN_MS;
		runStep(() => {
			this.#events.record({kind: 'lifecycle', step: 'stopping', detail: {openRequests: this.#callerServer?.openRequests, signalDelayMs: Math.round(signalDelayMs)}});
		});
		runStep(() => this.#callerServer?.startDraining());
		this.#shutdown.answersDue.addEventListener('abort', () => {
			// After the requests that listen too have answered.
			setImmediate(() => {
				runStep(() => this.#callerServer?.prepareForEnd());
			});
		}, {once: true});
		await sleep(Math.min(this.#shutdown.deregistrationDelayMs, this.#shutdown.remainingMs('not-begun')));
		runStep(() => this.#callerServer?.holdNew());
		await this.#backlogAccepted(Math.min(endsAt, performance.now() + MAX_HOLD_MS));
		runStep(() => this.#callerServer?.stopListening());
		runStep(() => this.#callerServer?.releaseNew());
		while (this.isBusy && performance.now() < endsAt) {
			// A response that began before the stop did not announce that its connection closes.
			runStep(() => this.#callerServer?.closeIdleConnections());
			await sleep(STOP_POLL_MS);
		}

		this.#stop.abort();
		this.#events.record({kind: 'lifecycle', step: 'stopped', detail: {openRequests: this.#callerServer?.openRequests, afterMs: Math.round(performance.now() - startedAt)}});
	}

	/** Waits until the connections that are in the backlog now are accepted, at most until `endsAt`: they are reset when the listener closes. */
	async #backlogAccepted(endsAt: number): Promise<void> {
		const startedAt = performance.now();
		while (performance.now() < endsAt) {
			await sleep(STOP_POLL_MS);
			if (this.#readDelay.backlogAgeMs() <= performance.now() - startedAt) {
				return;
			}
		}
	}

	async #start(): Promise<void> {
		const options = this.#options;
		const {signal} = this.#stop;
		this.directory.registerListener(change => {
			if (change.change !== 'added') {
				this.#context.pool.closeIdle(change.id);
			}

			if (change.change === 'restarted' || change.change === 'added') {
				this.#context.health.forget(change.id);
				this.#context.limitGuard.forget(change.id);
				this.#paces.get(change.service)?.forget(change.id);
				this.#context.limitGuard.markCold([change.id], 'start');
			}

			this.#events.record({kind: 'endpoint', ...change});
		});
		this.directory.registerRecordListener(record => {
			this.#context.limitGuard.recordRegistration(record);
		});
		const state: EntryState = {
			config: this.config, directory: this.directory, events: this.#events, now: readInstant,
		};
		if (options.peers !== undefined) {
			const {host, port, seeds} = options.peers;
			this.#peerExchange = await PeerExchange.create({
				...state, address: `${host}:${port}`, host, port, seeds, load: this.#context.load, crashGuard: this.#context.crashGuard, limitGuard: this.#context.limitGuard, evacuations: this.#evacuations, machine: options.machine,
			}, signal);
		}

		const syncContext = {...state, registry: options.registry, peersAsked: this.#peerExchange?.firstRound ?? Promise.resolve()};
		void superviseTask(async () => syncConfig(syncContext, () => this.#peerExchange?.polledPeers ?? 0, signal), this.#events.errorListener('configuration'), signal);
		if (this.#evacuations !== undefined) {
			const evacuationContext = {...syncContext, evacuations: this.#evacuations};
			void superviseTask(async () => syncEvacuations(evacuationContext, () => this.#peerExchange?.schedule ?? {polledPeers: 0, exchangeMs: 0}, signal), this.#events.errorListener('evacuations'), signal);
		}

		void superviseTask(async () => syncEndpoints(syncContext, signal), this.#events.errorListener('endpoints'), signal);
		this.#readDelay.start(signal, delayMs => {
			options.metrics.recordLatency('loopDelay', delayMs);
		});
		await serveStatus(options.ready.host, options.ready.port, async () => this.#readiness(), {signal, onError: this.#events.errorListener('readiness')});
		const {metricsAddress} = options;
		await serveStatus(metricsAddress.host, metricsAddress.port, async () => ({status: 200, body: await options.metrics.expose()}), {signal, onError: this.#events.errorListener('metrics')});
		const maintenanceTimer = setInterval(guardCallback(() => {
			this.directory.removeExpired(performance.now());
			this.#context.limitGuard.noteEntries();
			this.#callerServer?.setIdleTimeout(this.config.current?.limits.idleTimeoutMs ?? 60_000);
		}, this.#events.errorListener('maintenance')), 250);
		const chunksTimer = setInterval(guardCallback(() => {
			this.#context.buffers.sweep();
		}, this.#events.errorListener('responses')), SWEEP_INTERVAL_MS);
		signal.addEventListener('abort', () => {
			clearInterval(chunksTimer);
			clearInterval(maintenanceTimer);
		}, {once: true});
		// The last step that can fail or wait: no request is taken by an entry that does not start.
		this.#callerServer = await CallerServer.create({
			...options.callers, context: this.#context, dialect: options.dialect, readDelay: this.#readDelay, machine: options.machine,
		}, signal);
		this.#events.record({
			kind: 'lifecycle', step: 'started', detail: {
				entry: options.name, zone: options.zone, callers: options.callers, keyTrustMs: options.keyTrustMs,
			},
		});
	}

	#createEvacuationGuard(): EvacuationGuard | undefined {
		const {evacuateMs} = this.#options;
		if (evacuateMs === undefined) {
			return undefined;
		}

		return EvacuationGuard.create({
			evacuateMs,
			directory: this.directory,
			events: this.#events,
			now: readInstant,
			onEvacuationEnd: endpointIds => {
				this.#context.limitGuard.markCold(endpointIds, 'zone');
			},
		});
	}

	#readiness(): StatusResponse {
		return this.isReady ? {status: 200, body: 'ready\n'} : {status: 503, body: 'not ready\n'};
	}

	/** Endpoints of a service whose endpoints run in lockstep, other than those of evacuated zones; none for any other service. */
	#groupMembers(service: string): readonly EndpointRecord[] {
		const hasGroups = this.config.current?.services.get(service)?.experts !== undefined;
		return hasGroups ? this.directory.endpointsOf(service, performance.now()).filter(({zone}) => this.#evacuations?.isEvacuated(zone) !== true) : [];
	}

	/** Rates of the endpoints that warm up; undefined if the settings have no bounds for them. */
	#createWarmupRate(): WarmupRate | undefined {
		const {warmup: bounds} = this.#options;
		if (bounds === undefined) {
			return undefined;
		}

		return WarmupRate.create({
			bounds,
			warmupOf: id => {
				const service = this.directory.lookUp(id, performance.now())?.service;
				return service === undefined ? undefined : this.config.current?.services.get(service)?.warmup;
			},
			entries: () => this.#peerExchange?.knownEntries ?? {count: 1, isComplete: this.#options.peers === undefined},
		});
	}

	#capacityOf(service: string): ServiceCapacity {
		const capacity = this.#capacities.get(service) ?? ServiceCapacity.create({
			onSuspend: (gapMs, zone) => {
				this.#events.record({
					kind: 'limit-suspended', service, zone, gapMs,
				});
			},
			limitsZones: () => this.config.current?.services.get(service)?.sharesCapacity === true,
		});
		this.#capacities.set(service, capacity);
		return capacity;
	}

	/** Undefined for a service that does not divide its capacity. */
	#admissionOf(service: string): ServiceAdmission | undefined {
		if (!this.config.current?.services.get(service)?.sharesCapacity) {
			return undefined;
		}

		const admission = this.#admissions.get(service) ?? ServiceAdmission.create(sharedBy => {
			this.#events.record({kind: 'capacity-part', service, sharedBy});
		});
		this.#admissions.set(service, admission);
		return admission;
	}

	/** Undefined for a service whose pace is not learned. */
	#paceOf(service: string): EndpointPace | undefined {
		if (!this.config.current?.services.get(service)?.learnsPace) {
			return undefined;
		}

		const pace = this.#paces.get(service) ?? EndpointPace.create((endpoint, limit, isBelowSlots) => {
			this.#events.record({
				kind: 'endpoint-pace', endpoint, limit, isBelowSlots,
			});
		});
		this.#paces.set(service, pace);
		return pace;
	}

	#budgetOf(service: string): RetryBudget {
		let budget = this.#budgets.get(service);
		if (budget === undefined) {
			const {
				fraction, windowMs, slack, isFirstStart,
			} = this.#options.retry;
			budget = RetryBudget.create({
				fraction,
				windowMs,
				minRetries: () => this.#slackShare.of(slack, this.#context.load.entryCount(performance.now())),
				restrictedUntil: isFirstStart ? Number.NEGATIVE_INFINITY : this.#createdAt + windowMs,
			});
			this.#budgets.set(service, budget);
		}

		return budget;
	}
}
