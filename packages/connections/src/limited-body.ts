/** Collects the body of a response that is decoded by this process, such as a report or a list. */
import type {IncomingHttpHeaders} from 'node:http';
import {ChunkLimit} from './chunk-limit.js';
import {announcedBytes, BodyBuffer} from '#core';

/** Why a body is not read to its end. */
export type BodyExcess = 'too long' | 'in too many small chunks';

export class LimitedBody {
	/** @param maxBytes - Longest body that is read. */
	static create(headers: IncomingHttpHeaders, maxBytes: number): LimitedBody {
		return new LimitedBody(headers, maxBytes);
	}

	readonly #buffer: BodyBuffer;
	readonly #chunks = ChunkLimit.create();
	readonly #maxBytes: number;

	private constructor(headers: IncomingHttpHeaders, maxBytes: number) {
		this.#buffer = BodyBuffer.create(announcedBytes(headers));
		this.#maxBytes = maxBytes;
	}

	/** Copies a chunk. Returns why the response is to be given up, after which nothing is kept. */
	append(chunk: Uint8Array): BodyExcess | undefined {
		const isTooLong = this.#buffer.bytes + chunk.length > this.#maxBytes;
		if (!isTooLong && this.#chunks.take(1, chunk.length)) {
			this.#buffer.append(chunk);
			return undefined;
		}

		this.#buffer.clear();
		return isTooLong ? 'too long' : 'in too many small chunks';
	}

	/** Returns the whole body, and keeps nothing. */
	take(): Uint8Array {
		return this.#buffer.take();
	}
}
