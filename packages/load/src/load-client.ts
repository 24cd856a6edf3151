/** Sends one request of the plan and measures its response. */
import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {type Dispatcher, request} from 'undici';
import {
	checkBookingResponse, checkChatResponse, parseRefusal, type RequestResult, type CheckResult,
} from './item-result.js';
import type {PlannedRequest, ReadMode} from './load-plan.js';

export type SendOptions = {
	/** Base URL without a trailing slash. */
	readonly url: string;
	/** Path of bookings, for example `/services/ledger/bookings`. */
	readonly bookingPath: string;
	readonly dispatcher: Dispatcher;
	/** Aborts the request. */
	readonly signal: AbortSignal;
	/** Planned time of sending in milliseconds, as `performance.now()` counts it. */
	readonly plannedAtMs: number;
	/** Called for each chunk of a stream after the first, with the milliseconds since the previous chunk and the tokens in this one. */
	readonly onTokens: (intervalMs: number, tokens: number) => void;
};

type ResponseProgress = {
	status: number;
	requestId: string;
	outcomeHeader: string;
	firstByteMs: number;
	bytes: number;
	tokens: number;
	isHungUp: boolean;
	readonly chunks: Uint8Array[];
};

const EVENT_SEPARATOR = Buffer.from('\n\n');

function countEvents(chunk: Uint8Array): number {
	const buffer = Buffer.from(chunk.buffer, chunk.byteOffset, chunk.length);
	let count = 0;
	for (let index = buffer.indexOf(EVENT_SEPARATOR); index !== -1; index = buffer.indexOf(EVENT_SEPARATOR, index + 2)) {
		count++;
	}

	return count;
}

function createHeaders(planned: PlannedRequest): Record<string, string> {
	return {
		'content-type': 'application/json',
		authorization: `Bearer ${planned.workspace.key}`,
		...(planned.kind === 'booking' ? {'idempotency-key': planned.id} : {'x-request-id': planned.id}),
	};
}

function firstHeaderValue(value: string | readonly string[] | undefined): string {
	return typeof value === 'string' ? value : value?.[0] ?? '';
}

/** Sends a request. All failures are reported as outcomes; nothing is thrown. */
export async function sendRequest(planned: PlannedRequest, options: SendOptions): Promise<RequestResult> {
	const progress: ResponseProgress = {
		status: 0, requestId: '', outcomeHeader: '', firstByteMs: 0, bytes: 0, tokens: 0, isHungUp: false, chunks: [],
	};
	let result: CheckResult;
	try {
		await receiveResponse(planned, options, progress);
		result = checkResponse(planned, progress);
	} catch (error) {
		result = classifyFailure(planned, progress, options.signal, error);
	}

	return {
		planned,
		...result,
		status: progress.status,
		requestId: progress.requestId,
		firstByteMs: progress.firstByteMs,
		totalMs: performance.now() - options.plannedAtMs,
		bytes: progress.bytes,
		tokens: progress.tokens,
	};
}

async function receiveResponse(planned: PlannedRequest, options: SendOptions, progress: ResponseProgress): Promise<void> {
	const path = planned.kind === 'booking' ? options.bookingPath : '/v1/chat/completions';
	const {statusCode, headers, body} = await request(`${options.url}${path}`, {
		method: 'POST', headers: createHeaders(planned), body: JSON.stringify(planned.body), dispatcher: options.dispatcher, signal: options.signal,
	});
	progress.status = statusCode;
	progress.requestId = firstHeaderValue(headers['x-request-id']);
	progress.outcomeHeader = firstHeaderValue(headers['x-mimosamount-outcome']);
	const readMode: ReadMode = planned.kind === 'chat' ? planned.readMode : {kind: 'all'};
	let lastReceivedAtMs = performance.now();
	for await (const data of body) {
		const chunk = data as Uint8Array;
		const now = performance.now();
		if (progress.bytes === 0) {
			progress.firstByteMs = now - options.plannedAtMs;
		} else if (planned.kind === 'chat' && planned.stream && readMode.kind === 'all') {
			options.onTokens(now - lastReceivedAtMs, countEvents(chunk));
		}

		lastReceivedAtMs = now;
		progress.bytes += chunk.length;
		progress.tokens += countEvents(chunk);
		progress.chunks.push(chunk);
		if (readMode.kind === 'slow') {
			await sleep(chunk.length * 1000 / readMode.bytesPerSecond);
		}

		if (readMode.kind === 'hang-up' && progress.bytes >= readMode.afterBytes) {
			progress.isHungUp = true;
			return;
		}
	}
}

function checkResponse(planned: PlannedRequest, progress: ResponseProgress): CheckResult {
	const received = Buffer.concat(progress.chunks);
	if (progress.status >= 300) {
		return parseRefusal(received, progress.outcomeHeader);
	}

	if (planned.kind === 'booking') {
		return checkBookingResponse(planned, received);
	}

	const result = checkChatResponse(planned, progress.requestId, received);
	return progress.isHungUp && result.outcome !== 'wrong' ? {...result, outcome: 'hung-up'} : result;
}

function classifyFailure(planned: PlannedRequest, progress: ResponseProgress, signal: AbortSignal, error: unknown): CheckResult {
	const {code} = (error as {readonly code?: unknown});
	const errorText = typeof code === 'string' ? code : String(error);
	if (signal.aborted) {
		return {outcome: 'timeout', code: '', executionOutcome: ''};
	}

	if (progress.status === 0) {
		return {outcome: 'connection', code: errorText, executionOutcome: ''};
	}

	const result = checkResponse(planned, progress);
	return result.outcome === 'ok' || result.outcome === 'refused' ? {...result, outcome: 'incomplete', code: errorText} : {...result, code: errorText};
}
