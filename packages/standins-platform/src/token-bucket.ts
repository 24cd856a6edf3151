/** Refill rate of a token bucket in tokens per second, and its capacity. */
export type RateLimit = {readonly perSecond: number; readonly burst: number};

/** Token bucket of the stand-in; calls without a token are refused with 429. */
export class TokenBucket {
	/** Creates a full bucket; `now` is in ms. */
	static create(rate: RateLimit, now: number): TokenBucket {
		return new TokenBucket(rate, now);
	}

	readonly #rate: RateLimit;
	#tokens: number;
	#refilledAt: number;

	private constructor(rate: RateLimit, now: number) {
		this.#rate = rate;
		this.#tokens = rate.burst;
		this.#refilledAt = now;
	}

	/** Takes a token at `now` (ms); returns false if there is none. */
	take(now: number): boolean {
		this.#tokens = Math.min(this.#rate.burst, this.#tokens + ((now - this.#refilledAt) * this.#rate.perSecond / 1000));
		this.#refilledAt = now;
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens -= 1;
		return true;
	}
}
