/** Rate of a token bucket. */
export type BucketRate = {
	/** Tokens that come back per second. */
	readonly perSecond: number;
	/** Tokens that the bucket holds at most. */
	readonly burst: number;
};

/** Token bucket over a clock that the caller reads. */
export class TokenBucket {
	/** Creates a full bucket; `now` is in ms. */
	static create(rate: BucketRate, now: number): TokenBucket {
		return new TokenBucket(rate, now);
	}

	readonly #rate: BucketRate;
	#tokens: number;
	#filledAt: number;

	private constructor(rate: BucketRate, now: number) {
		this.#rate = rate;
		this.#tokens = rate.burst;
		this.#filledAt = now;
	}

	/** Takes one token. Returns false, and takes nothing, if there is none at `now` (ms). */
	take(now: number): boolean {
		const elapsedMs = Math.max(0, now - this.#filledAt);
		this.#filledAt = Math.max(now, this.#filledAt);
		this.#tokens = Math.min(this.#rate.burst, this.#tokens + (elapsedMs * this.#rate.perSecond / 1000));
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens -= 1;
		return true;
	}
}
