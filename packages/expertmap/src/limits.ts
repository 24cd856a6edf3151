/** Time limits of the change protocol, in ms. */

/** A gated member that hears nothing from the leader for this long queries all others; also the interval of queries. */
export const QUERY_INTERVAL_MS = 500;

/** A group that makes no step for this long re-forms without the ranks that cannot be reached. */
export const HOLD_TIMEOUT_MS = 5000;

/** Interval at which a member compares its engine's state with what it knows. */
export const RECONCILE_INTERVAL_MS = 1000;

/** Interval of state reads while a change is unresolved or the group makes no step. */
export const STATE_POLL_INTERVAL_MS = 250;

/** An engine that leaves an order unanswered for this long counts as unreachable; the order may still take effect. */
export const ENGINE_TIMEOUT_MS = 1000;

/** A peer's state older than this does not count as an answer. */
export const MAX_STATE_AGE_MS = 1500;

/** Interval at which the leader repeats a message that has not been answered. */
export const RESEND_INTERVAL_MS = 100;

/** All ranks must hold their gate within this time; below HOLD_QUERY_MS, so that no member starts to query before. */
export const GATE_TIMEOUT_MS = 400;

/** Time in which all ranks must confirm `go` before the leader leaves the change to the members. */
export const GO_TIMEOUT_MS = 1000;

/** Default time for loading the experts of a change within the weight store's rate. */
export const PREPARE_TIMEOUT_MS = 120_000;

/** Interval at which an unavailable platform is asked again to record a result. */
export const RECORD_RETRY_INTERVAL_MS = 1000;
