/** A value that readers see with a delay, like the load reported by a platform. */
export class LaggedValue<Value> {
	static create<Value>(initial: Value): LaggedValue<Value> {
		return new LaggedValue(initial);
	}

	#visible: Value;
	#pending: Array<{readonly at: number; readonly value: Value}> = [];

	private constructor(initial: Value) {
		this.#visible = initial;
	}

	/** Records the value at `now` (milliseconds, non-decreasing). */
	record(now: number, value: Value): void {
		this.#pending.push({at: now, value});
	}

	/** The latest value that is at least `lagMs` old at `now` (milliseconds); the initial value if there is none. */
	read(now: number, lagMs: number): Value {
		const readable = this.#pending.filter(entry => entry.at <= now - lagMs);
		const newest = readable.at(-1);
		if (newest !== undefined) {
			this.#visible = newest.value;
			this.#pending = this.#pending.slice(readable.length);
		}

		return this.#visible;
	}
}
