/**
 * The inference engine without its HTTP server: advances the batch on a timer, maintains the
 * prefix cache, retains runs for resumption, and applies faults.
 */
import {createResponse} from './inference-response.js';
import {Batch} from './batch.js';
import {CacheEventLog, type CacheEventPage} from './cache-event-log.js';
import {type EngineOptions} from './engine-options.js';
import {ExpertCounter, type ExpertLoad} from './expert-load.js';
import {type EngineFaults, type FaultChange} from './faults.js';
import {type DrivenEngine, GroupDriver} from './group-driver.js';
import type {InferenceRequest} from './inference-request.js';
import {LaggedValue} from './lagged-value.js';
import {RequestRecorder} from './request-recorder.js';
import {PrefixCache} from './prefix-cache.js';
import {createRandom} from './random.js';
import {EngineRank} from './rank.js';
import {RateMeter} from './rate-meter.js';
import {Run, type RunReader} from './run.js';
import {failed, ok, type Result} from '#core';
import type {EngineOrder, EngineState, OrderResponse} from '#expertmap';

/** A served name without version and adapter matches all versions and adapters (`NAME[@VERSION][+ADAPTER]`). */
function servesModel(models: readonly string[], model: string): boolean {
	const [name = model] = model.split(/[@+]/u);
	return models.includes(model) || models.includes(name);
}

/** Load as reported by `/v1/load`. */
export type EngineLoad = {
	/** Prompt and output tokens of queued requests, plus unprocessed prompt tokens of running ones. */
	readonly queuedTokens: number;
	readonly running: number;
	/** Prompt and output tokens processed in the last second; 0 when idle. */
	readonly tokensPerSecond: number;
	/** Smoothed step time in milliseconds. */
	readonly stepMs: number;
	readonly step: number;
};

/** Reason that a request was not accepted. */
export type SubmitFailure = {readonly kind: 'refused'; readonly status: number} | {readonly kind: 'unknown-model'} | {readonly kind: 'full'};

/** Reason that a run cannot be resumed. */
export type ResumeFailure = {readonly kind: 'missing'} | {readonly kind: 'beyond-end'; readonly bytes: number};

const DEFAULT_FAULTS: EngineFaults = {
	crashOn: null,
	restartMs: 300,
	stallMs: 0,
	slowFactor: 1,
	ignoreFence: false,
	loadLagMs: 300,
	eventLagMs: 500,
	dropCacheEvents: 0,
	expertShift: 0,
	refuse: null,
	otherText: false,
};

/** Minimum interval of load samples of a busy engine, in milliseconds. */
const LOAD_SAMPLE_MS = 10;

/** Weight of the latest step in the exponential moving average of the step time. */
const STEP_SMOOTHING = 0.2;

/** Interval of the check for runs that can no longer be resumed, in milliseconds. */
const EXPIRY_CHECK_MS = 200;

export class Engine {
	/**
	 * @param onCrash - Called after a crash; the server resets its connections.
	 * @param driver - Driver of the group; without it the engine is standalone.
	 */
	static create(options: EngineOptions, onCrash: () => void, driver?: GroupDriver): Engine {
		return new Engine(options, onCrash, driver);
	}

	readonly recorder = RequestRecorder.create();
	#faults = DEFAULT_FAULTS;
	#step = 0;
	#stepMs: number;
	#sequence = 0;
	#downUntil = 0;
	#lastStepAt: number | undefined;
	#lastSampleAt = 0;
	#restartTimer: NodeJS.Timeout | undefined;
	readonly #isStandalone: boolean;
	readonly #driver: GroupDriver;
	readonly #rate = RateMeter.create();
	readonly #expiryTimer: NodeJS.Timeout;
	readonly #resumableRuns = new Map<string, Run>();
	readonly #batch: Batch;
	readonly #cache: PrefixCache;
	readonly #cacheEventLog: CacheEventLog;
	readonly #experts: ExpertCounter;
	readonly #load: LaggedValue<EngineLoad>;
	readonly #expertLoad: LaggedValue<ExpertLoad>;

