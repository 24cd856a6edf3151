/**
 * Splits an event stream (`text/event-stream`) at event boundaries. Only complete events are forwarded, so that a stream that
 * breaks can be resumed at another endpoint after the last complete event.
 */

import {Buffer} from 'node:buffer';

/** The complete events in a chunk. */
export type SplitEvents = {
	/** Bytes of the complete events, each with the blank line that terminates it. */
	readonly bytes: Uint8Array;
	/** Number of events in `bytes`. */
	readonly count: number;
};

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const ID_FIELD = /^id: ?(\d+)\r?$/mu;

export class EventSplitter {
	/**
	 * @param lastId - Events up to this id are dropped: a resumed stream must not repeat events that the caller has.
	 */
	static create(lastId?: number): EventSplitter {
		return new EventSplitter(lastId);
	}

	/** Id of the last event that was forwarded. */
	lastId: number | undefined;
	#pending: Uint8Array = new Uint8Array(0);

	private constructor(lastId: number | undefined) {
		this.lastId = lastId;
	}

	/** Number of bytes of an incomplete event. */
	get pendingBytes(): number {
		return this.#pending.length;
	}

	/** Processes the next bytes of the stream. */
	push(chunk: Uint8Array): SplitEvents {
		let data = this.#pending.length === 0 ? Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength) : Buffer.concat([this.#pending, chunk]);
		const newEvents: Uint8Array[] = [];
		for (let end = findEventEnd(data); end !== -1; end = findEventEnd(data)) {
			const event = data.subarray(0, end);
			data = data.subarray(end);
			if (this.#isNew(event)) {
				newEvents.push(event);
			}
		}

		this.#pending = data;
		return {bytes: newEvents.length === 1 ? newEvents[0]! : Buffer.concat(newEvents), count: newEvents.length};
	}

	#isNew(event: Uint8Array): boolean {
		const digits = ID_FIELD.exec(Buffer.from(event).toString('latin1'))?.[1];
		if (digits === undefined) {
			return true;
		}

		const id = Number(digits);
		if (this.lastId !== undefined && id <= this.lastId) {
			return false;
		}

		this.lastId = id;
		return true;
	}
}

/** Offset after the first blank line, or -1. */
function findEventEnd(data: Uint8Array): number {
	for (let at = data.indexOf(LINE_FEED); at !== -1; at = data.indexOf(LINE_FEED, at + 1)) {
		if (data[at + 1] === LINE_FEED) {
			return at + 2;
		}

		if (data[at + 1] === CARRIAGE_RETURN && data[at + 2] === LINE_FEED) {
			return at + 3;
		}
	}

	return -1;
}

