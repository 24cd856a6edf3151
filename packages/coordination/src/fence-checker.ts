/**
 * Receiver side of a fencing number: orders of a former lease holder carry a lower
 * number than those of its successor and are refused.
 */
import {invariant} from '#core';

/**
 * Where a fencing number was learned. The platform alone, or all expected peers together,
 * are authoritative: the gate then knows a number at least as high as any it admitted before a restart.
 */
export type FenceSource
	= | {readonly kind: 'platform'; readonly fence: number}
		| {readonly kind: 'engine'; readonly fence: number}
		| {readonly kind: 'peer'; readonly id: string; readonly fence: number};

/** Answer of the gate: `unknown` and `refused` orders must not be passed on. */
export type FenceCheckResult
	= | {readonly kind: 'admitted'}
		| {readonly kind: 'refused'; readonly highest: number}
		| {readonly kind: 'unknown'};

/** Holds the highest fencing number seen. The number never decreases. */
export class FenceChecker {
	/**
	 * Creates a gate that does not know its number yet.
	 *
	 * @param peers - Ids of the peers whose answers together are authoritative; with none, only the platform is.
	 */
	static create(peers: readonly string[] = []): FenceChecker {
		return new FenceChecker(peers);
	}

	#highest = 0;
	#known = false;
	#peers: ReadonlySet<string>;
	readonly #answered = new Set<string>();

	private constructor(peers: readonly string[]) {
		this.#peers = new Set(peers);
	}

	/** Highest fencing number seen, 0 if none. */
	get highest(): number {
		return this.#highest;
	}

	/** Whether an authoritative source has answered. */
	get isKnown(): boolean {
		return this.#known;
	}

	/**
	 * Replaces the peers whose answers together are authoritative, for example when the group re-forms.
	 * A gate that knows its number keeps it.
	 */
	setPeers(peers: readonly string[]): void {
		this.#peers = new Set(peers);
		this.#checkPeers();
	}

	/**
	 * Takes in a number from a source.
	 *
	 * @throws InvariantError when the number is not a whole number from 0.
	 */
	observe(source: FenceSource): void {
		this.#raise(source.fence);
		switch (source.kind) {
			case 'platform': {
				this.#known = true;
				break;
			}

			case 'peer': {
				this.#answered.add(source.id);
				this.#checkPeers();
				break;
			}

			case 'engine': {
				break;
			}
		}
	}

	/**
	 * Decides on an order with the given number and takes the number in.
	 *
	 * @throws InvariantError when the number is not a whole number from 0.
	 */
	check(fence: number): FenceCheckResult {
		const before = this.#highest;
		this.#raise(fence);
		if (!this.#known) {
			return {kind: 'unknown'};
		}

		return fence < before ? {kind: 'refused', highest: before} : {kind: 'admitted'};
	}

	#raise(fence: number): void {
		invariant(Number.isSafeInteger(fence) && fence >= 0, `fence gate: ${fence} is not a whole number from 0`);
		this.#highest = Math.max(this.#highest, fence);
	}

	#checkPeers(): void {
		if (this.#peers.size > 0 && [...this.#peers].every(id => this.#answered.has(id))) {
			this.#known = true;
		}
	}
}
