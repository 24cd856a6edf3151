/** Bounded cache of prompt prefixes with least-recently-used eviction. */
import type {CacheEvent} from './cache-log.js';
import {CHARS_PER_TOKEN} from './answer.js';
import {hashText} from './hash.js';

/** Characters of one cached block. A prefix is cached in whole blocks. */
export const PREFIX_BLOCK_CHARS = 64;

/** Blocks of one prompt that are looked at; bounds the hashing of a long prompt. */
const MAX_BLOCKS = 256;

/**
 * The hashes of a prompt's prefixes, shortest first: the n-th is the xxhash64 of
 * the first `n * PREFIX_BLOCK_CHARS` characters.
 */
export function prefixHashes(prompt: string): readonly string[] {
	const blocks = Math.min(MAX_BLOCKS, Math.floor(prompt.length / PREFIX_BLOCK_CHARS));
	return Array.from({length: blocks}, (_, index) => hashText(prompt.slice(0, (index + 1) * PREFIX_BLOCK_CHARS)));
}

export class PrefixCache {
	/**
	 * @param blocks - Capacity in blocks of `PREFIX_BLOCK_CHARS` characters.
	 * @param onEvent - Called for each stored and each evicted block.
	 */
	static create(blocks: number, onEvent: (event: CacheEvent) => void): PrefixCache {
		return new PrefixCache(blocks, onEvent);
	}

	readonly #blocks: number;
	readonly #onEvent: (event: CacheEvent) => void;
	/** In order of use, oldest first. */
	readonly #hashes = new Set<string>();

	private constructor(blocks: number, onEvent: (event: CacheEvent) => void) {
		this.#blocks = blocks;
		this.#onEvent = onEvent;
	}

	/** Number of blocks held. */
	get size(): number {
		return this.#hashes.size;
	}

	/** Stores a prompt's prefixes and returns how many of its tokens were cached before. */
	insert(prompt: string): number {
		const hashes = prefixHashes(prompt);
		const firstMiss = hashes.findIndex(hash => !this.#hashes.has(hash));
		const cached = firstMiss === -1 ? hashes.length : firstMiss;
		for (const hash of hashes.toReversed()) {
			this.#touch(hash);
		}

		this.#evict();
		return cached * PREFIX_BLOCK_CHARS / CHARS_PER_TOKEN;
	}

	/** Forgets everything without events, as a crash does. */
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
			if (this.#hashes.size <= this.#blocks) {
				return;
			}

			this.#hashes.delete(hash);
			this.#onEvent({kind: 'evicted', prefixHash: hash});
		}
	}
}
