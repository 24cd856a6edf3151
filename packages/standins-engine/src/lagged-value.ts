/** A value that its readers see with a lag, as platforms report load. */
export class LaggedValue<Value> {
	static create<Value>(initial: Value): LaggedValue<Value> {
		return new LaggedValue(initial);
	}

	#visible: Value;
	#pending: Array<{readonly at: number; readonly value: Value}> = [];

	private constructor(initial: Value) {
		this.#visible = initial;
	}

	/** Records the value at `now` (milliseconds, not decreasing). */
	record(now: number, value: Value): void {
		this.#pending.push({at: now, value});
	}

	/** The newest value that is at least `lagMs` old at `now`; the initial value if there is none. */
	read(now: number, lagMs: number): Value {
		const old = this.#pending.filter(entry => entry.at <= now - lagMs);
		const newest = old.at(-1);
		if (newest !== undefined) {
			this.#visible = newest.value;
			this.#pending = this.#pending.slice(old.length);
		}

		return this.#visible;
	}
}
