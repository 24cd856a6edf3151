/**
 * Limits retries to a fraction of the requests, so that retries do not amplify an outage. In any window, the retries are limited by
 * the requests of that window, the one before it or the one half a window before it, whichever has most: a request that arrives
 * late in one window may need its retry early in the next.
 */
import {invariant} from '#core';

/** Settings of a retry budget. */
export type RetryBudgetOptions = {
	/** Fraction of the window's requests that may be retried; default 0.1. */
	readonly fraction?: number;
	/** Length of the window in ms; default 10,000. */
	readonly windowMs?: number;
	/** Retries per window that are allowed regardless of the number of requests, or a function that returns the number in force; default 3. */
	readonly minRetries?: number | (() => number);
	/**
	 * Time in ms until which only the smaller of the fraction and the minimum may be used, for a process that succeeds another: the
	 * earlier one may have used both in the same window. Or a function that returns the time in force. Default: none.
	 */
	readonly restrictedUntil?: number | (() => number);
};

/** A retry that was granted; call one of the two functions once. */
export type GrantedRetry = {
	/** Counts the retry at the time at which it is sent, in ms. Until then it counts in every window. */
	readonly send: (now: number) => void;
	/** Returns a retry that is not sent. */
	readonly release: () => void;
};

type Slot = {index: number; requests: number; retries: number};

/** Number of slots that the window is divided into; an event leaves the window up to one slot late. */
const SLOT_COUNT = 100;

/** How much earlier the windows begin whose requests limit the retries of a window, in slots. */
const WINDOW_SHIFTS = [0, SLOT_COUNT / 2, SLOT_COUNT] as const;

/** Number of slots that are kept: those of all windows that include now, and of the windows before them. */
const HISTORY_SLOTS = 2 * SLOT_COUNT;

const DEFAULT_FRACTION = 0.1;
const DEFAULT_WINDOW_MS = 10_000;
const DEFAULT_MIN_RETRIES = 3;

/** Counts requests and retries over a sliding window. */
export class RetryBudget {
	/**
	 * Creates a budget with an empty window.
	 *
	 * @throws InvariantError when the window is not positive, or the fraction or minimum is negative.
	 */
	static create(options: RetryBudgetOptions = {}): RetryBudget {
		return new RetryBudget(options);
	}

	readonly #fraction: number;
	readonly #slotMs: number;
	readonly #minRetries: () => number;
	readonly #restrictedUntil: () => number;
	readonly #slots: Slot[] = [];
	#reservedRetries = 0;

	private constructor(options: RetryBudgetOptions) {
		const windowMs = options.windowMs ?? DEFAULT_WINDOW_MS;
		this.#fraction = options.fraction ?? DEFAULT_FRACTION;
		const {minRetries = DEFAULT_MIN_RETRIES} = options;
		this.#minRetries = typeof minRetries === 'function' ? minRetries : () => minRetries;
		const {restrictedUntil = Number.NEGATIVE_INFINITY} = options;
		this.#restrictedUntil = typeof restrictedUntil === 'function' ? restrictedUntil : () => restrictedUntil;
		this.#slotMs = windowMs / SLOT_COUNT;
		invariant(windowMs > 0, `retry budget: window of ${windowMs} ms is not positive`);
		invariant(this.#fraction >= 0 && this.#minRetries() >= 0, 'retry budget: negative fraction or minimum of retries');
	}

	/** Counts a request, by its first attempt, at `now` (ms). */
	recordRequest(now: number): void {
		this.#slotAt(now).requests += 1;
	}

	/** Grants a retry that is sent later, at `now` (ms). Returns undefined if the budget is exhausted. */
	reserveRetry(now: number): GrantedRetry | undefined {
		if (this.remainingRetries(now) < 1) {
			return undefined;
		}

		this.#reservedRetries += 1;
		return {
			send: sentAt => {
				this.#reservedRetries -= 1;
				this.#slotAt(sentAt).retries += 1;
			},
			release: () => {
				this.#reservedRetries -= 1;
			},
		};
	}

	/** Consumes one retry at `now` (ms). Returns false, and counts nothing, if the budget is exhausted. */
	consumeRetry(now: number): boolean {
		const retry = this.reserveRetry(now);
		retry?.send(now);
		return retry !== undefined;
	}

	/** Number of retries left at `now` (ms). */
	remainingRetries(now: number): number {
		this.#dropExpired(now);
		const end = Math.floor(now / this.#slotMs) + 1;
		const requests = this.#sumsUntil(end, ({requests}) => requests);
		const retries = this.#sumsUntil(end, ({retries}) => retries);
		const minRetries = this.#minRetries();
		const isRestricted = now < this.#restrictedUntil();
		let remaining = Infinity;
		for (let age = 1; age <= SLOT_COUNT; age += 1) {
			const most = Math.max(...WINDOW_SHIFTS.map(shift => sumOfWindow(requests, age + shift)));
			const share = Math.floor(most * this.#fraction);
			const allowed = isRestricted ? Math.min(minRetries, share) : Math.max(minRetries, share);
			remaining = Math.min(remaining, allowed - sumOfWindow(retries, age) - this.#reservedRetries);
		}

		return Math.max(0, remaining);
	}

	/** Sums of the slots before `end`: element `i` is the sum of the last `i` slots. */
	#sumsUntil(end: number, valueOf: (slot: Slot) => number): readonly number[] {
		const values = Array.from({length: HISTORY_SLOTS + 1}, () => 0);
		for (const slot of this.#slots) {
			values[Math.max(1, end - slot.index)]! += valueOf(slot);
		}

		let sum = 0;
		return values.map(value => {
			sum += value;
			return sum;
		});
	}

	#slotAt(now: number): Slot {
		const index = Math.floor(now / this.#slotMs);
		const last = this.#slots.at(-1);
		// After the clock is set back, events count in the newest slot.
		if (last !== undefined && last.index >= index) {
			return last;
		}

		const slot = {index, requests: 0, retries: 0};
		this.#slots.push(slot);
		this.#dropExpired(now);
		return slot;
	}

	#dropExpired(now: number): void {
		const oldestIndex = Math.floor(now / this.#slotMs) + 1 - HISTORY_SLOTS;
		while (this.#slots[0] !== undefined && this.#slots[0].index < oldestIndex) {
			this.#slots.shift();
		}
	}
}

/** Sum of the window that began `age` slots ago, as far as it has passed, from the sums of the last slots. */
function sumOfWindow(sums: readonly number[], age: number): number {
	return sums[age]! - sums[Math.max(0, age - SLOT_COUNT)]!;
}
