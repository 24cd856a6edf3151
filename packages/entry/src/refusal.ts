/** Error responses to callers: reasons, HTTP status and body. */

/** Reasons for refusing a request. Each has a counter. */
export const refusalReasons = [
	'unauthorized',
	'bad-request',
	'too-large',
	'body-budget',
	'body-timeout',
	'body-framing',
	'unknown-model',
	'unknown-service',
	'idempotency-key-required',
	'key-reused',
	'in-progress',
	'outcome-unknown',
	'claim-unavailable',
	'over-limit',
	'overloaded',
	'deadline',
	'no-endpoint',
	'leaving',
	'quarantined',
	'backend-error',
	'stream-lost',
	'retry-budget',
	'not-ready',
] as const;

export type RefusalReason = (typeof refusalReasons)[number];

/** Whether the request ran: definitely not, or unknown. */
export type Outcome = 'not-run' | 'unknown';

/** An error response to a caller. */
export type Refusal = {
	readonly kind: 'refusal';
	readonly reason: RefusalReason;
	readonly outcome: Outcome;
	readonly message: string;
	/** Seconds after which the caller may retry, if known. */
	readonly retryAfterSeconds?: number;
};

/** Reasons for retrying an attempt. Each has a counter. */
export const retryReasons = ['leaving', 'endpoint-full', 'link-down-before-send', 'link-lost', 'engine-crashed', 'engine-refused', 'no-answer', 'stalled'] as const;
export type RetryReason = (typeof retryReasons)[number];

const statusByReason: Readonly<Record<RefusalReason, number>> = {
	unauthorized: 401,
	'bad-request': 400,
	'too-large': 413,
	'body-budget': 503,
	'body-timeout': 408,
	'body-framing': 413,
	'unknown-model': 404,
	'unknown-service': 404,
	'idempotency-key-required': 400,
	'key-reused': 422,
	'in-progress': 409,
	'outcome-unknown': 409,
	'claim-unavailable': 503,
	'over-limit': 429,
	overloaded: 503,
	deadline: 504,
	'no-endpoint': 503,
	leaving: 503,
	quarantined: 422,
	'backend-error': 502,
	'stream-lost': 502,
	'retry-budget': 503,
	'not-ready': 503,
};

/** The `type` field of the OpenAI-compatible error body for a status. */
function errorType(status: number): string {
	if (status === 401) {
		return 'authentication_error';
	}

	if (status === 429) {
		return 'rate_limit_error';
	}

	return status < 500 ? 'invalid_request_error' : 'server_error';
}

export function createRefusal(reason: RefusalReason, outcome: Outcome, message: string, retryAfterSeconds?: number): Refusal {
	return {
		kind: 'refusal', reason, outcome, message, ...(retryAfterSeconds === undefined ? {} : {retryAfterSeconds}),
	};
}

/** HTTP form of a refusal: status, headers and body. */
export function renderRefusal(refusal: Refusal): {readonly status: number; readonly headers: Readonly<Record<string, string>>; readonly body: string} {
	const status = statusByReason[refusal.reason];
	const body = JSON.stringify({
		error: {
			message: refusal.message, type: errorType(status), code: refusal.reason, param: null, outcome: refusal.outcome,
		},
	});
	return {
		status,
		headers: {
			'content-type': 'application/json',
			'x-mimosamount-outcome': refusal.outcome,
			...(refusal.retryAfterSeconds === undefined ? {} : {'retry-after': String(Math.max(1, Math.ceil(refusal.retryAfterSeconds)))}),
		},
		body,
	};
}