	private constructor(readonly options: EngineOptions, private readonly onCrash: () => void, driver?: GroupDriver) {
		this.#isStandalone = driver === undefined;
		this.#driver = driver ?? GroupDriver.create(options.stepMs);
		const random = createRandom(options.seed);
		this.#stepMs = options.stepMs;
		this.#cacheEventLog = CacheEventLog.create(random.next);
		this.#cache = PrefixCache.create(options.cacheBlocks, event => {
			this.#cacheEventLog.append(this.now, event, this.#faults.dropCacheEvents);
		});
		this.#experts = ExpertCounter.create(options.layers, options.experts, random.next);
		this.#batch = Batch.create({
			maxRunning: options.maxRunning,
			prefillTokensPerStep: options.prefillTokensPerStep,
			onStart: run => {
				run.cachedTokens = this.#cache.insert(run.request.prompt);
				run.remainingPrefillTokens = Math.max(0, run.remainingPrefillTokens - run.cachedTokens);
			},
		});
		this.#joinGroup(true);
		this.#load = LaggedValue.create(this.#currentLoad());
		this.#expertLoad = LaggedValue.create(this.#experts.snapshot(0));
		this.#expiryTimer = setInterval(() => {
			this.#expireRuns(this.now);
			this.#recordLoad(this.now);
		}, EXPIRY_CHECK_MS);
		this.#expiryTimer.unref();
	}

	/** Monotonic time in milliseconds. */
	get now(): number {
		return this.#driver.now;
	}

	get faults(): EngineFaults {
		return this.#faults;
	}

	/** True between a crash and the restart. */
	get down(): boolean {
		return this.now < this.#downUntil;
	}

	/** Changes some faults; `stallMs` counts from now. */
	inject(change: FaultChange): void {
		this.#faults = {...this.#faults, ...change};
		if (change.stallMs !== undefined) {
			this.#driver.group.stall(this.options.rankId, this.now + change.stallMs);
		}
	}

	/** Queues a request. */
	submit(request: InferenceRequest, requestId: string, priority: number): Result<Run, SubmitFailure> {
		if (this.#faults.refuse !== null) {
			this.recorder.refused++;
			return failed({kind: 'refused', status: this.#faults.refuse});
		}

		if (!servesModel(this.options.models, request.model)) {
			return failed({kind: 'unknown-model'});
		}

		if (this.#batch.queued.length >= this.options.maxQueued) {
			this.recorder.refused++;
			return failed({kind: 'full'});
		}

		const run = Run.create({
			request,
			response: createResponse(this.#faults.otherText ? {...request, seedText: `${request.seedText} other`} : request, requestId),
			priority,
			sequence: this.#sequence++,
		});
		this.recorder.recordRun(run);
		this.#resumableRuns.get(requestId)?.release();
		this.#resumableRuns.set(requestId, run);
		this.#batch.add(run);
		this.#driver.wake();
		return ok(run);
	}

	/** The retained run of a request, if its bytes can be read from `offset`. */
	resume(requestId: string, offset: number): Result<Run, ResumeFailure> {
		const run = this.#resumableRuns.get(requestId);
		if (run === undefined) {
			return failed({kind: 'missing'});
		}

		if (run.finished && offset > run.generatedBytes) {
			return failed({kind: 'beyond-end', bytes: run.generatedBytes});
		}

		this.recorder.resumes++;
		return ok(run);
	}

	/** Passes the bytes of a run from `offset` to a reader; returns a function that removes the reader. */
	attach(run: Run, offset: number, reader: RunReader): () => void {
		const detach = run.attach(offset, reader);
		return () => {
			detach(this.now);
		};
	}

	/** Cancels the run of a request; false if none is active. */
	cancel(requestId: string): boolean {
		const activeRuns = [...this.#batch.running, ...this.#batch.queued].filter(run => run.requestId === requestId && !run.finished);
		for (const run of activeRuns) {
			run.finish('cancelled');
		}

		this.#resumableRuns.get(requestId)?.release();
		this.#resumableRuns.delete(requestId);
		this.recorder.cancels += activeRuns.length;
		return activeRuns.length > 0;
	}

	load(): EngineLoad {
		return this.#load.read(this.now, this.#faults.loadLagMs);
	}

	expertLoad(): ExpertLoad {
		return this.#expertLoad.read(this.now, this.#faults.loadLagMs);
	}

	cacheEvents(after: number): CacheEventPage {
		return this.#cacheEventLog.read(after, this.now, this.#faults.eventLagMs);
	}

	/** Passes an order to the rank (design page, section 6.1); undefined while the engine is down. */
	order(order: EngineOrder): OrderResponse | undefined {
		const rank = this.#driver.rank(this.options.rankId);
		const {now} = this;
		// With `ignoreFence`, every order is treated as if it carried the highest fencing token seen.
		const fence = this.#faults.ignoreFence ? Math.max(order.fence, rank?.state(now).fence ?? 0) : order.fence;
		const response = rank?.order({...order, fence}, now);
		this.#driver.wake();
		return response;
	}

	/** Number of completed steps of the group, number of steps in which ranks used different maps, and the map versions of the last step by rank. */
	groupSteps(): {readonly completed: number; readonly mixed: number; readonly last: Readonly<Record<string, number>>} {
		const {completed, mixedSteps, steps} = this.#driver.group;
		return {completed, mixed: mixedSteps.length, last: Object.fromEntries(steps.at(-1)?.maps ?? [])};
	}

	/** State of the rank; undefined while the engine is down. */
	orderState(): EngineState | undefined {
		return this.#driver.rank(this.options.rankId)?.state(this.now);
	}

	/** Discards all running and queued requests and the cache, and stays down for `restartMs`. */
	crash(): void {
		this.recorder.crashes++;
		this.#downUntil = this.now + this.#faults.restartMs;
		this.#cache.clear();
		const resumableRuns = [...this.#resumableRuns.values()];
		this.#resumableRuns.clear();
		clearTimeout(this.#restartTimer);
		this.#driver.leave(this.options.rankId);
		this.#restartTimer = setTimeout(() => {
			this.#joinGroup(false);
		}, this.#faults.restartMs);
		const lostRuns = this.#batch.clear();
		this.onCrash();
		for (const run of lostRuns) {
			run.finish('lost');
		}

		for (const run of resumableRuns) {
			run.release();
		}
	}

	/** Stops the timers. */
	close(): void {
		clearInterval(this.#expiryTimer);
		clearTimeout(this.#restartTimer);
		this.#driver.leave(this.options.rankId);
		if (this.#isStandalone) {
			this.#driver.close();
		}

		for (const run of this.#batch.clear()) {
			run.finish('lost');
		}
	}

	/** Joins the group; at startup all ranks have the same map, and after a crash the rank of a group waits for `reform`. */
	#joinGroup(isInitial: boolean): void {
		const {rankId, members, mapVersion, mapLoadMs} = this.options;
		const isMember = isInitial || this.#isStandalone;
		const rank = EngineRank.create({
			id: rankId,
			kind: 'checks-fence',
			epoch: isMember ? 1 : 0,
			members: members.length === 0 ? [rankId] : members,
			mapVersion: isMember ? mapVersion : 0,
			step: this.#isStandalone ? this.#step : 0,
			loadMs: mapLoadMs,
		});
		this.#driver.join(rank, this.#createDrivenEngine());
	}

	#createDrivenEngine(): DrivenEngine {
		const isBusy = (): boolean => !this.#batch.idle;
		const slowFactor = (): number => this.#faults.slowFactor;
		return {
			get busy() {
				return isBusy();
			},
			get slowFactor() {
				return slowFactor();
			},
			advance: (now, step) => {
				this.#advance(now, step);
			},
		};
	}

	#advance(now: number, step: number): void {
		this.#step = step + 1;
		this.#batch.admit();
		const {crashOn} = this.#faults;
		if (crashOn !== null && this.#batch.running.some(run => run.request.prompt.includes(crashOn))) {
			this.crash();
			return;
		}

		const {generated, prefillTokens} = this.#batch.step();
		this.#rate.record(now, generated.length + prefillTokens);
		this.recorder.tokens += generated.length;
		for (const run of generated) {
			this.#experts.countToken(this.#faults.expertShift);
			run.finishedAt = run.finished ? now : undefined;
		}

		this.#measureStep(now);
		if (this.#batch.idle || now - this.#lastSampleAt >= LOAD_SAMPLE_MS) {
			this.#recordLoad(now);
		}
	}

	#measureStep(now: number): void {
		if (this.#lastStepAt !== undefined) {
			this.#stepMs += (now - this.#lastStepAt - this.#stepMs) * STEP_SMOOTHING;
		}

		// Idle time is not part of a step.
		this.#lastStepAt = this.#batch.idle ? undefined : now;
	}

	#currentLoad(): EngineLoad {
		return {
			queuedTokens: this.#batch.queuedTokens,
			running: this.#batch.running.length,
			tokensPerSecond: this.#rate.perSecond(this.now),
			stepMs: this.#stepMs,
			step: this.#step,
		};
	}

	#recordLoad(now: number): void {
		this.#lastSampleAt = now;
		this.#load.record(now, this.#currentLoad());
		this.#expertLoad.record(now, this.#experts.snapshot(this.#step));
		// Reading drops samples that are older than the lag, which bounds their number.
		this.load();
		this.expertLoad();
	}

	#expireRuns(now: number): void {
		for (const [id, run] of this.#resumableRuns) {
			const since = run.finished ? run.finishedAt : run.unreadSince;
			if (since !== undefined && now - since > this.options.holdMs) {
				this.#resumableRuns.delete(id);
				run.finish('cancelled');
				run.release();
			}
		}
	}
}
