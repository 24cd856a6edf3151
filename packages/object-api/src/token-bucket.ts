/** Rate of a token bucket. */
export type BucketRate = {
	/** Tokens added per second. */
	readonly perSecond: number;
	/** Capacity of the bucket in tokens. */
	readonly burst: number;
};

/** Token bucket rate limiter; the caller supplies the time. */
export class TokenBucket {
	/** Creates a full bucket; `now` is in ms. */
	static create(rate: BucketRate, now: number): TokenBucket {
		return new TokenBucket(rate, now);
	}

	readonly #rate: BucketRate;
	#tokens: number;
	#refilledAt: number;

	private constructor(rate: BucketRate, now: number) {
		this.#rate = rate;
		this.#tokens = rate.burst;
		this.#refilledAt = now;
	}

	/** Takes one token. Returns false without taking one if none is available at `now` (ms). */
	take(now: number): boolean {
		const elapsedMs = Math.max(0, now - this.#refilledAt);
		this.#refilledAt = Math.max(now, this.#refilledAt);
		this.#tokens = Math.min(this.#rate.burst, this.#tokens + (elapsedMs * this.#rate.perSecond / 1000));
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens -= 1;
		return true;
	}
}
