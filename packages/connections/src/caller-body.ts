/** Reads the body of a caller's request into memory that the budget for callers counts. */
import type {IncomingMessage} from 'node:http';
import {FREE_BYTES_PER_REQUEST, type CallerBudget, type ReadRefusal} from './caller-budget.js';
import {pauseReading, readOn} from './paused-reading.js';
import type {ReadPacer} from './read-pacer.js';
import {announcedBytes, BodyBuffer, type PiecePool} from '#core';

export type CallerBodyOptions = {
	readonly budget: CallerBudget;
	/** Memory for bodies, shared by the requests of a server. */
	readonly pool: PiecePool;
	/** Shared by the requests of a server. */
	readonly pacer: ReadPacer;
	/** Limit for the body, in bytes. */
	readonly maxBytes: number;
	/** Monotonic clock in ms. */
	readonly now: () => number;
};

/** How the reading of a body ended; `broken` if its connection closed before the end. */
export type BodyEnd
	= | {readonly kind: 'complete'; readonly body: Uint8Array; /** Whether the connection is to be closed after the response. */ readonly isLast: boolean}
		| {readonly kind: 'broken' | 'too-large'}
		| {readonly kind: 'refused'; readonly reason: ReadRefusal};

export type CallerBody = {
	readonly ended: Promise<BodyEnd>;
	/** Gives back what the request holds; called when it has ended. */
	readonly release: () => void;
};

/** Reads a body. What it is refused for is known from its head where possible; nothing is kept of a refused body. */
export function readCallerBody(req: IncomingMessage, {
	budget, pool, pacer, maxBytes, now,
}: CallerBodyOptions): CallerBody {
	const announced = announcedBytes(req.headers);
	if (announced !== undefined && announced > maxBytes) {
		dropBody(req, pacer);
		return {ended: Promise.resolve({kind: 'too-large'}), release: () => undefined};
	}

	const startedAtBytes = req.socket.bytesRead;
	let release = () => undefined as void;
	const ended = new Promise<BodyEnd>(resolve => {
		const buffer = BodyBuffer.create(announced, pool);
		let bodyBytes = 0;
		let isEnded = false;
		let isPausedForChunks = false;
		let isWaitingForTurn = false;
		const share = budget.open({
			headBytes: headBytes(req),
			bodyBytes: () => bodyBytes,
			receivedBytes: () => req.socket.bytesRead - startedAtBytes,
			onRefused(reason) {
				end({kind: 'refused', reason});
			},
			onResumed() {
				isPausedForChunks = false;
				if (!isWaitingForTurn) {
					readOn(req);
				}
			},
		}, now());
		const end = (result: BodyEnd) => {
			if (isEnded) {
				return;
			}

			isEnded = true;
			req.off('data', handleChunk);
			buffer.clear();
			pacer.remove(req);
			isPausedForChunks = false;
			isWaitingForTurn = false;
			readOn(req);
			if (result.kind !== 'complete') {
				dropBody(req, pacer);
			}

			share.settle();
			if (result.kind !== 'complete') {
				share.release();
			}

			resolve(result);
		};

		const handleChunk = (chunk: Uint8Array) => {
			bodyBytes += chunk.length;
			isPausedForChunks = !share.takeChunk() || isPausedForChunks;
			const isTurnOver = bodyBytes > FREE_BYTES_PER_REQUEST && !pacer.take(req, chunk.length, () => {
				isWaitingForTurn = false;
				if (!isPausedForChunks) {
					readOn(req);
				}
			});
			if (isTurnOver && pacer.isFullFor(announced ?? bodyBytes)) {
				share.refuse('body-budget');
				return;
			}

			isWaitingForTurn ||= isTurnOver;
			if (isPausedForChunks || isWaitingForTurn) {
				pauseReading(req);
			}

			if (bodyBytes > maxBytes) {
				end({kind: 'too-large'});
			} else {
				// A refusal ends the reading itself.
				buffer.append(chunk, capacity => share.resize(capacity, now()));
			}
		};

		release = share.release;
		if (!share.resize(0, now())) {
			return;
		}

		req.on('data', handleChunk);
		req.once('end', () => {
			end({kind: 'complete', body: buffer.take(), isLast: pacer.closesAfter(bodyBytes)});
		});
		req.on('error', () => {
			// 'close' follows and settles the promise.
		});
		req.once('close', () => {
			end({kind: 'broken'});
		});
	});
	return {ended, release};
}

/** Reads the rest of a body, which shows when the caller leaves, and keeps nothing of it. */
export function dropBody(req: IncomingMessage, pacer: ReadPacer): void {
	req.on('data', (chunk: Uint8Array) => {
		const mayReadOn = pacer.take(req, chunk.length, () => {
			readOn(req);
		});
		if (!mayReadOn) {
			pauseReading(req);
		}
	});
	req.once('close', () => {
		pacer.remove(req);
	});
}

/** Bytes of the head of a request. */
function headBytes({url = '', rawHeaders}: IncomingMessage): number {
	return rawHeaders.reduce((sum, text) => sum + text.length, url.length);
}
