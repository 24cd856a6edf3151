/** Token bucket over requests. */
export class TokenBucket {
	/**
	 * @param perSecond - Requests per second in the long run.
	 * @param burst - Requests served at once after a pause.
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

	/** Takes one request at `now` (milliseconds) and returns 0, or the milliseconds until one is allowed. */
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
