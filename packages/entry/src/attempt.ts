/**
 * One attempt of a request at one endpoint. Frames are tied to request and attempt; a
 * frame that is late, crossed or out of place is dropped and counted.
 */
import {type Outcome} from './refusal.js';
import {createDeferred} from '#core';
import {
	Checksum, type MessageOf, type PeerLink, type WireLoad,
} from '#protocol';

/** How an attempt ended. */
export type AttemptEnd
	= | {readonly kind: 'done'}
		| {readonly kind: 'refused'; readonly reason: string; readonly outcome: Outcome}
		| {readonly kind: 'failed'; readonly reason: string; readonly outcome: Outcome; readonly crashId: string; readonly alone: boolean}
	/** The work was certainly not sent. */
		| {readonly kind: 'not-sent'}
		| {readonly kind: 'link-lost'}
	/** Nothing came from the endpoint for too long. */
		| {readonly kind: 'silent'; readonly accepted: boolean}
	/** The bytes that arrived are not the bytes that were sent. */
		| {readonly kind: 'corrupt'}
		| {readonly kind: 'cancelled'};

/** Takes what an attempt delivers, in order. */
export type AttemptSink = {
	readonly onAccepted: (message: MessageOf<'accepted'>) => void;
	readonly onHead: (status: number, headers: Readonly<Record<string, string>>) => void;
	readonly onData: (data: Uint8Array) => void;
	/** Load that rode on an answer. */
	readonly onLoad: (load: WireLoad) => void;
};

export type AttemptOptions = {
	readonly link: PeerLink;
	readonly work: MessageOf<'work'>;
	readonly sink: AttemptSink;
	readonly dropped: (reason: string) => void;
	/** The attempt is given up when the endpoint does not accept it within this time. */
	readonly acceptLimitMs: number;
	/** The attempt is given up when no byte comes for this time after the work was accepted. */
	readonly stallLimitMs: number;
};

/** Bytes after which the entry acknowledges what it delivered. */
const ACK_BYTES = 64 * 1024;

export class Attempt {
	static create(options: AttemptOptions): Attempt {
		return new Attempt(options);
	}

	readonly #options: AttemptOptions;
	readonly #checksum = Checksum.create();
	readonly #end = createDeferred<AttemptEnd>();
	#settled = false;
	#accepted = false;
	#headSeen = false;
	#offset: number;
	#acknowledged: number;
	#timer: NodeJS.Timeout | undefined;

	private constructor(options: AttemptOptions) {
		this.#options = options;
		this.#offset = options.work.resumeOffset;
		this.#acknowledged = options.work.resumeOffset;
	}

	get requestId(): string {
		return this.#options.work.requestId;
	}

	get number(): number {
		return this.#options.work.attempt;
	}

	/** True once the endpoint said that it took the work. */
	get accepted(): boolean {
		return this.#accepted;
	}

	get link(): PeerLink {
		return this.#options.link;
	}

	/** Sends the work. */
	start(): void {
		const {link, work, acceptLimitMs} = this.#options;
		if (!link.send(work)) {
			this.#finish({kind: 'not-sent'});
			return;
		}

		link.closed.addEventListener('abort', this.#onClosed, {once: true});
		this.#timer = setTimeout(this.#onSilence, acceptLimitMs);
	}

	/** Resolves once the attempt has ended. */
	async ended(): Promise<AttemptEnd> {
		return this.#end.promise;
	}

	/** Gives the attempt up and tells the endpoint. */
	cancel(): void {
		if (!this.#settled) {
			this.#options.link.send({kind: 'cancel', requestId: this.requestId, attempt: this.number});
			this.#finish({kind: 'cancelled'});
		}
	}

	/** Tells the endpoint up to which offset the caller has the answer. */
	delivered(offset: number): void {
		if (offset - this.#acknowledged >= ACK_BYTES) {
			this.#acknowledged = offset;
			this.#options.link.send({
				kind: 'ack', requestId: this.requestId, attempt: this.number, offset,
			});
		}
	}

	/** Takes a frame of this attempt. */
	receive(message: MessageOf<'accepted' | 'refused' | 'head' | 'chunk' | 'end' | 'failed'>): void {
		if (this.#settled) {
			this.#options.dropped('after-end');
			return;
		}

		switch (message.kind) {
			case 'accepted': {
				this.#accepted = true;
				this.#rearm();
				this.#options.sink.onLoad(message.load);
				this.#options.sink.onAccepted(message);
				break;
			}

			case 'refused': {
				this.#options.sink.onLoad(message.load);
				this.#finish({kind: 'refused', reason: message.reason, outcome: message.outcome});
				break;
			}

			case 'head': {
				this.#rearm();
				this.#headSeen = true;
				this.#options.sink.onHead(message.status, message.headers);
				break;
			}

			case 'chunk': {
				this.#onChunk(message);
				break;
			}

			case 'end': {
				this.#options.sink.onLoad(message.load);
				this.#onEnd(message);
				break;
			}

			case 'failed': {
				this.#finish(message);
				break;
			}
		}
	}

	readonly #onClosed = (): void => {
		this.#finish({kind: 'link-lost'});
	};

	readonly #onSilence = (): void => {
		this.#options.link.send({kind: 'cancel', requestId: this.requestId, attempt: this.number});
		this.#finish({kind: 'silent', accepted: this.#accepted});
	};

	#rearm(): void {
		clearTimeout(this.#timer);
		this.#timer = setTimeout(this.#onSilence, this.#options.stallLimitMs);
	}

	#onChunk(message: MessageOf<'chunk'>): void {
		if (message.offset !== this.#offset || !this.#headSeen) {
			this.#options.dropped('unexpected-offset');
			this.#abandon({kind: 'corrupt'});
			return;
		}

		this.#timer?.refresh();
		this.#offset += message.data.length;
		this.#checksum.add(message.data);
		this.#options.sink.onData(message.data);
	}

	#onEnd(message: MessageOf<'end'>): void {
		const resumed = message.from === this.#options.work.resumeOffset;
		const hashOk = !resumed || message.hash === this.#checksum.digest();
		this.#finish(message.totalBytes === this.#offset && hashOk ? {kind: 'done'} : {kind: 'corrupt'});
	}

	/** Ends the attempt with a given end and tells the endpoint to stop. */
	#abandon(end: AttemptEnd): void {
		this.#options.link.send({kind: 'cancel', requestId: this.requestId, attempt: this.number});
		this.#finish(end);
	}

	#finish(end: AttemptEnd): void {
		if (this.#settled) {
			return;
		}

		this.#settled = true;
		clearTimeout(this.#timer);
		this.#options.link.closed.removeEventListener('abort', this.#onClosed);
		this.#end.resolve(end);
	}
}
