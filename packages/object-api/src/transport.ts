/**
 * One HTTP exchange with the platform. Tells failures that certainly had no effect
 * from failures after the request may have been received.
 */
import {request, type Dispatcher} from 'undici';
import {linkAbort} from './propagate-abort.js';
import {UnavailableError} from '#core';
import type {StoreFailure} from '#coordination';

/** One request. */
export type PlatformRequest = {
	readonly method: 'DELETE' | 'GET' | 'POST' | 'PUT';
	/** Path with query, starting with a slash. */
	readonly path: string;
	/** Sent as JSON if defined. */
	readonly body?: unknown;
};

/** An answer with its body parsed as JSON; `body` is undefined if the text is no JSON. */
export type PlatformAnswer
	= | {readonly kind: 'answered'; readonly status: number; readonly body: unknown}
		| {readonly kind: 'failed'; readonly failure: StoreFailure};

/** How requests are sent. */
export type TransportOptions = {
	readonly dispatcher: Dispatcher;
	/** Origin of the platform, for example `http://127.0.0.1:8001`. */
	readonly url: string;
	/** Platform key, sent as a bearer token. */
	readonly key: string;
	/** Time for a whole exchange in ms; a watch has none. */
	readonly timeoutMs: number;
};

/** Error codes of a connection that was never made, so the request was not sent. */
const NOT_SENT = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'EAI_AGAIN', 'UND_ERR_CONNECT_TIMEOUT']);

/** Failure of a call whose request was not sent or was refused before it was carried out. */
export function withoutEffect(reason: string): StoreFailure {
	return {kind: 'unavailable', effect: 'none', reason};
}

/** Failure of a call that may have been carried out; a read has no effect in any case. */
export function perhapsWithEffect(method: PlatformRequest['method'], reason: string): StoreFailure {
	return {kind: 'unavailable', effect: method === 'GET' ? 'none' : 'unknown', reason};
}

/** Classifies an error thrown while a request was sent or its answer was read. */
export function classifyError(method: PlatformRequest['method'], err: unknown): StoreFailure {
	const {code, message} = err as {code?: unknown; message?: unknown};
	const reason = typeof code === 'string' ? code : String(message);
	return typeof code === 'string' && NOT_SENT.has(code) ? withoutEffect(reason) : perhapsWithEffect(method, reason);
}

/** Sends a request and returns its answer while the body is still unread. Throws what undici throws. */
export async function open(options: TransportOptions, req: PlatformRequest, signal: AbortSignal): Promise<Dispatcher.ResponseData> {
	const headers: Record<string, string> = {authorization: `Bearer ${options.key}`};
	if (req.body !== undefined) {
		headers['content-type'] = 'application/json';
	}

	return request(`${options.url}${req.path}`, {
		dispatcher: options.dispatcher,
		method: req.method,
		headers,
		signal,
		...(req.body === undefined ? {} : {body: JSON.stringify(req.body)}),
	});
}

/** Runs one exchange within the timeout and never throws. */
export async function exchange(options: TransportOptions, req: PlatformRequest, outer?: AbortSignal): Promise<PlatformAnswer> {
	if (outer?.aborted) {
		return {kind: 'failed', failure: withoutEffect('aborted before the request was sent')};
	}

	const controller = new AbortController();
	const unlink = linkAbort(outer, controller);
	const timer = setTimeout(() => {
		controller.abort(new UnavailableError(`no answer within ${options.timeoutMs} ms`));
	}, options.timeoutMs);
	try {
		const res = await open(options, req, controller.signal);
		const text = await res.body.text();
		return {kind: 'answered', status: res.statusCode, body: parseJson(text)};
	} catch (error) {
		return {kind: 'failed', failure: classifyError(req.method, error)};
	} finally {
		clearTimeout(timer);
		unlink();
	}
}

/** Parses JSON; undefined if the text is none. */
export function parseJson(text: string): unknown {
	try {
		return JSON.parse(text) as unknown;
	} catch {
		return undefined;
	}
}
