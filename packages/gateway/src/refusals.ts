/** Why an entry refuses a request, and with which status and delay. */
import type {CrashCauseKind} from '#quarantine';

/** Reasons for a response that the entry generates itself. */
export type RefusalReason
	/** No configuration is known yet. */
	= | 'no-configuration'
	/** The configuration may be too old to trust its keys. */
		| 'stale-keys'
		| 'unknown-route'
		| 'unknown-key'
		| 'body-too-large'
	/** The requests of all callers hold too much, and this one makes the least progress. */
		| 'body-budget'
	/** The body stalls, is too slow, or takes too long. */
		| 'body-timeout'
	/** The body has too many trailers and chunk extensions. */
		| 'body-framing'
	/** The service has no endpoint. */
		| 'no-endpoint'
	/** The group behind the service lost a rank and did not form again in time. */
		| 'group-stopped'
	/** The service has no room for another stream, or all its endpoints are full. On a service that divides its capacity, no more urgent class has asked lately. */
		| 'overload'
	/** The service has no room for requests of this class, and more urgent ones have arrived lately. */
		| 'overload-can-wait'
	/** The service is full, and the workspace is far above its share of it. */
		| 'overload-share'
	/** All endpoints have reached the limits that they name, or this entry its parts of the rates of their warm-up. */
		| 'endpoint-limit'
	/** All endpoints asked to wait, or have reached their limits. */
		| 'endpoint-wait'
	/** Endpoints crashed on this request, or on others with the same part of their prompt; a probe may show that it was not the cause. */
		| `suspect-${CrashCauseKind}`
	/** The request, or a part of its prompt, crashes endpoints. */
		| `crashing-${CrashCauseKind}`
	/** The zones of all endpoints are evacuated. */
		| 'zone-evacuated'
	/** It is not known which zones are evacuated: the last reading is too old to send requests, and a newer one is on its way. */
		| 'evacuations-unknown'
	/** The endpoint did not run the request, and it may not be sent again. */
		| 'not-run'
	/** No connection to an endpoint could be established. */
		| 'unreachable'
	/** The time ran out before the request was sent. */
		| 'timeout-before-sent'
	/** The time ran out after the request was sent. */
		| 'timeout'
	/** The request was sent and its outcome is unknown. */
		| 'unknown-outcome'
	/** The entry is being stopped, and the request might not end before. */
		| 'stopping'
	/** This entry failed before the request was sent. */
		| 'internal-error';

/** A response that the entry generates itself. */
export type Refusal = {
	readonly reason: RefusalReason;
	readonly status: 401 | 404 | 408 | 413 | 502 | 503 | 504;
	/** Whether the response promises that the request did not run. */
	readonly isNotRun: boolean;
	/** Whether the caller is told when to retry; set only if the request did not run and another attempt may succeed. */
	readonly mayRetry: boolean;
};

const statuses: Readonly<Record<RefusalReason, Refusal['status']>> = {
	'no-configuration': 503,
	'stale-keys': 503,
	'unknown-route': 404,
	'unknown-key': 401,
	'body-too-large': 413,
	'body-budget': 503,
	'body-timeout': 408,
	'body-framing': 413,
	'no-endpoint': 503,
	'group-stopped': 503,
	overload: 503,
	'overload-can-wait': 503,
	'overload-share': 503,
	'endpoint-limit': 503,
	'endpoint-wait': 503,
	'zone-evacuated': 503,
	'evacuations-unknown': 503,
	'suspect-part': 503,
	'crashing-part': 503,
	'suspect-request': 503,
	'crashing-request': 503,
	'not-run': 503,
	unreachable: 503,
	'timeout-before-sent': 503,
	timeout: 504,
	'unknown-outcome': 502,
	stopping: 503,
	'internal-error': 503,
};

export function refusalOf(reason: RefusalReason): Refusal {
	const status = statuses[reason];
	const isNotRun = status === 503 || status === 408;
	return {
		reason, status, isNotRun, mayRetry: isNotRun && reason !== 'crashing-part' && reason !== 'crashing-request',
	};
}

/** Delay for a Retry-After header, in seconds: the minimum, and the range of the random part that keeps refused callers from retrying at the same time. */
type RetryDelay = {readonly minS: number; readonly spreadS: number};

/** A full endpoint has free slots again after a few steps of its batch. */
const DEFAULT_RETRY_DELAY: RetryDelay = {minS: 0.1, spreadS: 0.4};

/** A group that lost a rank takes some seconds to form again; callers that retry sooner are only refused again. */
const GROUP_RETRY_DELAY: RetryDelay = {minS: 2, spreadS: 1};

/** An endpoint that asked to wait gets one request first, so callers return over the time that its answer may take. */
const WAIT_RETRY_DELAY: RetryDelay = {minS: 0.1, spreadS: 1};

/** A caller that was refused for overload is late when it returns, and late requests are admitted below the limit only, so callers return over the time in which load falls. */
const OVERLOAD_RETRY_DELAY: RetryDelay = {minS: 0.5, spreadS: 2};

/** Work that can wait comes back after the urgent callers that were refused at the same time, and over more time than they do. */
const YIELDING_RETRY_DELAY: RetryDelay = {minS: 1, spreadS: 1.6};

/** The end of an evacuation takes effect at an entry within about two seconds; callers that retry sooner are only refused again. */
const EVACUATION_RETRY_DELAY: RetryDelay = {minS: 1, spreadS: 2};

/** Memory is free again when slow bodies were refused or have ended; large bodies should not return together. */
const BODY_RETRY_DELAY: RetryDelay = {minS: 0.2, spreadS: 1.5};

/** Delays of the reasons that do not have the default one. */
const retryDelays: Readonly<Partial<Record<RefusalReason, RetryDelay>>> = {
	'group-stopped': GROUP_RETRY_DELAY,
	'endpoint-wait': WAIT_RETRY_DELAY,
	overload: OVERLOAD_RETRY_DELAY,
	'overload-can-wait': YIELDING_RETRY_DELAY,
	'overload-share': YIELDING_RETRY_DELAY,
	'zone-evacuated': EVACUATION_RETRY_DELAY,
	'body-budget': BODY_RETRY_DELAY,
	'body-timeout': BODY_RETRY_DELAY,
};

/** Callers honour a delay up to this share of their remaining time. */
const MAX_HONOURED_SHARE = 1 / 3;

export type RetryAfterInput = {
	readonly reason: RefusalReason;
	/** Time that the caller has left, in ms. */
	readonly remainingMs: number;
	/** Time before which another attempt is known to fail, in ms. */
	readonly earliestMs: number;
	/** In [0, 1). */
	readonly random: number;
};

/** Value of the Retry-After header for a refused caller, in seconds. */
export function retryAfterSeconds({reason, remainingMs, earliestMs, random}: RetryAfterInput): number {
	const {minS: reasonMinS, spreadS} = retryDelays[reason] ?? DEFAULT_RETRY_DELAY;
	const minS = Math.max(reasonMinS, earliestMs / 1000);
	const maxHonouredS = (remainingMs / 1000) * MAX_HONOURED_SHARE;
	// If the caller would not wait for the longest delay, the delays are spread below the longest one that it honours.
	const delayS = minS + spreadS > maxHonouredS ? maxHonouredS - (random * Math.min(spreadS, maxHonouredS / 4)) : minS + (random * spreadS);
	return Math.round(Math.max(0, delayS) * 1000) / 1000;
}
