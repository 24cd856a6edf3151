/** Requests in flight at each endpoint: those of this entry, and those that the other entries last reported. */

/** Requests in flight from one entry, by endpoint id. */
export type InFlightCounts = Readonly<Record<string, number>>;

/** Counts of another entry are discarded after this time without an update, in ms: two of its reports at the longest interval between them. */
export const PEER_LOAD_TTL_MS = 2000;

export class LoadTracker {
	/** Creates a tracker without requests. */
	static create(): LoadTracker {
		return new LoadTracker();
	}

	readonly #local = new Map<string, number>();
	readonly #peers = new Map<string, {counts: InFlightCounts; receivedAt: number}>();

	/** Counts a request at an endpoint until the returned function is called; further calls have no effect. */
	startRequest(id: string): () => void {
		this.#local.set(id, (this.#local.get(id) ?? 0) + 1);
		let isCounted = true;
		return () => {
			if (!isCounted) {
				return;
			}

			isCounted = false;
			const remaining = (this.#local.get(id) ?? 1) - 1;
			if (remaining === 0) {
				this.#local.delete(id);
			} else {
				this.#local.set(id, remaining);
			}
		};
	}

	/** Replaces the counts of another entry, received at `now` (monotonic ms). */
	updatePeer(peer: string, counts: InFlightCounts, now: number): void {
		this.#peers.set(peer, {counts, receivedAt: now});
	}

	/** Counts of this entry, to send to its peers. */
	localCounts(): InFlightCounts {
		return Object.fromEntries(this.#local);
	}

	/** Number of entries that share the endpoints at `now` (monotonic ms), including this one. */
	entryCount(now: number): number {
		return 1 + [...this.#peers.values()].filter(({receivedAt: at}) => now - at <= PEER_LOAD_TTL_MS).length;
	}

	/** Requests in flight at an endpoint from all entries, at `now` (monotonic ms). */
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
