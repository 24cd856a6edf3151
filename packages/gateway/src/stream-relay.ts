/** Passes the events of one endpoint's stream on to the caller as they arrive, whole events only. */
import type {IncomingMessage} from 'node:http';
import {isUnframed} from './attempt.js';
import type {CallerReply} from './caller-reply.js';
import type {Exchange} from './exchange.js';
import {EventSplitter} from '#dispatch';

type RelayOutcome
	= | {readonly kind: 'complete'}
		| {readonly kind: 'broken'; readonly reason: string}
		| {readonly kind: 'out-of-time'}
		| {readonly kind: 'caller-left'};

/** How the relay of one endpoint's stream ended. */
export type RelayResult = {
	readonly lastEventId: number | undefined;
	/** When the last event was passed on, or the relay began, in steady ms. */
	readonly lastEventAt: number;
} & RelayOutcome;

export type RelayInput = {
	readonly res: IncomingMessage;
	readonly exchange: Exchange;
	readonly reply: CallerReply;
	/** Head for the caller, sent with the first event; undefined if a first endpoint's head was sent. */
	readonly head: readonly string[] | undefined;
	/** Last event that the caller has. */
	readonly lastEventId: number | undefined;
	/** A stream without a byte for so long counts as broken, in ms: before its first one, and then between two. */
	readonly inactivityTimeoutMs: {readonly first: number; readonly later: number};
	/** Time that is left for the whole stream, in ms. */
	readonly remainingMs: number;
};

export async function relayStream({res, exchange, reply, head, lastEventId, inactivityTimeoutMs: silenceMs, remainingMs: endAfterMs}: RelayInput): Promise<RelayResult> {
	const splitter = EventSplitter.create(lastEventId);
	let lastEventAt = performance.now();
	let hasHead = head === undefined;
	return new Promise(resolve => {
		const finish = (end: RelayOutcome) => {
			clearTimeout(endTimer);
			clearTimeout(silenceTimer);
			reply.disconnected.removeEventListener('abort', onLeft);
			res.off('data', onData).off('end', onEnd).off('close', onClose);
			resolve({...end, lastEventId: splitter.lastId, lastEventAt});
		};

		const sendHead = () => {
			if (!hasHead) {
				hasHead = true;
				reply.startStream(200, head ?? []);
			}
		};

		const onData = (chunk: Uint8Array) => {
			clearTimeout(silenceTimer);
			silenceTimer = setTimeout(onSilence, silenceMs.later);
			const {bytes: whole, count} = splitter.push(chunk);
			if (count === 0) {
				return;
			}

			lastEventAt = performance.now();
			sendHead();
			if (!reply.write(whole)) {
				res.pause();
				void reply.drained().then(() => res.resume());
			}
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

		const onLeft = () => {
			finish({kind: 'caller-left'});
		};

		const onSilence = () => {
			finish({kind: 'broken', reason: 'silent'});
		};

		let silenceTimer = setTimeout(onSilence, silenceMs.first);
		const endTimer = setTimeout(() => {
			finish({kind: 'out-of-time'});
		}, Math.max(0, endAfterMs));
		reply.disconnected.addEventListener('abort', onLeft, {once: true});
		res.on('error', () => {
			// `close` follows and ends the relay.
		});
		res.on('data', onData).once('end', onEnd).once('close', onClose);
	});
}
