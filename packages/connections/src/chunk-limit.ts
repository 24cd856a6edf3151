/** Decides when a response has too many small chunks for its bytes to be read to its end. */

/** Chunks that a response may have whatever their size: a body of 16 KiB in chunks of one byte. */
const FREE_CHUNKS = 16_384;

/** Mean size of a chunk with which a response may have any number of them, in bytes. */
const MIN_MEAN_CHUNK_BYTES = 4;

export class ChunkLimit {
	static create(): ChunkLimit {
		return new ChunkLimit();
	}

	#chunks = 0;
	#bytes = 0;

	/** Counts chunks with `bytes` in all. Returns false if the response is to be given up. */
	take(chunks: number, bytes: number): boolean {
		this.#chunks += chunks;
		this.#bytes += bytes;
		return this.#chunks <= FREE_CHUNKS + (this.#bytes / MIN_MEAN_CHUNK_BYTES);
	}

	/** Begins anew: a stream that makes progress may be as long as it likes. */
	reset(): void {
		this.#chunks = 0;
		this.#bytes = 0;
	}
}
