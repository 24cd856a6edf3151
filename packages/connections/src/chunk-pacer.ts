/**
 * Bounds the processor time that bodies in many small chunks take from the rest of the process: those with the most chunks are not read
 * on for a while. It has no clock; `sweep` is called every `SWEEP_INTERVAL_MS`.
 */

/** Interval at which `sweep` is called, in ms. */
export const SWEEP_INTERVAL_MS = 250;

/** Chunks that are read between two sweeps, of all bodies together; each takes 1 to 3 us, so they take up to 60 of 250 ms. */
const MAX_CHUNKS_PER_SWEEP = 20_000;

/** Chunks that one body may have between two sweeps in any case: 64 KiB each would be 32 MB. */
const FREE_CHUNKS_PER_SWEEP = 500;

/** Paused bodies that are read on at each sweep; one read of 64 KiB has up to 11,000 chunks. */
const RESUMED_PER_SWEEP = 2;

/** The chunks of one body. */
export type ChunkShare = {
	/** Whether the body is not read on. */
	readonly isPaused: boolean;
	/** Notes that one chunk was read, or what costs as much as `count` of them. Returns false if reading is to be paused until `onResumed`. */
	readonly take: (count?: number) => boolean;
	/** Notes that the body has ended. */
	readonly close: () => void;
};

type Source = {
	/** Chunks since the last sweep. */
	recentChunks: number;
	readonly onResumed: () => void;
};

export class ChunkPacer {
	/** @param isLoneFree - Whether a body that is read alone is never paused. */
	static create({isLoneFree}: {readonly isLoneFree: boolean}): ChunkPacer {
		return new ChunkPacer(isLoneFree);
	}

	readonly #sources = new Set<Source>();
	/** Those that have waited longest first. */
	readonly #paused = new Set<Source>();
	/** Chunks of all bodies since the last sweep. */
	#recentChunks = 0;
	readonly #isLoneFree: boolean;

	private constructor(isLoneFree: boolean) {
		this.#isLoneFree = isLoneFree;
	}

	/** @param onResumed - Called when a body that was paused is to be read on. */
	open(onResumed: () => void): ChunkShare {
		const source: Source = {recentChunks: 0, onResumed};
		const paused = this.#paused;
		this.#sources.add(source);
		return {
			get isPaused() {
				return paused.has(source);
			},
			take: (count = 1) => this.#take(source, count),
			close: () => {
				this.#sources.delete(source);
				paused.delete(source);
			},
		};
	}

	sweep(): void {
		this.#recentChunks = 0;
		for (const source of this.#sources) {
			source.recentChunks = 0;
		}

		for (const source of [...this.#paused].slice(0, RESUMED_PER_SWEEP)) {
			this.#paused.delete(source);
			source.onResumed();
		}
	}

	#take(source: Source, count: number): boolean {
		if (!this.#sources.has(source)) {
			return true;
		}

		this.#recentChunks += count;
		source.recentChunks += count;
		const mayReadOn = source.recentChunks <= FREE_CHUNKS_PER_SWEEP || this.#recentChunks <= MAX_CHUNKS_PER_SWEEP || (this.#isLoneFree && this.#sources.size === 1);
		if (!mayReadOn) {
			this.#paused.add(source);
		}

		return mayReadOn;
	}
}
