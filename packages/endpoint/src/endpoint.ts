/**
 * The endpoint role: the only process that sends work to its engine or service. It accepts or
 * refuses work, runs it and reports to the entry exactly what is known about its outcome.
 */
import {randomUUID} from 'node:crypto';
import {once} from 'node:events';
import {setInterval} from 'node:timers/promises';
import {GroupAgent} from './group-agent.js';
import {reportCrashThroughOtherEntry} from './crash-report.js';
import {CrashDetector} from './crash-detector.js';
import {WorkScheduler, type Job} from './work-scheduler.js';
import {Rebalancer} from './rebalancer.js';
import {RecentPrefixes} from './recent-prefixes.js';
import {LoadMonitor} from './load-monitor.js';
import {WorkMemory} from './work-memory.js';
import {WorkRun, type RunResult, type BackendCalls} from './work-run.js';
import {callerBudgetBytes} from '#connections';
import {type ObjectStore} from '#coordination';
import {mergeTeardowns, type Teardown} from '#core';
import {EngineClient} from '#engine';
import {type Peering} from '#peering';
import {type MessageOf, type PeerLink, type WireLoad} from '#protocol';
import {endpointState} from '#rules';
import {ServiceClient} from '#service';
import {type EndpointSettings} from '#settings';
import {type Logger, type Metrics} from '#telemetry';

/** Interval of the load reports to subscribed entries. */
const REPORT_INTERVAL_MS = 1000;

/** Maximum number of attempt keys kept to detect duplicate work messages. */
const MAX_SEEN_ATTEMPTS = 10_000;

const BYTES_PER_MB = 1024 * 1024;

export type EndpointOptions = {
	readonly settings: EndpointSettings;
	readonly peering: Peering;
	/** The platform's object store, used for the group's lease and expert map. */
	readonly store: ObjectStore;
	readonly log: Logger;
	readonly metrics: Metrics;
	/** Aborted to stop immediately; a graceful shutdown calls `drain` first. */
	readonly signal: AbortSignal;
};

function attemptKey(work: {readonly requestId: string; readonly attempt: number}, link: PeerLink): string {
	return `${link.peer.id} ${work.requestId} ${work.attempt}`;
}

export class Endpoint {
	static create(options: EndpointOptions): Endpoint {
		return new Endpoint(options);
	}

	readonly #options: EndpointOptions;
	readonly #log: Logger;
	readonly #engine: EngineClient | undefined;
	readonly #service: ServiceClient | undefined;
	readonly #loadMonitor: LoadMonitor;
	readonly #runs = new Map<string, WorkRun>();
	readonly #seenAttempts = new Set<string>();
	readonly #agent: GroupAgent | undefined;
	readonly #rebalancer: Rebalancer | undefined;
	readonly #subscribers = new Set<PeerLink>();
	readonly #recentPrefixes = RecentPrefixes.create();
	readonly #scheduler: WorkScheduler;
	/** Bodies of the work that is waiting or running. */
	readonly #memory: WorkMemory;
	readonly #crashDetector: CrashDetector;
	readonly #idle = new EventTarget();
	#draining = false;
	readonly #teardown: Teardown;

