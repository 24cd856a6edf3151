/** Paces the chunks of one response of an endpoint, and limits their number. */
import type {IncomingMessage} from 'node:http';
import {ChunkLimit} from './chunk-limit.js';
import type {ChunkPacer, ChunkShare} from './chunk-pacer.js';
import {pauseReading, readOn} from './paused-reading.js';

/** A chunk of a stream, and what it completes. */
export type StreamChunk = {
	readonly bytes: number;
	/** Events, comments and blank lines, each of which costs as much as a chunk. */
	readonly blocks: number;
	/** Events among them. */
	readonly events: number;
};

export class ResponseChunks {
	static create(res: IncomingMessage, pacer: ChunkPacer): ResponseChunks {
		return new ResponseChunks(res, pacer);
	}

	readonly #res: IncomingMessage;
	readonly #share: ChunkShare;
	readonly #limit = ChunkLimit.create();

	private constructor(res: IncomingMessage, pacer: ChunkPacer) {
		this.#res = res;
		this.#share = pacer.open(() => {
			readOn(res);
		});
	}

	/** Notes that a chunk of a body was read; the connection may not be read on for a while. Returns false if the response is to be given up. */
	take(bytes: number): boolean {
		return this.#take(1, bytes);
	}

	/** As `take`, for a chunk of a stream: an event that is complete gives it the whole limit again. */
	takeOfStream({bytes, blocks, events}: StreamChunk): boolean {
		if (events > 0) {
			this.#limit.reset();
		}

		return this.#take(1 + blocks, bytes);
	}

	/** Notes that the response has ended or is given up. Its connection may serve further requests. */
	close(): void {
		this.#share.close();
		readOn(this.#res);
	}

	#take(chunks: number, bytes: number): boolean {
		if (!this.#share.take(chunks)) {
			pauseReading(this.#res);
		}

		return this.#limit.take(chunks, bytes);
	}
}
