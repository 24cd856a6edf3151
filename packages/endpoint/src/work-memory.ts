/** Bounds the bodies that an endpoint holds for the work of all entries: each entry bounds only its own. Decides only. */

/** Bytes of a body that do not count: the bodies of most calls are smaller. */
const FREE_BYTES = 8 * 1024;

export class WorkMemory {
	/** @param maxBytes - Bytes that all bodies may have together. */
	static create(maxBytes: number): WorkMemory {
		return new WorkMemory(maxBytes);
	}

	#heldBytes = 0;
	/** Counted bytes by the id of the work. */
	readonly #held = new Map<string, number>();
	readonly #maxBytes: number;

	private constructor(maxBytes: number) {
		this.#maxBytes = maxBytes;
	}

	/** Counted bytes of all bodies. */
	get heldBytes(): number {
		return this.#heldBytes;
	}

	/** Counts the body of received work. Returns false, and counts nothing, if there is no room for it. A body alone always has room. */
	hold(id: string, bodyBytes: number): boolean {
		const counted = Math.max(0, bodyBytes - FREE_BYTES);
		if (counted > 0 && this.#heldBytes > 0 && this.#heldBytes + counted > this.#maxBytes) {
			return false;
		}

		this.#held.set(id, counted);
		this.#heldBytes += counted;
		return true;
	}

	/** Gives back what work holds, if anything; called when it has ended. */
	release(id: string): void {
		this.#heldBytes -= this.#held.get(id) ?? 0;
		this.#held.delete(id);
	}
}
