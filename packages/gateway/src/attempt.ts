/** One attempt of a request at one endpoint, up to a complete answer or the first event of a stream. */
import type {IncomingMessage} from 'node:http';
import type {ConnectionPool} from './connection-pool.js';
import type {
	ResponseHead, CallerRequest, Dialect, ForwardingInfo,
} from './dialect.js';
import {Exchange, readResponseBody} from './exchange.js';
import type {EndpointRecord} from '#dispatch';

/** How an attempt ended. */
export type AttemptResult
	/** No byte of the request left this process. */
	= | {readonly kind: 'not-sent'; readonly reason: string}
		/** The endpoint states that it did not run the request. */
		| {readonly kind: 'not-run'; readonly status: number; readonly isMisdirected: boolean; readonly faultyEndpointId: string | undefined}
		/** A complete answer. */
		| {readonly kind: 'answer'; readonly status: number; readonly isSigned: boolean; readonly rawHeaders: readonly string[]; readonly body: Uint8Array; /** Whether only the end of the connection ended it: it may be short. */ readonly isUnframed: boolean}
		/** The head of an event stream; its body is not read yet. */
		| {readonly kind: 'stream'; readonly res: IncomingMessage; readonly exchange: Exchange}
		/** The request was sent; whether it ran is not known. */
		| {readonly kind: 'unknown'; readonly reason: string}
		/** No answer in time; the request was sent. */
		| {readonly kind: 'silent'}
		/** The caller left. */
		| {readonly kind: 'caller-left'};

/** What an attempt needs. */
export type AttemptInput = {
	readonly req: CallerRequest;
	readonly body: Uint8Array;
	readonly endpoint: EndpointRecord;
	readonly forwarding: Omit<ForwardingInfo, 'remainingMs' | 'bodyBytes'>;
	readonly isStream: boolean;
	/** Whether a kept connection may be used: if it breaks, the request may run again. */
	readonly mayReuseConnection: boolean;
	/** Time that is left for the caller's request, in ms, read just before it is sent. */
	readonly remainingMs: () => number;
	/** Longest wait for the head of an answer, in ms. */
	readonly responseTimeoutMs: number;
	/** Checked once more just before the request is sent; false keeps it from being sent. */
	readonly maySend: () => boolean;
	readonly callerDisconnected: AbortSignal;
};

/** Largest answer that is read whole before it is passed on, in bytes. */
const MAX_BUFFERED_RESPONSE_BYTES = 8 * 1024 * 1024;

export async function runAttempt(input: AttemptInput, pool: ConnectionPool, dialect: Dialect): Promise<AttemptResult> {
	const {req, endpoint, callerDisconnected: callerLeft} = input;
	const opened = await pool.acquire(endpoint, {isFresh: !input.mayReuseConnection, timeoutMs: input.remainingMs()});
	if (opened.kind === 'failed') {
		return {kind: 'not-sent', reason: opened.reason};
	}

	if (callerLeft.aborted || !input.maySend()) {
		pool.release(endpoint, opened.socket, undefined);
		return callerLeft.aborted ? {kind: 'caller-left'} : {kind: 'not-sent', reason: 'no longer allowed'};
	}

	const passedOn = {...input.forwarding, remainingMs: input.remainingMs(), bodyBytes: input.body.length};
	const exchange = Exchange.create(endpoint, opened.socket, pool, {
		method: req.method,
		path: req.path,
		headers: dialect.headersToEndpoint(req, passedOn),
		body: input.body,
	});
	return awaitResponse(input, exchange, dialect);
}

async function awaitResponse(input: AttemptInput, exchange: Exchange, dialect: Dialect): Promise<AttemptResult> {
	const {callerDisconnected: callerLeft} = input;
	return new Promise(resolve => {
		const finish = (end: AttemptResult) => {
			clearTimeout(timer);
			callerLeft.removeEventListener('abort', onLeft);
			resolve(end);
		};

		const timer = setTimeout(() => {
			finish({kind: 'silent'});
			exchange.abort();
		}, Math.max(0, input.responseTimeoutMs));
		const onLeft = () => {
			finish({kind: 'caller-left'});
			exchange.abort();
		};

		callerLeft.addEventListener('abort', onLeft, {once: true});
		void readResponse(input, exchange, dialect).then(finish);
	});
}

async function readResponse({req, isStream}: AttemptInput, exchange: Exchange, dialect: Dialect): Promise<AttemptResult> {
	const head = await exchange.head;
	if (head.kind === 'broken') {
		return {kind: 'unknown', reason: head.reason};
	}

	const {res} = head;
	const status = res.statusCode ?? 0;
	const answer = dialect.readResponse(status, res.headers);
	if (!isResponseTo(req, answer)) {
		exchange.abort();
		return {kind: 'unknown', reason: 'answer of another request'};
	}

	if (isStream && status === 200 && answer.isSigned) {
		return {kind: 'stream', res, exchange};
	}

	const body = await readResponseBody(exchange, res, MAX_BUFFERED_RESPONSE_BYTES);
	if (answer.isNotRun) {
		return {
			kind: 'not-run', status, isMisdirected: answer.isMisdirected, faultyEndpointId: answer.faultyEndpointId,
		};
	}

	if (body === undefined) {
		exchange.abort();
		return {kind: 'unknown', reason: 'answer broke off'};
	}

	return {
		kind: 'answer', status, isSigned: answer.isSigned, rawHeaders: res.rawHeaders, body, isUnframed: isUnframed(res),
	};
}

/** An answer without an id can only be trusted to be this request's if the endpoint says that it did not run it. */
function isResponseTo(req: CallerRequest, answer: ResponseHead): boolean {
	return answer.requestId === undefined ? answer.isNotRun : answer.requestId === req.id;
}

/** Whether nothing but the end of the connection ends this answer. */
export function isUnframed({headers}: IncomingMessage): boolean {
	return headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
}
