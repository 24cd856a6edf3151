/**
 * HTTP client of a back end. Reports exactly whether a request can have reached the
 * back end, since a refusal may be `not-run` only if that is certain.
 */
import {Buffer} from 'node:buffer';
import {type Dispatcher, Pool} from 'undici';
import {bodyFramingOf} from '#core';

/** Maximum connections of a process to its back end; each running request uses one. */
const MAX_CONNECTIONS = 512;

/** A request for the back end. */
export type BackendRequest = {
	readonly method: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Uint8Array;
	readonly signal: AbortSignal;
};

/** Result of a request before any byte of the response body. */
export type BackendResponse
	= | {readonly kind: 'head'; readonly status: number; readonly headers: Readonly<Record<string, string>>; readonly body: AsyncIterable<Uint8Array>}
	/** The connection was not established: the request did not run. */
		| {readonly kind: 'not-sent'; readonly message: string}
	/** The connection was lost after the request was sent. */
		| {readonly kind: 'lost'; readonly message: string}
	/** The back end responded, but only the end of the connection delimits the body, so a truncated response would look complete. */
		| {readonly kind: 'unframed'; readonly status: number; readonly message: string}
		| {readonly kind: 'aborted'};

const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT', 'EADDRNOTAVAIL']);
const FORWARDED_HEADERS = new Set(['content-type', 'retry-after', 'cache-control', 'location', 'x-not-run']);

function pickHeaders(headers: Dispatcher.ResponseData['headers']): Readonly<Record<string, string>> {
	return Object.fromEntries(Object.entries(headers)
		.filter(([name, value]) => FORWARDED_HEADERS.has(name) && value !== undefined)
		.map(([name, value]) => [name, Array.isArray(value) ? value.join(', ') : value ?? '']));
}

function errorCode(error: unknown): string {
	return error instanceof Error && 'code' in error && typeof error.code === 'string' ? error.code : '';
}

function mayHaveBody(method: string, status: number): boolean {
	return method !== 'HEAD' && status !== 204 && status !== 304;
}

/** HTTP client of one back end on loopback. */
export class Backend {
	/** @param url - Base URL, for example `http://127.0.0.1:8001`. */
	static create(url: string): Backend {
		return new Backend(new Pool(url, {
			connections: MAX_CONNECTIONS, pipelining: 1, headersTimeout: 0, bodyTimeout: 0, connectTimeout: 2000, keepAliveTimeout: 30_000,
		}));
	}

	readonly #pool: Pool;

	private constructor(pool: Pool) {
		this.#pool = pool;
	}

	/** Sends a request and waits for the response head. Does not throw. */
	async send(req: BackendRequest): Promise<BackendResponse> {
		try {
			const res = await this.#pool.request({
				method: req.method,
				path: req.path,
				headers: req.headers,
				body: req.body.length === 0 ? null : Buffer.from(req.body.buffer, req.body.byteOffset, req.body.length),
				signal: req.signal,
				// Prevents the client library from sending the request again.
				idempotent: false,
			});
			if (mayHaveBody(req.method, res.statusCode) && bodyFramingOf(res.headers) !== 'framed') {
				res.body.on('error', () => undefined).destroy();
				return {kind: 'unframed', status: res.statusCode, message: 'response without a length'};
			}

			return {
				kind: 'head', status: res.statusCode, headers: pickHeaders(res.headers), body: res.body as AsyncIterable<Uint8Array>,
			};
		} catch (error) {
			if (req.signal.aborted) {
				return {kind: 'aborted'};
			}

			const message = error instanceof Error ? error.message : String(error);
			return NOT_SENT_CODES.has(errorCode(error)) ? {kind: 'not-sent', message} : {kind: 'lost', message};
		}
	}

	/** Closes the connections without waiting for pending requests. */
	async close(): Promise<void> {
		await this.#pool.destroy();
	}
}
