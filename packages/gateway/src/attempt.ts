/** One attempt of a request at one endpoint, up to a complete response or the head of a stream. */
import {validateHeaderName, validateHeaderValue, type IncomingMessage} from 'node:http';
import type {BufferBudget} from './buffer-budget.js';
import type {ConnectionPool} from './connection-pool.js';
import type {
	CallerRequest, Dialect, ForwardingInfo, ResponseHead,
} from './dialect.js';
import {Exchange, readResponseBody} from './exchange.js';
import type {EndpointRecord} from '#dispatch';

/** Result of an attempt. */
export type AttemptResult
	/** No byte of the request was sent. `isForbidden`: it could have been, but was no longer allowed. */
	= | {readonly kind: 'not-sent'; readonly reason: string; readonly isForbidden: boolean}
		/** The endpoint states that it did not run the request. */
		| {readonly kind: 'not-run'; readonly status: number; readonly isMisdirected: boolean; readonly faultyEndpointId: string | undefined; readonly retryAfterS: number | undefined}
		/** A complete response. */
		| {readonly kind: 'response'; readonly status: number; readonly isSigned: boolean; readonly rawHeaders: readonly string[]; readonly body: Uint8Array; /** Whether only the end of the connection delimits the body, which may be truncated. */ readonly isUnframed: boolean}
		/** The head of an event stream; its body has not been read yet. */
		| {readonly kind: 'stream'; readonly res: IncomingMessage; readonly exchange: Exchange}
		/** The request was sent; whether it ran is unknown. */
		| {readonly kind: 'unknown'; readonly reason: string}
		/** No response in time; the request was sent. */
		| {readonly kind: 'silent'}
		/** The caller disconnected. */
		| {readonly kind: 'caller-left'};

/** Input of an attempt. */
export type AttemptInput = {
	readonly req: CallerRequest;
	readonly body: Uint8Array;
	readonly endpoint: EndpointRecord;
	readonly forwarding: Omit<ForwardingInfo, 'remainingMs' | 'bodyBytes'>;
	readonly isStream: boolean;
	/** Whether an idle connection may be reused: if it breaks, the request has to be sent again and may run twice. */
	readonly mayReuseConnection: boolean;
	/** Time left for the caller's request, in ms, read just before it is sent. */
	readonly remainingMs: () => number;
	/** Timeout of the response head, or of a complete response other than a stream, in ms. */
	readonly responseTimeoutMs: number;
	/** Checked again just before the request is sent; if false, it is not sent. */
	readonly maySend: () => boolean;
	readonly callerDisconnected: AbortSignal;
	/** Aborts when the requests of a stopping entry have to end. */
	readonly requestsEnded: AbortSignal;
	/** Limits what all responses hold. */
	readonly buffers: BufferBudget;
	/** Called just before the first byte of the request is sent. */
	readonly onSending: () => void;
	/** Called with the head of whatever the endpoint sent, which need not be a response to this request. */
	readonly onHead: (head: ResponseHead) => void;
	/** Called with the head of the endpoint's response to this request. */
	readonly onResponse: (response: ResponseHead) => void;
};

/** Largest response that is buffered before it is forwarded, in bytes. */
const MAX_BUFFERED_RESPONSE_BYTES = 8 * 1024 * 1024;

/** Largest body that is read of a response that is not forwarded, in bytes; the connection of a longer one is closed. */
const MAX_NOT_RUN_BYTES = 16 * 1024;

/** Range of the statuses of complete responses. */
const MIN_FINAL_STATUS = 200;
const MAX_STATUS = 599;

export async function runAttempt(input: AttemptInput, pool: ConnectionPool, dialect: Dialect): Promise<AttemptResult> {
	const {req, endpoint, callerDisconnected} = input;
	const opened = await pool.acquire(endpoint, {isNewRequired: !input.mayReuseConnection, timeoutMs: input.remainingMs()});
	if (opened.kind === 'failed') {
		return {kind: 'not-sent', reason: opened.reason, isForbidden: false};
	}

	if (callerDisconnected.aborted || !input.maySend()) {
		pool.release(endpoint, opened.socket, undefined);
		return callerDisconnected.aborted ? {kind: 'caller-left'} : {kind: 'not-sent', reason: 'no longer allowed', isForbidden: true};
	}

	const forwarding = {...input.forwarding, remainingMs: input.remainingMs(), bodyBytes: input.body.length};
	const outgoing = {
		method: req.method,
		path: req.path,
		headers: dialect.headersToEndpoint(req, forwarding),
		body: input.body,
	};
	input.onSending();
	const exchange = Exchange.create(endpoint, opened.socket, pool, outgoing);
	return awaitResponse({...input, isReusedConnection: opened.isReused}, exchange, dialect);
}

