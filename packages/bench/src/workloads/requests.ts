/**
 * Workload of the routing and overload benchmarks: request streams (conversations that share system
 * prompts, with growing prompts and heavy-tailed lengths, in the proportions of the design page,
 * section 1.5) and a discrete-event model of the replicas that serve them.
 */
import prand from 'pure-rand';
import {type LoadReport, type PromptPrefix} from '#routing';

/** One request of a stream. */
export type BenchRequest = {
	readonly id: number;
	/** Arrival at the entry, milliseconds. */
	readonly at: number;
	/** Index of the entry that receives it. */
	readonly entry: number;
	/** Index of the workspace. */
	readonly workspace: number;
	readonly inputTokens: number;
	readonly outputTokens: number;
	/** Shortest first: the system prompt, then the prompt of each turn so far, this one included. */
	readonly prefixes: readonly PromptPrefix[];
};

/** Shape of a stream. */
export type StreamOptions = {
	readonly seed: number;
	readonly requestsPerSecond: number;
	readonly durationMs: number;
	readonly entries: number;
	readonly workspaces: number;
};

/** Distinct system prompts; their popularity follows Zipf's law, as that of applications does. */
const SYSTEM_PROMPTS = 100;
const MIN_SYSTEM_TOKENS = 300;
const MAX_SYSTEM_TOKENS = 1500;
/** Mean turns of a conversation and the mean time between them. */
const MEAN_TURNS = 4;
const MEAN_TURN_GAP_MS = 20_000;
/** Conversations start this long before the stream, so that it begins in a steady state. */
const LEAD_MS = 200_000;
/** One message in ten carries a document. */
const DOCUMENT_SHARE = 0.1;
const DOCUMENT_TOKENS = {median: 3000, sigma: 0.5, max: 10_000};
const MESSAGE_TOKENS = {median: 150, sigma: 1, max: 2000};
/** 25 s of stream at 67 ms between tokens is 373 tokens. */
const OUTPUT_TOKENS = {median: 280, sigma: 0.75, max: 1500};

/** A seeded source of uniform numbers in [0, 1). */
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

/** An index in [0, count) with Zipf popularity. */
function zipf(count: number, random: () => number): number {
	const total = Math.log(count + 1);
	return Math.min(count - 1, Math.floor(Math.exp(random() * total)) - 1);
}

function conversation(number: number, start: number, options: StreamOptions, random: () => number): readonly BenchRequest[] {
	const system = zipf(SYSTEM_PROMPTS, random);
	const systemTokens = MIN_SYSTEM_TOKENS + Math.floor((MAX_SYSTEM_TOKENS - MIN_SYSTEM_TOKENS) * ((system * 0.618_034) % 1));
	const workspace = zipf(options.workspaces, random);
	const requests: BenchRequest[] = [];
	let prefixes: readonly PromptPrefix[] = [{hash: `system-${system}`, tokens: systemTokens}];
	let tokens = systemTokens;
	let at = start;
	for (let turn = 0; turn === 0 || random() < 1 - (1 / MEAN_TURNS); turn++) {
		tokens += logNormal(random() < DOCUMENT_SHARE ? DOCUMENT_TOKENS : MESSAGE_TOKENS, random);
		prefixes = [...prefixes, {hash: `conversation-${number}-${turn}`, tokens}];
		const outputTokens = logNormal(OUTPUT_TOKENS, random);
		requests.push({
			id: 0, at, entry: Math.floor(random() * options.entries), workspace, inputTokens: tokens, outputTokens, prefixes,
		});
		tokens += outputTokens;
		at += exponential(MEAN_TURN_GAP_MS, random);
	}

	return requests;
}

/** Generates a stream in the order of arrival. The same options give the same stream. */
export function createStream(options: StreamOptions): readonly BenchRequest[] {
	const random = createRandom(options.seed);
	const meanStartGapMs = 1000 * MEAN_TURNS / options.requestsPerSecond;
	const requests: BenchRequest[] = [];
	let number = 0;
	for (let start = -LEAD_MS; start < options.durationMs; start += exponential(meanStartGapMs, random)) {
		requests.push(...conversation(number, start, options, random));
		number++;
	}

	return requests
		.filter(({at}) => at >= 0 && at < options.durationMs)
		.toSorted((a, b) => a.at - b.at)
		.map((request, id) => ({...request, id}));
}

/**
 * Cost of a step: fixed, for each running request, for each prompt token. With 142 running requests
 * a step takes 46 ms without prompt tokens and 87 ms with a full chunk; the peak load of the design
 * page, 67 ms between tokens at the 95th percentile, lies between.
 */
const STEP_MS = 25;
const STEP_MS_PER_RUNNING = 0.15;
const STEP_MS_PER_PROMPT_TOKEN = 0.04;
/** Prompt tokens processed in one step. */
const CHUNK_TOKENS = 1024;
/** Requests that fit into the memory of a replica. */
const MAX_RUNNING = 256;
/** Prompt tokens kept in the prefix cache of a replica. */
const CACHE_TOKENS = 600_000;
/** Time constant of the reported rate. */
const RATE_WINDOW_MS = 2000;

/** An event queue: a binary heap ordered by time, then by insertion. */
export class EventQueue {
	static create(): EventQueue {
		return new EventQueue();
	}

	readonly #heap: Array<{readonly at: number; readonly order: number; readonly run: () => void}> = [];
	#order = 0;
	#now = 0;

	private constructor() {
		// Created by `create` only.
	}

