/**
 * Splits an event stream (`text/event-stream`) into events and checks that they are the next ones of the stream. Only complete
 * events are forwarded, so that a stream that breaks can be resumed at another endpoint after the last complete event.
 */

import {Buffer} from 'node:buffer';
import {parseBlock, type Block} from './event-block.js';
import {BodyBuffer, PiecePool} from '#core';

/** The events of a chunk that are to be forwarded. */
export type SplitEvents = {
	/** Bytes of complete events and comments, each with the blank line that terminates it. */
	readonly bytes: Uint8Array;
	/** Number of events in `bytes`, without comments. */
	readonly count: number;
	/** Number of events, comments and blank lines that were looked at, forwarded or not. */
	readonly blocks: number;
	/** Why what follows `bytes` is not the continuation of the stream; undefined if it may be. */
	readonly fault: string | undefined;
};

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;

/** How the bytes before a chunk end, as far as a blank line may begin there. */
type LineState = 'line-end' | 'line-end-and-return' | 'inside-line';

export class EventSplitter {
	/**
	 * @param lastId - Id of the last event that the caller has; events up to it are dropped, and the next one must follow it.
	 * @param requiresIds - Whether each event needs an id, so that the stream can be resumed after it.
	 * @param pool - Memory for incomplete events.
	 */
	static create(lastId?: number, requiresIds = lastId !== undefined, pool = PiecePool.create()): EventSplitter {
		return new EventSplitter(lastId, requiresIds, pool);
	}

	/** Id of the last event that was forwarded. */
	lastId: number | undefined;
	/** Id of the last event of this source, forwarded or dropped. */
	#lastSourceId: number | undefined;
	/** An incomplete event, copied: a chunk that is kept takes some 200 bytes of the heap, and the memory of all that was received with it. */
	readonly #pending: BodyBuffer;
	/** How what is pending ends. */
	#lineState: LineState = 'inside-line';
	#fault: string | undefined;
	readonly #requiresIds: boolean;

	private constructor(lastId: number | undefined, requiresIds: boolean, pool: PiecePool) {
		this.lastId = lastId;
		this.#requiresIds = requiresIds;
		this.#pending = BodyBuffer.create(undefined, pool);
	}

	/** Number of bytes of an incomplete event. */
	get pendingBytes(): number {
		return this.#pending.bytes;
	}

	/** Processes the next bytes of the stream. Nothing is forwarded after a fault. */
	push(chunk: Uint8Array): SplitEvents {
		if (this.pendingBytes > 0 && !this.#completesEvent(chunk)) {
			this.#hold(chunk);
			return {
				bytes: new Uint8Array(0), count: 0, blocks: 0, fault: this.#fault,
			};
		}

		let data = this.pendingBytes === 0 ? Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength) : Buffer.concat([this.#pending.take(), chunk]);
		const forwarded: Uint8Array[] = [];
		let count = 0;
		let blocks = 0;
		for (let end = findEventEnd(data); end !== -1 && this.#fault === undefined; end = findEventEnd(data)) {
			const bytes = data.subarray(0, end);
			data = data.subarray(end);
			const block = parseBlock(bytes);
			blocks += 1;
			if (this.#accept(block)) {
				forwarded.push(bytes);
				count += block.kind === 'event' ? 1 : 0;
			}
		}

		this.#lineState = 'inside-line';
		this.#hold(data);
		return {
			bytes: forwarded.length === 1 ? forwarded[0]! : Buffer.concat(forwarded), count, blocks, fault: this.#fault,
		};
	}

	#hold(bytes: Uint8Array): void {
		if (bytes.length > 0) {
			this.#pending.append(bytes);
			this.#lineState = lineStateAfter(bytes, this.#lineState);
		}
	}

	/** Whether a blank line ends in this chunk; it may begin in what is pending. */
	#completesEvent(chunk: Uint8Array): boolean {
		return completesBlankLine(chunk, this.#lineState) || findEventEnd(chunk) !== -1;
	}

	/** Checks the next block against what came before. Returns whether it is forwarded. */
	#accept(block: Block): boolean {
		switch (block.kind) {
			case 'comment': {
				return true;
			}

			case 'malformed': {
				this.#fault = 'text that is no event';
				return false;
			}

			case 'event': {
				return this.#acceptEvent(block.id);
			}
		}
	}

	#acceptEvent(id: number | undefined): boolean {
		if (id === undefined) {
			// A stream that need not be resumed may have no ids, but once an event has one, those after it need one too.
			this.#fault = this.#requiresIds || this.lastId !== undefined ? 'an event without an id' : undefined;
			return this.#fault === undefined;
		}

		// The first event of a resumed stream may be one that the caller has.
		const expected = (this.#lastSourceId ?? this.lastId ?? id - 1) + 1;
		const isRepeated = this.#lastSourceId === undefined && id < expected;
		if (id !== expected && !isRepeated) {
			this.#fault = `event ${id} in place of ${expected}`;
			return false;
		}

		this.#lastSourceId = id;
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

/** Whether a chunk begins with the rest of a blank line that began before it. */
function completesBlankLine([first, second]: Uint8Array, before: LineState): boolean {
	switch (before) {
		case 'line-end': {
			return first === LINE_FEED || (first === CARRIAGE_RETURN && second === LINE_FEED);
		}

		case 'line-end-and-return': {
			return first === LINE_FEED;
		}

		case 'inside-line': {
			return false;
		}
	}
}

/** How the stream ends after `bytes`, of which there is at least one. */
function lineStateAfter(bytes: Uint8Array, before: LineState): LineState {
	const last = bytes.at(-1);
	if (last === LINE_FEED) {
		return 'line-end';
	}

	const isAfterLine = bytes.length > 1 ? bytes.at(-2) === LINE_FEED : before === 'line-end';
	return last === CARRIAGE_RETURN && isAfterLine ? 'line-end-and-return' : 'inside-line';
}
