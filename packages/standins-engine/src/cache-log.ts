/** Log of prefix cache events that readers get late and, under a fault, with gaps. */

/** One event of the prefix cache. */
export type CacheEvent = {
	readonly kind: 'stored' | 'evicted';
	/** Xxhash64 of the prompt prefix as 16 hex digits. */
	readonly prefixHash: string;
};

/** An answer to `GET /v1/cache-events`. */
export type CacheEventPage = {
	/** Position to pass as `after` in the next call. */
	readonly next: number;
	/** Fewer events than `next - after` mean that some were lost. */
	readonly events: readonly CacheEvent[];
};

/** Events kept; older ones are a gap for a reader that has not seen them. */
const KEPT_EVENTS = 10_000;

/** Events one answer holds at most. */
const PAGE_EVENTS = 1000;

type Entry = {readonly at: number; readonly event: CacheEvent | undefined};

export class CacheEventLog {
	/** @param random - Source of numbers in [0, 1) that decides which events are lost. */
	static create(random: () => number): CacheEventLog {
		return new CacheEventLog(random);
	}

	/** Position of the first kept entry. */
	#first = 0;
	#entries: Entry[] = [];
	readonly #random: () => number;

	private constructor(random: () => number) {
		this.#random = random;
	}

	/** Appends an event at `now`; with probability `dropShare` it takes a position but is lost. */
	append(now: number, event: CacheEvent, dropShare: number): void {
		const lost = dropShare > 0 && this.#random() < dropShare;
		this.#entries.push({at: now, event: lost ? undefined : event});
		if (this.#entries.length > KEPT_EVENTS * 2) {
			this.#entries = this.#entries.slice(KEPT_EVENTS);
			this.#first += KEPT_EVENTS;
		}
	}

	/** The events after a position that are at least `lagMs` old at `now`. */
	read(after: number, now: number, lagMs: number): CacheEventPage {
		const from = Math.max(0, after - this.#first);
		const visible = this.#entries.slice(from, from + PAGE_EVENTS).filter(entry => entry.at <= now - lagMs);
		return {
			next: Math.max(after, this.#first) + visible.length,
			events: visible.flatMap(entry => entry.event ?? []),
		};
	}
}
