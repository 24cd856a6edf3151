/** One run of one request: its progress, the bytes made so far and who reads them. */
import {Buffer} from 'node:buffer';
import {createResponse, type InferenceResponse} from './answer.js';
import {hashBytes} from './hash.js';
import type {InferenceRequest} from './inference-request.js';

/** Receives the bytes of a run. */
export type RunReader = {
	/** Takes the next bytes; `offset` is their position in the answer body. */
	readonly write: (bytes: Uint8Array) => void;
	/** The answer is complete. */
	readonly end: () => void;
	/** The run ended before its answer was complete. */
	readonly abort: (state: 'cancelled' | 'lost') => void;
};

/** `lost` after a crash. */
export type RunState = 'queued' | 'running' | 'done' | 'cancelled' | 'lost';

/** Length and xxhash64 (16 hex digits) of the bytes that a run made. */
export type RunDigest = {readonly bytes: number; readonly hash: string};

export class Run {
	static create(options: {
		readonly request: InferenceRequest; readonly response: InferenceResponse; readonly priority: number; readonly sequence: number;
	}): Run {
		return new Run(options.request, options.response, options.priority, options.sequence);
	}

	state: RunState = 'queued';
	/** Prompt tokens that remain to be processed before the first token. */
	remainingPrefillTokens: number;
	/** Prompt tokens found in the prefix cache when the run joined the batch. */
	cachedTokens = 0;
	/** Tokens made. */
	generatedTokens = 0;
	/** Bytes of the answer body made. */
	generatedBytes = 0;
	/** Since when nobody reads, in milliseconds; undefined while somebody does. */
	unreadSince: number | undefined;
	/** When the run ended, in milliseconds. */
	finishedAt: number | undefined;
	readonly requestId: string;
	#response: InferenceResponse | undefined;
	#digest: RunDigest | undefined;
	readonly #readers = new Set<RunReader>();

	private constructor(
		readonly request: InferenceRequest,
		answer: InferenceResponse,
		/** A higher number runs first. */
		readonly priority: number,
		/** Order of arrival. */
		readonly sequence: number,
	) {
		this.#response = answer;
		this.requestId = answer.requestId;
		this.remainingPrefillTokens = answer.promptTokens;
	}

	/** The complete answer; made anew after `release`. */
	get response(): InferenceResponse {
		return this.#response ?? createResponse(this.request, this.requestId);
	}

	get finished(): boolean {
		return this.state === 'done' || this.state === 'cancelled' || this.state === 'lost';
	}

	get remainingTokens(): number {
		return this.finished ? 0 : this.remainingPrefillTokens + this.response.tokens - this.generatedTokens;
	}

	/** All bytes made so far. */
	bytes(): Uint8Array {
		return Buffer.concat(this.response.chunks.slice(0, this.generatedTokens));
	}

	/** Length and xxhash64 of the bytes made so far. */
	digest(): RunDigest {
		if (this.#digest !== undefined) {
			return this.#digest;
		}

		const bytes = this.bytes();
		return {bytes: bytes.length, hash: hashBytes(bytes)};
	}

	/** Frees the bytes of a finished run: an oracle remembers many runs, and long answers have some 100 KB each. */
	release(): void {
		if (this.finished) {
			this.#digest = this.digest();
			this.#response = undefined;
		}
	}

	/** Makes one token and hands its bytes to the readers. */
	generateToken(): void {
		const piece = this.response.chunks[this.generatedTokens] ?? Buffer.alloc(0);
		this.generatedTokens++;
		this.generatedBytes += piece.length;
		if (piece.length > 0) {
			for (const reader of this.#readers) {
				reader.write(piece);
			}
		}

		if (this.generatedTokens === this.response.tokens) {
			this.finish('done');
		}
	}

	/** Ends the run and tells the readers. */
	finish(state: 'done' | 'cancelled' | 'lost'): void {
		if (this.finished) {
			return;
		}

		this.state = state;
		for (const reader of this.#readers) {
			if (state === 'done') {
				reader.end();
			} else {
				reader.abort(state);
			}
		}
	}

	/**
	 * Adds a reader that first gets all bytes from `offset` on, then those made later.
	 *
	 * @param offset - Byte offset, at most `bytesMade` unless the run goes on.
	 * @returns Removes the reader; `now` starts the time for which an unread run is held.
	 */
	attach(offset: number, reader: RunReader): (now: number) => void {
		const skipping = skipBytes(offset, reader);
		this.unreadSince = undefined;
		const made = this.bytes();
		if (made.length > 0) {
			skipping.write(made);
		}

		if (this.state === 'done') {
			reader.end();
		} else {
			this.#readers.add(skipping);
		}

		return now => {
			if (this.#readers.delete(skipping) && this.#readers.size === 0) {
				this.unreadSince = now;
			}
		};
	}
}

function skipBytes(count: number, reader: RunReader): RunReader {
	let left = count;
	return {
		...reader,
		write(bytes) {
			const rest = bytes.subarray(Math.min(left, bytes.length));
			left = Math.max(0, left - bytes.length);
			if (rest.length > 0) {
				reader.write(rest);
			}
		},
	};
}
