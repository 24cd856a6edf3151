/** Outcome of one call of the load. */
import {Buffer} from 'node:buffer';
import type {PlanItem} from './load-plan.js';
import {expectedResponseBytes} from '#standins-engine';

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
	const expected = Buffer.from(expectedResponseBytes('chat', item.body, requestId));
	const got = Buffer.from(received);
	if (got.equals(expected)) {
		return {outcome: 'ok', code: '', ran: ''};
	}

	if (got.length < expected.length && expected.subarray(0, got.length).equals(got)) {
		return {outcome: 'incomplete', code: '', ran: ''};
	}

	const code = readErrorEvent(got, expected);
	return code === undefined ? {outcome: 'wrong', code: '', ran: ''} : {outcome: 'stream-error', code, ran: ''};
}

/**
 * The error code of a stream that ends with an error event after correct bytes; undefined for any
 * other stream. A stream may break off inside an event, so a blank line may come before the event.
 */
function readErrorEvent(received: Uint8Array, answer: Uint8Array): string | undefined {
	const [got, expected] = [Buffer.from(received), Buffer.from(answer)];
	const at = got.lastIndexOf('data: {"error"');
	const delivered = got.subarray(0, Math.max(0, at));
	const isPrefix = (bytes: Uint8Array): boolean => expected.subarray(0, bytes.length).equals(bytes);
	const isBlank = delivered.subarray(-2).toString() === '\n\n';
	const isCorrect = isPrefix(delivered) || (isBlank && isPrefix(delivered.subarray(0, -2)));
	return at === -1 || !isCorrect ? undefined : errorCode.exec(got.subarray(at).toString())?.[1];
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
