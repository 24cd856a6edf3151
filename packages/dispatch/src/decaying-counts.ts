/** Counts by key that decay exponentially with time, so that they tell what happened lately. */

/** Count below which a key is forgotten: less than one occurrence several time constants ago. */
const NEGLIGIBLE_COUNT = 0.02;

/** Maximum number of keys. When it is reached, negligible ones are forgotten; if none is, further keys are not counted. */
const MAX_KEYS = 4096;

type Count = {value: number; at: number};

export class DecayingCounts<Key> {
	/** @param memoryMs - Time constant of the decay, in ms: a rate of `r` per ms keeps the count at `r * memoryMs`. */
	static create<Key>(memoryMs: number): DecayingCounts<Key> {
		return new DecayingCounts<Key>(memoryMs);
	}

	readonly #counts = new Map<Key, Count>();
	readonly #memoryMs: number;

	private constructor(memoryMs: number) {
		this.#memoryMs = memoryMs;
	}

	/** Adds one occurrence at `now` (monotonic ms). */
	add(key: Key, now: number): void {
		const value = this.get(key, now) + 1;
		if (!this.#counts.has(key) && this.#counts.size >= MAX_KEYS) {
			this.#forget(now);
		}

		if (this.#counts.has(key) || this.#counts.size < MAX_KEYS) {
			this.#counts.set(key, {value, at: now});
		}
	}

	get(key: Key, now: number): number {
		const count = this.#counts.get(key);
		return count === undefined ? 0 : this.#decayed(count, now);
	}

	/** Counts of all keys. */
	values(now: number): readonly number[] {
		this.#forget(now);
		return [...this.#counts.values()].map(count => this.#decayed(count, now));
	}

	/** Sum of the counts of the keys that `isCounted` accepts. */
	sum(now: number, isCounted: (key: Key) => boolean = () => true): number {
		this.#forget(now);
		let sum = 0;
		for (const [key, count] of this.#counts) {
			sum += isCounted(key) ? this.#decayed(count, now) : 0;
		}

		return sum;
	}

	#decayed({value, at}: Count, now: number): number {
		return value * Math.exp(-Math.max(0, now - at) / this.#memoryMs);
	}

	#forget(now: number): void {
		for (const [key, count] of this.#counts) {
			if (this.#decayed(count, now) < NEGLIGIBLE_COUNT) {
				this.#counts.delete(key);
			}
		}
	}
}
