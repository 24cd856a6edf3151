/**
 * Workload of the routing and overload benchmarks: request streams, and a discrete-event simulation of the replicas that
 * serve them. A stream consists of conversations that share system prompts, with growing prompts and heavy-tailed
 * lengths, in the proportions of the design page, section 1.5.
 */
import prand from 'pure-rand';
import {type LoadReport, type PromptPrefix} from '#routing';

/** One request of the stream. */
export type BenchRequest = {
	readonly id: number;
	/** Time of arrival at the entry, in milliseconds. */
	readonly arrivalMs: number;
	/** Index of the entry that receives it. */
	readonly entry: number;
	/** Index of the workspace. */
	readonly workspace: number;
	readonly inputTokens: number;
	readonly outputTokens: number;
	/** Shortest first: the system prompt, then the prompt of each turn so far, this one included. */
	readonly prefixes: readonly PromptPrefix[];
};

/** Parameters of a stream. */
export type StreamOptions = {
	readonly seed: number;
	readonly requestsPerSecond: number;
	readonly durationMs: number;
	readonly entries: number;
	readonly workspaces: number;
};

/** Number of distinct system prompts; their popularity follows Zipf's law, as that of applications does. */
const SYSTEM_PROMPTS = 100;
const MIN_SYSTEM_TOKENS = 300;
const MAX_SYSTEM_TOKENS = 1500;
/** Mean number of turns in a conversation, and mean time between them. */
const MEAN_TURNS = 4;
const MEAN_TURN_GAP_MS = 20_000;
/** Time before the start of the stream from which conversations are generated, so that the stream begins in a steady state. */
const LEAD_TIME_MS = 200_000;
/** Fraction of messages that contain a document. */
const DOCUMENT_SHARE = 0.1;
const DOCUMENT_TOKENS = {median: 3000, sigma: 0.5, max: 10_000};
const MESSAGE_TOKENS = {median: 150, sigma: 1, max: 2000};
/** The mean corresponds to a stream of 25 s at 67 ms between tokens, which is 373 tokens. */
const OUTPUT_TOKENS = {median: 280, sigma: 0.75, max: 1500};

/** Creates a seeded generator of uniformly distributed numbers in [0, 1). */
export function createRandom(seed: number): () => number {
	const generator = prand.xoroshiro128plus(seed);
	return () => (generator.unsafeNext() + 0x80_00_00_00) / 0x1_00_00_00_00;
}

type LogNormal = {readonly median: number; readonly sigma: number; readonly max: number};

function logNormal({median, sigma, max}: LogNormal, random: () => number): number {
	const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
	return Math.ceil(Math.min(max, median * Math.exp(sigma * normal)));
}

function exponential(mean: number, random: () => number): number {
	return -mean * Math.log(1 - random());
}

/** Draws an index in [0, count) from a Zipf distribution. */
function zipfIndex(count: number, random: () => number): number {
	const total = Math.log(count + 1);
	return Math.min(count - 1, Math.floor(Math.exp(random() * total)) - 1);
}

function generateConversation(number: number, start: number, options: StreamOptions, random: () => number): readonly BenchRequest[] {
	const system = zipfIndex(SYSTEM_PROMPTS, random);
	const systemTokens = MIN_SYSTEM_TOKENS + Math.floor((MAX_SYSTEM_TOKENS - MIN_SYSTEM_TOKENS) * ((system * 0.618_034) % 1));
	const workspace = zipfIndex(options.workspaces, random);
	const requests: BenchRequest[] = [];
	let prefixes: readonly PromptPrefix[] = [{hash: `system-${system}`, tokens: systemTokens}];
	let tokens = systemTokens;
	let arrivalMs = start;
	for (let turn = 0; turn === 0 || random() < 1 - (1 / MEAN_TURNS); turn++) {
		tokens += logNormal(random() < DOCUMENT_SHARE ? DOCUMENT_TOKENS : MESSAGE_TOKENS, random);
		prefixes = [...prefixes, {hash: `conversation-${number}-${turn}`, tokens}];
		const outputTokens = logNormal(OUTPUT_TOKENS, random);
		requests.push({
			id: 0, arrivalMs, entry: Math.floor(random() * options.entries), workspace, inputTokens: tokens, outputTokens, prefixes,
		});
		tokens += outputTokens;
		arrivalMs += exponential(MEAN_TURN_GAP_MS, random);
	}

	return requests;
}

