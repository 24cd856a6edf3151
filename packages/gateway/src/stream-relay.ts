/** Forwards the complete events of an endpoint's stream to the caller as they arrive. */
import type {IncomingMessage} from 'node:http';
import type {CallerResponse} from './caller-response.js';
import type {StreamProgress} from './stream-progress.js';
import {
	type BufferBudget, type Exchange, isUnframed, pauseReading, readOn,
} from '#connections';
import {BodyBuffer} from '#core';
import {EventSplitter} from '#dispatch';

/** Largest event that is buffered until it is complete, in bytes; more without the end of an event is no event stream. */
const MAX_EVENT_BYTES = 1024 * 1024;

/** How the relay of one endpoint's stream ended. */
export type RelayResult
	= | {readonly kind: 'complete'}
		/** Its connection ended after a whole event, and nothing else tells whether it is complete. */
		| {readonly kind: 'unframed-end'}
		| {readonly kind: 'broken'; readonly reason: string}
		| {readonly kind: 'aborted'};

export type RelayInput = {
	readonly res: IncomingMessage;
	readonly exchange: Pick<Exchange, 'abort' | 'checkIsBroken' | 'isBroken'>;
	readonly callerResponse: CallerResponse;
	/** Head for the caller, sent with the first event unless the head of another endpoint's stream was sent. */
	readonly head: readonly string[];
	/** What the caller has received; updated as events are forwarded. */
	readonly progress: StreamProgress;
	/** Whether the stream may be resumed, for which each event needs an id. */
	readonly isResumable: boolean;
	/** Times without a complete event after which the endpoint counts as silent, in ms: before its first event, and between later ones; undefined if it never does. */
	readonly silenceMs: {readonly first: number; readonly later: number} | undefined;
	/** Ends the relay. */
	readonly signal: AbortSignal;
	/** Limits what all responses hold. */
	readonly buffers: BufferBudget;
	/** Called before anything is sent to the caller; if false, another endpoint's stream is relayed to it. */
	readonly claim: () => boolean;
	/** Called when the endpoint may be silent; the relay goes on. Returns the time after which it is called again without an event, in ms. */
	readonly onSilent: () => number | undefined;
	/** Called when the first event arrives. */
	readonly onFirstEvent: () => void;
	/** Called with the time between two events of this endpoint, in ms. */
	readonly onGap: (gapMs: number) => void;
	/** Called when no more is read for a while, since the caller reads too slowly. */
	readonly onPaused: () => void;
};

