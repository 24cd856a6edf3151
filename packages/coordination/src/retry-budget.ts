/** Bounds retries to a share of requests, so that retries do not amplify an outage. */
import {invariant} from '#core';

/** Settings of a retry budget. */
export type RetryBudgetOptions = {
	/** Share of the window's requests that may be retried; default 0.1. */
	readonly fraction?: number;
	/** Length of the window in ms; default 10,000. */
	readonly windowMs?: number;
	/** Retries per window that are permitted however few requests there are; default 3. */
	readonly minRetries?: number;
};

type Slot = {index: number; requests: number; retries: number};

/** The window is counted in this many slots; an event leaves the window up to one slot late. */
const SLOTS = 100;
const DEFAULT_FRACTION = 0.1;
const DEFAULT_WINDOW_MS = 10_000;
const DEFAULT_FLOOR = 3;

/** Counts requests and retries over a sliding window. */
export class RetryBudget {
	/**
	 * Creates a budget with an empty window.
	 *
	 * @throws InvariantError when the window is not positive, or the fraction or floor is negative.
	 */
	static create(options: RetryBudgetOptions = {}): RetryBudget {
		return new RetryBudget(options);
	}

	readonly #fraction: number;
	readonly #slotMs: number;
	readonly #floor: number;
	readonly #slots: Slot[] = [];

	private constructor(options: RetryBudgetOptions) {
		const windowMs = options.windowMs ?? DEFAULT_WINDOW_MS;
		this.#fraction = options.fraction ?? DEFAULT_FRACTION;
		this.#floor = options.minRetries ?? DEFAULT_FLOOR;
		this.#slotMs = windowMs / SLOTS;
		invariant(windowMs > 0, `retry budget: window of ${windowMs} ms`);
		invariant(this.#fraction >= 0 && this.#floor >= 0, 'retry budget: negative fraction or floor');
	}

	/** Counts one first attempt of a request at `now` (ms). */
	recordRequest(now: number): void {
		this.#slotAt(now).requests += 1;
	}

	/** Takes one retry at `now` (ms). Returns false, and counts nothing, if the budget is spent. */
	consumeRetry(now: number): boolean {
		const slot = this.#slotAt(now);
		if (this.remainingRetries(now) < 1) {
			return false;
		}

		slot.retries += 1;
		return true;
	}

	/** Whole retries left at `now` (ms). */
	remainingRetries(now: number): number {
		this.#dropOld(now);
		let requests = 0;
		let retries = 0;
		for (const slot of this.#slots) {
			requests += slot.requests;
			retries += slot.retries;
		}

		return Math.max(0, Math.max(this.#floor, Math.floor(requests * this.#fraction)) - retries);
	}

	#slotAt(now: number): Slot {
		const index = Math.floor(now / this.#slotMs);
		const last = this.#slots.at(-1);
		// A clock that steps back counts into the newest slot.
		if (last !== undefined && last.index >= index) {
			return last;
		}

		const slot = {index, requests: 0, retries: 0};
		this.#slots.push(slot);
		this.#dropOld(now);
		return slot;
	}

	#dropOld(now: number): void {
		const oldest = Math.floor(now / this.#slotMs) - SLOTS;
		while (this.#slots[0] !== undefined && this.#slots[0].index < oldest) {
			this.#slots.shift();
		}
	}
}
