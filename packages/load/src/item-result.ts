/** Result of one request, and the checks of its response. */
import {Buffer} from 'node:buffer';
import type {PlannedRequest} from './load-plan.js';
import {expectedResponseBytes} from '#standins-engine';

/**
 * - `ok`: the complete and correct response was received.
 * - `refused`: an error status; `code` is the error code in the body.
 * - `stream-error`: the stream ended with an error event.
 * - `incomplete`: the response ended before its last byte.
 * - `wrong`: the bytes differ from the expected response to this request.
 * - `hung-up`: the caller closed the connection as planned, and the bytes received were correct.
 * - `connection`: no response; `code` is the system's error code.
 * - `timeout`: the run ended before the response was complete.
 */
export type OutcomeKind = 'ok' | 'refused' | 'stream-error' | 'incomplete' | 'wrong' | 'hung-up' | 'connection' | 'timeout';

export type RequestResult = {
	readonly planned: PlannedRequest;
	readonly outcome: OutcomeKind;
	/** HTTP status; 0 without a response. */
	readonly status: number;
	/** Error code; empty without one. */
	readonly code: string;
	/** Whether a refused request was executed, as the refusal states: `not-run`, `unknown` or empty. */
	readonly executionOutcome: string;
	/** Value of `x-request-id`; empty without one. */
	readonly requestId: string;
	/** Milliseconds from the planned time of sending to the first byte and to the end of the request. */
	readonly firstByteMs: number;
	readonly totalMs: number;
	/** Bytes received, and tokens received in a stream. */
	readonly bytes: number;
	readonly tokens: number;
};

/** Outcome that the body of a response shows. */
export type CheckResult = Pick<RequestResult, 'outcome' | 'code' | 'executionOutcome'>;

const ERROR_CODE_PATTERN = /"code":\s*"([^"]+)"/u;

/** Checks the body of a 2xx response to a chat completion. */
export function checkChatResponse(planned: PlannedRequest, requestId: string, body: Uint8Array): CheckResult {
	const expected = Buffer.from(expectedResponseBytes('chat', planned.body, requestId));
	const receivedBytes = Buffer.from(body);
	if (receivedBytes.equals(expected)) {
		return {outcome: 'ok', code: '', executionOutcome: ''};
	}

	if (receivedBytes.length < expected.length && expected.subarray(0, receivedBytes.length).equals(receivedBytes)) {
		return {outcome: 'incomplete', code: '', executionOutcome: ''};
	}

	const code = findErrorEventCode(receivedBytes, expected);
	return code === undefined ? {outcome: 'wrong', code: '', executionOutcome: ''} : {outcome: 'stream-error', code, executionOutcome: ''};
}

/**
 * The error code of a stream that ends with an error event after correct bytes; undefined for any
 * other stream. A stream may be interrupted within an event, so a blank line may precede the error event.
 */
function findErrorEventCode(body: Uint8Array, expectedBody: Uint8Array): string | undefined {
	const [receivedBytes, expectedBuffer] = [Buffer.from(body), Buffer.from(expectedBody)];
	const errorIndex = receivedBytes.lastIndexOf('data: {"error"');
	const bytesBeforeError = receivedBytes.subarray(0, Math.max(0, errorIndex));
	const isPrefix = (bytes: Uint8Array): boolean => expectedBuffer.subarray(0, bytes.length).equals(bytes);
	const endsWithBlankLine = bytesBeforeError.subarray(-2).toString() === '\n\n';
	const isCorrect = isPrefix(bytesBeforeError) || (endsWithBlankLine && isPrefix(bytesBeforeError.subarray(0, -2)));
	return errorIndex === -1 || !isCorrect ? undefined : ERROR_CODE_PATTERN.exec(receivedBytes.subarray(errorIndex).toString())?.[1];
}

/** Checks the body of a 2xx response to a booking, which has to contain the idempotency key of the request. */
export function checkBookingResponse(planned: PlannedRequest, body: Uint8Array): CheckResult {
	try {
		const {key} = JSON.parse(Buffer.from(body).toString()) as {readonly key?: unknown};
		return {outcome: key === planned.id ? 'ok' : 'wrong', code: '', executionOutcome: ''};
	} catch {
		return {outcome: 'incomplete', code: '', executionOutcome: ''};
	}
}

/** Reads the error code and the execution outcome of a refusal. */
export function parseRefusal(body: Uint8Array, outcomeHeader: string): CheckResult {
	try {
		const {error} = JSON.parse(Buffer.from(body).toString()) as {readonly error?: {readonly code?: unknown; readonly outcome?: unknown}};
		const executionOutcome = typeof error?.outcome === 'string' ? error.outcome : outcomeHeader;
		return {outcome: 'refused', code: typeof error?.code === 'string' ? error.code : 'no-code', executionOutcome};
	} catch {
		return {outcome: 'refused', code: 'no-json', executionOutcome: outcomeHeader};
	}
}
