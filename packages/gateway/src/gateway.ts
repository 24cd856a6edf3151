/** An entry that speaks straight to endpoints: state, sockets and tasks, and how it stops. */
import {keysAreTrusted} from './admission.js';
import {CallerServer} from './caller-server.js';
import {ConnectionPool} from './connection-pool.js';
import type {Dialect} from './dialect.js';
import {EntryJournal} from './events.js';
import {GroupWatch, type GroupProbe} from './group-watch.js';
import {PeerExchange} from './peers.js';
import {
	followConfig, followEndpoints, type Beliefs, type Register,
} from './register.js';
import type {FlowParts} from './request-flow.js';
import {serveStatus, type StatusAnswer} from './status-server.js';
import {RetryBudget} from '#coordination';
import {sleep, type Address} from '#core';
import {
	ConfigHolder, EndpointDirectory, EndpointHealth, LoadBoard, readInstant, type EndpointRecord,
} from '#dispatch';
import type {Logger, Metrics} from '#telemetry';

export type GatewayOptions = {
	readonly name: string;
	readonly zone: string;
	readonly callers: Address;
	readonly ready: Address;
	/** Address of the metrics at `/metrics`. */
	readonly metricsAddress: Address;
	/** Where other entries connect, and a few addresses to find them by; undefined for an entry on its own. */
	readonly peers: (Address & {readonly seeds: readonly string[]}) | undefined;
	/** Age of the configuration from which keys are no longer trusted, in ms; undefined if they are for ever. */
	readonly keyTrustMs: number | undefined;
	readonly retry: {
		/** Share of a service's requests that may be retried, over all entries. */
		readonly fraction: number;
		readonly windowMs: number;
		/** Retries in a window beyond the share, over all entries. */
		readonly slack: number;
	};
	/** Time from the signal to stop until the process is killed, in ms. */
	readonly graceMs: number;
	/** Tells whether the group of an endpoint runs. */
	readonly probeGroup: GroupProbe;
	readonly dialect: Dialect;
	readonly register: Register;
	readonly logger: Logger;
	readonly metrics: Metrics;
};

/** The slack of the retry budget is divided among this many entries: those of the largest deployment in use, and its spare ones. */
const ENTRIES_SHARING_SLACK = 24;

/** The balancer asks once a second and takes an entry out after two misses; new connections are taken until then, in ms. */
const BALANCER_DELAY_MS = 2600;

/** Stopping ends this long before the process would be killed, in ms. */
const STOP_MARGIN_MS = 400;

/** How often a stopping entry looks whether all requests have ended, in ms. */
const STOP_POLL_MS = 50;

export class Gateway {
	/** Starts the entry. Rejects if an address is taken. */
	static async create(options: GatewayOptions): Promise<Gateway> {
		const gateway = new Gateway(options);
		await gateway.#start();
		return gateway;
	}

	readonly config = ConfigHolder.create();
	readonly directory = EndpointDirectory.create();
	readonly #journal: EntryJournal;
	readonly #parts: FlowParts;
	readonly #stop = new AbortController();
	readonly #budgets = new Map<string, RetryBudget>();
	#callers: CallerServer | undefined;
	#isLeaving = false;
	readonly #options: GatewayOptions;

