/** Length of the sliding window in milliseconds. */
const WINDOW_MS = 1000;

/** Counts tokens over a sliding window of one second. */
export class RateMeter {
	static create(): RateMeter {
		return new RateMeter();
	}

	readonly #entries: Array<{readonly at: number; readonly tokens: number}> = [];
	#sum = 0;

	private constructor() {
		// Created by `create`.
	}

	record(now: number, tokens: number): void {
		this.#entries.push({at: now, tokens});
		this.#sum += tokens;
		this.#expire(now);
	}

	/** Tokens in the second before `now` (milliseconds). */
	perSecond(now: number): number {
		this.#expire(now);
		return this.#sum;
	}

	#expire(now: number): void {
		const firstKept = this.#entries.findIndex(entry => entry.at > now - WINDOW_MS);
		const expired = this.#entries.splice(0, firstKept === -1 ? this.#entries.length : firstKept);
		this.#sum -= expired.reduce((sum, entry) => sum + entry.tokens, 0);
	}
}
