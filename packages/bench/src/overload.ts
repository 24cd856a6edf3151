/**
 * Overload benchmark: throughput at multiples of the capacity with and without limits (fair queue,
 * early refusal), and the retry amplification in an outage with and without a retry budget.
 */
import {
	createRandom, createStream, EventQueue, ReplicaModel, type BenchRequest,
} from './workloads/requests.js';
import {
	admit, createConcurrencyLimit, FairQueue, adjustConcurrencyLimit, type ConcurrencyLimit, type QueueItem,
} from '#limits';

/** Time to first token after which a caller gives up; work done for it afterwards is wasted. */
const FIRST_TOKEN_TIMEOUT_MS = 10_000;
/**
 * A request must start this long before its caller gives up, because its prompt still has to be processed. Without
 * this reserve an overloaded endpoint starts requests whose first token comes just too late. Equals the target for
 * the time to first token.
 */
const FIRST_TOKEN_RESERVE_MS = 1200;
/** Delay before a caller retries a refused or timed-out request. */
const RETRY_DELAY_MS = 1000;
/** Maximum number of attempts of a request, including the first. */
const MAX_ATTEMPTS = 3;
/** Bounds of an endpoint's concurrency limit; the replica model runs at most 256 requests. */
const BATCH = {initial: 64, min: 8, max: 256};
/** A step of the replica model with a full chunk takes 87 ms with 142 running requests, 104 ms with 256. */
const STEP_TARGET_MS = 100;
/** Maximum number of prompts waiting in an engine; with more, requests bypass the fair queue, with fewer, chunks are not filled. */
const MAX_WAITING_PROMPTS = 4;
/** Bounds of an endpoint's queue, far above what its deadlines admit. */
const QUEUE_BOUNDS = {maxItems: 2000, maxTokens: 10_000_000};
const SAMPLE_INTERVAL_MS = 100;
/** Time constant of the moving average of the service rate, in milliseconds. */
const RATE_TIME_CONSTANT_MS = 5000;

/** Size and load of the model, in which all callers share a few endpoints. */
export type OverloadBenchOptions = {
	readonly seed: number;
	readonly endpoints: number;
	/** Requests per second that saturate one endpoint. */
	readonly capacityPerEndpoint: number;
	readonly multiples: readonly number[];
	readonly durationMs: number;
	readonly warmUpMs: number;
};

/** The capacity is that of the replica model without prefix affinity; see docs/decisions/0004. */
export const defaultOverloadBench: OverloadBenchOptions = {
	seed: 20_261_204, endpoints: 8, capacityPerEndpoint: 4.2, multiples: [1, 2, 5], durationMs: 180_000, warmUpMs: 60_000,
};

/** Results at one multiple of the capacity. */
export type OverloadFigures = {
	readonly multiple: number;
	readonly limits: boolean;
	/** Output tokens per second of requests whose caller had not given up before the first token. */
	readonly completedTokensPerSecond: number;
	/** Requests completed per second. */
	readonly completedPerSecond: number;
	/** Attempts refused as not run per second, including retries. */
	readonly refusedPerSecond: number;
	/** Completed requests of the four workspaces with the most: smallest divided by mean. */
	readonly smallestShare: number;
};

type QueuedAttempt = QueueItem & {readonly attempt: Attempt};
type Attempt = {readonly request: BenchRequest; readonly number: number; readonly sentAt: number; abandoned: boolean};
type Totals = {completed: number; tokens: number; refused: number; readonly byWorkspace: Map<number, number>};

/** State of one endpoint process and its engine. */
type EndpointModel = {
	readonly engine: ReplicaModel;
	readonly queue: FairQueue<QueuedAttempt>;
	concurrencyLimit: ConcurrencyLimit;
	/** Moving average of the prompt and output tokens served per second. */
	tokensPerSecond: number;
	servedTokens: number;
	running: number;
};

/** Simulates all endpoints, and callers that retry. */
class OverloadModel {
	static create(options: OverloadBenchOptions, limits: boolean): OverloadModel {
		return new OverloadModel(options, limits);
	}

	readonly totals: Totals = {
		completed: 0, tokens: 0, refused: 0, byWorkspace: new Map(),
	};

	readonly #events = EventQueue.create();
	readonly #options: OverloadBenchOptions;
	readonly #limits: boolean;
	readonly #endpoints: readonly EndpointModel[];
	readonly #random: () => number;

