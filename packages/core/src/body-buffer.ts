/** The bytes of one body or event, copied: a chunk that is kept as received keeps its whole receive buffer. */
import {Buffer} from 'node:buffer';

/** Sizes of the pieces in which memory is taken, in bytes. They grow with the body. */
const PIECE_BYTES = {min: 1024, max: 64 * 1024} as const;

/** Pieces of the largest size that are kept for other bodies: 8 MiB. */
const MAX_SPARE_PIECES = 128;

/** Pieces of bodies that ended. New ones for each body would wait for the garbage collection by the tens of megabytes. */
export class PiecePool {
	static create(): PiecePool {
		return new PiecePool();
	}

	readonly #spare: Uint8Array[] = [];

	/** A piece of the largest size, with any content. */
	take(): Uint8Array {
		return this.#spare.pop() ?? Buffer.allocUnsafeSlow(PIECE_BYTES.max);
	}

	/** Takes back pieces that nothing refers to. */
	give(pieces: readonly Uint8Array[]): void {
		this.#spare.push(...pieces.filter(({length}) => length === PIECE_BYTES.max).slice(0, MAX_SPARE_PIECES - this.#spare.length));
	}
}

export class BodyBuffer {
	/** @param announcedBytes - Length of the body; undefined if it is not known. */
	static create(announcedBytes: number | undefined, pool = PiecePool.create()): BodyBuffer {
		return new BodyBuffer(announcedBytes, pool);
	}

	#pieces: Uint8Array[] = [];
	/** Bytes that are used of the last piece. */
	#usedOfLast = 0;
	#bytes = 0;
	#capacity = 0;
	readonly #announcedBytes: number | undefined;
	readonly #pool: PiecePool;

	private constructor(announcedBytes: number | undefined, pool: PiecePool) {
		this.#announcedBytes = announcedBytes;
		this.#pool = pool;
	}

	/** Number of bytes. */
	get bytes(): number {
		return this.#bytes;
	}

	/**
	 * Copies a chunk.
	 *
	 * @param reserve - Called with the bytes that will be held before more memory is taken; if it returns false, the rest is not kept.
	 */
	append(chunk: Uint8Array, reserve: (capacity: number) => boolean = () => true): boolean {
		let rest = chunk;
		while (rest.length > 0) {
			const last = this.#pieces.at(-1);
			const free = (last?.length ?? 0) - this.#usedOfLast;
			if (last === undefined || free === 0) {
				const bytes = this.#nextPieceBytes(rest.length);
				if (!reserve(this.#capacity + bytes)) {
					return false;
				}

				// Small buffers of the pool would keep each other's memory.
				this.#pieces.push(bytes === PIECE_BYTES.max ? this.#pool.take() : Buffer.allocUnsafeSlow(bytes));
				this.#capacity += bytes;
				this.#usedOfLast = 0;
				continue;
			}

			const part = rest.subarray(0, free);
			last.set(part, this.#usedOfLast);
			this.#usedOfLast += part.length;
			this.#bytes += part.length;
			rest = rest.subarray(part.length);
		}

		return true;
	}

	/** Returns the whole body, and keeps nothing. */
	take(): Uint8Array {
		const [first, ...others] = this.#pieces;
		if (first === undefined || others.length > 0) {
			const body = Buffer.concat(this.#pieces, this.#bytes);
			this.clear();
			return body;
		}

		const body = first.subarray(0, this.#bytes);
		// The pool must not hand out a piece that the body refers to.
		this.#pieces = [];
		this.clear();
		return body;
	}

	/** Keeps nothing. */
	clear(): void {
		this.#pool.give(this.#pieces);
		this.#pieces = [];
		this.#usedOfLast = 0;
		this.#bytes = 0;
		this.#capacity = 0;
	}

	#nextPieceBytes(wanted: number): number {
		const bytes = this.#announcedBytes === undefined ? Math.max(wanted, this.#bytes, PIECE_BYTES.min) : Math.max(wanted, this.#announcedBytes - this.#bytes);
		return Math.min(bytes, PIECE_BYTES.max);
	}
}
