/**
 * Prompt prefixes that this endpoint's engine has processed recently, keyed by the entries'
 * hashes. The engine's own cache events arrive late, with gaps and with its own hashes, so
 * they only show how much it evicts.
 */

/** Time after which a prefix is assumed to be evicted; engines evict idle prefixes within minutes. */
const PREFIX_TTL_MS = 180_000;

/** Maximum number of prefixes kept; enough for four per request over several minutes. */
const MAX_PREFIXES = 20_000;

/** Hash and length in tokens of a prefix. */
type Prefix = readonly [hash: string, tokens: number];

export class RecentPrefixes {
	static create(): RecentPrefixes {
		return new RecentPrefixes();
	}

	readonly #seenAt = new Map<string, number>();

	private constructor() {
		// Use `create`.
	}

	/**
	 * Adds the prefixes of a request that is sent to the engine.
	 *
	 * @param prefixes - Shortest first.
	 * @returns Tokens that are expected to be in the engine's cache already.
	 */
	add(prefixes: readonly Prefix[], now: number): number {
		let cachedTokens = 0;
		for (const [hash, tokens] of prefixes) {
			const seenAt = this.#seenAt.get(hash);
			if (seenAt !== undefined && now - seenAt < PREFIX_TTL_MS) {
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

	/** Removes all prefixes, because the engine crashed and lost its cache. */
	clear(): void {
		this.#seenAt.clear();
	}
}
