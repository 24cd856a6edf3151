/** Remembers which replicas hold which prompt prefixes, from this entry's own dispatches and their answers. */
import {
	type CacheHint, type CandidateSource, type PrefixLookup, type PromptPrefix,
} from './types.js';

type Holder = {readonly replicaId: string; readonly at: number};

const DEFAULT_MAX_PREFIXES = 20_000;
/** A prefix is kept for the last replicas that received it; more would only slow down the choice. */
const HOLDERS_PER_PREFIX = 3;
/** Engines evict idle prefixes in minutes; an older note would more often be wrong than right. */
const NOTE_TTL_MS = 180_000;
/** Weight of one answer in the learnt rates: about the last 50 answers count. */
const LEARNING_WEIGHT = 0.02;
/** Notes keep some trust, or none would be followed any more and the trust could not recover. */
const MIN_HINT_TRUST = 0.2;
/** Before any answer, half of the prefix is assumed at its home, so that homes come into use at all. */
const INITIAL_HOME_HIT_RATE = 0.5;

/**
 * A least-recently-used memory of prefixes with a bound in entries, owned by one entry process.
 * Call `dispatched` when work is sent, `accepted` on each `accepted` answer, and `notRun` when
 * the work was refused or the engine crashed.
 */
export class PrefixCacheIndex {
	/** @param maxPrefixes - Bound on remembered prefixes; the least recently used ones go first. */
	static create(maxPrefixes = DEFAULT_MAX_PREFIXES): PrefixCacheIndex {
		return new PrefixCacheIndex(maxPrefixes);
	}

	readonly #holders = new Map<string, readonly Holder[]>();
	readonly #maxPrefixes: number;
	#homeHitRate = INITIAL_HOME_HIT_RATE;
	#hintTrust = 1;

	private constructor(maxPrefixes: number) {
		this.#maxPrefixes = maxPrefixes;
	}

	/** Number of remembered prefixes. */
	get size(): number {
		return this.#holders.size;
	}

	/** Notes that a request with these prefixes was sent to a replica, which will then hold them. */
	recordDispatch(prefixes: readonly PromptPrefix[], replicaId: string, now: number): void {
		for (const {hash} of prefixes) {
			const others = (this.#holders.get(hash) ?? []).filter(holder => holder.replicaId !== replicaId);
			this.#put(hash, [{replicaId, at: now}, ...others].slice(0, HOLDERS_PER_PREFIX));
		}
	}

	/**
	 * Learns from an `accepted` answer how far notes and homes can be trusted.
	 *
	 * @param expected - The choice that sent the request there: its source and the cached tokens it expected.
	 * @param cachedTokens - Prompt tokens that the endpoint found in its cache.
	 */
	recordAccepted(prefixes: readonly PromptPrefix[], expected: {readonly source: CandidateSource; readonly cachedTokens: number}, cachedTokens: number): void {
		const earlierTokens = prefixes.at(-2)?.tokens ?? 0;
		if (expected.source === 'prefix-home' && earlierTokens > 0) {
			this.#homeHitRate += LEARNING_WEIGHT * (Math.min(1, cachedTokens / earlierTokens) - this.#homeHitRate);
		}

		if (expected.source === 'prefix-memory' && expected.cachedTokens > 0) {
			const noted = expected.cachedTokens / this.#hintTrust;
			this.#hintTrust += LEARNING_WEIGHT * (Math.min(1, cachedTokens / noted) - this.#hintTrust);
			this.#hintTrust = Math.max(MIN_HINT_TRUST, this.#hintTrust);
		}
	}

	/** Forgets a replica for these prefixes, because the work was refused or the engine crashed. */
	recordNotRun(prefixes: readonly PromptPrefix[], replicaId: string): void {
		for (const {hash} of prefixes) {
			const rest = (this.#holders.get(hash) ?? []).filter(holder => holder.replicaId !== replicaId);
			if (rest.length === 0) {
				this.#holders.delete(hash);
			} else {
				this.#holders.set(hash, rest);
			}
		}
	}

	/**
	 * Replicas that hold some of the prompt, the longest prefix first, one hint for each replica.
	 * Of several prefixes the shortest is left out: it is shared by many callers and most replicas hold it.
	 */
	lookup(prefixes: readonly PromptPrefix[], now: number): PrefixLookup {
		const hints = new Map<string, CacheHint>();
		for (const {hash, tokens} of prefixes.slice(prefixes.length > 1 ? 1 : 0).toReversed()) {
			for (const {replicaId, at} of this.#holders.get(hash) ?? []) {
				if (now - at <= NOTE_TTL_MS && !hints.has(replicaId)) {
					hints.set(replicaId, {replicaId, cachedTokens: tokens * this.#hintTrust});
				}
			}
		}

		return {hints: [...hints.values()], homeHitRate: this.#homeHitRate};
	}

	#put(hash: string, holders: readonly Holder[]): void {
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
