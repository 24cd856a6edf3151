/** One attempt of a request at one endpoint, up to a complete response or the head of a stream. */
import {validateHeaderName, validateHeaderValue, type IncomingMessage} from 'node:http';
import type {
	CallerRequest, Dialect, ForwardingInfo, ResponseHead,
} from './dialect.js';
import {
	type BufferBudget, type ConnectionPool, Exchange, isUnframed, readResponseBody,
} from '#connections';
import {bodyFramingOf, isFinalStatus} from '#core';
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
		/** It was aborted. */
		| {readonly kind: 'aborted'};

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
	/** Time without the response head, or without a complete response other than a stream, after which the endpoint counts as silent, in ms; undefined if it never does. */
	readonly silenceMs: number | undefined;
	/** Checked again just before the request is sent; if false, it is not sent. */
	readonly maySend: () => boolean;
	/** Ends the attempt and closes its connection. */
	readonly signal: AbortSignal;
	/** Limits what all responses hold. */
	readonly buffers: BufferBudget;
	/** Called just before the first byte of the request is sent. */
	readonly onSending: () => void;
	/** Called when the endpoint may be silent; the attempt goes on. Returns the time after which it is called again, in ms. */
	readonly onSilent: () => number | undefined;
	/** Called with the head of whatever the endpoint sent, which need not be a response to this request. */
	readonly onHead: (head: ResponseHead) => void;
	/** Called with the head of the endpoint's response to this request. */
	readonly onResponse: (response: ResponseHead) => void;
};

/** Largest response that is buffered before it is forwarded, in bytes. */
const MAX_BUFFERED_RESPONSE_BYTES = 8 * 1024 * 1024;

/** Largest body that is read of a response that is not forwarded, in bytes; the connection of a longer one is closed. */
const MAX_NOT_RUN_BYTES = 16 * 1024;

export async function runAttempt(input: AttemptInput, pool: ConnectionPool, dialect: Dialect): Promise<AttemptResult> {
	const {req, endpoint, signal} = input;
	const opened = await pool.acquire(endpoint, {isNewRequired: !input.mayReuseConnection, timeoutMs: input.remainingMs()});
	if (opened.kind === 'failed') {
		return {kind: 'not-sent', reason: opened.reason, isForbidden: false};
	}

	if (signal.aborted || !input.maySend()) {
		pool.release(endpoint, opened.socket, undefined);
		return signal.aborted ? {kind: 'aborted'} : {kind: 'not-sent', reason: 'no longer allowed', isForbidden: true};
	}

	const forwarding = {...input.forwarding, remainingMs: input.remainingMs(), bodyBytes: input.body.length};
	const outgoing = {
		method: req.method,
		path: req.path,
		headers: dialect.headersToEndpoint(req, forwarding),
		body: input.body,
	};
	input.onSending();
	let exchange: Exchange;
	try {
		exchange = Exchange.create(endpoint, opened.socket, pool, outgoing);
	} catch (error) {
		opened.socket.on('error', () => undefined).destroy();
		throw error;
	}

	return awaitResponse({...input, isReusedConnection: opened.isReused}, exchange, dialect);
}

/** An attempt whose request was sent. */
type SentAttempt = AttemptInput & {readonly isReusedConnection: boolean};

async function awaitResponse(input: SentAttempt, exchange: Exchange, dialect: Dialect): Promise<AttemptResult> {
	const {signal, silenceMs, onSilent} = input;
	let timer: NodeJS.Timeout | undefined;
	const startTimer = (ms: number | undefined) => {
		if (ms !== undefined) {
			timer = setTimeout(() => {
				startTimer(onSilent());
			}, Math.max(0, ms));
		}
	};

	startTimer(silenceMs);
	let onAbort: () => void;
	const aborted = new Promise<AttemptResult>(resolve => {
		onAbort = () => {
			resolve({kind: 'aborted'});
			exchange.abort();
		};

		signal.addEventListener('abort', onAbort, {once: true});
	});
	try {
		return await Promise.race([aborted, readResponse(input, exchange, dialect)]);
	} catch (error) {
		exchange.abort();
		throw error;
	} finally {
		clearTimeout(timer);
		signal.removeEventListener('abort', onAbort!);
	}
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
	const fault = findInvalidHead(res) ?? (!response.isNotRun && bodyFramingOf(res.headers) === 'unsupported' ? 'transfer coding' : undefined);
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

	if (body.kind === 'incomplete') {
		exchange.abort();
		return {kind: 'unknown', reason: `response ${body.reason}`};
	}

	return {
		kind: 'response', status, isSigned: response.isSigned, rawHeaders: res.rawHeaders, body: body.body, isUnframed: isUnframed(res),
	};
}

/**
 * Whether a response belongs to a request. One without a request id is accepted only if the endpoint states that it did not run the
 * request, and only on a new connection: on a kept one it may be an earlier refusal once more.
 */
function isResponseTo(req: CallerRequest, response: ResponseHead, isReusedConnection: boolean): boolean {
	return response.requestId === undefined ? response.isNotRun && !isReusedConnection : response.requestId === req.id;
}

/**
 * Why nothing in a head counts, also not that the request was not run; undefined if it does. Node parses more than it sends, and on some
 * processors accepts header names that it rejects on others.
 */
function findInvalidHead({statusCode: status = 0, rawHeaders}: IncomingMessage): string | undefined {
	if (!isFinalStatus(status)) {
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