export async function relayStream({res, exchange, callerResponse, head, progress, isResumable, silenceMs, signal, buffers, claim, onSilent, onFirstEvent, onGap, onPaused}: RelayInput): Promise<RelayResult> {
	const share = buffers.open();
	const chunks = buffers.openChunks(res);
	const splitter = EventSplitter.create(progress.lastEventId, isResumable || progress.lastEventId !== undefined, buffers.pieces);
	let lastEventAt: number | undefined;
	let isClaimed = false;
	let isFinished = false;
	return new Promise((resolve, reject) => {
		const finish = (result: RelayResult) => {
			stopListening();
			resolve(result);
		};

		const stopListening = () => {
			isFinished = true;
			share.release();
			releaseConnection();
			held.clear();
			clearTimeout(silenceTimer);
			signal.removeEventListener('abort', onAbort);
			res.off('data', onSourceData).off('end', onSourceEnd).off('close', onClose);
		};

		/** Ends all pauses of the connection, which may serve another request. */
		const releaseConnection = () => {
			chunks.close();
			readOn(res, 'receiver');
		};

		let silenceTimer: NodeJS.Timeout | undefined;
		const startSilenceTimer = (ms: number | undefined) => {
			if (ms !== undefined) {
				silenceTimer = setTimeout(() => {
					startSilenceTimer(onSilent());
				}, ms);
			}
		};

		startSilenceTimer(silenceMs?.first);

		/** Claims the caller, and sends the head unless it was sent. */
		const claimCaller = () => {
			isClaimed = claim();
			if (!isClaimed) {
				finish({kind: 'aborted'});
			} else if (!callerResponse.isStarted) {
				callerResponse.startStream(200, head);
			}

			return isClaimed;
		};

		/** Received while the caller reads too slowly. */
		const held = BodyBuffer.create(undefined, buffers.pieces);
		let isWaitingForCaller = false;
		let isEndHeld = false;

		const onData = (chunk: Uint8Array) => {
			progress.lastByteAt = performance.now();
			if (isWaitingForCaller) {
				held.append(chunk);
				return;
			}

			forward(chunk);
		};

		const forward = (chunk: Uint8Array) => {
			const {bytes, count, blocks, fault} = splitter.push(chunk);
			const isWithinChunks = chunks.takeOfStream({bytes: chunk.length, blocks, events: count});
			if (count > 0) {
				if (!claimCaller()) {
					return;
				}

				recordEvents(count);
			}

			// Comments before the first event are dropped: until then, another endpoint's stream may be relayed.
			const isWritable = bytes.length === 0 || !isClaimed || callerResponse.write(bytes);
			if (fault !== undefined || splitter.pendingBytes > MAX_EVENT_BYTES || !share.resize(splitter.pendingBytes)) {
				finish({kind: 'broken', reason: fault ?? 'event too long'});
				return;
			}

			if (!isWithinChunks) {
				finish({kind: 'broken', reason: 'too many small chunks'});
				return;
			}

			if (!isWritable) {
				pauseUntilDrained();
			}
		};

		/** Stops reading while the caller reads too slowly; the source is not to blame for that time. */
		const pauseUntilDrained = () => {
			isWaitingForCaller = true;
			pauseReading(res, 'receiver');
			onPaused();
			clearTimeout(silenceTimer);
			// Settles also if the caller disconnects, and never rejects.
			void callerResponse.drained().then(relayed(resume));
		};

		/** Forwards what was received while the caller read too slowly, which may make it wait again. */
		const resume = () => {
			if (isFinished) {
				return;
			}

			isWaitingForCaller = false;
			startSilenceTimer(silenceMs?.later);
			if (held.bytes > 0) {
				forward(held.take());
			}

			if (isWaitingForCaller || isFinished) {
				return;
			}

			readOn(res, 'receiver');
			if (isEndHeld) {
				onEnd();
			}
		};

		const recordEvents = (count: number) => {
			clearTimeout(silenceTimer);
			startSilenceTimer(silenceMs?.later);
			const now = performance.now();
			if (lastEventAt === undefined) {
				onFirstEvent();
			} else {
				onGap(now - lastEventAt);
			}

			lastEventAt = now;
			progress.recordEvents(count, splitter.lastId, now);
		};

		const onEnd = () => {
			// Closing follows the end, and does not decide how it ended.
			res.off('close', onClose);
			releaseConnection();
			if (isWaitingForCaller) {
				isEndHeld = true;
				return;
			}

			if (isUnframed(res)) {
				// The coding was to delimit it, and does not.
				if (res.headers['transfer-encoding'] !== undefined) {
					finish({kind: 'broken', reason: 'ended without framing'});
					return;
				}

				finishUnframed().catch((error: unknown) => {
					stopListening();
					reject(error);
				});
				return;
			}

			if (!res.complete || exchange.isBroken || splitter.pendingBytes > 0) {
				finish({kind: 'broken', reason: 'ended inside an event'});
				return;
			}

			if (claimCaller()) {
				finish({kind: 'complete'});
			}
		};

		const finishUnframed = async () => {
			const isBroken = await exchange.checkIsBroken();
			if (isFinished) {
				return;
			}

			if (isBroken || splitter.pendingBytes > 0) {
				finish({kind: 'broken', reason: isBroken ? 'connection failed' : 'ended inside an event'});
			} else if (claimCaller()) {
				finish({kind: 'unframed-end'});
			}
		};

		const onClose = () => {
			finish({kind: 'broken', reason: 'connection closed'});
		};

		const onAbort = () => {
			finish({kind: 'aborted'});
		};

		signal.addEventListener('abort', onAbort, {once: true});
		res.on('error', () => {
			// 'close' follows and ends the relay.
		});
		/** Runs a callback of the source; its exception ends this relay alone. */
		const relayed = <Args extends readonly unknown[]>(callback: (...args: Args) => void) => (...args: Args) => {
			try {
				callback(...args);
			} catch (error) {
				stopListening();
				reject(error);
			}
		};

		const [onSourceData, onSourceEnd] = [relayed(onData), relayed(onEnd)];
		res.on('data', onSourceData).once('end', onSourceEnd).once('close', onClose);
		if (signal.aborted) {
			onAbort();
		}
	});
}
