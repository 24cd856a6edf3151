/** The response to one caller: a complete one, a stream, or a refusal. */
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** Who closed a connection before its response was complete. */
export type Disconnect
	/** The caller has ended its sending side. It counts as gone: nothing tells it from one that still reads. */
	= | {readonly closedBy: 'caller-end'}
		/** The connection failed, mostly since the caller reset it. */
		| {readonly closedBy: 'caller-reset'; readonly code: string}
		| {readonly closedBy: 'entry'; readonly reason: string};

export type CallerResponseOptions = {
	/** Called when the head is sent; returns whether the connection closes after the response, which it must if `isRequired`. */
	readonly closesAfter: (isRequired: boolean) => boolean;
	/** Returns why the server has closed the connection, if it has. */
	readonly closeReason: () => string | undefined;
	/** Called when the connection is closed before the response is complete. */
	readonly onCut: () => void;
	/** Resets the connection. */
	readonly reset: () => void;
};

export class CallerResponse {
	static create(res: ServerResponse, options: CallerResponseOptions): CallerResponse {
		return new CallerResponse(res, options);
	}

	readonly #disconnected = new AbortController();
	readonly #res: ServerResponse;
	readonly #socket: Socket;
	readonly #options: CallerResponseOptions;
	#isDestroyed = false;
	/** Whether only the end of the connection delimits the body. */
	#isUnframed = false;

	private constructor(res: ServerResponse, options: CallerResponseOptions) {
		this.#res = res;
		this.#socket = res.req.socket;
		this.#options = options;
		res.once('close', () => {
			if (!res.writableFinished) {
				this.#disconnected.abort();
			}
		});
		res.on('error', () => {
			this.#disconnected.abort();
		});
	}

	/** Aborts when the caller disconnects before its response is complete. */
	get disconnected(): AbortSignal {
		return this.#disconnected.signal;
	}

	/** Who closed the connection; undefined while it is open, and if it was closed by `destroy`. */
	get disconnect(): Disconnect | undefined {
		if (this.#isDestroyed || !this.#disconnected.signal.aborted) {
			return undefined;
		}

		const {errored, readableEnded} = this.#socket;
		const reason = this.#options.closeReason();
		if (reason !== undefined) {
			return {closedBy: 'entry', reason};
		}

		if (errored) {
			return {closedBy: 'caller-reset', code: (errored as NodeJS.ErrnoException).code ?? errored.message};
		}

		return readableEnded ? {closedBy: 'caller-end'} : {closedBy: 'entry', reason: 'unknown'};
	}

	/** Whether the head of the response was sent. */
	get isStarted(): boolean {
		return this.#res.headersSent;
	}

	/** Whether the response has begun and only the end of the connection delimits it. */
	get isUnframed(): boolean {
		return this.#isUnframed;
	}

	/** Sends a complete response, after which the connection may be kept unless it is to be closed. */
	sendComplete(status: number, headers: readonly string[], body: Uint8Array, connection: 'kept' | 'closed' = 'kept'): void {
		const framing = mayHaveBody(status) ? ['Content-Length', String(body.length)] : [];
		this.#writeHead(status, [...headers, ...framing], connection);
		this.#res.end(body);
	}

	/** Sends a response that, like the endpoint's, is delimited only by the end of the connection, since its length is unknown. */
	sendUnframed(status: number, headers: readonly string[], body: Uint8Array): void {
		this.#res.useChunkedEncodingByDefault = false;
		this.#isUnframed = true;
		this.#writeHead(status, headers, 'closed');
		this.#res.end(body);
	}

	/** Sends the head of a stream. It is sent in chunks, so that a kill of this process does not make a part of it look complete. */
	startStream(status: number, headers: readonly string[]): void {
		this.#writeHead(status, headers, 'kept');
		this.#res.flushHeaders();
		// Callers of HTTP/1.0 know no chunks.
		this.#isUnframed = !this.#res.chunkedEncoding;
	}

	/** Sends bytes of a stream. Returns false if the caller reads too slowly; `drained` settles when the buffer is empty. */
	write(bytes: Uint8Array): boolean {
		return this.#res.write(bytes);
	}

	/** Settles when the caller has read what was written, or has disconnected. */
	async drained(): Promise<void> {
		return new Promise(resolve => {
			const done = () => {
				this.#res.off('drain', done).off('close', done);
				resolve();
			};

			this.#res.once('drain', done).once('close', done);
		});
	}

	/** Ends a complete stream. */
	endStream(): void {
		this.#res.end();
	}

	/** Closes the connection, so that an incomplete response does not look complete. */
	destroy(): void {
		this.#isDestroyed = true;
		this.#options.onCut();
		// A response that waits for an earlier one has sent nothing.
		if (this.#isUnframed && this.#res.socket !== null) {
			this.#options.reset();
		}

		this.#res.destroy();
	}

	/** Resets the connection if the response is incomplete and would look complete at the end of this process. Returns whether it does. */
	resetUnframed(): boolean {
		const isCut = this.#isUnframed && !this.#res.writableFinished;
		if (isCut) {
			this.destroy();
		}

		return isCut;
	}

	#writeHead(status: number, headers: readonly string[], connection: 'kept' | 'closed'): void {
		const closing = this.#options.closesAfter(connection === 'closed') ? ['Connection', 'close'] : [];
		this.#res.writeHead(status, [...headers, ...closing] as unknown as Record<string, string>);
	}
}

function mayHaveBody(status: number): boolean {
	return status >= 200 && status !== 204 && status !== 304;
}
