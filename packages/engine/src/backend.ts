/**
 * HTTP client of a back end. Reports exactly whether a request can have reached the
 * back end, since a refusal may be `not-run` only if that is certain.
 */
import {type IncomingHttpHeaders, type IncomingMessage} from 'node:http';
import {ConnectionPool, Exchange, type ConnectionTarget} from '#connections';
import {bodyFramingOf, describeError, isFinalStatus} from '#core';

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
	/** The connection was lost after the request was sent, or the response has a status that is none: the request may have run. */
		| {readonly kind: 'lost'; readonly message: string}
	/** The back end responded, but only the end of the connection delimits the body, so a truncated response would look complete. */
		| {readonly kind: 'unframed'; readonly status: number; readonly message: string}
		| {readonly kind: 'aborted'};

const FORWARDED_HEADERS = new Set(['content-type', 'retry-after', 'cache-control', 'location', 'x-not-run']);

function pickHeaders(headers: IncomingHttpHeaders): Readonly<Record<string, string>> {
	return Object.fromEntries(Object.entries(headers)
		.filter(([name, value]) => FORWARDED_HEADERS.has(name) && value !== undefined)
		.map(([name, value]) => [name, Array.isArray(value) ? value.join(', ') : value ?? '']));
}

/** Methods for which a server may demand a length also if there is no body. */
const METHODS_WITH_BODY = new Set(['PATCH', 'POST', 'PUT']);

function mayHaveBody(method: string, status: number): boolean {
	return method !== 'HEAD' && status !== 204 && status !== 304;
}

/** HTTP client of one back end on loopback. */
export class Backend {
	/** @param url - Base URL, for example `http://127.0.0.1:8001`. */
	static create(url: string): Backend {
		return new Backend(new URL(url).host);
	}

	readonly #target: ConnectionTarget;
	readonly #closing = new AbortController();
	readonly #pool: ConnectionPool;
	readonly #exchanges = new Set<Exchange>();
	readonly #waiting: Array<() => void> = [];
	#connections = 0;

	private constructor(address: string) {
		this.#target = {id: address, address};
		this.#pool = ConnectionPool.create(() => performance.now(), this.#closing.signal);
	}

	/** Sends a request and waits for the response head. Does not throw. */
	async send(req: BackendRequest): Promise<BackendResponse> {
		await this.#waitForConnection();
		const response = await this.#send(req);
		if (response.kind !== 'head') {
			this.#releaseConnection();
		}

		return response;
	}

	/** Closes the connections without waiting for pending requests. */
	async close(): Promise<void> {
		this.#closing.abort();
		for (const exchange of this.#exchanges) {
			exchange.abort();
		}
	}

	async #waitForConnection(): Promise<void> {
		if (this.#connections >= MAX_CONNECTIONS) {
			await new Promise<void>(resolve => {
				this.#waiting.push(resolve);
			});
			return;
		}

		this.#connections += 1;
	}

	/** Hands a connection's place to the request that has waited longest. */
	#releaseConnection(): void {
		const next = this.#waiting.shift();
		if (next === undefined) {
			this.#connections -= 1;
		} else {
			next();
		}
	}

	async #send({method, path, headers, body, signal}: BackendRequest): Promise<BackendResponse> {
		const connection = await this.#pool.acquire(this.#target, {isNewRequired: false, timeoutMs: Infinity});
		if (connection.kind === 'failed') {
			return signal.aborted ? {kind: 'aborted'} : {kind: 'not-sent', message: connection.reason};
		}

		if (signal.aborted || this.#closing.signal.aborted) {
			connection.socket.destroy();
			return signal.aborted ? {kind: 'aborted'} : {kind: 'not-sent', message: 'closed'};
		}

		const length = body.length > 0 || METHODS_WITH_BODY.has(method) ? ['Content-Length', String(body.length)] : [];
		let exchange: Exchange;
		try {
			exchange = Exchange.create(this.#target, connection.socket, this.#pool, {
				method, path, headers: ['Host', this.#target.address, ...Object.entries(headers).flat(), ...length], body,
			});
		} catch (error) {
			// Node refuses some characters in paths and headers before it sends anything.
			connection.socket.destroy();
			return {kind: 'not-sent', message: describeError(error)};
		}

		const abort = () => {
			exchange.abort();
		};

		const finish = () => {
			signal.removeEventListener('abort', abort);
			this.#exchanges.delete(exchange);
		};

		signal.addEventListener('abort', abort, {once: true});
		this.#exchanges.add(exchange);
		const head = await exchange.head;
		if (head.kind === 'broken') {
			finish();
			return signal.aborted ? {kind: 'aborted'} : {kind: 'lost', message: head.reason};
		}

		const {res} = head;
		const status = res.statusCode ?? 0;
		// A response that breaks off before it is read has no other listener.
		res.on('error', () => undefined);
		if (!isFinalStatus(status)) {
			finish();
			exchange.abort();
			return {kind: 'lost', message: `response with status ${status}`};
		}

		if (mayHaveBody(method, status) && bodyFramingOf(res.headers) !== 'framed') {
			finish();
			exchange.abort();
			return {kind: 'unframed', status, message: 'response without a length'};
		}

		res.once('close', () => {
			finish();
			this.#releaseConnection();
		});
		return {
			kind: 'head', status, headers: pickHeaders(res.headers), body: readBody(exchange, res),
		};
	}
}

/** The body of a response. @throws Error if it breaks off. */
async function * readBody(exchange: Exchange, res: IncomingMessage): AsyncGenerator<Uint8Array> {
	for await (const chunk of res) {
		yield chunk as Uint8Array;
	}

	if (!res.complete || await exchange.checkIsBroken()) {
		throw new Error('response was interrupted');
	}
}