	private constructor(options: EndpointOptions) {
		this.#options = options;
		this.#log = options.log.child('endpoint');
		const {settings, peering, signal} = options;
		this.#memory = WorkMemory.create(callerBudgetBytes(settings.memoryMb * BYTES_PER_MB));
		this.#engine = settings.backend.kind === 'model' ? EngineClient.create(settings.backendUrl) : undefined;
		this.#service = settings.backend.kind === 'service' ? ServiceClient.create(settings.backendUrl) : undefined;
		this.#loadMonitor = LoadMonitor.create({
			engine: this.#engine,
			readLocalLoad: () => this.#localLoad(),
			onLoad: load => {
				this.#scheduler.addSample({stepMs: load.stepMs, running: load.running}, Date.now());
			},
			signal,
		});
		this.#scheduler = WorkScheduler.create({
			start: job => {
				void this.#run(job);
			},
			refuse: (job, reason) => {
				this.#refuse(job, reason);
			},
			isConcurrencyLimited: settings.backend.kind === 'model',
		});
		this.#crashDetector = CrashDetector.create({
			active: () => new Set(this.#runs.keys()),
			onCrash: () => {
				this.#recentPrefixes.clear();
				return this.#scheduler.onEngineCrash(Date.now());
			},
			prefix: `${settings.id}/${peering.incarnation}`,
		});
		this.#agent = settings.backend.kind === 'model' && this.#engine !== undefined
			? GroupAgent.create({
				group: settings.backend.group, peering, engine: this.#engine, store: options.store, createId: randomUUID, log: options.log, metrics: options.metrics, signal,
			})
			: undefined;
		this.#rebalancer = this.#createRebalancer();
		this.#teardown = mergeTeardowns(
			peering.pool.registerLinkListener(link => {
				this.#onLink(link);
			}),
			peering.pool.registerCloseListener(link => {
				this.#subscribers.delete(link);
			}),
		);
		void this.#runReports();
	}

	/** Client of the engine; undefined if the back end is a plain service. */
	get engine(): EngineClient | undefined {
		return this.#engine;
	}

	/** Agent for the group's expert map; undefined if the back end is a plain service. */
	get agent(): GroupAgent | undefined {
		return this.#agent;
	}

	/** Number of requests that are waiting or running. */
	get running(): number {
		return this.#scheduler.size;
	}

	/** True while this endpoint accepts no new work, because a rule closes it or it is draining. */
	get leaving(): boolean {
		return this.#draining || this.#isClosedByRule;
	}

	/** Stops accepting work, announces that to all entries, and resolves once all work in progress has ended. */
	async drain(): Promise<void> {
		this.#draining = true;
		this.#options.peering.setLeaving(true);
		this.#log.info('draining', {running: this.running});
		while (this.running > 0) {
			await once(this.#idle, 'idle');
		}

		this.#log.info('drained');
	}

	/** Stops the agents and closes the connections to the back end. */
	async close(): Promise<void> {
		this.#teardown();
		this.#rebalancer?.close();
		await this.#agent?.close();
		await Promise.all([this.#engine?.close(), this.#service?.close()]);
	}

	#createRebalancer(): Rebalancer | undefined {
		const {settings, peering, log, metrics, signal} = this.#options;
		const {backend} = settings;
		if (backend.kind !== 'model' || this.#agent === undefined || this.#engine === undefined) {
			return undefined;
		}

		return Rebalancer.create({
			agent: this.#agent,
			peering,
			engine: this.#engine,
			group: backend.group,
			groupSize: backend.groupSize,
			model: (backend.models[0] ?? '').split('@')[0] ?? '',
			intervalMs: backend.rebalanceSeconds * 1000,
			log,
			metrics,
			signal,
		});
	}

	get #isClosedByRule(): boolean {
		const {zone, id, group} = this.#options.peering.machine;
		const names = group === undefined ? {zone, id} : {zone, id, group};
		return endpointState(this.#options.peering.kernel.snapshot.ruleSet, names, Date.now()).kind === 'closed';
	}

	#localLoad(): {readonly queuedTokens: number; readonly running: number; readonly leaving: boolean} {
		return {queuedTokens: this.#scheduler.queuedTokens, running: this.#runs.size, leaving: this.leaving};
	}

	#onLink(link: PeerLink): void {
		if (link.peer.role !== 'entry') {
			return;
		}

		link.registerMessageHandler('work', work => {
			this.#onWork(link, work);
		});
		link.registerMessageHandler('cancel', ({requestId, attempt}) => {
			this.#cancel(link, requestId, attempt);
		});
		link.registerMessageHandler('ack', ({requestId, attempt, offset}) => {
			this.#runs.get(attemptKey({requestId, attempt}, link))?.acknowledge(offset);
		});
		link.registerMessageHandler('subscribe', ({reports}) => {
			if (reports) {
				this.#subscribers.add(link);
				link.send(this.#reportMessage());
			} else {
				this.#subscribers.delete(link);
			}
		});
	}

	#cancel(link: PeerLink, requestId: string, attempt: number): void {
		const key = attemptKey({requestId, attempt}, link);
		const run = this.#runs.get(key);
		if (run === undefined && this.#scheduler.remove(key, Date.now()) !== undefined) {
			this.#memory.release(key);
			this.#checkIdle();
			return;
		}

		if (run === undefined) {
			// Links preserve message order, so the work has already ended or was never received.
			this.#options.metrics.count('framesDropped', 'cancel-of-unknown');
			return;
		}

		run.cancel();
	}

	/** Reason to refuse the work, if any. Nothing has been sent to the back end at this point. */
	#refusalReason(work: MessageOf<'work'>): string | undefined {
		if (this.leaving) {
			return 'leaving';
		}

		const client = work.target === 'model' ? this.#engine : this.#service;
		return client === undefined ? 'no-endpoint' : undefined;
	}

	#onWork(link: PeerLink, work: MessageOf<'work'>): void {
		const id = attemptKey(work, link);
		if (this.#seenAttempts.has(id)) {
			this.#options.metrics.count('framesDropped', 'duplicate-work');
			return;
		}

		this.#addSeenAttempt(id);
		const now = Date.now();
		const job: Job = {
			id, link, work, workspace: work.workspace, weight: work.weight, priority: work.priority, tokens: work.tokens, deadline: now + work.deadlineMs,
		};
		const refusal = this.#refusalReason(work);
		if (refusal !== undefined) {
			this.#refuse(job, refusal);
			return;
		}

		if (!this.#memory.hold(id, work.body.byteLength)) {
			this.#refuse(job, 'endpoint-full');
			return;
		}

		if (this.#scheduler.submit(job, now)) {
			const {requestId, attempt} = work;
			link.send({
				kind: 'accepted', requestId, attempt, cachedTokens: this.#recentPrefixes.add(work.prefixes, now), load: this.#wireLoad(),
			});
			this.#scheduler.startReady(now);
		}
	}

	/** Notifies the entry that the work did not run. */
	#refuse(job: Job, reason: string): void {
		const {requestId, attempt} = job.work;
		this.#memory.release(job.id);
		this.#options.metrics.count('endpointRefusals', reason);
		job.link.send({
			kind: 'refused', requestId, attempt, reason, outcome: 'not-run', load: this.#wireLoad(),
		});
		this.#checkIdle();
	}

	async #run(job: Job): Promise<void> {
		const {link, work, id} = job;
		const run = WorkRun.create(link, work, this.#backendCalls(work));
		this.#runs.set(id, run);
		this.#options.metrics.count('requests', work.target);
		const result = await run.run();
		try {
			await this.#sendResult(id, run, result);
		} finally {
			this.#runs.delete(id);
			this.#memory.release(id);
			this.#scheduler.onFinished(id, Date.now());
			this.#checkIdle();
		}
	}

	#checkIdle(): void {
		if (this.running === 0) {
			this.#idle.dispatchEvent(new Event('idle'));
		}
	}

	#addSeenAttempt(key: string): void {
		this.#seenAttempts.add(key);
		if (this.#seenAttempts.size > MAX_SEEN_ATTEMPTS) {
			const [oldest] = this.#seenAttempts;
			this.#seenAttempts.delete(oldest ?? '');
		}
	}

	#backendCalls(work: MessageOf<'work'>): BackendCalls {
		const {
			method, path, headers, body, requestId, priority,
		} = work;
		const engine = this.#engine;
		const service = this.#service;
		if (engine !== undefined) {
			return {
				run: async signal => engine.run({
					method, path, headers, body, signal, requestId, priority,
				}),
				resume: async (offset, signal) => engine.resume(requestId, offset, signal),
			};
		}

		return {
			run: async signal => service === undefined
				? {kind: 'not-sent', message: 'no back end'}
				: service.run({
					method, path, headers: {...headers, 'x-request-id': requestId}, body, signal,
				}),
			resume: undefined,
		};
	}

	async #sendResult(key: string, run: WorkRun, result: RunResult): Promise<void> {
		const {work, link} = run;
		const {requestId, attempt} = work;
		const sendFailed = (reason: string, outcome: 'not-run' | 'unknown') => {
			link.send({
				kind: 'failed', requestId, attempt, reason, outcome, crashId: '', alone: false,
			});
		};

		switch (result.kind) {
			case 'done': {
				link.send({
					kind: 'end', requestId, attempt, totalBytes: run.totalBytes, from: run.hashFrom, hash: run.hash, load: this.#wireLoad(),
				});
				return;
			}

			case 'cancelled': {
				await this.#engine?.cancel(requestId);
				return;
			}

			case 'not-sent': {
				sendFailed('engine-refused', 'not-run');
				return;
			}

			case 'rejected': {
				sendFailed('engine-refused', 'not-run');
				return;
			}

			case 'prefix-mismatch': {
				await this.#engine?.cancel(requestId);
				sendFailed('stream-lost', 'unknown');
				return;
			}

			case 'unframed': {
				this.#log.warn('back end sent a response that cannot be passed on', {requestId, detail: result.message});
				await this.#engine?.cancel(requestId);
				sendFailed('backend-error', 'unknown');
				return;
			}

			case 'lost': {
				await this.#sendLost(key, run);
			}
		}
	}

	async #sendLost(key: string, run: WorkRun): Promise<void> {
		const {work, link} = run;
		const cause = await this.#crashDetector.reportLost(key);
		const crashed = cause.kind === 'crash' && work.target === 'model';
		this.#options.metrics.count('crashes', crashed ? 'engine' : 'connection');
		this.#log.warn('back end lost a request', {requestId: work.requestId, crashed, ...(crashed ? {crashId: cause.crashId, alone: cause.alone} : {})});
		if (crashed) {
			void reportCrashThroughOtherEntry(this.#options.peering.pool, link, {work, crashId: cause.crashId, alone: cause.alone});
		}

		link.send({
			kind: 'failed',
			requestId: work.requestId,
			attempt: work.attempt,
			reason: crashed ? 'engine-crashed' : 'backend-error',
			outcome: 'unknown',
			crashId: crashed ? cause.crashId : '',
			alone: crashed && cause.alone,
		});
	}

	#wireLoad(): WireLoad {
		return this.#loadMonitor.wireLoad;
	}

	#reportMessage(): MessageOf<'report'> {
		return {
			kind: 'report', load: this.#wireLoad(), rulesVersion: this.#options.peering.kernel.snapshot.rules.newest.version, mapVersion: this.#agent?.status.state?.mapVersion ?? 0,
		};
	}

	async #runReports(): Promise<void> {
		const {signal} = this.#options;
		try {
			let wasLeaving = this.leaving;
			for await (const _ of setInterval(REPORT_INTERVAL_MS, undefined, {signal, ref: false})) {
				if (!this.#draining && this.leaving !== wasLeaving) {
					wasLeaving = this.leaving;
					this.#options.peering.setLeaving(wasLeaving);
					this.#log.info(wasLeaving ? 'closed by rule' : 'opened by rule');
				}

				const report = this.#reportMessage();
				for (const link of this.#subscribers) {
					link.send(report);
				}
			}
		} catch (error) {
			if (!signal.aborted) {
				this.#log.error('report task failed', {err: error});
			}
		}
	}
}
