/** Window of the rate in milliseconds. */
const WINDOW_MS = 1000;

/** Counts tokens over the last second. */
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

	/** Tokens of the last second before `now` (milliseconds). */
	perSecond(now: number): number {
		this.#expire(now);
		return this.#sum;
	}

	#expire(now: number): void {
		const kept = this.#entries.findIndex(entry => entry.at > now - WINDOW_MS);
		const expired = this.#entries.splice(0, kept === -1 ? this.#entries.length : kept);
		this.#sum -= expired.reduce((sum, entry) => sum + entry.tokens, 0);
	}
}
