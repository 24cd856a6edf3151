/** Rate of a token bucket: tokens per second, and how many it holds. */
export type RateLimit = {readonly perSecond: number; readonly burst: number};

/** Token bucket of the stand-in; answers 429 come from here. */
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

	/** Takes a token at `now` (ms); false if there is none. */
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