	private constructor(options: OverloadBenchOptions, limits: boolean) {
		this.#options = options;
		this.#limits = limits;
		this.#random = createRandom(options.seed);
		this.#endpoints = Array.from({length: options.endpoints}, () => ({
			engine: ReplicaModel.create(this.#events),
			queue: FairQueue.create<QueuedAttempt>(QUEUE_BOUNDS),
			concurrencyLimit: createConcurrencyLimit(BATCH.initial, BATCH.min, BATCH.max, STEP_TARGET_MS),
			tokensPerSecond: 0,
			servedTokens: 0,
			running: 0,
		}));
	}

	run(stream: readonly BenchRequest[]): void {
		for (const request of stream) {
			this.#events.schedule(request.arrivalMs, () => {
				this.#send(request, 1);
			});
		}

		if (this.#limits) {
			this.#events.schedule(0, () => {
				this.#sample();
			});
		}

		this.#events.runUntil(this.#options.durationMs);
	}

	/** Sends an attempt to a random endpoint, as this benchmark does not measure routing. */
	#send(request: BenchRequest, number: number): void {
		const endpoint = this.#endpoints[Math.floor(this.#random() * this.#endpoints.length)];
		const attempt = {
			request, number, sentAt: this.#events.now, abandoned: false,
		};
		if (endpoint === undefined) {
			return;
		}

		if (this.#limits) {
			this.#enqueue(endpoint, attempt);
		} else {
			this.#start(endpoint, attempt);
		}
	}

	#enqueue(endpoint: EndpointModel, attempt: Attempt): void {
		const {request} = attempt;
		const workspace = `w${request.workspace}`;
		const tokens = request.inputTokens + request.outputTokens;
		const deadline = attempt.sentAt + FIRST_TOKEN_TIMEOUT_MS - FIRST_TOKEN_RESERVE_MS;
		const tokensAhead = endpoint.queue.tokensAhead(workspace, 0, 1);
		const waitMs = endpoint.tokensPerSecond > 0 ? 1000 * tokensAhead / endpoint.tokensPerSecond : 0;
		if (admit({waitMs, errorFactor: 1}, deadline, attempt.sentAt).kind === 'refused') {
			this.#refuse(attempt);
			return;
		}

		const offer = endpoint.queue.offer({
			id: `${request.id}/${attempt.number}`, workspace, weight: 1, priority: 0, tokens, deadline, attempt,
		}, attempt.sentAt);
		for (const item of offer.kind === 'queued' ? offer.displaced : []) {
			this.#refuse(item.attempt);
		}

		if (offer.kind === 'refused') {
			this.#refuse(attempt);
		}

		this.#dispatch(endpoint);
	}

	/** Starts queued requests while the concurrency limit and the number of prompts waiting in the engine allow it. */
	#dispatch(endpoint: EndpointModel): void {
		while (endpoint.running < Math.floor(endpoint.concurrencyLimit.limit) && endpoint.engine.waiting < MAX_WAITING_PROMPTS) {
			const {item, expired} = endpoint.queue.take(this.#events.now);
			for (const expiredItem of expired) {
				this.#refuse(expiredItem.attempt);
			}

			if (item === undefined) {
				return;
			}

			this.#start(endpoint, item.attempt);
		}
	}

	#start(endpoint: EndpointModel, attempt: Attempt): void {
		const {request} = attempt;
		let isInTime = true;
		endpoint.running++;
		endpoint.engine.submit({
			request,
			onStart: () => undefined,
			onFirstToken: () => {
				isInTime = this.#events.now - attempt.sentAt <= FIRST_TOKEN_TIMEOUT_MS;
				if (!isInTime) {
					this.#retry(attempt);
				}

				endpoint.servedTokens += request.inputTokens + request.outputTokens;
				this.#scheduleDispatch(endpoint);
			},
			onEnd: () => {
				endpoint.running--;
				this.#count(request, isInTime);
				this.#scheduleDispatch(endpoint);
			},
		});
	}

	#scheduleDispatch(endpoint: EndpointModel): void {
		if (this.#limits) {
			this.#events.schedule(this.#events.now, () => {
				this.#dispatch(endpoint);
			});
		}
	}

	#count(request: BenchRequest, isInTime: boolean): void {
		if (!isInTime || this.#events.now < this.#options.warmUpMs) {
			return;
		}

		this.totals.completed++;
		this.totals.tokens += request.outputTokens;
		this.totals.byWorkspace.set(request.workspace, (this.totals.byWorkspace.get(request.workspace) ?? 0) + 1);
	}

	#refuse(attempt: Attempt): void {
		this.totals.refused += this.#events.now >= this.#options.warmUpMs ? 1 : 0;
		this.#retry(attempt);
	}

	#retry({request, number}: Attempt): void {
		if (number < MAX_ATTEMPTS) {
			this.#events.schedule(this.#events.now + RETRY_DELAY_MS, () => {
				this.#send(request, number + 1);
			});
		}
	}

	/** Updates the concurrency limit and the service rate of each endpoint at a fixed interval. */
	#sample(): void {
		const decay = Math.exp(-SAMPLE_INTERVAL_MS / RATE_TIME_CONSTANT_MS);
		for (const endpoint of this.#endpoints) {
			endpoint.concurrencyLimit = adjustConcurrencyLimit(endpoint.concurrencyLimit, endpoint.engine.report(), this.#events.now);
			const currentRate = endpoint.servedTokens * 1000 / SAMPLE_INTERVAL_MS;
			endpoint.tokensPerSecond = (endpoint.tokensPerSecond * decay) + ((1 - decay) * currentRate);
			endpoint.servedTokens = 0;
			this.#dispatch(endpoint);
		}

		this.#events.schedule(this.#events.now + SAMPLE_INTERVAL_MS, () => {
			this.#sample();
		});
	}
}

