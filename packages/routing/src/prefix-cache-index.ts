/** Approximate index of the prompt prefixes that replicas have cached, from this entry's own dispatches and their responses. */
import {
	type CacheHint, type CandidateSource, type PrefixLookup, type PromptPrefix,
} from './types.js';

type CacheHolder = {readonly replicaId: string; readonly at: number};

const DEFAULT_MAX_PREFIXES = 20_000;
/** Replicas kept for each prefix, the most recent ones; more would only slow down the choice. */
const HOLDERS_PER_PREFIX = 3;
/** Engines evict idle prefixes within minutes, so an older entry is more often wrong than right. */
const ENTRY_TTL_MS = 180_000;
/** Weight of one response in the moving averages, which cover about the last 50 responses. */
const EWMA_WEIGHT = 0.02;
/** Lower bound of the hint accuracy: at 0 no hint would be used any more, and the accuracy could not recover. */
const MIN_HINT_ACCURACY = 0.2;
/** Share of a prefix assumed to be cached at its home before the first response; without it no home would ever be chosen. */
const INITIAL_HOME_HIT_RATE = 0.5;

/**
 * LRU index of prefixes, bounded in size and owned by one entry process. Call `recordDispatch` when work
 * is sent, `recordAccepted` on each `accepted` response, and `recordNotRun` when the work was refused or the engine crashed.
 */
export class PrefixCacheIndex {
	/** @param maxPrefixes - Maximum number of prefixes; the least recently used one is evicted. */
	static create(maxPrefixes = DEFAULT_MAX_PREFIXES): PrefixCacheIndex {
		return new PrefixCacheIndex(maxPrefixes);
	}

	readonly #holders = new Map<string, readonly CacheHolder[]>();
	readonly #maxPrefixes: number;
	#homeHitRate = INITIAL_HOME_HIT_RATE;
	#hintAccuracy = 1;

	private constructor(maxPrefixes: number) {
		this.#maxPrefixes = maxPrefixes;
	}

	/** Number of prefixes in the index. */
	get size(): number {
		return this.#holders.size;
	}

	/** Records that a request with these prefixes was sent to a replica, which will then cache them. */
	recordDispatch(prefixes: readonly PromptPrefix[], replicaId: string, now: number): void {
		for (const {hash} of prefixes) {
			const others = (this.#holders.get(hash) ?? []).filter(holder => holder.replicaId !== replicaId);
			this.#put(hash, [{replicaId, at: now}, ...others].slice(0, HOLDERS_PER_PREFIX));
		}
	}

	/**
	 * Updates the hit rate of homes and the accuracy of hints from an `accepted` response.
	 *
	 * @param expected - Source and expected cached tokens of the choice that led to this dispatch.
	 * @param cachedTokens - Prompt tokens that the endpoint found in its cache.
	 */
	recordAccepted(prefixes: readonly PromptPrefix[], expected: {readonly source: CandidateSource; readonly cachedTokens: number}, cachedTokens: number): void {
		const earlierTokens = prefixes.at(-2)?.tokens ?? 0;
		if (expected.source === 'prefix-home' && earlierTokens > 0) {
			this.#homeHitRate += EWMA_WEIGHT * (Math.min(1, cachedTokens / earlierTokens) - this.#homeHitRate);
		}

		if (expected.source === 'prefix-memory' && expected.cachedTokens > 0) {
			const hintedTokens = expected.cachedTokens / this.#hintAccuracy;
			this.#hintAccuracy += EWMA_WEIGHT * (Math.min(1, cachedTokens / hintedTokens) - this.#hintAccuracy);
			this.#hintAccuracy = Math.max(MIN_HINT_ACCURACY, this.#hintAccuracy);
		}
	}

	/** Removes a replica from the entries of these prefixes, because the work was refused or the engine crashed. */
	recordNotRun(prefixes: readonly PromptPrefix[], replicaId: string): void {
		for (const {hash} of prefixes) {
			const remaining = (this.#holders.get(hash) ?? []).filter(holder => holder.replicaId !== replicaId);
			if (remaining.length === 0) {
				this.#holders.delete(hash);
			} else {
				this.#holders.set(hash, remaining);
			}
		}
	}

	/**
	 * Looks up the replicas that cache part of the prompt, longest prefix first, with one hint for each replica.
	 * The shortest of several prefixes is skipped: many callers share it and most replicas have it cached.
	 */
	lookup(prefixes: readonly PromptPrefix[], now: number): PrefixLookup {
		const hints = new Map<string, CacheHint>();
		for (const {hash, tokens} of prefixes.slice(prefixes.length > 1 ? 1 : 0).toReversed()) {
			for (const {replicaId, at} of this.#holders.get(hash) ?? []) {
				if (now - at <= ENTRY_TTL_MS && !hints.has(replicaId)) {
					hints.set(replicaId, {replicaId, cachedTokens: tokens * this.#hintAccuracy});
				}
			}
		}

		return {hints: [...hints.values()], homeHitRate: this.#homeHitRate};
	}

	#put(hash: string, holders: readonly CacheHolder[]): void {
		this.#holders.delete(hash);
		this.#holders.set(hash, holders);
		if (this.#holders.size > this.#maxPrefixes) {
			const {value} = this.#holders.keys().next();
			if (value !== undefined) {
				this.#holders.delete(value);
			}
		}
	}
}