	private constructor(options: GatewayOptions) {
		this.#options = options;
		const steady = () => performance.now();
		this.#journal = EntryJournal.create(options.logger, options.metrics, steady);
		this.#parts = {
			config: this.config,
			directory: this.directory,
			health: EndpointHealth.create(),
			load: LoadBoard.create(),
			pool: ConnectionPool.create(steady, this.#stop.signal),
			dialect: options.dialect,
			journal: this.#journal,
			groups: GroupWatch.create({
				probe: options.probeGroup, endpointsOf: service => this.#groupMembers(service), journal: this.#journal, random: Math.random,
			}, this.#stop.signal),
			budgetOf: service => this.#budgetOf(service),
			keyTrustMs: options.keyTrustMs,
			now: readInstant,
			random: Math.random,
		};
	}

	get journal(): EntryJournal {
		return this.#journal;
	}

	/** Whether new connections should come here. */
	get isReady(): boolean {
		return !this.#isLeaving && this.config.current !== undefined && keysAreTrusted(this.#parts) && this.directory.size > 0;
	}

	/** Stops: leaves the balancer, lets requests end, closes. Settles when nothing is open or the grace is over. */
	async stop(): Promise<void> {
		if (this.#isLeaving) {
			return;
		}

		this.#isLeaving = true;
		const startedAt = performance.now();
		this.#journal.record({kind: 'lifecycle', step: 'stopping', detail: {openRequests: this.#callers?.open}});
		this.#callers?.beginLeaving();
		await sleep(Math.min(BALANCER_DELAY_MS, this.#options.graceMs / 2));
		this.#callers?.stopListening();
		while ((this.#callers?.open ?? 0) > 0 && performance.now() - startedAt < this.#options.graceMs - STOP_MARGIN_MS) {
			// An answer that began before the stop did not announce the end of its connection.
			this.#callers?.closeIdle();
			await sleep(STOP_POLL_MS);
		}

		this.#stop.abort();
		this.#journal.record({kind: 'lifecycle', step: 'stopped', detail: {openRequests: this.#callers?.open, afterMs: Math.round(performance.now() - startedAt)}});
	}

	async #start(): Promise<void> {
		const options = this.#options;
		const {signal} = this.#stop;
		this.directory.registerListener(change => {
			if (change.change !== 'added') {
				this.#parts.pool.drop(change.id);
			}

			if (change.change === 'restarted' || change.change === 'added') {
				this.#parts.health.forget(change.id);
			}

			this.#journal.record({kind: 'endpoint', ...change, source: 'register'});
		});
		const beliefs: Beliefs = {
			config: this.config, directory: this.directory, journal: this.#journal, now: readInstant,
		};
		const follow = {...beliefs, register: options.register};
		let exchange: PeerExchange | undefined;
		if (options.peers !== undefined) {
			const {host, port, seeds} = options.peers;
			exchange = await PeerExchange.create({
				...beliefs, address: `${host}:${port}`, host, port, seeds, load: this.#parts.load,
			}, signal);
		}

		void followConfig(follow, () => exchange?.asked ?? 0, signal);
		void followEndpoints(follow, signal);
		this.#callers = await CallerServer.create({...options.callers, parts: this.#parts, dialect: options.dialect});
		await serveStatus(options.ready.host, options.ready.port, async () => this.#status(), signal);
		const {metricsAddress} = options;
		await serveStatus(metricsAddress.host, metricsAddress.port, async () => ({status: 200, body: await options.metrics.expose()}), signal);
		const upkeep = setInterval(() => {
			this.directory.expire(performance.now());
			this.#callers?.setIdleLimit(this.config.current?.limits.idleTimeoutMs ?? 60_000);
		}, 250);
		signal.addEventListener('abort', () => {
			clearInterval(upkeep);
		}, {once: true});
		this.#journal.record({
			kind: 'lifecycle', step: 'started', detail: {
				entry: options.name, zone: options.zone, callers: options.callers, keyTrustMs: options.keyTrustMs,
			},
		});
	}

	#status(): StatusAnswer {
		return this.isReady ? {status: 200, body: 'ready\n'} : {status: 503, body: 'not ready\n'};
	}

	/** Endpoints of a service whose endpoints run in lock-step; none of another. */
	#groupMembers(service: string): readonly EndpointRecord[] {
		const hasGroups = this.config.current?.services.get(service)?.experts !== undefined;
		return hasGroups ? this.directory.endpointsOf(service, performance.now()) : [];
	}

	#budgetOf(service: string): RetryBudget {
		let budget = this.#budgets.get(service);
		if (budget === undefined) {
			const {fraction, windowMs, slack} = this.#options.retry;
			budget = RetryBudget.create({fraction, windowMs, minRetries: Math.floor(slack / ENTRIES_SHARING_SLACK)});
			this.#budgets.set(service, budget);
		}

		return budget;
	}
}
