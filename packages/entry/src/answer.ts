/**
 * The answer to one caller. Streamed answers are written as they arrive; whole answers
 * are kept until they are complete, so that a lost endpoint costs the caller nothing.
 */
import {Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';
import {renderRefusal, type Refusal} from './refusal.js';
import {Checksum} from '#protocol';

const STREAM_TYPE = 'text/event-stream';

export type AnswerHead = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
};

/** A finished whole answer, kept for callers that send the same key again. */
export type WholeAnswer = AnswerHead & {readonly body: Uint8Array};

export class Answer {
	/** @param onDelivered - Told the offset up to which bytes have left for the caller. */
	static create(res: ServerResponse, requestId: string, onDelivered: (offset: number) => void): Answer {
		return new Answer(res, requestId, onDelivered);
	}

	readonly #res: ServerResponse;
	readonly #requestId: string;
	readonly #onDelivered: (offset: number) => void;
	#checksum = Checksum.create();
	#head: AnswerHead | undefined;
	#whole: Uint8Array[] = [];
	#streaming = false;

	private constructor(res: ServerResponse, requestId: string, onDelivered: (offset: number) => void) {
		this.#res = res;
		this.#requestId = requestId;
		this.#onDelivered = onDelivered;
	}

	/** Bytes of the answer that must not be sent again: those of a stream that was begun. */
	get committedBytes(): number {
		return this.#streaming ? this.#checksum.bytes : 0;
	}

	/** Hash over the committed bytes. */
	get committedHash(): string {
		return this.#checksum.digest();
	}

	/** True once a stream was begun; its status cannot change any more. */
	get streaming(): boolean {
		return this.#streaming;
	}

	/** True if the caller hung up. */
	get abandoned(): boolean {
		return this.#res.destroyed && !this.#res.writableEnded;
	}

	/** Status of the answer so far. */
	get status(): number {
		return this.#head?.status ?? 0;
	}

	/** An answer that is collected and sent to nobody, for a question that this process asks on its own behalf. */
	createDetached(): Answer {
		return new Answer(this.#res, this.#requestId, () => undefined);
	}

	/** Takes the head of an attempt's answer. The head of a later attempt does not change a stream that was begun. */
	begin(head: AnswerHead): void {
		if (this.#streaming) {
			return;
		}

		this.#head = head;
		this.#whole = [];
		this.#checksum = Checksum.create();
		if ((head.headers['content-type'] ?? '').startsWith(STREAM_TYPE)) {
			this.#streaming = true;
			this.#res.writeHead(head.status, {...head.headers, 'x-request-id': this.#requestId});
		}
	}

	/** Takes the next bytes. */
	add(data: Uint8Array): void {
		this.#checksum.add(data);
		if (!this.#streaming) {
			this.#whole.push(data);
			this.#onDelivered(this.#checksum.bytes);
			return;
		}

		const offset = this.#checksum.bytes;
		this.#res.write(data, error => {
			if (!error) {
				this.#onDelivered(offset);
			}
		});
	}

	/** Ends the answer and returns it if it was a whole one. */
	finish(): WholeAnswer | undefined {
		if (this.#streaming) {
			this.#res.end();
			return undefined;
		}

		const whole = this.whole();
		this.send(whole);
		return whole;
	}

	/** The whole answer as it was collected, without sending it. */
	whole(): WholeAnswer {
		const head = this.#head ?? {status: 502, headers: {}};
		return {...head, body: Buffer.concat(this.#whole)};
	}

	/** Sends a whole answer. */
	send(whole: WholeAnswer, extra: Readonly<Record<string, string>> = {}): void {
		this.#res.writeHead(whole.status, {
			...whole.headers, ...extra, 'x-request-id': this.#requestId, 'content-length': String(whole.body.length),
		});
		this.#res.end(whole.body);
	}

	/**
	 * Ends the answer with a refusal. A stream that was begun ends with an error event and
	 * without its end mark, so that nobody takes a short answer for a whole one.
	 */
	refuse(refusal: Refusal): void {
		const {status, headers, body} = renderRefusal(refusal);
		if (this.#streaming) {
			this.#res.end(`\n\ndata: ${body}\n\n`);
			return;
		}

		this.#res.writeHead(status, {...headers, 'x-request-id': this.#requestId, 'content-length': String(Buffer.byteLength(body))});
		this.#res.end(body);
	}
}
