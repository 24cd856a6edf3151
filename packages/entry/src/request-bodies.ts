/** Reads the bodies of callers' requests within the memory of the machine. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {createRefusal, type Refusal} from './refusal.js';
import {
	CallerBudget, callerBudgetBytes, dropBody, readCallerBody, ReadPacer, SWEEP_INTERVAL_MS, type BodyEnd,
} from '#connections';
import {guardCallback, PiecePool, type ErrorListener} from '#core';

/** Longest time without a byte of a body, in ms. */
const STALL_MS = 30_000;

/** Bytes of chunk extensions and trailers that a body may have regardless of its length. */
const MAX_FRAMING_BYTES = 16 * 1024;

/** Time after which a caller may send a refused body again, in s: half of it at least, so that callers do not return together. */
const RETRY_S = {min: 1, spread: 4} as const;

/** What became of a body; `refusal` is for the caller of one that is not read. */
export type RequestBody
	= | {readonly kind: 'read'; readonly body: Uint8Array; /** Whether the connection is to be closed after the response. */ readonly isLast: boolean}
		| {readonly kind: 'unread'; readonly refusal: Refusal};

export type RequestBodiesOptions = {
	/** Limit of a body, in bytes. */
	readonly maxBytes: number;
	readonly memoryBytes: number;
	readonly onError: ErrorListener;
};

export class RequestBodies {
	/** @param signal - Ends the checks for bodies that have stopped. */
	static create(options: RequestBodiesOptions, signal: AbortSignal): RequestBodies {
		return new RequestBodies(options, signal);
	}

	readonly #budget: CallerBudget;
	readonly #pool = PiecePool.create();
	readonly #pacer = ReadPacer.create();
	readonly #maxBytes: number;

	private constructor({maxBytes, memoryBytes, onError}: RequestBodiesOptions, signal: AbortSignal) {
		this.#budget = CallerBudget.create(callerBudgetBytes(memoryBytes));
		this.#maxBytes = maxBytes;
		const timer = setInterval(guardCallback(() => {
			this.#budget.sweep({stallMs: STALL_MS, framingBytes: MAX_FRAMING_BYTES}, performance.now());
		}, onError), SWEEP_INTERVAL_MS);
		signal.addEventListener('abort', () => {
			clearInterval(timer);
		}, {once: true});
	}

	/** Reads a body that nobody needs, and keeps nothing of it. */
	drop(req: IncomingMessage): void {
		dropBody(req, this.#pacer);
	}

	/** Reads a body, which counts until its response is closed. */
	async read(req: IncomingMessage, res: ServerResponse): Promise<RequestBody> {
		const reading = readCallerBody(req, {
			budget: this.#budget, pool: this.#pool, pacer: this.#pacer, maxBytes: this.#maxBytes, now: () => performance.now(),
		});
		res.once('close', reading.release);
		const end = await reading.ended;
		return end.kind === 'complete' ? {kind: 'read', body: end.body, isLast: end.isLast} : {kind: 'unread', refusal: refusalFor(end, this.#maxBytes)};
	}
}

function refusalFor(end: Exclude<BodyEnd, {readonly kind: 'complete'}>, maxBytes: number): Refusal {
	switch (end.kind) {
		case 'too-large': {
			return createRefusal('too-large', 'not-run', `the body is larger than ${maxBytes} bytes`);
		}

		case 'broken': {
			return createRefusal('bad-request', 'not-run', 'the connection closed before the end of the body');
		}

		case 'refused': {
			return refusalForReason(end.reason);
		}
	}
}

function refusalForReason(reason: Extract<BodyEnd, {readonly kind: 'refused'}>['reason']): Refusal {
	const retryAfterS = RETRY_S.min + (Math.random() * RETRY_S.spread);
	switch (reason) {
		case 'body-budget': {
			return createRefusal(reason, 'not-run', 'the requests of all callers need more memory than this entry has', retryAfterS);
		}

		case 'body-timeout': {
			return createRefusal(reason, 'not-run', 'the body did not arrive in time', retryAfterS);
		}

		case 'body-framing': {
			return createRefusal(reason, 'not-run', 'the chunk extensions and trailers of the body are too long');
		}
	}
}
