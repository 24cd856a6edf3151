/** Token bucket that limits the rate of requests. */
export class TokenBucket {
	/**
	 * @param perSecond - Sustained rate in requests per second.
	 * @param burst - Maximum number of requests in a burst.
	 */
	static create(perSecond: number, burst: number): TokenBucket {
		return new TokenBucket(perSecond, burst);
	}

	readonly #perSecond: number;
	readonly #burst: number;
	#tokens: number;
	#refilledAt: number | undefined;

	private constructor(perSecond: number, burst: number) {
		this.#perSecond = perSecond;
		this.#burst = burst;
		this.#tokens = burst;
	}

	/** Takes a token at `now` (milliseconds) and returns 0, or returns the milliseconds until one is available. */
	take(now: number): number {
		const elapsed = now - (this.#refilledAt ?? now);
		this.#refilledAt = now;
		this.#tokens = Math.min(this.#burst, this.#tokens + (elapsed * this.#perSecond / 1000));
		if (this.#tokens >= 1) {
			this.#tokens--;
			return 0;
		}

		return (1 - this.#tokens) * 1000 / this.#perSecond;
	}
}
