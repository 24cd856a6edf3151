/** Why an entry answers a caller itself, and with what. */

/** Reasons for an answer of the entry's own. */
export type RefusalReason
	/** No configuration is known yet. */
	= | 'no-configuration'
	/** The configuration may be too old to trust a key. */
		| 'stale-keys'
		| 'unknown-route'
		| 'unknown-key'
		| 'body-too-large'
	/** The service has no endpoint. */
		| 'no-endpoint'
	/** The group behind the service has lost a rank and did not form again in time. */
		| 'group-stopped'
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
	readonly mayRetry: boolean;
};

const statuses: Readonly<Record<RefusalReason, Refusal['status']>> = {
	'no-configuration': 503,
	'stale-keys': 503,
	'unknown-route': 404,
	'unknown-key': 401,
	'body-too-large': 413,
	'no-endpoint': 503,
	'group-stopped': 503,
	overload: 503,
	'not-run': 503,
	unreachable: 503,
	'timeout-before-sent': 503,
	timeout: 504,
	'unknown-outcome': 502,
};

export function refusalOf(reason: RefusalReason): Refusal {
	const status = statuses[reason];
	return {reason, status, mayRetry: status === 503};
}

/** A pause that refused callers are told, in seconds: the shortest, and the spread that keeps them from returning together. */
type RetryDelay = {readonly minS: number; readonly spreadS: number};

/** A full endpoint has free slots again after a few steps of its batch. */
const DEFAULT_RETRY_DELAY: RetryDelay = {minS: 0.1, spreadS: 0.4};

/** A group that lost a rank forms again after some seconds; callers that return sooner are only refused again. */
const GROUP_RETRY_DELAY: RetryDelay = {minS: 2, spreadS: 1};

/** Callers honour a pause up to this share of the time that they have left. */
const MAX_HONOURED_SHARE = 1 / 3;

/**
 * Pause to tell a refused caller, in seconds.
 *
 * @param leftMs - Time that the caller has left, in ms.
 * @param random - In [0, 1).
 */
export function retryAfterSeconds(reason: RefusalReason, leftMs: number, random: number): number {
	const {minS: shortestS, spreadS} = reason === 'group-stopped' ? GROUP_RETRY_DELAY : DEFAULT_RETRY_DELAY;
	const honouredS = (leftMs / 1000) * MAX_HONOURED_SHARE;
	// A pause that the caller would cut short is spread below its bound instead.
	const wanted = shortestS + spreadS > honouredS ? honouredS - (random * Math.min(spreadS, honouredS / 4)) : shortestS + (random * spreadS);
	return Math.round(Math.max(0, wanted) * 1000) / 1000;
}
