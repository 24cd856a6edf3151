/** Requests in flight at each endpoint: one's own, and what the other entries last told of theirs. */

/** Requests in flight of one entry by endpoint id. */
export type LoadCounts = Readonly<Record<string, number>>;

/** Counts of another entry are dropped after this time without news, in ms: ten of its reports, by when its requests went elsewhere. */
export const PEER_LOAD_LIFETIME_MS = 2000;

export class LoadBoard {
	/** Creates a board without requests. */
	static create(): LoadBoard {
		return new LoadBoard();
	}

	readonly #own = new Map<string, number>();
	readonly #peers = new Map<string, {counts: LoadCounts; at: number}>();

	/** Counts a request at an endpoint until the returned function is called once. */
	enter(id: string): () => void {
		this.#own.set(id, (this.#own.get(id) ?? 0) + 1);
		let isOpen = true;
		return () => {
			if (!isOpen) {
				return;
			}

			isOpen = false;
			const left = (this.#own.get(id) ?? 1) - 1;
			if (left === 0) {
				this.#own.delete(id);
			} else {
				this.#own.set(id, left);
			}
		};
	}

	/** Takes the counts of another entry, received at `now` (steady ms). */
	notePeer(peer: string, counts: LoadCounts, now: number): void {
		this.#peers.set(peer, {counts, at: now});
	}

	/** One's own counts, to be told to the others. */
	ownCounts(): LoadCounts {
		return Object.fromEntries(this.#own);
	}

	/** Entries that share the endpoints, this one included, at `now` (steady ms). */
	entries(now: number): number {
		return 1 + [...this.#peers.values()].filter(({at}) => now - at <= PEER_LOAD_LIFETIME_MS).length;
	}

	/** Requests in flight at an endpoint from all entries, at `now` (steady ms). */
	inFlight(id: string, now: number): number {
		let sum = this.#own.get(id) ?? 0;
		for (const [peer, {counts, at}] of this.#peers) {
			if (now - at > PEER_LOAD_LIFETIME_MS) {
				this.#peers.delete(peer);
			} else {
				sum += counts[id] ?? 0;
			}
		}

		return sum;
	}
}
