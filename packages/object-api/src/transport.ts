/**
 * HTTP requests to the platform. Distinguishes failures that certainly had no effect from
 * failures after which the request may have been received.
 */
import {request, type Dispatcher} from 'undici';
import {propagateAbort} from './propagate-abort.js';
import {UnavailableError} from '#core';
import type {StoreFailure} from '#coordination';

/** Request to the platform. */
export type PlatformRequest = {
	readonly method: 'DELETE' | 'GET' | 'POST' | 'PUT';
	/** Path and query, starting with a slash. */
	readonly path: string;
	/** Sent as JSON if defined. */
	readonly body?: unknown;
};

/** Response with its body parsed as JSON, or the failure; `body` is undefined if the text is not valid JSON. */
export type PlatformResponse
	= | {readonly kind: 'answered'; readonly status: number; readonly body: unknown}
		| {readonly kind: 'failed'; readonly failure: StoreFailure};

/** Options for sending requests. */
export type TransportOptions = {
	readonly dispatcher: Dispatcher;
	/** Origin of the platform, for example `http://127.0.0.1:8001`. */
	readonly url: string;
	/** Platform key, sent as a bearer token. */
	readonly key: string;
	/** Timeout in ms of a request including its response body; for a watch, only of the response headers. */
	readonly timeoutMs: number;
};

/** Error codes of a connection that was never established, so that the request was not sent. */
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'EAI_AGAIN', 'UND_ERR_CONNECT_TIMEOUT']);

/** Failure of a call whose request was not sent or was rejected before it was executed. */
export function failureWithoutEffect(reason: string): StoreFailure {
	return {kind: 'unavailable', effect: 'none', reason};
}

/** Failure of a call that may have been executed; a read never has an effect. */
export function failureWithUnknownEffect(method: PlatformRequest['method'], reason: string): StoreFailure {
	return {kind: 'unavailable', effect: method === 'GET' ? 'none' : 'unknown', reason};
}

/** Classifies an error that was thrown while sending a request or reading its response. */
export function classifyError(method: PlatformRequest['method'], err: unknown): StoreFailure {
	const {code, message} = err as {code?: unknown; message?: unknown};
	const reason = typeof code === 'string' ? code : String(message);
	return typeof code === 'string' && NOT_SENT_CODES.has(code) ? failureWithoutEffect(reason) : failureWithUnknownEffect(method, reason);
}

/** Sends a request and returns the response with an unread body. Throws the errors of undici. */
export async function sendRequest(options: TransportOptions, req: PlatformRequest, signal: AbortSignal): Promise<Dispatcher.ResponseData> {
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

/** Sends a request and reads the response within the timeout. Never throws. */
export async function exchange(options: TransportOptions, req: PlatformRequest, callerSignal?: AbortSignal): Promise<PlatformResponse> {
	if (callerSignal?.aborted) {
		return {kind: 'failed', failure: failureWithoutEffect('aborted before the request was sent')};
	}

	const controller = new AbortController();
	const stopPropagation = propagateAbort(callerSignal, controller);
	const timer = setTimeout(() => {
		controller.abort(new UnavailableError(`no answer within ${options.timeoutMs} ms`));
	}, options.timeoutMs);
	try {
		const res = await sendRequest(options, req, controller.signal);
		const text = await res.body.text();
		return {kind: 'answered', status: res.statusCode, body: parseJson(text)};
	} catch (error) {
		return {kind: 'failed', failure: classifyError(req.method, error)};
	} finally {
		clearTimeout(timer);
		stopPropagation();
	}
}

/** Parses JSON; returns undefined if the text is not valid JSON. */
export function parseJson(text: string): unknown {
	try {
		return JSON.parse(text) as unknown;
	} catch {
		return undefined;
	}
}
