/**
 * Decides when an entry reads the configuration from the registry itself instead of waiting for its peers to confirm it. The
 * thresholds are staggered so that of many entries only the one that all others poll reads; if it cannot, the others do,
 * one after the other.
 */

/** Time between two reads, in ms: half of the shortest time within which a change must take effect. */
const REFRESH_INTERVAL_MS = 1000;

/** Additional delay of each entry after the one before it, in ms: an exchange between entries takes up to 200 ms and a round trip. */
const STAGGER_MS = 250;

/** Highest number of steps. With more, a change would take effect too late if all preceding entries had lost the registry. */
const MAX_STAGGER_STEPS = 3;

/**
 * Age of the last confirmation from which an entry reads the registry, in ms.
 *
 * @param polledPeers - Number of reachable entries that this one polls regularly.
 */
export function refreshAgeMs(polledPeers: number): number {
	return REFRESH_INTERVAL_MS + (Math.min(polledPeers, MAX_STAGGER_STEPS) * STAGGER_MS);
}
