/** Why an entry answers a caller itself, and with what. */

/** Reasons for an answer of the entry's own. */
export type RefusalReason =
	/** No configuration is known yet. */
	| 'no-configuration'
	/** The configuration may be too old to trust a key. */
	| 'stale-keys'
	| 'unknown-route'
	| 'unknown-key'
	| 'body-too-large'
	/** The service has no endpoint. */
	| 'no-endpoint'
	/** All endpoints are full. */
	| 'overload'
	/** The endpoint did not run the request, and it may not be sent again. */
	| 'not-run'
	/** No connection to an endpoint could be made. */
	| 'unreachable'
	/** The time was up before the request was sent. */
	| 'timeout-before-sent'
	/** The time was up after the request was sent. */
	| 'timeout'
	/** The request was sent and its outcome is not known. */
	| 'unknown-outcome';

/** An answer of the entry's own. */
export type Refusal = {
	readonly reason: RefusalReason;
	readonly status: 401 | 404 | 413 | 502 | 503 | 504;
	/** Whether the caller may come back with the same request; set only if it certainly did not run. */
	readonly mayReturn: boolean;
};

const statuses: Readonly<Record<RefusalReason, Refusal['status']>> = {
	'no-configuration': 503,
	'stale-keys': 503,
	'unknown-route': 404,
	'unknown-key': 401,
	'body-too-large': 413,
	'no-endpoint': 503,
	overload: 503,
	'not-run': 503,
	unreachable: 503,
	'timeout-before-sent': 503,
	timeout: 504,
	'unknown-outcome': 502,
};

export function refusalOf(reason: RefusalReason): Refusal {
	const status = statuses[reason];
	return {reason, status, mayReturn: status === 503};
}

/** Shortest pause before a refused caller returns, in seconds: a few steps of a batch. */
const SHORTEST_RETRY_S = 0.1;

/** Spread of the pauses, in seconds, so that refused callers do not return together. */
const RETRY_SPREAD_S = 0.4;

/** Callers honour a pause up to this share of the time that they have left. */
const HONOURED_SHARE = 1 / 3;

/**
 * Pause to tell a refused caller, in seconds.
 *
 * @param leftMs - Time that the caller has left, in ms.
 * @param random - In [0, 1).
 */
export function retryAfterSeconds(leftMs: number, random: number): number {
	const wanted = SHORTEST_RETRY_S + (random * RETRY_SPREAD_S);
	return Math.round(Math.max(0, Math.min(wanted, (leftMs / 1000) * HONOURED_SHARE)) * 1000) / 1000;
}
