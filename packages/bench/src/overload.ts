/**
 * Overload benchmark: completed work at multiples of the capacity with and without the limits
 * (fair queue, early refusal), and the retry multiplier in an outage with and without a budget.
 */
import {
	createRandom, createStream, EventQueue, ReplicaModel, type BenchRequest,
} from './workloads/requests.js';
import {
	admit, createConcurrencyLimit, FairQueue, adjustConcurrencyLimit, type ConcurrencyLimit, type QueueItem,
} from '#limits';

/** A caller gives up when the first token has not come by then; work done for it afterwards is lost. */
const PATIENCE_MS = 10_000;
/**
 * Work must start this long before its caller gives up, since the prompt has yet to be computed. Without
 * it an overloaded endpoint starts work whose first token comes just too late. It is the first token target.
 */
const FIRST_TOKEN_RESERVE_MS = 1200;
/** Callers resend a refused or abandoned request after this time. */
const RESEND_MS = 1000;
/** Attempts of one caller, the first included. */
const MAX_ATTEMPTS = 3;
/** Batch sizes that an endpoint may use; the model itself holds at most 256. */
const BATCH = {initial: 64, min: 8, max: 256};
/** The modelled engine takes 87 ms for a full chunk beside 142 running requests, 104 ms beside 256. */
const STEP_TARGET_MS = 100;
/** Prompts given to an engine ahead of time; more would pass the fair queue, fewer leave chunks unfilled. */
const MAX_PROMPTS_WAITING = 4;
/** The queue of an endpoint is bounded well above what its deadlines admit. */
const QUEUE_BOUNDS = {maxItems: 2000, maxTokens: 10_000_000};
const SAMPLE_INTERVAL_MS = 100;
/** Time constant of the observed service rate, milliseconds. */
const RATE_WINDOW_MS = 5000;

/** Size of the overload model: a few endpoints with all callers in front. */
export type OverloadBenchOptions = {
	readonly seed: number;
	readonly endpoints: number;
	/** Requests per second and endpoint at which one endpoint is just saturated. */
	readonly capacityPerEndpoint: number;
	readonly multiples: readonly number[];
	readonly durationMs: number;
	readonly warmUpMs: number;
};

/** Capacity as measured for the replica model without prefix affinity; see docs/decisions/0004. */
export const defaultOverloadBench: OverloadBenchOptions = {
	seed: 20_261_204, endpoints: 8, capacityPerEndpoint: 4.2, multiples: [1, 2, 5], durationMs: 180_000, warmUpMs: 60_000,
};

/** Work at one multiple of the capacity. */
export type OverloadFigures = {
	readonly multiple: number;
	readonly limits: boolean;
	/** Output tokens per second of requests whose caller was still there at the first token. */
	readonly completedTokensPerSecond: number;
	/** Requests completed per second. */
	readonly completedPerSecond: number;
	/** Requests refused as not-run per second, repeats included. */
	readonly refusedPerSecond: number;
	/** Smallest over mean completed requests of the four workspaces with the most demand. */
	readonly smallestShare: number;
};

type Waiting = QueueItem & {readonly attempt: Attempt};
type Attempt = {readonly request: BenchRequest; readonly number: number; readonly at: number; abandoned: boolean};
type Tally = {completed: number; tokens: number; refused: number; readonly byWorkspace: Map<number, number>};

/** One endpoint process in front of its engine. */
type Door = {
	readonly engine: ReplicaModel;
	readonly queue: FairQueue<Waiting>;
	capacity: ConcurrencyLimit;
	/** Observed prompt and output tokens served per second. */
	rate: number;
	served: number;
	open: number;
};

/** All endpoints, with callers that resend. */
class OverloadModel {
	static create(options: OverloadBenchOptions, limits: boolean): OverloadModel {
		return new OverloadModel(options, limits);
	}

	readonly tally: Tally = {
		completed: 0, tokens: 0, refused: 0, byWorkspace: new Map(),
	};

	readonly #events = EventQueue.create();
	readonly #options: OverloadBenchOptions;
	readonly #limits: boolean;
	readonly #doors: readonly Door[];
	readonly #random: () => number;

