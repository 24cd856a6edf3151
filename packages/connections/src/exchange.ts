/** One request and its response on one connection to an endpoint. */
import {request, type ClientRequest, type IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import type {BufferBudget} from './buffer-budget.js';
import type {ConnectionPool, ConnectionTarget} from './connection-pool.js';
import type {ResponseChunks} from './response-chunks.js';
import {announcedBytes, BodyBuffer, bodyFramingOf} from '#core';

/** The head of a response, or why there is none. */
export type ExchangeHead
	= | {readonly kind: 'head'; readonly res: IncomingMessage}
		| {readonly kind: 'broken'; readonly reason: string};

/** A request to send. */
export type OutgoingRequest = {
	readonly method: string;
	readonly path: string;
	readonly headers: readonly string[];
	readonly body: Uint8Array;
};

/** Written to a connection that has ended; servers ignore an empty line before a request. */
const PROBE_LINE = '\r\n';

export class Exchange {
	/** Sends a request on an open connection. */
	static create(target: ConnectionTarget, socket: Socket, pool: ConnectionPool, outgoing: OutgoingRequest): Exchange {
		return new Exchange(target, socket, pool, outgoing);
	}

	/** Settles with the head of the response, or when the connection breaks before it. Never rejects. */
	readonly head: Promise<ExchangeHead>;
	readonly #req: ClientRequest;
	readonly #socket: Socket;
	#hasFailed = false;
	/** Whether the connection may serve another request already. */
	#isReleased = false;
	#endCheck: Promise<void> | undefined;

	private constructor(target: ConnectionTarget, socket: Socket, pool: ConnectionPool, outgoing: OutgoingRequest) {
		this.#socket = socket;
		this.#req = request({
			method: outgoing.method,
			path: outgoing.path,
			// Node accepts alternating names and values, which preserves order and spelling; its types do not include this form.
			headers: [...outgoing.headers, 'Connection', 'keep-alive'] as unknown as Record<string, string>,
			createConnection: () => socket,
			setHost: false,
		});
		// Without an agent Node would close the connection after the response; here the pool decides.
		this.#req.shouldKeepAlive = true;
		this.head = new Promise(resolve => {
			let response: IncomingMessage | undefined;
			this.#req.once('response', res => {
				response = res;
				if (isUnframed(res)) {
					socket.prependOnceListener('end', () => {
						this.#endCheck = this.#checkEnd();
					});
				}

				resolve({kind: 'head', res});
			});
			this.#req.on('error', err => {
				this.#hasFailed = true;
				resolve({kind: 'broken', reason: (err as NodeJS.ErrnoException).code ?? err.message});
			});
			this.#req.once('close', () => {
				resolve({kind: 'broken', reason: 'closed'});
				const isClean = response?.complete === true && this.#req.shouldKeepAlive && this.#req.writableFinished && !this.#hasFailed;
				this.#isReleased = isClean;
				if (isClean) {
					pool.release(target, socket, keepAliveTimeoutMs(response?.headers['keep-alive']));
				} else {
					socket.destroy();
				}
			});
		});
		this.#req.end(outgoing.body);
	}

	/** Whether the connection failed: a response without a length then looks complete although it may be truncated. */
	get isBroken(): boolean {
		return this.#hasFailed;
	}

	/** Returns `isBroken` at the end of a response, also if the connection was reset and Node reports that as its end. */
	async checkIsBroken(): Promise<boolean> {
		await this.#endCheck;
		return this.#hasFailed;
	}

	/** Closes the connection, unless the response was received to its end; the endpoint drops the request. */
	abort(): void {
		if (this.#isReleased) {
			return;
		}

		this.#hasFailed = true;
		this.#req.destroy();
		this.#socket.destroy();
	}

	/** A reset that is polled together with the last bytes is reported as an end; a write on the connection fails only after a reset. */
	async #checkEnd(): Promise<void> {
		return new Promise(resolve => {
			this.#socket.write(PROBE_LINE, err => {
				this.#hasFailed ||= Boolean(err);
				resolve();
			});
		});
	}
}

/** Whether only the end of the connection delimits the body of this response. */
export function isUnframed({headers}: IncomingMessage): boolean {
	return bodyFramingOf(headers) === 'unframed';
}

function keepAliveTimeoutMs(keepAlive: string | string[] | undefined): number | undefined {
	const seconds = /timeout=(\d+)/u.exec(String(keepAlive ?? ''))?.[1];
	return seconds === undefined ? undefined : Number(seconds) * 1000;
}

/** Limits of a body: for itself, in bytes, and together with those of all other responses. */
export type BodyLimits = {readonly maxBytes: number; readonly buffers: BufferBudget};

/** What the reading of a body needs of its exchange. */
type BodyExchange = Pick<Exchange, 'abort' | 'checkIsBroken'>;

/** The end of the reading of a body. */
export type ResponseBody
	= | {readonly kind: 'complete'; readonly body: Uint8Array}
		| {readonly kind: 'incomplete'; readonly reason: 'truncated' | 'too long' | 'in too many small chunks'};

/** Reads a complete body. */
export async function readResponseBody(exchange: BodyExchange, res: IncomingMessage, {maxBytes, buffers}: BodyLimits): Promise<ResponseBody> {
	const share = buffers.open();
	const chunks = buffers.openChunks(res);
	const body = BodyBuffer.create(announcedBytes(res.headers), buffers.pieces);
	try {
		const fault = await readInto(body, {
			exchange, res, chunks, maxBytes, reserve: share.resize,
		});
		return fault === undefined ? {kind: 'complete', body: body.take()} : {kind: 'incomplete', reason: fault};
	} finally {
		body.clear();
		chunks.close();
		share.release();
	}
}

type BodyReading = {
	readonly exchange: BodyExchange;
	readonly res: IncomingMessage;
	readonly chunks: ResponseChunks;
	readonly maxBytes: number;
	/** Returns whether the body may hold `bytes`. */
	readonly reserve: (bytes: number) => boolean;
};

type BodyFault = Extract<ResponseBody, {readonly kind: 'incomplete'}>['reason'];

/** Returns why the body is not whole; undefined if it is. */
async function readInto(body: BodyBuffer, {exchange, res, chunks, maxBytes, reserve}: BodyReading): Promise<BodyFault | undefined> {
	return new Promise(resolve => {
		const giveUp = (fault: BodyFault) => {
			res.off('data', onData);
			resolve(fault);
			exchange.abort();
		};

		const onData = (chunk: Uint8Array) => {
			if (!chunks.take(chunk.length)) {
				giveUp('in too many small chunks');
			} else if (body.bytes + chunk.length > maxBytes || !body.append(chunk, reserve)) {
				giveUp('too long');
			}
		};

		res.on('data', onData);
		let hasEnded = false;
		res.once('end', () => {
			hasEnded = true;
			chunks.close();
			void exchange.checkIsBroken().then(isBroken => {
				resolve(res.complete && !isBroken ? undefined : 'truncated');
			});
		});
		res.on('error', () => {
			// 'close' follows and settles the promise.
		});
		res.once('close', () => {
			if (!hasEnded) {
				resolve('truncated');
			}
		});
	});
}
