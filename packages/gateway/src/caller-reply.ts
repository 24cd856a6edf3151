/** The answer to one caller: a whole one, a stream, or one of the entry's own. */
import type {ServerResponse} from 'node:http';

export class CallerReply {
	/** @param isClosing - Whether the connection should end with this answer. */
	static create(res: ServerResponse, isClosing: () => boolean): CallerReply {
		return new CallerReply(res, isClosing);
	}

	readonly #disconnected = new AbortController();
	readonly #res: ServerResponse;
	readonly #isClosing: () => boolean;

	private constructor(res: ServerResponse, isClosing: () => boolean) {
		this.#res = res;
		this.#isClosing = isClosing;
		res.once('close', () => {
			if (!res.writableFinished) {
				this.#disconnected.abort();
			}
		});
		res.on('error', () => {
			this.#disconnected.abort();
		});
	}

	/** Aborts when the caller leaves before its answer is complete. */
	get disconnected(): AbortSignal {
		return this.#disconnected.signal;
	}

	/** Whether the head of a stream was sent. */
	get isStarted(): boolean {
		return this.#res.headersSent;
	}

	/** Sends a complete answer. */
	sendComplete(status: number, headers: readonly string[], body: Uint8Array): void {
		const framing = mayHaveBody(status) ? ['Content-Length', String(body.length)] : [];
		this.#writeHead(status, [...headers, ...framing]);
		this.#res.end(body);
	}

	/** Sends an answer that only the end of the connection ends, as the endpoint did: its length is not vouched for. */
	sendUnframed(status: number, headers: readonly string[], body: Uint8Array): void {
		this.#res.useChunkedEncodingByDefault = false;
		this.#res.writeHead(status, [...headers, 'Connection', 'close'] as unknown as Record<string, string>);
		this.#res.end(body);
	}

	/** Sends the head of a stream. */
	startStream(status: number, headers: readonly string[]): void {
		this.#writeHead(status, headers);
		this.#res.flushHeaders();
	}

	/** Sends bytes of a stream. Returns false if the caller reads too slowly; `drained` settles when it has caught up. */
	write(bytes: Uint8Array): boolean {
		return this.#res.write(bytes);
	}

	/** Settles when the caller has read what was written, or has left. */
	async drained(): Promise<void> {
		return new Promise(resolve => {
			const done = () => {
				this.#res.off('drain', done).off('close', done);
				resolve();
			};

			this.#res.once('drain', done).once('close', done);
		});
	}

	/** Ends a stream as complete. */
	endStream(): void {
		this.#res.end();
	}

	/** Closes the connection, so that an incomplete stream does not look complete. */
	destroy(): void {
		this.#res.destroy();
	}

	#writeHead(status: number, headers: readonly string[]): void {
		const closing = this.#isClosing() ? ['Connection', 'close'] : [];
		this.#res.writeHead(status, [...headers, ...closing] as unknown as Record<string, string>);
	}
}

function mayHaveBody(status: number): boolean {
	return status >= 200 && status !== 204 && status !== 304;
}