/** An attempt whose request was sent. */
type SentAttempt = AttemptInput & {readonly isReusedConnection: boolean};

async function awaitResponse(input: SentAttempt, exchange: Exchange, dialect: Dialect): Promise<AttemptResult> {
	const {callerDisconnected, requestsEnded} = input;
	return new Promise((resolve, reject) => {
		const finish = (result: AttemptResult) => {
			clearTimeout(timer);
			callerDisconnected.removeEventListener('abort', onDisconnect);
			requestsEnded.removeEventListener('abort', onSilent);
			resolve(result);
		};

		const onSilent = () => {
			finish({kind: 'silent'});
			exchange.abort();
		};

		const timer = setTimeout(onSilent, Math.max(0, input.responseTimeoutMs));
		requestsEnded.addEventListener('abort', onSilent, {once: true});
		const onDisconnect = () => {
			finish({kind: 'caller-left'});
			exchange.abort();
		};

		callerDisconnected.addEventListener('abort', onDisconnect, {once: true});
		void readResponse(input, exchange, dialect).then(finish, (error: unknown) => {
			clearTimeout(timer);
			callerDisconnected.removeEventListener('abort', onDisconnect);
			requestsEnded.removeEventListener('abort', onSilent);
			exchange.abort();
			reject(error);
		});
	});
}

async function readResponse({req, isStream, isReusedConnection, onHead, onResponse, buffers}: SentAttempt, exchange: Exchange, dialect: Dialect): Promise<AttemptResult> {
	const head = await exchange.head;
	if (head.kind === 'broken') {
		return {kind: 'unknown', reason: head.reason};
	}

	const {res} = head;
	const status = res.statusCode ?? 0;
	const response = dialect.readResponse(status, res.headers);
	onHead(response);
	if (!isResponseTo(req, response, isReusedConnection)) {
		exchange.abort();
		return {kind: 'unknown', reason: 'response to another request'};
	}

	onResponse(response);
	const fault = response.isNotRun ? undefined : findHeadFault(status, res.rawHeaders);
	if (fault !== undefined) {
		exchange.abort();
		return {kind: 'unknown', reason: fault};
	}

	if (isStream && status === 200 && response.isSigned) {
		return {kind: 'stream', res, exchange};
	}

	const body = await readResponseBody(exchange, res, {maxBytes: response.isNotRun ? MAX_NOT_RUN_BYTES : MAX_BUFFERED_RESPONSE_BYTES, buffers});
	if (response.isNotRun) {
		return {
			kind: 'not-run', status, isMisdirected: response.isMisdirected, faultyEndpointId: response.faultyEndpointId, retryAfterS: response.retryAfterS,
		};
	}

	if (body === undefined) {
		exchange.abort();
		return {kind: 'unknown', reason: 'response truncated'};
	}

	return {
		kind: 'response', status, isSigned: response.isSigned, rawHeaders: res.rawHeaders, body, isUnframed: isUnframed(res),
	};
}

/**
 * Whether a response belongs to a request. One without a request id is accepted only if the endpoint states that it did not run the
 * request, and only on a new connection: on a kept one it may be an earlier refusal once more.
 */
function isResponseTo(req: CallerRequest, response: ResponseHead, isReusedConnection: boolean): boolean {
	return response.requestId === undefined ? response.isNotRun && !isReusedConnection : response.requestId === req.id;
}

/** Why the head of a response cannot be passed on, since Node parses more than it sends; undefined if it can. */
function findHeadFault(status: number, rawHeaders: readonly string[]): string | undefined {
	if (status < MIN_FINAL_STATUS || status > MAX_STATUS) {
		return `status ${status}`;
	}

	try {
		for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
			validateHeaderName(rawHeaders[i]!);
			validateHeaderValue(rawHeaders[i]!, rawHeaders[i + 1]!);
		}
	} catch (error) {
		return (error as NodeJS.ErrnoException).code ?? 'invalid header';
	}

	return undefined;
}

/** Whether only the end of the connection delimits the body of this response. */
export function isUnframed({headers}: IncomingMessage): boolean {
	return headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
}
