/**
 * The endpoint role: the only party that gives its engine or service work. It decides
 * whether to take work, runs it and tells the entry exactly what is known of its outcome.
 */
import {randomUUID} from 'node:crypto';
import {once} from 'node:events';
import {setInterval} from 'node:timers/promises';
import {GroupAgent} from './group-agent.js';
import {reportElsewhere} from './crash-report.js';
import {CrashWindow} from './crash-window.js';
import {Intake, type Job} from './intake.js';
import {Rebalancer} from './rebalancer.js';
import {PrefixLog} from './prefix-log.js';
import {LoadMonitor} from './load-monitor.js';
import {WorkRun, type RunEnd, type RunSource} from './work-run.js';
import {type ObjectStore} from '#coordination';
import {mergeTeardowns, type Teardown} from '#core';
import {EngineClient} from '#engine';
import {type Peering} from '#peering';
import {type MessageOf, type PeerLink, type WireLoad} from '#protocol';
import {endpointState} from '#rules';
import {ServiceClient} from '#service';
import {type EndpointSettings} from '#settings';
import {type Logger, type Metrics} from '#telemetry';

/** Load reports to the entries that subscribed. */
const REPORT_INTERVAL_MS = 1000;

/** Ids of finished attempts kept to drop a frame that arrives twice. */
const MAX_SEEN = 10_000;

export type EndpointOptions = {
	readonly settings: EndpointSettings;
	readonly peering: Peering;
	/** Object store of the platform, for the group's lease and map. */
	readonly store: ObjectStore;
	readonly log: Logger;
	readonly metrics: Metrics;
	/** Aborted to stop at once; a planned stop uses `drain` before. */
	readonly signal: AbortSignal;
};

