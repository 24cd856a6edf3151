/**
 * One run of a request at the back end: forwards the response to the entry as it arrives and
 * returns what is known about the outcome.
 */
import {type BackendResponse} from '#engine';
import {Checksum, type MessageOf, type PeerLink} from '#protocol';

/** Flow control window: bytes that may be sent to an entry without being acknowledged. */
const WINDOW_BYTES = 256 * 1024;

/** Maximum response bytes in one message. */
const CHUNK_BYTES = 64 * 1024;

/** How a run ended. */
export type RunResult
	= | {readonly kind: 'done'}
		| {readonly kind: 'cancelled'}
	/** The back end cannot have run the request. */
		| {readonly kind: 'not-sent'; readonly message: string}
	/** The back end responded that it did not run the request. */
		| {readonly kind: 'rejected'; readonly status: number}
	/** The connection to the back end was lost; whether the request completed is unknown. */
		| {readonly kind: 'lost'; readonly message: string}
	/** The back end responded in a way that cannot be passed on. */
		| {readonly kind: 'unframed'; readonly message: string}
	/** The response of a repeated run differs from, or is shorter than, what the caller already received. */
		| {readonly kind: 'prefix-mismatch'};

/** The back end operations for a request: running it (again), and resuming its response if the back end supports that. */
export type BackendCalls = {
	readonly run: (signal: AbortSignal) => Promise<BackendResponse>;
	readonly resume: ((offset: number, signal: AbortSignal) => Promise<BackendResponse>) | undefined;
};

const REJECTED_STATUSES = new Set([429, 503]);
const OK_STATUS = 200;

export class WorkRun {
	static create(link: PeerLink, work: MessageOf<'work'>, backend: BackendCalls): WorkRun {
		return new WorkRun(link, work, backend);
	}

	readonly work: MessageOf<'work'>;
	readonly link: PeerLink;
	readonly #backend: BackendCalls;
	readonly #abort = new AbortController();
	readonly #checksum = Checksum.create();
	#acknowledged = 0;
	#hashFrom = 0;
	#wake: (() => void) | undefined;

	private constructor(link: PeerLink, work: MessageOf<'work'>, backend: BackendCalls) {
		this.link = link;
		this.work = work;
		this.#backend = backend;
		this.#acknowledged = work.resumeOffset;
		// An at-most-once call is not cancelled when the link closes, so that its outcome can be looked up at the service.
		if (!work.once) {
			link.closed.addEventListener('abort', this.cancel, {once: true});
		}
	}

	/** Hash of the response bytes from `hashFrom`, valid after `done`. */
	get hash(): string {
		return this.#checksum.digest();
	}

	/** Offset of the first byte that the hash covers: 0, or the resume offset if the back end resumed the response. */
	get hashFrom(): number {
		return this.#hashFrom;
	}

	/** Length of the response in bytes, valid after `done`. */
	get totalBytes(): number {
		return this.#hashFrom + this.#checksum.bytes;
	}

	/** Stops the run. Cancelling the request at the back end is left to the owner of this run. */
	readonly cancel = (): void => {
		this.#abort.abort();
		this.#wake?.();
	};

	/** Handles an acknowledgement that bytes up to an offset were delivered to the caller. */
	acknowledge(offset: number): void {
		this.#acknowledged = Math.max(this.#acknowledged, offset);
		this.#wake?.();
	}

	/** Runs the work to completion. Does not throw. */
	async run(): Promise<RunResult> {
		try {
			return await this.#run();
		} finally {
			this.link.closed.removeEventListener('abort', this.cancel);
		}
	}

	async #run(): Promise<RunResult> {
		const {signal} = this.#abort;
		const {resumeOffset} = this.work;
		if (resumeOffset > 0 && this.#backend.resume !== undefined) {
			const response = await this.#backend.resume(resumeOffset, signal);
			if (response.kind === 'head' && response.status === OK_STATUS) {
				this.#hashFrom = resumeOffset;
				return this.#forward(response, resumeOffset, resumeOffset);
			}
		}

