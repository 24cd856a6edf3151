/**
 * Ties the frames of answers to requests and attempts, so that a caller receives the
 * complete answer to its own request and to no other. Frames that are late, crossed,
 * repeated or out of order are dropped and counted.
 */
import xxhash, {type XXHashAPI} from 'xxhash-wasm';
import {ResponseStream, type StreamResult} from './response-stream.js';
import {invariant} from '#core';

/** What every frame carries; `source` is the link that it arrived on, as the receiver knows it. */
export type FrameHeader = {
	readonly requestId: string;
	readonly attempt: number;
	readonly source: string;
};

/**
 * One frame of an answer. `offset` and `totalBytes` count bytes of the body from its start, also in a
 * resumed attempt; `hash` is xxhash64 of the whole body as 16 hex digits.
 */
export type ResponseFrame = FrameHeader & (
	| {readonly kind: 'accepted' | 'failed' | 'head' | 'refused'}
	| {readonly kind: 'chunk'; readonly offset: number; readonly bytes: Uint8Array}
	| {readonly kind: 'end'; readonly totalBytes: number; readonly hash: string}
);

/**
 * Why a frame was dropped.
 *
 * - `unknown-request`: no such request, or it is finished.
 * - `late-attempt`, `future-attempt`: of an earlier attempt, or of one that was not begun.
 * - `crossed`: it arrived on another link than the attempt was sent on.
 * - `duplicate`, `overlap`, `gap`: its bytes were all received, partly received, or do not follow on those received.
 * - `before-head`, `after-end`: out of order within the attempt.
 */
export type DropReason = 'after-end' | 'before-head' | 'crossed' | 'duplicate' | 'future-attempt' | 'gap' | 'late-attempt' | 'overlap' | 'unknown-request';

/**
 * What to do with a frame.
 *
 * - `pass`: an `accepted`, `head`, `failed` or `refused` frame that belongs to the current attempt.
 * - `bytes`: deliver these bytes (perhaps none); they continue those delivered before.
 * - `complete`: the whole body was delivered, and its length and hash are as sent.
 * - `diverged`: a restarted answer differs from the bytes already delivered; the attempt is over.
 * - `corrupt`: length or hash at the end differ from what was received; the attempt is over.
 * - `dropped`: ignore the frame. `expected` is the byte offset that should come next, if the request is known.
 */
export type FrameResult
	= | {readonly kind: 'pass'}
		| StreamResult
		| {readonly kind: 'dropped'; readonly reason: DropReason; readonly expected?: number};

/** How an attempt starts. */
export type AttemptStart = {
	/** Number of the attempt; higher than that of any earlier attempt of the request. */
	readonly attempt: number;
	/** Link that the attempt is sent on. */
	readonly source: string;
	/**
	 * - `restart`: the answer comes from its first byte; bytes delivered before are compared by their hash.
	 * - `resume`: the answer continues at the byte after those delivered; only at the endpoint of the last
	 *   attempt, and only if that is `resumable`.
	 */
	readonly mode: 'restart' | 'resume';
};

/** What was delivered of an answer. */
export type DeliveryProgress = {
	/** Number of bytes. */
	readonly offset: number;
	/** Xxhash64 of these bytes as 16 hex digits. */
	readonly hash: string;
	/**
	 * Whether the last attempt can be resumed. False while a restarted answer has not been compared
	 * with all bytes delivered before: it may differ, so only another restart is safe.
	 */
	readonly resumable: boolean;
};

type Request = {attempt: number; source: string; readonly stream: ResponseStream};

const REASONS: readonly DropReason[] = ['unknown-request', 'late-attempt', 'future-attempt', 'crossed', 'duplicate', 'overlap', 'gap', 'before-head', 'after-end'];

/** All requests of one process that wait for an answer. */
export class RequestCorrelation {
	/** Loads the hash function; rejects only if WebAssembly is not available. */
	static async create(): Promise<RequestCorrelation> {
		return new RequestCorrelation(await xxhash());
	}

	readonly #hashes: XXHashAPI;
	readonly #requests = new Map<string, Request>();
	readonly #drops = new Map<DropReason, number>(REASONS.map(reason => [reason, 0]));

	private constructor(hashes: XXHashAPI) {
		this.#hashes = hashes;
	}

	/** Number of requests that are not finished. */
	get size(): number {
		return this.#requests.size;
	}

	/** Dropped frames since the start, by reason. */
	get drops(): Readonly<Record<DropReason, number>> {
		return Object.fromEntries(this.#drops) as Record<DropReason, number>;
	}

	/**
	 * Starts the first or a further attempt of a request. From now on, only frames of this attempt count.
	 *
	 * @throws InvariantError when the attempt number is not higher than the one before, or when an attempt
	 * is resumed that is not `resumable`.
	 */
	begin(requestId: string, {attempt, source, mode}: AttemptStart): void {
		const request = this.#requests.get(requestId);
		invariant(request === undefined || attempt > request.attempt, `request correlation: attempt ${attempt} after ${request?.attempt}`);
		invariant(mode === 'restart' || request?.stream.delivered.resumable !== false, `request correlation: resume of attempt ${request?.attempt}, whose answer was not compared yet`);
		if (request === undefined) {
			const stream = ResponseStream.create(this.#hashes);
			stream.begin(mode);
			this.#requests.set(requestId, {attempt, source, stream});
			return;
		}

		request.attempt = attempt;
		request.source = source;
		request.stream.begin(mode);
	}

	/** What was delivered of a request's answer; undefined if the request is unknown. Goes into the `work` of a further attempt. */
	delivered(requestId: string): DeliveryProgress | undefined {
		return this.#requests.get(requestId)?.stream.delivered;
	}

	/** Forgets a request; later frames of it are dropped as `unknown-request`. */
	finish(requestId: string): void {
		this.#requests.delete(requestId);
	}

	/** Decides on a frame that arrived. */
	receive(frame: ResponseFrame): FrameResult {
		const request = this.#requests.get(frame.requestId);
		if (request === undefined) {
			return this.#drop('unknown-request');
		}

		const reason = misplaced(frame, request);
		const verdict = reason ?? passToStream(frame, request.stream);
		return typeof verdict === 'string' ? this.#drop(verdict, request.stream.nextOffset) : verdict;
	}

	#drop(reason: DropReason, expected?: number): FrameResult {
		this.#drops.set(reason, this.#drops.get(reason)! + 1);
		return expected === undefined ? {kind: 'dropped', reason} : {kind: 'dropped', reason, expected};
	}
}

function misplaced(frame: FrameHeader, request: Request): DropReason | undefined {
	if (frame.attempt !== request.attempt) {
		return frame.attempt < request.attempt ? 'late-attempt' : 'future-attempt';
	}

	if (frame.source !== request.source) {
		return 'crossed';
	}

	return request.stream.over ? 'after-end' : undefined;
}

function passToStream(frame: ResponseFrame, stream: ResponseStream): DropReason | FrameResult {
	switch (frame.kind) {
		case 'accepted': {
			return {kind: 'pass'};
		}

		case 'failed':
		case 'refused': {
			stream.stop();
			return {kind: 'pass'};
		}

		case 'head': {
			return stream.takeHead() ? {kind: 'pass'} : 'duplicate';
		}

		case 'chunk': {
			return stream.takeChunk(frame.offset, frame.bytes);
		}

		case 'end': {
			return stream.takeEnd(frame.totalBytes, frame.hash);
		}
	}
}