/** Generates a stream, sorted by time of arrival. The same options give the same stream. */
export function createStream(options: StreamOptions): readonly BenchRequest[] {
	const random = createRandom(options.seed);
	const meanStartGapMs = 1000 * MEAN_TURNS / options.requestsPerSecond;
	const requests: BenchRequest[] = [];
	let number = 0;
	for (let start = -LEAD_TIME_MS; start < options.durationMs; start += exponential(meanStartGapMs, random)) {
		requests.push(...generateConversation(number, start, options, random));
		number++;
	}

	return requests
		.filter(({arrivalMs}) => arrivalMs >= 0 && arrivalMs < options.durationMs)
		.toSorted((a, b) => a.arrivalMs - b.arrivalMs)
		.map((request, id) => ({...request, id}));
}

/**
 * Duration of a step: a fixed time, plus a time per running request and per prompt token. With 142 running requests
 * a step takes 46 ms without prompt tokens and 87 ms with a full chunk; the design page's peak load, 67 ms between
 * tokens at the 95th percentile, lies between these.
 */
const STEP_MS = 25;
const STEP_MS_PER_RUNNING = 0.15;
const STEP_MS_PER_PROMPT_TOKEN = 0.04;
/** Maximum number of prompt tokens processed in one step. */
const CHUNK_TOKENS = 1024;
/** Maximum number of running requests, as limited by the memory of a replica. */
const MAX_RUNNING = 256;
/** Capacity of a replica's prefix cache, in prompt tokens. */
const CACHE_TOKENS = 600_000;
/** Time constant of the moving average of the reported token rate, in milliseconds. */
const RATE_TIME_CONSTANT_MS = 2000;

/** Event queue of the simulation: a binary heap ordered by time, then by insertion order. */
export class EventQueue {
	static create(): EventQueue {
		return new EventQueue();
	}

	readonly #heap: Array<{readonly time: number; readonly order: number; readonly run: () => void}> = [];
	#order = 0;
	#now = 0;

	private constructor() {
		// Use `create`.
	}

	get now(): number {
		return this.#now;
	}

	schedule(time: number, run: () => void): void {
		const heap = this.#heap;
		let index = heap.length;
		const event = {time: Math.max(time, this.#now), order: this.#order++, run};
		heap.push(event);
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (!this.#isBefore(index, parent)) {
				break;
			}

			this.#swap(index, parent);
			index = parent;
		}
	}

	/** Runs all events with a time of at most `end`. */
	runUntil(end: number): void {
		for (;;) {
			const first = this.#heap[0];
			if (first === undefined || first.time > end) {
				return;
			}

			this.#removeFirst();
			this.#now = first.time;
			first.run();
		}
	}

	#isBefore(a: number, b: number): boolean {
		const left = this.#heap[a];
		const right = this.#heap[b];
		return left !== undefined && right !== undefined && (left.time < right.time || (left.time === right.time && left.order < right.order));
	}

	#swap(a: number, b: number): void {
		const [left, right] = [this.#heap[a], this.#heap[b]];
		if (left !== undefined && right !== undefined) {
			this.#heap[a] = right;
			this.#heap[b] = left;
		}
	}

	#removeFirst(): void {
		this.#swap(0, this.#heap.length - 1);
		this.#heap.pop();
		let index = 0;
		for (;;) {
			const left = (2 * index) + 1;
			const child = this.#isBefore(left + 1, left) ? left + 1 : left;
			if (!this.#isBefore(child, index)) {
				return;
			}

			this.#swap(child, index);
			index = child;
		}
	}
}

/** A request submitted to a replica, with callbacks. */
export type Job = {
	readonly request: BenchRequest;
	/** Called when the replica has looked up the prompt in its prefix cache. */
	readonly onStart: (cachedTokens: number) => void;
	readonly onFirstToken: () => void;
	readonly onEnd: () => void;
};

type QueuedPrompt = {readonly job: Job; remainingTokens: number};

/** Simulation of one replica: a queue of prompts, a running batch and a prefix cache with LRU eviction. */
export class ReplicaModel {
	static create(events: EventQueue): ReplicaModel {
		return new ReplicaModel(events);
	}

	runningTokens = 0;
	running = 0;
	queuedTokens = 0;
	readonly #events: EventQueue;
	readonly #queue: QueuedPrompt[] = [];
	/** Running jobs by their last step. */
	readonly #jobsByLastStep = new Map<number, Job[]>();
	readonly #cache = new Map<string, number>();
	#cacheTokens = 0;
	#step = 0;
	#stepMs = STEP_MS;
	#isRunning = false;
	#tokensPerSecond = 0;

