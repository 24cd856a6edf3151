/**
 * Receiver side of fencing tokens: orders of a former lease holder carry a lower
 * token than those of its successor and are refused.
 */
import {invariant} from '#core';

/**
 * Origin of a fencing token. The platform alone, or all expected peers together, are
 * authoritative: the checker then knows a token at least as high as any it admitted before a restart.
 */
export type FenceSource
	= | {readonly kind: 'platform'; readonly fence: number}
		| {readonly kind: 'engine'; readonly fence: number}
		| {readonly kind: 'peer'; readonly id: string; readonly fence: number};

/** Result of a check. Orders with the result `refused` or `unknown` (no authoritative source has responded yet) must not be forwarded. */
export type FenceCheckResult
	= | {readonly kind: 'admitted'}
		| {readonly kind: 'refused'; readonly highest: number}
		| {readonly kind: 'unknown'};

/** Tracks the highest fencing token seen, which never decreases. */
export class FenceChecker {
	/**
	 * Creates a checker without an authoritative token.
	 *
	 * @param peers - Ids of the peers whose tokens together are authoritative; with none, only the platform is.
	 */
	static create(peers: readonly string[] = []): FenceChecker {
		return new FenceChecker(peers);
	}

	#highest = 0;
	#isKnown = false;
	#peers: ReadonlySet<string>;
	readonly #respondedPeers = new Set<string>();

	private constructor(peers: readonly string[]) {
		this.#peers = new Set(peers);
	}

	/** Highest fencing token seen, 0 if none. */
	get highest(): number {
		return this.#highest;
	}

	/** Whether an authoritative source has responded. */
	get isKnown(): boolean {
		return this.#isKnown;
	}

	/**
	 * Replaces the peers whose tokens together are authoritative, for example when the group re-forms.
	 * A checker that already has an authoritative token keeps it.
	 */
	setPeers(peers: readonly string[]): void {
		this.#peers = new Set(peers);
		this.#updateKnown();
	}

	/**
	 * Records a token from a source.
	 *
	 * @throws InvariantError when the token is not a non-negative integer.
	 */
	observe(source: FenceSource): void {
		this.#raiseTo(source.fence);
		switch (source.kind) {
			case 'platform': {
				this.#isKnown = true;
				break;
			}

			case 'peer': {
				this.#respondedPeers.add(source.id);
				this.#updateKnown();
				break;
			}

			case 'engine': {
				break;
			}
		}
	}

	/**
	 * Checks an order with the given token, and records the token.
	 *
	 * @throws InvariantError when the token is not a non-negative integer.
	 */
	check(fence: number): FenceCheckResult {
		const previous = this.#highest;
		this.#raiseTo(fence);
		if (!this.#isKnown) {
			return {kind: 'unknown'};
		}

		return fence < previous ? {kind: 'refused', highest: previous} : {kind: 'admitted'};
	}

	#raiseTo(fence: number): void {
		invariant(Number.isSafeInteger(fence) && fence >= 0, `fence checker: ${fence} is not a non-negative integer`);
		this.#highest = Math.max(this.#highest, fence);
	}

	#updateKnown(): void {
		if (this.#peers.size > 0 && [...this.#peers].every(id => this.#respondedPeers.has(id))) {
			this.#isKnown = true;
		}
	}
}
