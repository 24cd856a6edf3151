/** Timeouts and intervals of the change protocol, in ms. */

/** Interval of query rounds, and the time without a message from the leader after which a gated member starts them. */
export const QUERY_INTERVAL_MS = 500;

/** Time without a completed step after which a group re-forms without the unreachable ranks. */
export const HOLD_TIMEOUT_MS = 5000;

/** Interval at which a member reads its engine's state and compares it with its own. */
export const RECONCILE_INTERVAL_MS = 1000;

/** Interval of state reads while a change is unresolved or the group makes no progress. */
export const STATE_POLL_INTERVAL_MS = 250;

/** Timeout of an order, after which the engine counts as unreachable; the order may still take effect. */
export const ENGINE_TIMEOUT_MS = 1000;

/** Maximum age of a peer's state; an older one is ignored. */
export const MAX_STATE_AGE_MS = 1500;

/** Interval at which a message without an acknowledgement is sent again. */
export const RESEND_INTERVAL_MS = 100;

/** Time within which all ranks must hold their gate; below QUERY_INTERVAL_MS, so that no member starts to query before. */
export const GATE_TIMEOUT_MS = 400;

/** Time within which all ranks must confirm `go`; after it, the leader leaves the change to the members. */
export const GO_TIMEOUT_MS = 1000;

/** Default time for loading the experts of a change at the weight store's rate. */
export const PREPARE_TIMEOUT_MS = 120_000;

/** Interval at which recording a result is retried while the platform is unavailable. */
export const RECORD_RETRY_INTERVAL_MS = 1000;
