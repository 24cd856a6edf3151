/**
 * Decides when an entry reads the configuration from the registry itself instead of waiting for its peers to confirm it. The
 * thresholds are staggered so that of many entries only the one that all others poll reads; if it cannot, the others do,
 * one after the other.
 */

/** Time between two reads, in ms: half of the shortest time within which a change must take effect. */
const REFRESH_INTERVAL_MS = 1000;

/** Additional delay of each entry after the one before it, in ms: an exchange between entries takes up to 200 ms and a round trip. */
const STAGGER_MS = 250;

/** Time by which a step is longer than an interval of the exchange, in ms: what a read and an exchange take. */
const STEP_MARGIN_MS = 100;

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

/**
 * Refresh age of state that may take effect later than the configuration, in ms: the steps are as long as an exchange between the
 * entries takes in a fleet of this size. With steps of `STAGGER_MS` many of several hundred entries, which exchange once a second,
 * would read before they hear of the latest read.
 *
 * @param polledPeers - Number of reachable entries that this one polls regularly.
 * @param exchangeMs - Interval of the exchange.
 * @param latestMs - Age at which an entry reads in any case.
 */
export function relaxedRefreshAgeMs(polledPeers: number, exchangeMs: number, latestMs: number): number {
	return Math.min(latestMs, REFRESH_INTERVAL_MS + (Math.min(polledPeers, MAX_STAGGER_STEPS) * (exchangeMs + STEP_MARGIN_MS)));
}
