/** One attempt of a request at one endpoint, up to a complete answer or the first event of a stream. */
import type {IncomingMessage} from 'node:http';
import type {ConnectionPool} from './connection-pool.js';
import type {
	AnswerHead, CallerRequest, Dialect, PassedOn,
} from './dialect.js';
import {Exchange, readWhole} from './exchange.js';
import type {EndpointRecord} from '#dispatch';

/** How an attempt ended. */
export type AttemptEnd
	/** No byte of the request left this process. */
	= | {readonly kind: 'not-sent'; readonly reason: string}
		/** The endpoint states that it did not run the request. */
		| {readonly kind: 'not-run'; readonly status: number; readonly isMisdirected: boolean; readonly atFault: string | undefined}
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
	readonly passedOn: Omit<PassedOn, 'remainingMs' | 'bodyBytes'>;
	readonly isStream: boolean;
	/** Whether a kept connection may be used: if it breaks, the request may run again. */
	readonly mayReuse: boolean;
	/** Time that is left for the caller's request, in ms, read just before it is sent. */
	readonly remainingMs: () => number;
	/** Longest wait for the head of an answer, in ms. */
	readonly silenceMs: number;
	/** Checked once more just before the request is sent; false keeps it from being sent. */
	readonly maySend: () => boolean;
	readonly callerLeft: AbortSignal;
};

/** Largest answer that is read whole before it is passed on, in bytes. */
const MAX_WHOLE_ANSWER_BYTES = 8 * 1024 * 1024;

export async function runAttempt(input: AttemptInput, pool: ConnectionPool, dialect: Dialect): Promise<AttemptEnd> {
	const {req, endpoint, callerLeft} = input;
	const opened = await pool.open(endpoint, {isFresh: !input.mayReuse, timeoutMs: input.remainingMs()});
	if (opened.kind === 'failed') {
		return {kind: 'not-sent', reason: opened.reason};
	}

	if (callerLeft.aborted || !input.maySend()) {
		pool.keep(endpoint, opened.socket, undefined);
		return callerLeft.aborted ? {kind: 'caller-left'} : {kind: 'not-sent', reason: 'no longer allowed'};
	}

	const passedOn = {...input.passedOn, remainingMs: input.remainingMs(), bodyBytes: input.body.length};
	const exchange = Exchange.create(endpoint, opened.socket, pool, {
		method: req.method,
		path: req.path,
		headers: dialect.headersToEndpoint(req, passedOn),
		body: input.body,
	});
	return awaitAnswer(input, exchange, dialect);
}

async function awaitAnswer(input: AttemptInput, exchange: Exchange, dialect: Dialect): Promise<AttemptEnd> {
	const {callerLeft} = input;
	return new Promise(resolve => {
		const finish = (end: AttemptEnd) => {
			clearTimeout(timer);
			callerLeft.removeEventListener('abort', onLeft);
			resolve(end);
		};

		const timer = setTimeout(() => {
			finish({kind: 'silent'});
			exchange.abort();
		}, Math.max(0, input.silenceMs));
		const onLeft = () => {
			finish({kind: 'caller-left'});
			exchange.abort();
		};

		callerLeft.addEventListener('abort', onLeft, {once: true});
		void readAnswer(input, exchange, dialect).then(finish);
	});
}

async function readAnswer({req, isStream}: AttemptInput, exchange: Exchange, dialect: Dialect): Promise<AttemptEnd> {
	const head = await exchange.head;
	if (head.kind === 'broken') {
		return {kind: 'unknown', reason: head.reason};
	}

	const {res} = head;
	const status = res.statusCode ?? 0;
	const answer = dialect.readAnswer(status, res.headers);
	if (!belongsTo(req, answer)) {
		exchange.abort();
		return {kind: 'unknown', reason: 'answer of another request'};
	}

	if (isStream && status === 200 && answer.isSigned) {
		return {kind: 'stream', res, exchange};
	}

	const body = await readWhole(exchange, res, MAX_WHOLE_ANSWER_BYTES);
	if (answer.isNotRun) {
		return {
			kind: 'not-run', status, isMisdirected: answer.isMisdirected, atFault: answer.atFault,
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
function belongsTo(req: CallerRequest, answer: AnswerHead): boolean {
	return answer.requestId === undefined ? answer.isNotRun : answer.requestId === req.id;
}

/** Whether nothing but the end of the connection ends this answer. */
export function isUnframed({headers}: IncomingMessage): boolean {
	return headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
}
