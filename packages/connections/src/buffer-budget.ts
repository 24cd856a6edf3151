/** Bounds the bytes of responses that an entry buffers for all its requests together, and the small chunks that it reads of them. */
import type {IncomingMessage} from 'node:http';
import {ChunkPacer} from './chunk-pacer.js';
import {ResponseChunks} from './response-chunks.js';
import {PiecePool} from '#core';

/** Bytes that each response may hold regardless of the others, so that endless responses don't displace ordinary ones. */
const FREE_BYTES_PER_RESPONSE = 64 * 1024;

/** Bytes that all responses may hold beyond that, in total. */
const SHARED_BYTES = 32 * 1024 * 1024;

export class BufferBudget {
	static create(sharedBytes = SHARED_BYTES): BufferBudget {
		return new BufferBudget(sharedBytes);
	}

	/** Memory for the bodies and events that are buffered. */
	readonly pieces = PiecePool.create();
	readonly #chunks = ChunkPacer.create({isLoneFree: false});
	#usedBytes = 0;
	readonly #sharedBytes: number;

	private constructor(sharedBytes: number) {
		this.#sharedBytes = sharedBytes;
	}

	/** Bytes that are held beyond the free ones. */
	get usedBytes(): number {
		return this.#usedBytes;
	}

	/** Paces the chunks of a response. */
	openChunks(res: IncomingMessage): ResponseChunks {
		return ResponseChunks.create(res, this.#chunks);
	}

	/** Reads on responses that are paused for their chunks; called every `SWEEP_INTERVAL_MS`. */
	sweep(): void {
		this.#chunks.sweep();
	}

	/** The part of one response, which starts empty. */
	open(): BufferShare {
		let held = 0;
		const set = (bytes: number) => {
			this.#usedBytes += bytes - held;
			held = bytes;
		};

		return {
			resize: bytes => {
				const shared = Math.max(0, bytes - FREE_BYTES_PER_RESPONSE);
				if (shared > held && this.#usedBytes + shared - held > this.#sharedBytes) {
					return false;
				}

				set(shared);
				return true;
			},
			release() {
				set(0);
			},
		};
	}
}

/** What one response holds. */
export type BufferShare = {
	/** Notes that the response holds `bytes` now. Returns false, and changes nothing, if that is more than the budget permits. */
	readonly resize: (bytes: number) => boolean;
	/** Gives everything back. */
	readonly release: () => void;
};
