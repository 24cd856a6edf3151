/**
 * Cuts an event stream (`text/event-stream`) at event boundaries. Only whole events are passed on, so a
 * stream that breaks midway can go on with another endpoint's events after the last whole one.
 */

/** Whole events of a chunk. */
import {Buffer} from 'node:buffer';

export type SplitEvents = {
	/** Bytes of the whole events, with the blank line that ends each. */
	readonly bytes: Uint8Array;
	/** Events in `whole`. */
	readonly count: number;
};

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const ID_FIELD = /^id: ?(\d+)\r?$/mu;

export class EventSplitter {
	/**
	 * @param lastId - Events up to this id are dropped: a resumed run must not repeat what the caller has.
	 */
	static create(lastId?: number): EventSplitter {
		return new EventSplitter(lastId);
	}

	/** Id of the last whole event passed on. */
	lastId: number | undefined;
	#pending: Uint8Array = new Uint8Array(0);

	private constructor(lastId: number | undefined) {
		this.lastId = lastId;
	}

	/** Bytes of an event that has begun but not ended. */
	get pendingBytes(): number {
		return this.#pending.length;
	}

	/** Takes the next bytes of the stream. */
	push(chunk: Uint8Array): SplitEvents {
		let data = this.#pending.length === 0 ? Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength) : Buffer.concat([this.#pending, chunk]);
		const kept: Uint8Array[] = [];
		for (let end = findEventEnd(data); end !== -1; end = findEventEnd(data)) {
			const event = data.subarray(0, end);
			data = data.subarray(end);
			if (this.#isNew(event)) {
				kept.push(event);
			}
		}

		this.#pending = data;
		return {bytes: kept.length === 1 ? kept[0]! : Buffer.concat(kept), count: kept.length};
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

