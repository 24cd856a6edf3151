/** What the caller of a stream has received, over all endpoints that the stream came from. */
import type {StreamSummary} from './event-log.js';

export class StreamProgress {
	/** @param lastEventId - Id of the last event that the caller had before this request. */
	static create(lastEventId: number | undefined): StreamProgress {
		return new StreamProgress(lastEventId);
	}

	/** Id of the last event that the caller has. */
	lastEventId: number | undefined;
	/** When an endpoint last sent a byte, in monotonic ms; undefined if none was read. */
	lastByteAt: number | undefined;
	#lastEventAt: number | undefined;
	#events = 0;
	#longestGapMs = 0;

	private constructor(lastEventId: number | undefined) {
		this.lastEventId = lastEventId;
	}

	/** Whether the caller has received an event. */
	get hasBegun(): boolean {
		return this.#events > 0;
	}

	/** When the last event was forwarded, in monotonic ms; undefined before the first. */
	get lastEventAt(): number | undefined {
		return this.#lastEventAt;
	}

	/** Records `count` events that are forwarded at `now` (monotonic ms). */
	recordEvents(count: number, lastEventId: number | undefined, now: number): void {
		this.#longestGapMs = Math.max(this.#longestGapMs, now - (this.#lastEventAt ?? now));
		this.#lastEventAt = now;
		this.#events += count;
		this.lastEventId = lastEventId;
	}

	/** Summary for the log; undefined before the first event. */
	summary(targetGapMs: number | undefined): StreamSummary | undefined {
		return this.hasBegun ? {events: this.#events, longestGapMs: Math.round(this.#longestGapMs), targetGapMs} : undefined;
	}
}