	private constructor(events: EventQueue) {
		this.#events = events;
	}

	get waiting(): number {
		return this.#queue.length;
	}

	report(): LoadReport {
		return {
			queuedTokens: this.queuedTokens, running: this.running, tokensPerSecond: this.#tokensPerSecond, stepMs: this.#stepMs, cachedPrefixes: this.#cache.size, leaving: false,
		};
	}

	submit(job: Job): void {
		const cached = this.#lookup(job.request);
		job.onStart(cached);
		// The last prompt token is always processed, since that yields the first output token.
		const remainingTokens = Math.max(1, job.request.inputTokens - cached);
		this.queuedTokens += remainingTokens;
		this.#queue.push({job, remainingTokens});
		if (!this.#isRunning) {
			this.#isRunning = true;
			this.#runStep();
		}
	}

	#lookup({prefixes}: BenchRequest): number {
		const missing = prefixes.findIndex(({hash}) => !this.#cache.has(hash));
		const cached = missing === -1 ? prefixes : prefixes.slice(0, missing);
		this.#touch(cached);
		return cached.at(-1)?.tokens ?? 0;
	}

	/** Marks prefixes as recently used, the shortest last, so that a prefix is evicted after those that extend it. */
	#touch(prefixes: BenchRequest['prefixes']): void {
		for (const {hash} of prefixes.toReversed()) {
			const tokens = this.#cache.get(hash) ?? 0;
			this.#cache.delete(hash);
			this.#cache.set(hash, tokens);
		}
	}

	#cachePrefixes({prefixes}: BenchRequest): void {
		let previousTokens = 0;
		for (const {hash, tokens} of prefixes) {
			if (!this.#cache.has(hash)) {
				this.#cache.set(hash, tokens - previousTokens);
				this.#cacheTokens += tokens - previousTokens;
			}

			previousTokens = tokens;
		}

		this.#touch(prefixes);
		for (const [hash, tokens] of this.#cache) {
			if (this.#cacheTokens <= CACHE_TOKENS) {
				return;
			}

			this.#cache.delete(hash);
			this.#cacheTokens -= tokens;
		}
	}

	#runStep(): void {
		let budget = CHUNK_TOKENS;
		const prefilled: Job[] = [];
		for (let head = this.#queue[0]; head !== undefined && budget > 0 && this.running + prefilled.length < MAX_RUNNING; head = this.#queue[0]) {
			const processed = Math.min(budget, head.remainingTokens);
			budget -= processed;
			head.remainingTokens -= processed;
			this.queuedTokens -= processed;
			if (head.remainingTokens === 0) {
				prefilled.push(head.job);
				this.#queue.shift();
			}
		}

		const promptTokens = CHUNK_TOKENS - budget;
		const stepMs = STEP_MS + (STEP_MS_PER_RUNNING * this.running) + (STEP_MS_PER_PROMPT_TOKEN * promptTokens);
		this.#events.schedule(this.#events.now + stepMs, () => {
			this.#endStep(stepMs, promptTokens, prefilled);
		});
	}

	#endStep(stepMs: number, promptTokens: number, prefilled: readonly Job[]): void {
		this.#step++;
		this.#stepMs = stepMs;
		const decay = Math.exp(-stepMs / RATE_TIME_CONSTANT_MS);
		this.#tokensPerSecond = (this.#tokensPerSecond * decay) + ((1 - decay) * (promptTokens + this.running) * 1000 / stepMs);
		this.runningTokens += this.running;
		for (const job of this.#jobsByLastStep.get(this.#step) ?? []) {
			this.running--;
			this.runningTokens -= job.request.inputTokens + job.request.outputTokens;
			job.onEnd();
		}

		this.#jobsByLastStep.delete(this.#step);
		for (const job of prefilled) {
			this.#startDecoding(job);
		}

		this.#isRunning = this.running > 0 || this.#queue.length > 0;
		if (this.#isRunning) {
			this.#runStep();
		}
	}

	#startDecoding(job: Job): void {
		this.running++;
		this.runningTokens += job.request.inputTokens;
		this.#cachePrefixes(job.request);
		const end = this.#step + job.request.outputTokens;
		this.#jobsByLastStep.set(end, [...this.#jobsByLastStep.get(end) ?? [], job]);
		job.onFirstToken();
	}
}
