/** Bounded cache of prompt prefixes with least-recently-used eviction. */
import type {CacheEvent} from './cache-event-log.js';
import {CHARS_PER_TOKEN} from './inference-response.js';
import {hashText} from './hash.js';

/** Characters per cached block. A prefix is cached in whole blocks. */
export const PREFIX_BLOCK_CHARS = 64;

/** Maximum number of blocks cached per prompt; bounds the cost of hashing a long prompt. */
const MAX_BLOCKS = 256;

/**
 * Hashes of the prefixes of a prompt, shortest first: the n-th is the xxhash64 of
 * the first `n * PREFIX_BLOCK_CHARS` characters.
 */
export function prefixHashes(prompt: string): readonly string[] {
	const blocks = Math.min(MAX_BLOCKS, Math.floor(prompt.length / PREFIX_BLOCK_CHARS));
	return Array.from({length: blocks}, (_, index) => hashText(prompt.slice(0, (index + 1) * PREFIX_BLOCK_CHARS)));
}

export class PrefixCache {
	/**
	 * @param capacity - Capacity in blocks of `PREFIX_BLOCK_CHARS` characters.
	 * @param onEvent - Called for each stored and each evicted block.
	 */
	static create(capacity: number, onEvent: (event: CacheEvent) => void): PrefixCache {
		return new PrefixCache(capacity, onEvent);
	}

	readonly #capacity: number;
	readonly #onEvent: (event: CacheEvent) => void;
	/** Least recently used first. */
	readonly #hashes = new Set<string>();

	private constructor(capacity: number, onEvent: (event: CacheEvent) => void) {
		this.#capacity = capacity;
		this.#onEvent = onEvent;
	}

	/** Number of cached blocks. */
	get size(): number {
		return this.#hashes.size;
	}

	/** Stores the prefixes of a prompt and returns the number of its tokens that were already cached. */
	insert(prompt: string): number {
		const hashes = prefixHashes(prompt);
		const firstMiss = hashes.findIndex(hash => !this.#hashes.has(hash));
		const cachedBlocks = firstMiss === -1 ? hashes.length : firstMiss;
		for (const hash of hashes.toReversed()) {
			this.#touch(hash);
		}

		this.#evict();
		return cachedBlocks * PREFIX_BLOCK_CHARS / CHARS_PER_TOKEN;
	}

	/** Removes all blocks without events, as a crash does. */
	clear(): void {
		this.#hashes.clear();
	}

	#touch(hash: string): void {
		if (!this.#hashes.delete(hash)) {
			this.#onEvent({kind: 'stored', prefixHash: hash});
		}

		this.#hashes.add(hash);
	}

	#evict(): void {
		for (const hash of this.#hashes) {
			if (this.#hashes.size <= this.#capacity) {
				return;
			}

			this.#hashes.delete(hash);
			this.#onEvent({kind: 'evicted', prefixHash: hash});
		}
	}
}
