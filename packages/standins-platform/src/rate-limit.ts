/** Rate of a token bucket: tokens per second, and how many it holds. */
export type RateLimit = {readonly perSecond: number; readonly burst: number};

/** Token bucket of the stand-in; answers 429 come from here. */
export class RateBucket {
	/** Creates a full bucket; `now` is in ms. */
	static create(rate: RateLimit, now: number): RateBucket {
		return new RateBucket(rate, now);
	}

	readonly #rate: RateLimit;
	#tokens: number;
	#at: number;

	private constructor(rate: RateLimit, now: number) {
		this.#rate = rate;
		this.#tokens = rate.burst;
		this.#at = now;
	}

	/** Takes a token at `now` (ms); false if there is none. */
	take(now: number): boolean {
		this.#tokens = Math.min(this.#rate.burst, this.#tokens + ((now - this.#at) * this.#rate.perSecond / 1000));
		this.#at = now;
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens -= 1;
		return true;
	}
}
