/**
 * One piece of work at the back end: runs it, passes the answer on byte by byte and
 * says at its end what is known about it.
 */
import {type BackendResponse} from '#engine';
import {Checksum, type MessageOf, type PeerLink} from '#protocol';

/** Bytes that may be on their way to an entry without its acknowledgement. */
const WINDOW_BYTES = 256 * 1024;

/** Largest part of an answer in one message. */
const CHUNK_BYTES = 64 * 1024;

/** How a run ended. */
export type RunEnd
	= | {readonly kind: 'done'}
		| {readonly kind: 'cancelled'}
	/** The back end cannot have run the request. */
		| {readonly kind: 'not-sent'; readonly message: string}
	/** The back end said that it did not run the request. */
		| {readonly kind: 'turned-down'; readonly status: number}
	/** The connection to the back end broke; whether the request ran to its end is not known. */
		| {readonly kind: 'lost'; readonly message: string}
	/** The restarted answer begins with other bytes than the caller already has. */
		| {readonly kind: 'prefix-mismatch'};

/** Runs the request again or for the first time, or resumes it. */
export type RunSource = {
	readonly run: (signal: AbortSignal) => Promise<BackendResponse>;
	readonly resume: ((offset: number, signal: AbortSignal) => Promise<BackendResponse>) | undefined;
};

const TURNED_DOWN = new Set([429, 503]);
const OK = 200;

export class WorkRun {
	static create(link: PeerLink, work: MessageOf<'work'>, source: RunSource): WorkRun {
		return new WorkRun(link, work, source);
	}

	readonly work: MessageOf<'work'>;
	readonly link: PeerLink;
	readonly #source: RunSource;
	readonly #abort = new AbortController();
	readonly #checksum = Checksum.create();
	#acknowledged = 0;
	#hashFrom = 0;
	#wake: (() => void) | undefined;

	private constructor(link: PeerLink, work: MessageOf<'work'>, source: RunSource) {
		this.link = link;
		this.work = work;
		this.#source = source;
		this.#acknowledged = work.resumeOffset;
		// A call that must run at most once is seen through, so that its outcome can be looked up at the service.
		if (!work.once) {
			link.closed.addEventListener('abort', this.cancel, {once: true});
		}
	}

	/** Hash of all bytes of the answer, valid after `done`. */
	get hash(): string {
		return this.#checksum.digest();
	}

	/** Offset of the first byte that the hash covers: 0, or the resume offset if the back end resumed the answer. */
	get hashFrom(): number {
		return this.#hashFrom;
	}

	/** Length of the answer in bytes, valid after `done`. */
	get totalBytes(): number {
		return this.#hashFrom + this.#checksum.bytes;
	}

	/** Stops the run; the back end's work is cancelled by its owner. */
	readonly cancel = (): void => {
		this.#abort.abort();
		this.#wake?.();
	};

	/** Notes that the entry delivered bytes up to an offset to the caller. */
	acknowledge(offset: number): void {
		this.#acknowledged = Math.max(this.#acknowledged, offset);
		this.#wake?.();
	}

	/** Runs the work to its end. Does not throw. */
	async run(): Promise<RunEnd> {
		try {
			return await this.#run();
		} finally {
			this.link.closed.removeEventListener('abort', this.cancel);
		}
	}

	async #run(): Promise<RunEnd> {
		const {signal} = this.#abort;
		const {resumeOffset} = this.work;
		if (resumeOffset > 0 && this.#source.resume !== undefined) {
			const answer = await this.#source.resume(resumeOffset, signal);
			if (answer.kind === 'head' && answer.status === OK) {
				this.#hashFrom = resumeOffset;
				return this.#pass(answer, resumeOffset, resumeOffset);
			}
		}

		const answer = await this.#source.run(signal);
		switch (answer.kind) {
			case 'aborted': {
				return {kind: 'cancelled'};
			}

			case 'not-sent':
			case 'lost': {
				return signal.aborted ? {kind: 'cancelled'} : answer;
			}

			case 'head': {
				return TURNED_DOWN.has(answer.status) && this.work.target === 'model'
					? this.#turnDown(answer)
					: this.#pass(answer, 0, resumeOffset);
			}
		}
	}

	async #turnDown(answer: Extract<BackendResponse, {kind: 'head'}>): Promise<RunEnd> {
		try {
			for await (const _ of answer.body) {
				// The connection can be used again only once the answer was read to its end.
			}
		} catch {
			// The status alone says that the request did not run.
		}

		return {kind: 'turned-down', status: answer.status};
	}

	/**
	 * Passes an answer on.
	 *
	 * @param start - Offset of the answer's first byte.
	 * @param deliverFrom - Offset from which the caller lacks bytes; what comes before is only compared.
	 */
	async #pass(answer: Extract<BackendResponse, {kind: 'head'}>, start: number, deliverFrom: number): Promise<RunEnd> {
		const {requestId, attempt, prefixHash} = this.work;
		let offset = start;
		let compared = start >= deliverFrom;
		if (compared) {
			this.link.send({
				kind: 'head', requestId, attempt, status: answer.status, headers: answer.headers,
			});
		}

		try {
			for await (const data of answer.body) {
				let rest = data;
				if (!compared) {
					const skipped = rest.subarray(0, deliverFrom - offset);
					this.#checksum.add(skipped);
					offset += skipped.length;
					rest = rest.subarray(skipped.length);
					if (offset < deliverFrom) {
						continue;
					}

					compared = true;
					if (this.#checksum.digest() !== prefixHash) {
						this.cancel();
						return {kind: 'prefix-mismatch'};
					}

					this.link.send({
						kind: 'head', requestId, attempt, status: answer.status, headers: answer.headers,
					});
				}

				offset = await this.#deliver(rest, offset);
			}
		} catch (error) {
			return this.#abort.signal.aborted
				? {kind: 'cancelled'}
				: {kind: 'lost', message: error instanceof Error ? error.message : 'answer broke off'};
		}

		if (this.#abort.signal.aborted) {
			return {kind: 'cancelled'};
		}

		return compared ? {kind: 'done'} : {kind: 'prefix-mismatch'};
	}

	async #deliver(data: Uint8Array, from: number): Promise<number> {
		const {requestId, attempt} = this.work;
		let offset = from;
		for (let start = 0; start < data.length; start += CHUNK_BYTES) {
			const part = data.subarray(start, start + CHUNK_BYTES);
			await this.#window(offset);
			this.#checksum.add(part);
			this.link.send({
				kind: 'chunk', requestId, attempt, offset, data: part,
			});
			offset += part.length;
		}

		return offset;
	}

	/** Waits until the entry has delivered enough for more to be sent. */
	async #window(offset: number): Promise<void> {
		while (offset - this.#acknowledged > WINDOW_BYTES && !this.#abort.signal.aborted) {
			await new Promise<void>(resolve => {
				this.#wake = resolve;
			});
			this.#wake = undefined;
		}

		this.#abort.signal.throwIfAborted();
	}
}
