/** Outcome of one call of the load. */
import {Buffer} from 'node:buffer';
import type {PlanItem} from './load-plan.js';
import {expectedBytes} from '#standins-engine';

/**
 * - `ok`: the complete and correct answer arrived.
 * - `refused`: an error status; `code` is the error code of the body.
 * - `stream-error`: the stream ended with an error event.
 * - `incomplete`: the answer ended before its last byte.
 * - `wrong`: the bytes are not those of the answer to this request.
 * - `hung-up`: the caller ended the call as planned, and what it got was correct.
 * - `connection`: no answer; `code` is the system's error code.
 * - `timeout`: the run ended before the answer did.
 */
export type OutcomeKind = 'ok' | 'refused' | 'stream-error' | 'incomplete' | 'wrong' | 'hung-up' | 'connection' | 'timeout';

export type ItemResult = {
	readonly item: PlanItem;
	readonly outcome: OutcomeKind;
	/** HTTP status; 0 without an answer. */
	readonly status: number;
	/** Error code, or an empty text. */
	readonly code: string;
	/** What the refusal says about the run: `not-run`, `unknown` or an empty text. */
	readonly ran: string;
	/** Value of `x-request-id`; empty without one. */
	readonly requestId: string;
	/** Milliseconds from the planned time of sending to the first byte and to the end. */
	readonly firstByteMs: number;
	readonly totalMs: number;
	/** Bytes and, for streams, tokens received. */
	readonly bytes: number;
	readonly tokens: number;
};

/** What a body shows about its outcome. */
export type Verdict = Pick<ItemResult, 'outcome' | 'code' | 'ran'>;

const errorCode = /"code":\s*"([^"]+)"/u;

/** Judges the body of a 2xx answer to a chat completion. */
export function judgeChat(item: PlanItem, requestId: string, received: Uint8Array): Verdict {
	const expected = Buffer.from(expectedBytes('chat', item.body, requestId));
	const got = Buffer.from(received);
	if (got.equals(expected)) {
		return {outcome: 'ok', code: '', ran: ''};
	}

	if (got.length < expected.length && expected.subarray(0, got.length).equals(got)) {
		return {outcome: 'incomplete', code: '', ran: ''};
	}

	const lastFrame = got.toString().trimEnd().split('\n\n').at(-1) ?? '';
	const code = lastFrame.includes('"error"') ? errorCode.exec(lastFrame)?.[1] : undefined;
	const before = got.lastIndexOf(lastFrame);
	if (code !== undefined && expected.subarray(0, before).equals(got.subarray(0, before))) {
		return {outcome: 'stream-error', code, ran: ''};
	}

	return {outcome: 'wrong', code: '', ran: ''};
}

/** Judges the body of a 2xx answer to a booking: it has to name the key of this call. */
export function judgeBooking(item: PlanItem, received: Uint8Array): Verdict {
	try {
		const {key} = JSON.parse(Buffer.from(received).toString()) as {readonly key?: unknown};
		return {outcome: key === item.id ? 'ok' : 'wrong', code: '', ran: ''};
	} catch {
		return {outcome: 'incomplete', code: '', ran: ''};
	}
}

/** Reads the error code and the outcome of a refusal. */
export function judgeRefusal(received: Uint8Array, outcomeHeader: string): Verdict {
	try {
		const {error} = JSON.parse(Buffer.from(received).toString()) as {readonly error?: {readonly code?: unknown; readonly outcome?: unknown}};
		const ran = typeof error?.outcome === 'string' ? error.outcome : outcomeHeader;
		return {outcome: 'refused', code: typeof error?.code === 'string' ? error.code : 'no-code', ran};
	} catch {
		return {outcome: 'refused', code: 'no-json', ran: outcomeHeader};
	}
}
