/** Requests in flight at each endpoint: one's own, and what the other entries last told of theirs. */

/** Requests in flight of one entry by endpoint id. */
export type InFlightCounts = Readonly<Record<string, number>>;

/** Counts of another entry are dropped after this time without news, in ms: ten of its reports, by when its requests went elsewhere. */
export const PEER_LOAD_TTL_MS = 2000;

export class LoadTracker {
	/** Creates a board without requests. */
	static create(): LoadTracker {
		return new LoadTracker();
	}

	readonly #local = new Map<string, number>();
	readonly #peers = new Map<string, {counts: InFlightCounts; receivedAt: number}>();

	/** Counts a request at an endpoint until the returned function is called once. */
	startRequest(id: string): () => void {
		this.#local.set(id, (this.#local.get(id) ?? 0) + 1);
		let isOpen = true;
		return () => {
			if (!isOpen) {
				return;
			}

			isOpen = false;
			const left = (this.#local.get(id) ?? 1) - 1;
			if (left === 0) {
				this.#local.delete(id);
			} else {
				this.#local.set(id, left);
			}
		};
	}

	/** Takes the counts of another entry, received at `now` (steady ms). */
	updatePeer(peer: string, counts: InFlightCounts, now: number): void {
		this.#peers.set(peer, {counts, receivedAt: now});
	}

	/** One's own counts, to be told to the others. */
	localCounts(): InFlightCounts {
		return Object.fromEntries(this.#local);
	}

	/** Entries that share the endpoints, this one included, at `now` (steady ms). */
	entryCount(now: number): number {
		return 1 + [...this.#peers.values()].filter(({receivedAt: at}) => now - at <= PEER_LOAD_TTL_MS).length;
	}

	/** Requests in flight at an endpoint from all entries, at `now` (steady ms). */
	inFlight(id: string, now: number): number {
		let sum = this.#local.get(id) ?? 0;
		for (const [peer, {counts, receivedAt: at}] of this.#peers) {
			if (now - at > PEER_LOAD_TTL_MS) {
				this.#peers.delete(peer);
			} else {
				sum += counts[id] ?? 0;
			}
		}

		return sum;
	}
}
