/** Log of prefix cache events, which readers see with a delay and, if a fault is active, with gaps. */

/** One event of the prefix cache. */
export type CacheEvent = {
	readonly kind: 'stored' | 'evicted';
	/** Xxhash64 of the prompt prefix as 16 hex digits. */
	readonly prefixHash: string;
};

/** Response to `GET /v1/cache-events`. */
export type CacheEventPage = {
	/** Position to pass as `after` in the next request. */
	readonly next: number;
	/** If there are fewer events than `next - after`, some were lost. */
	readonly events: readonly CacheEvent[];
};

/** Minimum number of events kept; dropped older ones are a gap for a reader that has not read them. */
const KEPT_EVENTS = 10_000;

/** Maximum number of events in one response. */
const PAGE_EVENTS = 1000;

type LogEntry = {readonly at: number; readonly event: CacheEvent | undefined};

export class CacheEventLog {
	/** @param random - Source of numbers in [0, 1) that decides which events are lost. */
	static create(random: () => number): CacheEventLog {
		return new CacheEventLog(random);
	}

	/** Position of the first kept entry. */
	#first = 0;
	#entries: LogEntry[] = [];
	readonly #random: () => number;

	private constructor(random: () => number) {
		this.#random = random;
	}

	/** Appends an event at `now` (ms); with `dropProbability` the event is lost but still takes up a position. */
	append(now: number, event: CacheEvent, dropProbability: number): void {
		const isLost = dropProbability > 0 && this.#random() < dropProbability;
		this.#entries.push({at: now, event: isLost ? undefined : event});
		if (this.#entries.length > KEPT_EVENTS * 2) {
			this.#entries = this.#entries.slice(KEPT_EVENTS);
			this.#first += KEPT_EVENTS;
		}
	}

	/** Events after a position that are at least `lagMs` old at `now`. */
	read(after: number, now: number, lagMs: number): CacheEventPage {
		const start = Math.max(0, after - this.#first);
		const visible = this.#entries.slice(start, start + PAGE_EVENTS).filter(entry => entry.at <= now - lagMs);
		return {
			next: Math.max(after, this.#first) + visible.length,
			events: visible.flatMap(entry => entry.event ?? []),
		};
	}
}
