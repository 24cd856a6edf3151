/**
 * One attempt to run a request at one endpoint. Frames carry the request id and the attempt number; a
 * frame that is late, belongs to another attempt or is out of sequence is dropped and counted. Silence does not end an attempt.
 */
import {type Outcome} from './refusal.js';
import {createDeferred} from '#core';
import {
	Checksum, type MessageOf, type PeerLink, type WireLoad,
} from '#protocol';

/** How an attempt ended. */
export type AttemptResult
	= | {readonly kind: 'done'}
		| {readonly kind: 'refused'; readonly reason: string; readonly outcome: Outcome}
		| {readonly kind: 'failed'; readonly reason: string; readonly outcome: Outcome; readonly crashId: string; readonly alone: boolean}
	/** The work message was definitely not sent. */
		| {readonly kind: 'not-sent'}
		| {readonly kind: 'link-lost'}
	/** The received bytes fail the offset, length or checksum check. */
		| {readonly kind: 'corrupt'}
		| {readonly kind: 'cancelled'};

/** Silent before the work was accepted, or after that. */
export type SilenceReason = 'no-answer' | 'stalled';

/** Receives the events of an attempt, in order. */
export type AttemptSink = {
	/** Called before anything is delivered. Returns whether it is still wanted; the attempt is cancelled otherwise. */
	readonly claim: () => boolean;
	/** Called when the endpoint has sent nothing within the accept timeout or the stall timeout. */
	readonly onSilent: (reason: SilenceReason) => void;
	readonly onAccepted: (message: MessageOf<'accepted'>) => void;
	readonly onHead: (status: number, headers: Readonly<Record<string, string>>) => void;
	readonly onData: (data: Uint8Array) => void;
	/** Called with the load that is attached to an endpoint's messages. */
	readonly onLoad: (load: WireLoad) => void;
};

export type AttemptOptions = {
	readonly link: PeerLink;
	readonly work: MessageOf<'work'>;
	readonly sink: AttemptSink;
	readonly onFrameDropped: (reason: string) => void;
	/** The endpoint is silent if it does not accept the work within this time. */
	readonly acceptTimeoutMs: number;
	/** The endpoint is silent if nothing arrives for this time after the work was accepted. */
	readonly stallTimeoutMs: number;
};

/** The entry acknowledges delivered data at least this many bytes apart. */
const ACK_BYTES = 64 * 1024;

export class Attempt {
	static create(options: AttemptOptions): Attempt {
		return new Attempt(options);
	}

	readonly #options: AttemptOptions;
	readonly #checksum = Checksum.create();
	readonly #result = createDeferred<AttemptResult>();
	#settled = false;
	#accepted = false;
	#headReceived = false;
	#receivedOffset: number;
	#acknowledgedOffset: number;
	#timer: NodeJS.Timeout | undefined;

	private constructor(options: AttemptOptions) {
		this.#options = options;
		this.#receivedOffset = options.work.resumeOffset;
		this.#acknowledgedOffset = options.work.resumeOffset;
	}

	get requestId(): string {
		return this.#options.work.requestId;
	}

	get number(): number {
		return this.#options.work.attempt;
	}

	get link(): PeerLink {
		return this.#options.link;
	}

	/** Sends the work message and starts the accept timeout. */
	start(): void {
		const {link, work, acceptTimeoutMs} = this.#options;
		if (!link.send(work)) {
			this.#settle({kind: 'not-sent'});
			return;
		}

		link.closed.addEventListener('abort', this.#onClosed, {once: true});
		this.#timer = setTimeout(this.#onTimeout, acceptTimeoutMs);
	}

	/** Resolves once the attempt has ended. */
	async waitForResult(): Promise<AttemptResult> {
		return this.#result.promise;
	}

	/** Cancels the attempt and notifies the endpoint. */
	cancel(): void {
		if (!this.#settled) {
			this.#options.link.send({kind: 'cancel', requestId: this.requestId, attempt: this.number});
			this.#settle({kind: 'cancelled'});
		}
	}

	/** Acknowledges to the endpoint that the response was delivered to the caller up to this offset. */
	acknowledgeDelivery(offset: number): void {
		if (offset - this.#acknowledgedOffset >= ACK_BYTES) {
			this.#acknowledgedOffset = offset;
			this.#options.link.send({
				kind: 'ack', requestId: this.requestId, attempt: this.number, offset,
			});
		}
	}

	/** Handles a frame of this attempt. */
	receive(message: MessageOf<'accepted' | 'refused' | 'head' | 'chunk' | 'end' | 'failed'>): void {
		if (this.#settled) {
			this.#options.onFrameDropped('after-end');
			return;
		}

		switch (message.kind) {
			case 'accepted': {
				this.#accepted = true;
				this.#restartTimer();
				this.#options.sink.onLoad(message.load);
				this.#options.sink.onAccepted(message);
				break;
			}

			case 'refused': {
				this.#options.sink.onLoad(message.load);
				this.#settle({kind: 'refused', reason: message.reason, outcome: message.outcome});
				break;
			}

			case 'head': {
				if (!this.#claim()) {
					return;
				}

				this.#restartTimer();
				this.#headReceived = true;
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
				this.#settle(message);
				break;
			}
		}
	}

	readonly #onClosed = (): void => {
		this.#settle({kind: 'link-lost'});
	};

	readonly #onTimeout = (): void => {
		this.#options.sink.onSilent(this.#accepted ? 'stalled' : 'no-answer');
	};

	#claim(): boolean {
		const isWanted = this.#options.sink.claim();
		if (!isWanted) {
			this.cancel();
		}

		return isWanted;
	}

	#restartTimer(): void {
		clearTimeout(this.#timer);
		this.#timer = setTimeout(this.#onTimeout, this.#options.stallTimeoutMs);
	}

	#onChunk(message: MessageOf<'chunk'>): void {
		if (message.offset !== this.#receivedOffset || !this.#headReceived) {
			this.#options.onFrameDropped('unexpected-offset');
			this.#cancelWith({kind: 'corrupt'});
			return;
		}

		if (!this.#claim()) {
			return;
		}

		this.#timer?.refresh();
		this.#receivedOffset += message.data.length;
		this.#checksum.add(message.data);
		this.#options.sink.onData(message.data);
	}

	#onEnd(message: MessageOf<'end'>): void {
		if (!this.#claim()) {
			return;
		}

		const resumed = message.from === this.#options.work.resumeOffset;
		const hashOk = !resumed || message.hash === this.#checksum.digest();
		this.#settle(message.totalBytes === this.#receivedOffset && hashOk ? {kind: 'done'} : {kind: 'corrupt'});
	}

	/** Settles the attempt with a result and cancels it at the endpoint. */
	#cancelWith(result: AttemptResult): void {
		this.#options.link.send({kind: 'cancel', requestId: this.requestId, attempt: this.number});
		this.#settle(result);
	}

	#settle(result: AttemptResult): void {
		if (this.#settled) {
			return;
		}

		this.#settled = true;
		clearTimeout(this.#timer);
		this.#options.link.closed.removeEventListener('abort', this.#onClosed);
		this.#result.resolve(result);
	}
}