function keyOf(work: {readonly requestId: string; readonly attempt: number}, link: PeerLink): string {
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
	readonly #monitor: LoadMonitor;
	readonly #runs = new Map<string, WorkRun>();
	readonly #seen = new Set<string>();
	readonly #agent: GroupAgent | undefined;
	readonly #rebalancer: Rebalancer | undefined;
	readonly #subscribers = new Set<PeerLink>();
	readonly #prefixes = PrefixLog.create();
	readonly #intake: Intake;
	readonly #crashes: CrashWindow;
	readonly #idle = new EventTarget();
	#draining = false;
	readonly #teardown: Teardown;

	private constructor(options: EndpointOptions) {
		this.#options = options;
		this.#log = options.log.part('endpoint');
		const {settings, peering, signal} = options;
		this.#engine = settings.backend.kind === 'model' ? EngineClient.create(settings.backendUrl) : undefined;
		this.#service = settings.backend.kind === 'service' ? ServiceClient.create(settings.backendUrl) : undefined;
		this.#monitor = LoadMonitor.create({
			engine: this.#engine,
			local: () => this.#localLoad(),
			onLoad: load => {
				this.#intake.sample({stepMs: load.stepMs, running: load.running}, Date.now());
			},
			signal,
		});
		this.#intake = Intake.create({
			start: job => {
				void this.#run(job);
			},
			refuse: (job, reason) => {
				this.#refuse(job, reason);
			},
			bounded: settings.backend.kind === 'model',
		});
		this.#crashes = CrashWindow.create({
			active: () => new Set(this.#runs.keys()),
			onCrash: () => {
				this.#prefixes.clear();
				return this.#intake.crashed(Date.now());
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
		void this.#report();
	}

	/** Client of the engine; undefined beside a plain service. */
	get engine(): EngineClient | undefined {
		return this.#engine;
	}

	/** Agent of the group's expert map; undefined beside a plain service. */
	get agent(): GroupAgent | undefined {
		return this.#agent;
	}

	/** Requests that wait or run. */
	get running(): number {
		return this.#intake.size;
	}

	/** True while this endpoint takes no new work, by rule or because it stops. */
	get leaving(): boolean {
		return this.#draining || this.#closedByRule;
	}

	/** Takes no new work from now on, tells all entries, and resolves once all work in progress has ended. */
	async drain(): Promise<void> {
		this.#draining = true;
		this.#options.peering.setLeaving(true);
		this.#log.info('draining', {running: this.running});
		while (this.running > 0) {
			await once(this.#idle, 'idle');
		}

		this.#log.info('drained');
	}

	/** Closes the connections to the back end. */
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

	get #closedByRule(): boolean {
		const {zone, id, group} = this.#options.peering.machine;
		const names = group === undefined ? {zone, id} : {zone, id, group};
		return endpointState(this.#options.peering.kernel.snapshot.ruleSet, names, Date.now()).kind === 'closed';
	}

	#localLoad(): {readonly queuedTokens: number; readonly running: number; readonly leaving: boolean} {
		return {queuedTokens: this.#intake.queuedTokens, running: this.#runs.size, leaving: this.leaving};
	}

	#onLink(link: PeerLink): void {
		if (link.peer.role !== 'entry') {
			return;
		}

		link.registerMessage('work', work => {
			this.#take(link, work);
		});
		link.registerMessage('cancel', ({requestId, attempt}) => {
			this.#cancel(link, requestId, attempt);
		});
		link.registerMessage('ack', ({requestId, attempt, offset}) => {
			this.#runs.get(keyOf({requestId, attempt}, link))?.acknowledge(offset);
		});
		link.registerMessage('subscribe', ({reports}) => {
			if (reports) {
				this.#subscribers.add(link);
				link.send(this.#reportMessage());
			} else {
				this.#subscribers.delete(link);
			}
		});
	}

	#cancel(link: PeerLink, requestId: string, attempt: number): void {
		const key = keyOf({requestId, attempt}, link);
		const run = this.#runs.get(key);
		if (run === undefined && this.#intake.remove(key, Date.now()) !== undefined) {
			this.#checkIdle();
			return;
		}

		if (run === undefined) {
			// The cancel overtook nothing: links keep their order, so the work has ended or never came.
			this.#options.metrics.count('framesDropped', 'cancel-of-unknown');
			return;
		}

		run.cancel();
	}

	/** Reason for which work is refused now, if any. Nothing has been sent to the back end at this point. */
	#refusalOf(work: MessageOf<'work'>): string | undefined {
		if (this.leaving) {
			return 'leaving';
		}

		const wanted = work.target === 'model' ? this.#engine : this.#service;
		return wanted === undefined ? 'no-endpoint' : undefined;
	}

	#take(link: PeerLink, work: MessageOf<'work'>): void {
		const id = keyOf(work, link);
		if (this.#seen.has(id)) {
			this.#options.metrics.count('framesDropped', 'duplicate-work');
			return;
		}

		this.#remember(id);
		const now = Date.now();
		const job: Job = {
			id, link, work, workspace: work.workspace, weight: work.weight, priority: work.priority, tokens: work.tokens, deadline: now + work.deadlineMs,
		};
		const refusal = this.#refusalOf(work);
		if (refusal !== undefined) {
			this.#refuse(job, refusal);
			return;
		}

		if (this.#intake.offer(job, now)) {
			const {requestId, attempt} = work;
			link.send({
				kind: 'accepted', requestId, attempt, cachedTokens: this.#prefixes.note(work.prefixes, now), load: this.#load(),
			});
			this.#intake.pump(now);
		}
	}

	/** Tells the entry that the work did not run. */
	#refuse(job: Job, reason: string): void {
		const {requestId, attempt} = job.work;
		this.#options.metrics.count('endpointRefusals', reason);
		job.link.send({
			kind: 'refused', requestId, attempt, reason, outcome: 'not-run', load: this.#load(),
		});
		this.#checkIdle();
	}

	async #run(job: Job): Promise<void> {
		const {link, work, id} = job;
		const run = WorkRun.create(link, work, this.#sourceOf(work));
		this.#runs.set(id, run);
		this.#options.metrics.count('requests', work.target);
		const end = await run.run();
		try {
			await this.#tellEnd(id, run, end);
		} finally {
			this.#runs.delete(id);
			this.#intake.finished(id, Date.now());
			this.#checkIdle();
		}
	}

	#checkIdle(): void {
		if (this.running === 0) {
			this.#idle.dispatchEvent(new Event('idle'));
		}
	}

	#remember(key: string): void {
		this.#seen.add(key);
		if (this.#seen.size > MAX_SEEN) {
			const [oldest] = this.#seen;
			this.#seen.delete(oldest ?? '');
		}
	}

	#sourceOf(work: MessageOf<'work'>): RunSource {
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

	async #tellEnd(key: string, run: WorkRun, end: RunEnd): Promise<void> {
		const {work, link} = run;
		const {requestId, attempt} = work;
		const fail = (reason: string, outcome: 'not-run' | 'unknown') => {
			link.send({
				kind: 'failed', requestId, attempt, reason, outcome, crashId: '', alone: false,
			});
		};

		switch (end.kind) {
			case 'done': {
				link.send({
					kind: 'end', requestId, attempt, totalBytes: run.totalBytes, from: run.hashFrom, hash: run.hash, load: this.#load(),
				});
				return;
			}

			case 'cancelled': {
				await this.#engine?.cancel(requestId);
				return;
			}

			case 'not-sent': {
				fail('engine-refused', 'not-run');
				return;
			}

			case 'turned-down': {
				fail('engine-refused', 'not-run');
				return;
			}

			case 'prefix-mismatch': {
				await this.#engine?.cancel(requestId);
				fail('stream-lost', 'unknown');
				return;
			}

			case 'lost': {
				await this.#tellLost(key, run);
			}
		}
	}

	async #tellLost(key: string, run: WorkRun): Promise<void> {
		const {work, link} = run;
		const loss = await this.#crashes.lost(key);
		const crashed = loss.kind === 'crash' && work.target === 'model';
		this.#options.metrics.count('crashes', crashed ? 'engine' : 'connection');
		this.#log.warn('back end lost a request', {requestId: work.requestId, crashed, ...(crashed ? {crashId: loss.crashId, alone: loss.alone} : {})});
		if (crashed) {
			void reportElsewhere(this.#options.peering.pool, link, {work, crashId: loss.crashId, alone: loss.alone});
		}

		link.send({
			kind: 'failed',
			requestId: work.requestId,
			attempt: work.attempt,
			reason: crashed ? 'engine-crashed' : 'backend-error',
			outcome: 'unknown',
			crashId: crashed ? loss.crashId : '',
			alone: crashed && loss.alone,
		});
	}

	#load(): WireLoad {
		return this.#monitor.wire;
	}

	#reportMessage(): MessageOf<'report'> {
		return {
			kind: 'report', load: this.#load(), rulesVersion: this.#options.peering.kernel.snapshot.rules.newest.version, mapVersion: this.#agent?.status.state?.mapVersion ?? 0,
		};
	}

	async #report(): Promise<void> {
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
