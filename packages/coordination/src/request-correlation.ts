/**
 * Matches response frames to requests and attempts, so that a caller receives the complete
 * response to its own request and to no other. Frames that are late, duplicated, out of order
 * or received on the wrong link are dropped and counted.
 */
import xxhash, {type XXHashAPI} from 'xxhash-wasm';
import {ResponseStream, type StreamResult} from './response-stream.js';
import {invariant} from '#core';

/** Fields of every frame; `source` is the link that the receiver got it from. */
export type FrameHeader = {
	readonly requestId: string;
	readonly attempt: number;
	readonly source: string;
};

/**
 * One frame of a response. `offset` and `totalBytes` count bytes from the start of the body, also in a
 * resumed attempt; `hash` is the xxhash64 of the whole body as 16 hex digits.
 */
export type ResponseFrame = FrameHeader & (
	| {readonly kind: 'accepted' | 'failed' | 'head' | 'refused'}
	| {readonly kind: 'chunk'; readonly offset: number; readonly bytes: Uint8Array}
	| {readonly kind: 'end'; readonly totalBytes: number; readonly hash: string}
);

/**
 * Reason that a frame was dropped.
 *
 * - `unknown-request`: the request does not exist or is finished.
 * - `late-attempt`, `future-attempt`: the frame belongs to an earlier attempt, or to one that was not begun.
 * - `crossed`: it arrived on another link than the one the attempt was sent on.
 * - `duplicate`, `overlap`, `gap`: its bytes were all received, were partly received, or do not follow the received ones.
 * - `before-head`, `after-end`: it is out of order within the attempt.
 */
export type DropReason = 'after-end' | 'before-head' | 'crossed' | 'duplicate' | 'future-attempt' | 'gap' | 'late-attempt' | 'overlap' | 'unknown-request';

/**
 * Result of receiving a frame.
 *
 * - `pass`: an `accepted`, `head`, `failed` or `refused` frame of the current attempt.
 * - `bytes`: deliver these bytes (perhaps none); they follow those delivered before.
 * - `complete`: the whole body was delivered, and its length and hash match those sent.
 * - `diverged`: a restarted response differs from the bytes already delivered; the attempt has ended.
 * - `corrupt`: the length or hash sent at the end does not match the received body; the attempt has ended.
 * - `dropped`: ignore the frame. `expected` is the next expected byte offset, if the request is known.
 */
export type FrameResult
	= | {readonly kind: 'pass'}
		| StreamResult
		| {readonly kind: 'dropped'; readonly reason: DropReason; readonly expected?: number};

/** Parameters of starting an attempt. */
export type AttemptStart = {
	/** Number of the attempt; higher than that of any earlier attempt of the request. */
	readonly attempt: number;
	/** Link that the attempt is sent on. */
	readonly source: string;
	/**
	 * - `restart`: the response is sent from its first byte; bytes delivered before are compared by their hash.
	 * - `resume`: the response continues after the delivered bytes; only at the endpoint of the last
	 *   attempt, and only if that attempt is `resumable`.
	 */
	readonly mode: 'restart' | 'resume';
};

/** Progress of delivering a response. */
export type DeliveryProgress = {
	/** Number of bytes delivered. */
	readonly offset: number;
	/** The xxhash64 of these bytes as 16 hex digits. */
	readonly hash: string;
	/**
	 * Whether the last attempt can be resumed. False while a restarted response has not been compared
	 * with all bytes delivered before: it may differ, so only another restart is safe.
	 */
	readonly resumable: boolean;
};

type PendingRequest = {attempt: number; source: string; readonly stream: ResponseStream};

const DROP_REASONS: readonly DropReason[] = ['unknown-request', 'late-attempt', 'future-attempt', 'crossed', 'duplicate', 'overlap', 'gap', 'before-head', 'after-end'];

/** All requests of one process that await a response. */
export class RequestCorrelation {
	/** Loads the hash function; rejects only if WebAssembly is not available. */
	static async create(): Promise<RequestCorrelation> {
		return new RequestCorrelation(await xxhash());
	}

	readonly #hashes: XXHashAPI;
	readonly #requests = new Map<string, PendingRequest>();
	readonly #dropCounts = new Map<DropReason, number>(DROP_REASONS.map(reason => [reason, 0]));

	private constructor(hashes: XXHashAPI) {
		this.#hashes = hashes;
	}

	/** Number of unfinished requests. */
	get size(): number {
		return this.#requests.size;
	}

	/** Dropped frames since the start, by reason. */
	get dropCounts(): Readonly<Record<DropReason, number>> {
		return Object.fromEntries(this.#dropCounts) as Record<DropReason, number>;
	}

	/**
	 * Starts the first or a further attempt of a request. From now on, only frames of this attempt are accepted.
	 *
	 * @throws InvariantError when the attempt number is not higher than the one before, or when an attempt
	 * is resumed that is not `resumable`.
	 */
	begin(requestId: string, {attempt, source, mode}: AttemptStart): void {
		const request = this.#requests.get(requestId);
		invariant(request === undefined || attempt > request.attempt, `request correlation: attempt ${attempt} after ${request?.attempt}`);
		invariant(mode === 'restart' || request?.stream.delivered.resumable !== false, `request correlation: resume of attempt ${request?.attempt}, whose response is not fully compared`);
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

	/** Progress of delivering a request's response; undefined if the request is unknown. It is sent in the `work` of a further attempt. */
	delivered(requestId: string): DeliveryProgress | undefined {
		return this.#requests.get(requestId)?.stream.delivered;
	}

	/** Removes a request; later frames of it are dropped as `unknown-request`. */
	finish(requestId: string): void {
		this.#requests.delete(requestId);
	}

	/** Handles a received frame. */
	receive(frame: ResponseFrame): FrameResult {
		const request = this.#requests.get(frame.requestId);
		if (request === undefined) {
			return this.#drop('unknown-request');
		}

		const reason = findDropReason(frame, request);
		const result = reason ?? applyToStream(frame, request.stream);
		return typeof result === 'string' ? this.#drop(result, request.stream.nextOffset) : result;
	}

	#drop(reason: DropReason, expected?: number): FrameResult {
		this.#dropCounts.set(reason, this.#dropCounts.get(reason)! + 1);
		return expected === undefined ? {kind: 'dropped', reason} : {kind: 'dropped', reason, expected};
	}
}

function findDropReason(frame: FrameHeader, request: PendingRequest): DropReason | undefined {
	if (frame.attempt !== request.attempt) {
		return frame.attempt < request.attempt ? 'late-attempt' : 'future-attempt';
	}

	if (frame.source !== request.source) {
		return 'crossed';
	}

	return request.stream.isEnded ? 'after-end' : undefined;
}

function applyToStream(frame: ResponseFrame, stream: ResponseStream): DropReason | FrameResult {
	switch (frame.kind) {
		case 'accepted': {
			return {kind: 'pass'};
		}

		case 'failed':
		case 'refused': {
			stream.end();
			return {kind: 'pass'};
		}

		case 'head': {
			return stream.receiveHead() ? {kind: 'pass'} : 'duplicate';
		}

		case 'chunk': {
			return stream.receiveChunk(frame.offset, frame.bytes);
		}

		case 'end': {
			return stream.receiveEnd(frame.totalBytes, frame.hash);
		}
	}
}
