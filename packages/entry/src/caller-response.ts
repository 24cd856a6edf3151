/**
 * The HTTP response to one caller. Event streams are written as data arrives; other responses are
 * buffered until they are complete, so that the request can be retried if an endpoint is lost.
 */
import {Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';
import {renderRefusal, type Refusal} from './refusal.js';
import {BodyBuffer} from '#core';
import {Checksum} from '#protocol';

const EVENT_STREAM_TYPE = 'text/event-stream';

export type ResponseHead = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
};

/** A complete buffered response. Its outcome is stored for callers that send the same idempotency key again. */
export type BufferedResponse = ResponseHead & {readonly body: Uint8Array};

export type CallerResponseOptions = {
	/** Called with the offset up to which bytes were written to the caller or buffered. */
	readonly onDelivered: (offset: number) => void;
	/** Whether the connection closes after this response; called when its head is about to be sent. */
	readonly closesAfter: () => boolean;
	/** Called when a stream that has begun ends without its end, with the bytes of it that were written. */
	readonly onCutOff: (refusal: Refusal, bytes: number) => void;
};

export class CallerResponse {
	static create(res: ServerResponse, requestId: string, options: CallerResponseOptions): CallerResponse {
		return new CallerResponse(res, requestId, options);
	}

	readonly #res: ServerResponse;
	readonly #requestId: string;
	readonly #options: CallerResponseOptions;
	#checksum = Checksum.create();
	#head: ResponseHead | undefined;
	/** Body of a response that is not streamed. */
	readonly #body = BodyBuffer.create(undefined);
	#streaming = false;
	#progressAt = 0;

	private constructor(res: ServerResponse, requestId: string, options: CallerResponseOptions) {
		this.#res = res;
		this.#requestId = requestId;
		this.#options = options;
	}

	/** Bytes already written to the caller, which must not be sent again; 0 unless streaming. */
	get committedBytes(): number {
		return this.#streaming ? this.#checksum.bytes : 0;
	}

	/** Hash of the committed bytes. */
	get committedHash(): string {
		return this.#checksum.digest();
	}

	/** True once a stream has started; its status and headers have been sent. */
	get streaming(): boolean {
		return this.#streaming;
	}

	/** When data was last received, on the monotonic clock in ms; 0 if never. */
	get progressAt(): number {
		return this.#progressAt;
	}

	/** True if the caller disconnected. */
	get disconnected(): boolean {
		return this.#res.destroyed && !this.#res.writableEnded;
	}

	/** HTTP status received so far; 0 if none. */
	get status(): number {
		return this.#head?.status ?? 0;
	}

	/** Creates a response that is buffered but not sent to the caller, for requests that this process makes itself. */
	createDetached(): CallerResponse {
		return new CallerResponse(this.#res, this.#requestId, {...this.#options, onDelivered: () => undefined});
	}

	/** Handles the response head of an attempt. The head of a later attempt does not change a stream that has started. */
	begin(head: ResponseHead): void {
		if (this.#streaming) {
			return;
		}

		this.#head = head;
		this.#progressAt = performance.now();
		this.#body.clear();
		this.#checksum = Checksum.create();
		if ((head.headers['content-type'] ?? '').startsWith(EVENT_STREAM_TYPE)) {
			this.#streaming = true;
			this.#writeHead(head.status, head.headers);
		}
	}

	/** Writes or buffers the next bytes. */
	write(data: Uint8Array): void {
		this.#progressAt = performance.now();
		this.#checksum.add(data);
		if (!this.#streaming) {
			this.#body.append(data);
			this.#options.onDelivered(this.#checksum.bytes);
			return;
		}

		const offset = this.#checksum.bytes;
		this.#res.write(data, error => {
			if (!error) {
				this.#options.onDelivered(offset);
			}
		});
	}

	/** Ends the response. @returns The response if it was buffered, undefined for a stream. */
	finish(): BufferedResponse | undefined {
		if (this.#streaming) {
			this.#res.end();
			return undefined;
		}

		const response = this.takeBuffered();
		this.send(response);
		return response;
	}

	/** Returns the buffered response so far without sending it, and keeps none of its body; status 502 if no head was received. */
	takeBuffered(): BufferedResponse {
		const head = this.#head ?? {status: 502, headers: {}};
		return {...head, body: this.#body.take()};
	}

	/** Sends a buffered response. */
	send(response: BufferedResponse, extra: Readonly<Record<string, string>> = {}): void {
		this.#writeHead(response.status, {...response.headers, ...extra, 'content-length': String(response.body.length)});
		this.#res.end(response.body);
	}

	/**
	 * Ends the response with a refusal. A stream that has started ends with an error event and
	 * without its terminating event, so that a truncated response is not mistaken for a complete one.
	 */
	refuse(refusal: Refusal): void {
		const {status, headers, body} = renderRefusal(refusal);
		if (this.#streaming) {
			this.#options.onCutOff(refusal, this.#checksum.bytes);
			this.#res.end(`\n\ndata: ${body}\n\n`);
			return;
		}

		this.#writeHead(status, {...headers, 'content-length': String(Buffer.byteLength(body))});
		this.#res.end(body);
	}

	#writeHead(status: number, headers: Readonly<Record<string, string>>): void {
		this.#res.writeHead(status, {...headers, 'x-request-id': this.#requestId, ...(this.#options.closesAfter() ? {connection: 'close'} : {})});
	}
}
