/**
 * Bounds the memory that the requests of all callers hold together, and the time in which a body must arrive. It has no clock: each
 * method takes the monotonic time in ms.
 */
import {ChunkPacer, SWEEP_INTERVAL_MS, type ChunkShare} from './chunk-pacer.js';

/** Memory of a process that serves ordinary load, in bytes. */
const ORDINARY_BYTES = 110 * 1024 * 1024;

/** Freed buffers that the engine may keep before it collects garbage, in bytes: it does so after 64 MB outside its heap. */
const FLOATING_BYTES = 64 * 1024 * 1024;

/** Share of the rest for what callers send; the other part is for responses that wait for their callers, and receive buffers. */
const REQUEST_SHARE = 0.25;

/** Smallest budget, in bytes: a few of the largest bodies of the usual configuration. */
const MIN_BUDGET_BYTES = 16 * 1024 * 1024;

/** Largest budget, in bytes; more would only delay the refusal of callers that do not send on. */
const MAX_BUDGET_BYTES = 512 * 1024 * 1024;

/** Memory of the machine if it is not known, in bytes: that of the smallest known one. */
export const DEFAULT_MEMORY_BYTES = 250 * 1024 * 1024;

/** Bytes that each request may hold regardless of the others: heads and bodies of ordinary requests are smaller. */
export const FREE_BYTES_PER_REQUEST = 8 * 1024;

/** Most time that counts between two sweeps, in ms. More is a pause of the process, in which it could not read. */
const MAX_COUNTED_GAP_MS = 2 * SWEEP_INTERVAL_MS;

/** Age from which a body must have a minimum rate, in ms: longer than the largest idle timeout, so that one pause is permitted. */
const RATE_GRACE_MS = 30_000;

/** Rate of a body from that age on, in bytes per second; a body of 4 MiB at this rate would take hours. */
const MIN_BYTES_PER_S = 256;

/** Longest time for a body, in ms: 4 MiB at 35 KB/s. */
const MAX_BODY_MS = 120_000;

/** Time constant of the moving rate by which progress is compared, in ms. */
const PROGRESS_WINDOW_MS = 2000;

/** Age below which all requests count as equally old, in ms; the rate of the first bytes says little. */
const MIN_PROGRESS_AGE_MS = 100;

/** Time without a byte from which a request counts as stopped, in ms; more than a round trip between callers and entries. */
const STOPPED_MS = 200;

/** Bytes of chunk sizes, extensions and trailers that are permitted for each byte of a body; chunks of one byte need five. */
const FRAMING_BYTES_PER_BODY_BYTE = 8;

/** Why a request is refused while it is read: the budget is used up, its body takes too long, or has too many chunk extensions and trailers. */
export type ReadRefusal = 'body-budget' | 'body-timeout' | 'body-framing';

export type ShareOptions = {
	/** Bytes of the head, which the request holds in any case. */
	readonly headBytes: number;
	/** Returns the bytes of the body that were read, with those that `resize` is about to take. */
	readonly bodyBytes: () => number;
	/** Returns the bytes that were received since the head, with those that delimit the chunks of the body. */
	readonly receivedBytes: () => number;
	/** Called once if the request is refused. Its share is released then. */
	readonly onRefused: (reason: ReadRefusal) => void;
	/** Called when a request that was paused by `takeChunk` is to be read on. */
	readonly onResumed: () => void;
};

/** Limits for requests that are being read. */
export type SweepLimits = {
	/** Longest time without a byte of the body, in ms. */
	readonly stallMs: number;
	/** Bytes of chunk extensions and trailers that are permitted regardless of the body. */
	readonly framingBytes: number;
};

/** What one request holds. */
export type CallerShare = {
	/** Notes that the request is about to hold `bytes` of its body. Returns false if the request was refused. */
	readonly resize: (bytes: number, now: number) => boolean;
	/** Notes that a chunk of the body was read. Returns false if reading is to be paused until `onResumed`: many small chunks would leave no time for others. */
	readonly takeChunk: () => boolean;
	/** Refuses the request, unless it was read. */
	readonly refuse: (reason: ReadRefusal) => void;
	/** Notes that the request was read; it is not refused from then on. */
	readonly settle: () => void;
	/** Gives everything back. */
	readonly release: () => void;
};

type Reading = {
	readonly options: ShareOptions;
	readonly chunks: ChunkShare;
	readonly startedAt: number;
	/** Progress when it was last seen. */
	bodyBytes: number;
	lastByteAt: number;
	/** Bytes of the head and the body, weighted by how recent they are at `lastByteAt`. */
	recentBytes: number;
	/** Bytes beyond the free ones. */
	sharedBytes: number;
};

/** Budget for what callers send, in bytes, on a machine with this memory. */
export function callerBudgetBytes(memoryBytes: number = DEFAULT_MEMORY_BYTES): number {
	return Math.min(MAX_BUDGET_BYTES, Math.max(MIN_BUDGET_BYTES, (memoryBytes - ORDINARY_BYTES - FLOATING_BYTES) * REQUEST_SHARE));
}

export class CallerBudget {
	/** @param budgetBytes - Bytes that all requests may hold beyond their free ones. */
	static create(budgetBytes: number): CallerBudget {
		return new CallerBudget(budgetBytes);
	}

	#usedBytes = 0;
	/** Time in which the process could read, up to the last sweep, in ms. */
	#countedMs = 0;
	#sweptAt: number | undefined;
	/** Requests that are being read, the oldest first. */
	readonly #reading = new Set<Reading>();
	readonly #chunks = ChunkPacer.create({isLoneFree: true});
	readonly #budgetBytes: number;