function measure(options: OverloadBenchOptions, multiple: number, limits: boolean): OverloadFigures {
	const stream = createStream({
		seed: options.seed, requestsPerSecond: multiple * options.capacityPerEndpoint * options.endpoints, durationMs: options.durationMs, entries: 1, workspaces: 10,
	});
	const model = OverloadModel.create(options, limits);
	model.run(stream);
	const seconds = (options.durationMs - options.warmUpMs) / 1000;
	const largest = [...model.totals.byWorkspace.values()].toSorted((a, b) => b - a).slice(0, 4);
	const mean = largest.reduce((sum, count) => sum + count, 0) / Math.max(1, largest.length);
	return {
		multiple,
		limits,
		completedTokensPerSecond: model.totals.tokens / seconds,
		completedPerSecond: model.totals.completed / seconds,
		refusedPerSecond: model.totals.refused / seconds,
		smallestShare: mean === 0 ? 0 : (largest.at(-1) ?? 0) / mean,
	};
}

/** Returns whether a retry may be sent; called with `isRetry` false for each first attempt. */
export type RetryBudgetFunction = (isRetry: boolean, now: number) => boolean;

/** Attempts sent divided by requests received while every endpoint fails. */
export type RetryFigures = {readonly budget: boolean; readonly multiplier: number};

const OUTAGE_MS = 60_000;
const OUTAGE_REQUESTS_PER_SECOND = 27;
/** Number of attempts of each request without a retry budget. */
const ATTEMPTS_WITHOUT_BUDGET = 10;

function retryMultiplier(budget: RetryBudgetFunction | undefined): RetryFigures {
	let requests = 0;
	let attempts = 0;
	for (let now = 0; now < OUTAGE_MS; now += 1000 / OUTAGE_REQUESTS_PER_SECOND) {
		requests++;
		attempts++;
		budget?.(false, now);
		for (let number = 1; number < ATTEMPTS_WITHOUT_BUDGET && (budget?.(true, now) ?? true); number++) {
			attempts++;
		}
	}

	return {budget: budget !== undefined, multiplier: attempts / requests};
}

/** Results of the overload benchmark. */
export type OverloadReport = {readonly overload: readonly OverloadFigures[]; readonly retries: readonly RetryFigures[]};

/**
 * Runs the benchmark.
 *
 * @param budget - Creates the retry budget to measure. If absent, only the multiplier without a budget is measured.
 */
export function runOverloadBench(options: Partial<OverloadBenchOptions> = {}, budget?: () => RetryBudgetFunction): OverloadReport {
	const settings = {...defaultOverloadBench, ...options};
	return {
		overload: settings.multiples.flatMap(multiple => [false, true].map(limits => measure(settings, multiple, limits))),
		retries: [undefined, ...budget === undefined ? [] : [budget()]].map(retryBudget => retryMultiplier(retryBudget)),
	};
}
