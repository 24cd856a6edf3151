/** Booking ledger that records every run without deduplication, so that duplicate runs are detected. */

/** One run of a booking. */
export type Booking = {
	/** Number of the run over all bookings, starting at 1. */
	readonly run: number;
	/** Value of the `Idempotency-Key` header, if the call had one. */
	readonly key: string | undefined;
	/** The parsed JSON body of the call. */
	readonly body: unknown;
};

/** Totals; `doubleRuns` counts the runs after the first of each key. */
export type LedgerCounts = {
	readonly calls: number;
	readonly runs: number;
	readonly doubleRuns: number;
	readonly dropped: number;
	readonly refused: number;
	readonly lookups: number;
	/** Number of runs by key. */
	readonly byKey: Readonly<Record<string, number>>;
};

export class Ledger {
	static create(): Ledger {
		return new Ledger();
	}

	calls = 0;
	dropped = 0;
	refused = 0;
	lookups = 0;
	readonly #bookings: Booking[] = [];
	readonly #byKey = new Map<string, Booking[]>();

	private constructor() {
		// Created by `create`.
	}

	get bookings(): readonly Booking[] {
		return this.#bookings;
	}

	/** Runs a booking, even if its key has run before. */
	run(key: string | undefined, body: unknown): Booking {
		const booking: Booking = {run: this.#bookings.length + 1, key, body};
		this.#bookings.push(booking);
		if (key !== undefined) {
			this.#byKey.set(key, [...this.byKey(key), booking]);
		}

		return booking;
	}

	/** All runs of a key, in order of execution. */
	byKey(key: string): readonly Booking[] {
		return this.#byKey.get(key) ?? [];
	}

	counts(): LedgerCounts {
		const byKey = [...this.#byKey].map(([key, runs]) => [key, runs.length] as const);
		return {
			calls: this.calls,
			runs: this.#bookings.length,
			doubleRuns: byKey.reduce((sum, [, runs]) => sum + runs - 1, 0),
			dropped: this.dropped,
			refused: this.refused,
			lookups: this.lookups,
			byKey: Object.fromEntries(byKey),
		};
	}
}
