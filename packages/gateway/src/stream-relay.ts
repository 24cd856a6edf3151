/** Forwards the complete events of an endpoint's stream to the caller as they arrive. */
import type {IncomingMessage} from 'node:http';
import type {BufferBudget} from './buffer-budget.js';
import type {CallerResponse} from './caller-response.js';
import {isUnframed, type Exchange} from './exchange.js';
import {EventSplitter} from '#dispatch';

/** Largest event that is buffered until it is complete, in bytes; more without the end of an event is no event stream. */
const MAX_EVENT_BYTES = 1024 * 1024;

type RelayOutcome
	= | {readonly kind: 'complete'}
		| {readonly kind: 'broken'; readonly reason: string}
		| {readonly kind: 'out-of-time'}
		| {readonly kind: 'caller-left'};

/** How the relay of one endpoint's stream ended. */
export type RelayResult = {
	readonly lastEventId: number | undefined;
	/** When the last event was forwarded, or the relay began, in monotonic ms. */
	readonly lastEventAt: number;
	/** When the endpoint last sent a byte, or the relay began, in monotonic ms. */
	readonly lastByteAt: number;
	/** Number of events forwarded. */
	readonly events: number;
	/** Longest time between two events that the caller has received, in ms, over all endpoints of the stream. */
	readonly longestGapMs: number;
} & RelayOutcome;

export type RelayInput = {
	readonly res: IncomingMessage;
	readonly exchange: Exchange;
	readonly callerResponse: CallerResponse;
	/** Head for the caller, sent with the first event; undefined if the head of an earlier endpoint's stream was sent. */
	readonly head: readonly string[] | undefined;
	/** Id of the last event that the caller has. */
	readonly lastEventId: number | undefined;
	/** Whether the stream may be resumed, for which each event needs an id. */
	readonly isResumable: boolean;
	/** When an earlier endpoint's last event was forwarded, in monotonic ms; undefined if the caller has no event yet. */
	readonly previousEventAt: number | undefined;
	/** Time without a complete event after which a stream counts as broken, in ms: before its first event, and between later ones. */
	readonly inactivityTimeoutMs: {readonly first: number; readonly later: number};
	/** Time left for the whole stream, in ms. */
	readonly remainingMs: number;
	/** Aborts when the requests of a stopping entry have to end. */
	readonly requestsEnded: AbortSignal;
	/** Limits what all responses hold. */
	readonly buffers: BufferBudget;
	/** Called when the first event arrives. */
	readonly onFirstEvent: () => void;
	/** Called with the time between two events of this endpoint, in ms. */
	readonly onGap: (gapMs: number) => void;
};

export async function relayStream({res, exchange, callerResponse, head, lastEventId, isResumable, previousEventAt, inactivityTimeoutMs, remainingMs, requestsEnded, buffers, onFirstEvent, onGap}: RelayInput): Promise<RelayResult> {
	const share = buffers.open();
	const splitter = EventSplitter.create(lastEventId, isResumable || lastEventId !== undefined);
	let lastEventAt = performance.now();
	let lastByteAt = lastEventAt;
	let gapStartedAt = previousEventAt;
	let events = 0;
	let longestGapMs = 0;
	let isHeadSent = head === undefined;
	let isFinished = false;
	return new Promise((resolve, reject) => {
		const finish = (outcome: RelayOutcome) => {
			stopListening();
			resolve({
				...outcome, lastEventId: splitter.lastId, lastEventAt, lastByteAt, events, longestGapMs,
			});
		};

		const stopListening = () => {
			isFinished = true;
			share.release();
			clearTimeout(deadlineTimer);
			clearTimeout(inactivityTimer);
			callerResponse.disconnected.removeEventListener('abort', onDisconnect);
			requestsEnded.removeEventListener('abort', onOutOfTime);
			res.off('data', onSourceData).off('end', onSourceEnd).off('close', onClose);
		};

		const sendHead = () => {
			if (!isHeadSent) {
				isHeadSent = true;
				callerResponse.startStream(200, head ?? []);
			}
		};

		const onData = (chunk: Uint8Array) => {
			lastByteAt = performance.now();
			const {bytes, count, fault} = splitter.push(chunk);
			if (count > 0) {
				recordEvents(count);
				sendHead();
			}

			// The head is sent with the first event, so that another endpoint's may be sent until then; earlier comments are dropped.
			const isWritable = bytes.length === 0 || !isHeadSent || callerResponse.write(bytes);
			if (fault !== undefined || splitter.pendingBytes > MAX_EVENT_BYTES || !share.resize(splitter.pendingBytes)) {
				finish({kind: 'broken', reason: fault ?? 'event too long'});
				return;
			}

			if (!isWritable) {
				void pauseUntilDrained();
			}
		};

		/** Stops reading while the caller reads too slowly; the source is not to blame for that time. */
		const pauseUntilDrained = async () => {
			res.pause();
			clearTimeout(inactivityTimer);
			await callerResponse.drained();
			if (!isFinished) {
				inactivityTimer = setTimeout(onInactivity, inactivityTimeoutMs.later);
				res.resume();
			}
		};

		const recordEvents = (count: number) => {
			clearTimeout(inactivityTimer);
			inactivityTimer = setTimeout(onInactivity, inactivityTimeoutMs.later);
			const previousAt = lastEventAt;
			lastEventAt = performance.now();
			if (events === 0) {
				onFirstEvent();
			} else {
				onGap(lastEventAt - previousAt);
			}

			longestGapMs = Math.max(longestGapMs, lastEventAt - (gapStartedAt ?? lastEventAt));
			gapStartedAt = lastEventAt;
			events += count;
		};

		const onEnd = () => {
			if (isUnframed(res)) {
				finish({kind: 'broken', reason: 'ended without framing'});
				return;
			}

			if (!res.complete || exchange.isBroken || splitter.pendingBytes > 0) {
				finish({kind: 'broken', reason: 'ended inside an event'});
				return;
			}

			sendHead();
			finish({kind: 'complete'});
		};

		const onClose = () => {
			finish({kind: 'broken', reason: 'connection closed'});
		};

		const onDisconnect = () => {
			finish({kind: 'caller-left'});
		};

		const onInactivity = () => {
			finish({kind: 'broken', reason: 'silent'});
		};

		let inactivityTimer = setTimeout(onInactivity, inactivityTimeoutMs.first);
		const onOutOfTime = () => {
			finish({kind: 'out-of-time'});
		};

		const deadlineTimer = setTimeout(onOutOfTime, Math.max(0, remainingMs));
		requestsEnded.addEventListener('abort', onOutOfTime, {once: true});
		callerResponse.disconnected.addEventListener('abort', onDisconnect, {once: true});
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
	});
}
