/**
 * Prompt prefixes that this endpoint's engine has processed lately, by the entries'
 * hashes. The engine's own cache events come late, with gaps and under its own hashes,
 * so they only tell how much it evicts.
 */

/** Engines evict an idle prefix within minutes. */
const LIFE_MS = 180_000;

/** Prefixes kept at most; four for each request of some minutes. */
const MAX_PREFIXES = 20_000;

/** Hash and length in tokens of a prefix. */
type Prefix = readonly [hash: string, tokens: number];

export class PrefixLog {
	static create(): PrefixLog {
		return new PrefixLog();
	}

	readonly #seenAt = new Map<string, number>();

	private constructor() {
		// Created by `create` only.
	}

	/**
	 * Notes the prefixes of a request that the engine gets.
	 *
	 * @param prefixes - Shortest first.
	 * @returns Tokens that the engine is expected to hold already.
	 */
	note(prefixes: readonly Prefix[], now: number): number {
		let cachedTokens = 0;
		for (const [hash, tokens] of prefixes) {
			const seenAt = this.#seenAt.get(hash);
			if (seenAt !== undefined && now - seenAt < LIFE_MS) {
				cachedTokens = Math.max(cachedTokens, tokens);
			}

			this.#seenAt.delete(hash);
			this.#seenAt.set(hash, now);
		}

		while (this.#seenAt.size > MAX_PREFIXES) {
			const [oldest] = this.#seenAt.keys();
			this.#seenAt.delete(oldest ?? '');
		}

		return cachedTokens;
	}

	/** Forgets everything, because the engine crashed and its cache with it. */
	clear(): void {
		this.#seenAt.clear();
	}
}