		const response = await this.#backend.run(signal);
		switch (response.kind) {
			case 'aborted': {
				return {kind: 'cancelled'};
			}

			case 'not-sent':
			case 'lost': {
				return signal.aborted ? {kind: 'cancelled'} : response;
			}

			case 'unframed': {
				if (signal.aborted) {
					return {kind: 'cancelled'};
				}

				return this.#isRejection(response.status) ? {kind: 'rejected', status: response.status} : response;
			}

			case 'head': {
				return this.#isRejection(response.status)
					? this.#drainRejected(response)
					: this.#forward(response, 0, resumeOffset);
			}
		}
	}

	/** Whether the status alone shows that the engine did not run the request. */
	#isRejection(status: number): boolean {
		return REJECTED_STATUSES.has(status) && this.work.target === 'model';
	}

	async #drainRejected(response: Extract<BackendResponse, {kind: 'head'}>): Promise<RunResult> {
		try {
			for await (const _ of response.body) {
				// The connection can only be reused once the response has been read completely.
			}
		} catch {
			// The status alone shows that the request did not run.
		}

		return {kind: 'rejected', status: response.status};
	}

	/**
	 * Forwards a response.
	 *
	 * @param start - Offset of the first byte of the response.
	 * @param deliverFrom - Offset of the first byte to deliver; earlier bytes are only verified against the prefix hash.
	 */
	async #forward(response: Extract<BackendResponse, {kind: 'head'}>, start: number, deliverFrom: number): Promise<RunResult> {
		const {requestId, attempt, prefixHash} = this.work;
		let offset = start;
		let isPrefixVerified = start >= deliverFrom;
		if (isPrefixVerified) {
			this.link.send({
				kind: 'head', requestId, attempt, status: response.status, headers: response.headers,
			});
		}

		try {
			for await (const data of response.body) {
				let remaining = data;
				if (!isPrefixVerified) {
					const skipped = remaining.subarray(0, deliverFrom - offset);
					this.#checksum.add(skipped);
					offset += skipped.length;
					remaining = remaining.subarray(skipped.length);
					if (offset < deliverFrom) {
						continue;
					}

					isPrefixVerified = true;
					if (this.#checksum.digest() !== prefixHash) {
						this.cancel();
						return {kind: 'prefix-mismatch'};
					}

					this.link.send({
						kind: 'head', requestId, attempt, status: response.status, headers: response.headers,
					});
				}

				offset = await this.#deliver(remaining, offset);
			}
		} catch (error) {
			return this.#abort.signal.aborted
				? {kind: 'cancelled'}
				: {kind: 'lost', message: error instanceof Error ? error.message : 'response was interrupted'};
		}

		if (this.#abort.signal.aborted) {
			return {kind: 'cancelled'};
		}

		return isPrefixVerified ? {kind: 'done'} : {kind: 'prefix-mismatch'};
	}

	async #deliver(data: Uint8Array, from: number): Promise<number> {
		const {requestId, attempt} = this.work;
		let offset = from;
		for (let start = 0; start < data.length; start += CHUNK_BYTES) {
			const chunk = data.subarray(start, start + CHUNK_BYTES);
			await this.#waitForWindow(offset);
			this.#checksum.add(chunk);
			this.link.send({
				kind: 'chunk', requestId, attempt, offset, data: chunk,
			});
			offset += chunk.length;
		}

		return offset;
	}

	/** Waits until the flow control window allows more data to be sent. */
	async #waitForWindow(offset: number): Promise<void> {
		while (offset - this.#acknowledged > WINDOW_BYTES && !this.#abort.signal.aborted) {
			await new Promise<void>(resolve => {
				this.#wake = resolve;
			});
			this.#wake = undefined;
		}

		this.#abort.signal.throwIfAborted();
	}
}