	get now(): number {
		return this.#now;
	}

	at(time: number, run: () => void): void {
		const heap = this.#heap;
		let index = heap.length;
		const event = {at: Math.max(time, this.#now), order: this.#order++, run};
		heap.push(event);
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (!this.#before(index, parent)) {
				break;
			}

			this.#swap(index, parent);
			index = parent;
		}
	}

	/** Runs all events up to `end`. */
	runUntil(end: number): void {
		for (;;) {
			const first = this.#heap[0];
			if (first === undefined || first.at > end) {
				return;
			}

			this.#removeFirst();
			this.#now = first.at;
			first.run();
		}
	}

	#before(a: number, b: number): boolean {
		const left = this.#heap[a];
		const right = this.#heap[b];
		return left !== undefined && right !== undefined && (left.at < right.at || (left.at === right.at && left.order < right.order));
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
			const child = this.#before(left + 1, left) ? left + 1 : left;
			if (!this.#before(child, index)) {
				return;
			}

			this.#swap(child, index);
			index = child;
		}
	}
}

/** A request at a replica. */
export type Job = {
	readonly request: BenchRequest;
	/** Called when the replica looks the prompt up in its cache. */
	readonly onStart: (cachedTokens: number) => void;
	readonly onFirstToken: () => void;
	readonly onEnd: () => void;
};

type Prefilling = {readonly job: Job; left: number};

/** One replica: a queue of prompts, a running batch and a prefix cache. */
export class ReplicaModel {
	static create(events: EventQueue): ReplicaModel {
		return new ReplicaModel(events);
	}

	runningTokens = 0;
	running = 0;
	queuedTokens = 0;
	readonly #events: EventQueue;
	readonly #queue: Prefilling[] = [];
	/** Jobs by the step in which they end. */
	readonly #ends = new Map<number, Job[]>();
	readonly #cache = new Map<string, number>();
	#cacheTokens = 0;
	#step = 0;
	#stepMs = STEP_MS;
	#busy = false;
	#rate = 0;

	private constructor(events: EventQueue) {
		this.#events = events;
	}

	get waiting(): number {
		return this.#queue.length;
	}

	report(): LoadReport {
		return {
			queuedTokens: this.queuedTokens, running: this.running, tokensPerSecond: this.#rate, stepMs: this.#stepMs, cachedPrefixes: this.#cache.size, leaving: false,
		};
	}

	submit(job: Job): void {
		const cached = this.#lookup(job.request);
		job.onStart(cached);
		// The last prompt token is always computed, since it yields the first output token.
		const left = Math.max(1, job.request.inputTokens - cached);
		this.queuedTokens += left;
		this.#queue.push({job, left});
		if (!this.#busy) {
			this.#busy = true;
			this.#runStep();
		}
	}

	#lookup({prefixes}: BenchRequest): number {
		const missing = prefixes.findIndex(({hash}) => !this.#cache.has(hash));
		const held = missing === -1 ? prefixes : prefixes.slice(0, missing);
		this.#touch(held);
		return held.at(-1)?.tokens ?? 0;
	}

	/** Marks prefixes as used, the shortest last: a prefix is evicted after those that extend it. */
	#touch(prefixes: BenchRequest['prefixes']): void {
		for (const {hash} of prefixes.toReversed()) {
			const tokens = this.#cache.get(hash) ?? 0;
			this.#cache.delete(hash);
			this.#cache.set(hash, tokens);
		}
	}

	#store({prefixes}: BenchRequest): void {
		let below = 0;
		for (const {hash, tokens} of prefixes) {
			if (!this.#cache.has(hash)) {
				this.#cache.set(hash, tokens - below);
				this.#cacheTokens += tokens - below;
			}

			below = tokens;
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
		const done: Job[] = [];
		for (let head = this.#queue[0]; head !== undefined && budget > 0 && this.running + done.length < MAX_RUNNING; head = this.#queue[0]) {
			const taken = Math.min(budget, head.left);
			budget -= taken;
			head.left -= taken;
			this.queuedTokens -= taken;
			if (head.left === 0) {
				done.push(head.job);
				this.#queue.shift();
			}
		}

		const prompt = CHUNK_TOKENS - budget;
		const ms = STEP_MS + (STEP_MS_PER_RUNNING * this.running) + (STEP_MS_PER_PROMPT_TOKEN * prompt);
		this.#events.at(this.#events.now + ms, () => {
			this.#endStep(ms, prompt, done);
		});
	}

	#endStep(ms: number, prompt: number, done: readonly Job[]): void {
		this.#step++;
		this.#stepMs = ms;
		const keep = Math.exp(-ms / RATE_WINDOW_MS);
		this.#rate = (this.#rate * keep) + ((1 - keep) * (prompt + this.running) * 1000 / ms);
		this.runningTokens += this.running;
		for (const job of this.#ends.get(this.#step) ?? []) {
			this.running--;
			this.runningTokens -= job.request.inputTokens + job.request.outputTokens;
			job.onEnd();
		}

		this.#ends.delete(this.#step);
		for (const job of done) {
			this.#begin(job);
		}

		this.#busy = this.running > 0 || this.#queue.length > 0;
		if (this.#busy) {
			this.#runStep();
		}
	}

	#begin(job: Job): void {
		this.running++;
		this.runningTokens += job.request.inputTokens;
		this.#store(job.request);
		const end = this.#step + job.request.outputTokens;
		this.#ends.set(end, [...this.#ends.get(end) ?? [], job]);
		job.onFirstToken();
	}
}