	private constructor(budgetBytes: number) {
		this.#budgetBytes = budgetBytes;
	}

	/** Bytes that are held beyond the free ones. */
	get usedBytes(): number {
		return this.#usedBytes;
	}

	/** Number of requests that are being read. */
	get readingRequests(): number {
		return this.#reading.size;
	}

	/** The share of one request, whose head has been read. The head counts from the first `resize`. */
	open(options: ShareOptions, now: number): CallerShare {
		const startedAt = this.#countedAt(now);
		const reading: Reading = {
			options, chunks: this.#chunks.open(options.onResumed), startedAt, bodyBytes: 0, lastByteAt: startedAt, recentBytes: options.headBytes, sharedBytes: 0,
		};
		this.#reading.add(reading);
		return {
			resize: (bytes, at) => this.#resize(reading, bytes, at),
			takeChunk: () => reading.chunks.take(),
			refuse: reason => {
				if (this.#reading.has(reading)) {
					this.#refuse(reading, reason);
				}
			},
			settle: () => {
				this.#reading.delete(reading);
				reading.chunks.close();
			},
			release: () => {
				this.#release(reading);
			},
		};
	}

	/** Refuses the requests whose bodies take too long or have too many other bytes; called every `SWEEP_INTERVAL_MS`. */
	sweep({stallMs, framingBytes}: SweepLimits, now: number): void {
		const counted = this.#countedAt(now);
		this.#countedMs = counted;
		this.#sweptAt = now;
		for (const reading of this.#reading) {
			observe(reading, counted);
			if (reading.chunks.isPaused) {
				// It is not the caller that stalls.
				reading.lastByteAt = counted;
			}

			const reason = reasonAgainst(reading, {stallMs, framingBytes}, counted);
			if (reason !== undefined) {
				this.#refuse(reading, reason);
			}
		}

		this.#chunks.sweep();
	}

	#resize(reading: Reading, bodyBytes: number, now: number): boolean {
		const shared = Math.max(0, reading.options.headBytes + bodyBytes - FREE_BYTES_PER_REQUEST);
		// A request alone is served whatever it needs: the limit for bodies bounds it.
		while (shared > reading.sharedBytes && this.#reading.has(reading) && this.#usedBytes > reading.sharedBytes && this.#usedBytes + shared - reading.sharedBytes > this.#budgetBytes) {
			this.#refuse(this.#slowestLarge(reading, now), 'body-budget');
		}

		if (!this.#reading.has(reading)) {
			return false;
		}

		this.#usedBytes += shared - reading.sharedBytes;
		reading.sharedBytes = shared;
		return true;
	}

	/** The request with the least progress for its age among those beyond their free bytes, or `asking`, which is about to be one. */
	#slowestLarge(asking: Reading, now: number): Reading {
		const counted = this.#countedAt(now);
		observe(asking, counted);
		let slowest = asking;
		let lowest = progressOf(asking, counted);
		for (const reading of this.#reading) {
			if (reading.sharedBytes === 0) {
				continue;
			}

			observe(reading, counted);
			const progress = progressOf(reading, counted);
			if (progress < lowest) {
				slowest = reading;
				lowest = progress;
			}
		}

		return slowest;
	}

	#refuse(reading: Reading, reason: ReadRefusal): void {
		this.#release(reading);
		reading.options.onRefused(reason);
	}

	#release(reading: Reading): void {
		this.#reading.delete(reading);
		reading.chunks.close();
		this.#usedBytes -= reading.sharedBytes;
		reading.sharedBytes = 0;
	}

	#countedAt(now: number): number {
		this.#sweptAt ??= now;
		return this.#countedMs + Math.min(MAX_COUNTED_GAP_MS, Math.max(0, now - this.#sweptAt));
	}
}

/** Notes the progress of a body since it was last observed. */
function observe(reading: Reading, counted: number): void {
	const bytes = reading.options.bodyBytes();
	if (bytes > reading.bodyBytes) {
		reading.recentBytes = bytes - reading.bodyBytes + (reading.recentBytes * weightAfter(counted - reading.lastByteAt));
		reading.lastByteAt = counted;
		reading.bodyBytes = bytes;
	}
}

function reasonAgainst({startedAt, lastByteAt, bodyBytes, options}: Reading, {stallMs, framingBytes}: SweepLimits, counted: number): ReadRefusal | undefined {
	const ageMs = counted - startedAt;
	const isSlow = ageMs > RATE_GRACE_MS && bodyBytes < MIN_BYTES_PER_S * (ageMs - RATE_GRACE_MS) / 1000;
	if (isSlow || ageMs > MAX_BODY_MS || counted - lastByteAt > stallMs) {
		return 'body-timeout';
	}

	return options.receivedBytes() - bodyBytes > framingBytes + (bodyBytes * FRAMING_BYTES_PER_BODY_BYTE) ? 'body-framing' : undefined;
}

function weightAfter(ms: number): number {
	return Math.exp(-ms / PROGRESS_WINDOW_MS);
}

/** Measure of progress: negative time since the last byte for a stopped body; otherwise its recent rate, in bytes per ms, corrected for requests that are younger than the window. */
function progressOf({recentBytes, lastByteAt, startedAt}: Reading, counted: number): number {
	const stoppedMs = counted - lastByteAt;
	if (stoppedMs >= STOPPED_MS) {
		return -stoppedMs;
	}

	const ageMs = Math.max(MIN_PROGRESS_AGE_MS, counted - startedAt);
	return recentBytes * weightAfter(stoppedMs) / (PROGRESS_WINDOW_MS * (1 - weightAfter(ageMs)));
}