	private constructor(options: OverloadBenchOptions, limits: boolean) {
		this.#options = options;
		this.#limits = limits;
		this.#random = createRandom(options.seed);
		this.#doors = Array.from({length: options.endpoints}, () => ({
			engine: ReplicaModel.create(this.#events),
			queue: FairQueue.create<Waiting>(QUEUE_BOUNDS),
			capacity: createConcurrencyLimit(BATCH.initial, BATCH.min, BATCH.max, STEP_TARGET_MS),
			rate: 0,
			served: 0,
			open: 0,
		}));
	}

	run(stream: readonly BenchRequest[]): void {
		for (const request of stream) {
			this.#events.at(request.at, () => {
				this.#send(request, 1);
			});
		}

		if (this.#limits) {
			this.#events.at(0, () => {
				this.#sample();
			});
		}

		this.#events.runUntil(this.#options.durationMs);
	}

	/** Sends an attempt to a random endpoint: the choice of the replica is not what is measured here. */
	#send(request: BenchRequest, number: number): void {
		const door = this.#doors[Math.floor(this.#random() * this.#doors.length)];
		const attempt = {
			request, number, at: this.#events.now, abandoned: false,
		};
		if (door === undefined) {
			return;
		}

		if (this.#limits) {
			this.#offer(door, attempt);
		} else {
			this.#start(door, attempt);
		}
	}

	#offer(door: Door, attempt: Attempt): void {
		const {request} = attempt;
		const workspace = `w${request.workspace}`;
		const tokens = request.inputTokens + request.outputTokens;
		const deadline = attempt.at + PATIENCE_MS - FIRST_TOKEN_RESERVE_MS;
		const ahead = door.queue.tokensAhead(workspace, 0, 1);
		const waitMs = door.rate > 0 ? 1000 * ahead / door.rate : 0;
		if (admit({waitMs, errorFactor: 1}, deadline, attempt.at).kind === 'refused') {
			this.#refuse(attempt);
			return;
		}

		const offer = door.queue.offer({
			id: `${request.id}/${attempt.number}`, workspace, weight: 1, priority: 0, tokens, deadline, attempt,
		}, attempt.at);
		for (const item of offer.kind === 'queued' ? offer.displaced : []) {
			this.#refuse(item.attempt);
		}

		if (offer.kind === 'refused') {
			this.#refuse(attempt);
		}

		this.#fill(door);
	}

	/** Starts queued work while the batch has room and no prompt waits in the engine. */
	#fill(door: Door): void {
		while (door.open < Math.floor(door.capacity.limit) && door.engine.waiting < MAX_PROMPTS_WAITING) {
			const {item, expired} = door.queue.take(this.#events.now);
			for (const late of expired) {
				this.#refuse(late.attempt);
			}

			if (item === undefined) {
				return;
			}

			this.#start(door, item.attempt);
		}
	}

	#start(door: Door, attempt: Attempt): void {
		const {request} = attempt;
		let isWanted = true;
		door.open++;
		door.engine.submit({
			request,
			onStart: () => undefined,
			onFirstToken: () => {
				isWanted = this.#events.now - attempt.at <= PATIENCE_MS;
				if (!isWanted) {
					this.#resend(attempt);
				}

				door.served += request.inputTokens + request.outputTokens;
				this.#afterStep(door);
			},
			onEnd: () => {
				door.open--;
				this.#count(request, isWanted);
				this.#afterStep(door);
			},
		});
	}

	#afterStep(door: Door): void {
		if (this.#limits) {
			this.#events.at(this.#events.now, () => {
				this.#fill(door);
			});
		}
	}

	#count(request: BenchRequest, isWanted: boolean): void {
		if (!isWanted || this.#events.now < this.#options.warmUpMs) {
			return;
		}

		this.tally.completed++;
		this.tally.tokens += request.outputTokens;
		this.tally.byWorkspace.set(request.workspace, (this.tally.byWorkspace.get(request.workspace) ?? 0) + 1);
	}

	#refuse(attempt: Attempt): void {
		this.tally.refused += this.#events.now >= this.#options.warmUpMs ? 1 : 0;
		this.#resend(attempt);
	}

	#resend({request, number}: Attempt): void {
		if (number < MAX_ATTEMPTS) {
			this.#events.at(this.#events.now + RESEND_MS, () => {
				this.#send(request, number + 1);
			});
		}
	}

	/** Follows step times and the service rate of each endpoint. */
	#sample(): void {
		const keep = Math.exp(-SAMPLE_INTERVAL_MS / RATE_WINDOW_MS);
		for (const door of this.#doors) {
			door.capacity = adjustConcurrencyLimit(door.capacity, door.engine.report(), this.#events.now);
			const latest = door.served * 1000 / SAMPLE_INTERVAL_MS;
			door.rate = (door.rate * keep) + ((1 - keep) * latest);
			door.served = 0;
			this.#fill(door);
		}

		this.#events.at(this.#events.now + SAMPLE_INTERVAL_MS, () => {
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
	const largest = [...model.tally.byWorkspace.values()].toSorted((a, b) => b - a).slice(0, 4);
	const mean = largest.reduce((sum, count) => sum + count, 0) / Math.max(1, largest.length);
	return {
		multiple,
		limits,
		completedTokensPerSecond: model.tally.tokens / seconds,
		completedPerSecond: model.tally.completed / seconds,
		refusedPerSecond: model.tally.refused / seconds,
		smallestShare: mean === 0 ? 0 : (largest.at(-1) ?? 0) / mean,
	};
}

/** Decides whether a retry may be sent; told of each first attempt with `isRetry` false. */
export type RetryBudgetFunction = (isRetry: boolean, now: number) => boolean;

/** Attempts sent over requests received while every endpoint fails. */
export type RetryFigures = {readonly budget: boolean; readonly multiplier: number};

const OUTAGE_MS = 60_000;
const OUTAGE_REQUESTS_PER_SECOND = 27;
/** Attempts that a request would make without a budget. */
const UNLIMITED_ATTEMPTS = 10;

function retryMultiplier(budget: RetryBudgetFunction | undefined): RetryFigures {
	let requests = 0;
	let attempts = 0;
	for (let now = 0; now < OUTAGE_MS; now += 1000 / OUTAGE_REQUESTS_PER_SECOND) {
		requests++;
		attempts++;
		budget?.(false, now);
		for (let number = 1; number < UNLIMITED_ATTEMPTS && (budget?.(true, now) ?? true); number++) {
			attempts++;
		}
	}

	return {budget: budget !== undefined, multiplier: attempts / requests};
}

/** Figures of the overload benchmark. */
export type OverloadReport = {readonly overload: readonly OverloadFigures[]; readonly retries: readonly RetryFigures[]};

/**
 * Runs the benchmark.
 *
 * @param budget - Creates the retry budget to measure; only the multiplier without a budget is measured if absent.
 */
export function runOverloadBench(options: Partial<OverloadBenchOptions> = {}, budget?: () => RetryBudgetFunction): OverloadReport {
	const all = {...defaultOverloadBench, ...options};
	return {
		overload: all.multiples.flatMap(multiple => [false, true].map(limits => measure(all, multiple, limits))),
		retries: [undefined, ...budget === undefined ? [] : [budget()]].map(each => retryMultiplier(each)),
	};
}
