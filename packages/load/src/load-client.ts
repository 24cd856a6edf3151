/** Sends one call of the plan and measures its answer. */
import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {type Dispatcher, request} from 'undici';
import {
	judgeBooking, judgeChat, judgeRefusal, type ItemResult, type Verdict,
} from './item-result.js';
import type {PlanItem, Reading} from './load-plan.js';

export type SendOptions = {
	/** Base URL without a trailing slash. */
	readonly url: string;
	/** Path of bookings, for example `/services/ledger/bookings`. */
	readonly bookingPath: string;
	readonly dispatcher: Dispatcher;
	/** Ends the call. */
	readonly signal: AbortSignal;
	/** Planned time of sending on the clock of `performance.now()`. */
	readonly plannedAt: number;
	/** Called with the milliseconds since the previous bytes of a stream and the tokens among the new ones. */
	readonly onTokens: (gapMs: number, tokens: number) => void;
};

type Progress = {
	status: number;
	requestId: string;
	outcomeHeader: string;
	firstByteMs: number;
	bytes: number;
	tokens: number;
	hungUp: boolean;
	readonly chunks: Uint8Array[];
};

const FRAME_END = Buffer.from('\n\n');

function countFrames(chunk: Uint8Array): number {
	const buffer = Buffer.from(chunk.buffer, chunk.byteOffset, chunk.length);
	let count = 0;
	for (let at = buffer.indexOf(FRAME_END); at !== -1; at = buffer.indexOf(FRAME_END, at + 2)) {
		count++;
	}

	return count;
}

function headersOf(item: PlanItem): Record<string, string> {
	return {
		'content-type': 'application/json',
		authorization: `Bearer ${item.workspace.key}`,
		...(item.kind === 'booking' ? {'idempotency-key': item.id} : {'x-request-id': item.id}),
	};
}

function firstValue(value: string | readonly string[] | undefined): string {
	return typeof value === 'string' ? value : value?.[0] ?? '';
}

/** Sends a call. Failures of any kind are outcomes; nothing is thrown. */
export async function sendItem(item: PlanItem, options: SendOptions): Promise<ItemResult> {
	const progress: Progress = {
		status: 0, requestId: '', outcomeHeader: '', firstByteMs: 0, bytes: 0, tokens: 0, hungUp: false, chunks: [],
	};
	let verdict: Verdict;
	try {
		await receive(item, options, progress);
		verdict = judge(item, progress);
	} catch (error) {
		verdict = judgeFailure(item, progress, options.signal, error);
	}

	return {
		item,
		...verdict,
		status: progress.status,
		requestId: progress.requestId,
		firstByteMs: progress.firstByteMs,
		totalMs: performance.now() - options.plannedAt,
		bytes: progress.bytes,
		tokens: progress.tokens,
	};
}

async function receive(item: PlanItem, options: SendOptions, progress: Progress): Promise<void> {
	const path = item.kind === 'booking' ? options.bookingPath : '/v1/chat/completions';
	const {statusCode, headers, body} = await request(`${options.url}${path}`, {
		method: 'POST', headers: headersOf(item), body: JSON.stringify(item.body), dispatcher: options.dispatcher, signal: options.signal,
	});
	progress.status = statusCode;
	progress.requestId = firstValue(headers['x-request-id']);
	progress.outcomeHeader = firstValue(headers['x-mimosamount-outcome']);
	const reading: Reading = item.kind === 'chat' ? item.reading : {kind: 'all'};
	let lastAt = performance.now();
	for await (const data of body) {
		const chunk = data as Uint8Array;
		const now = performance.now();
		if (progress.bytes === 0) {
			progress.firstByteMs = now - options.plannedAt;
		} else if (item.kind === 'chat' && item.stream && reading.kind === 'all') {
			options.onTokens(now - lastAt, countFrames(chunk));
		}

		lastAt = now;
		progress.bytes += chunk.length;
		progress.tokens += countFrames(chunk);
		progress.chunks.push(chunk);
		if (reading.kind === 'slow') {
			await sleep(chunk.length * 1000 / reading.bytesPerSecond);
		}

		if (reading.kind === 'hang-up' && progress.bytes >= reading.afterBytes) {
			progress.hungUp = true;
			return;
		}
	}
}

function judge(item: PlanItem, progress: Progress): Verdict {
	const received = Buffer.concat(progress.chunks);
	if (progress.status >= 300) {
		return judgeRefusal(received, progress.outcomeHeader);
	}

	if (item.kind === 'booking') {
		return judgeBooking(item, received);
	}

	const verdict = judgeChat(item, progress.requestId, received);
	return progress.hungUp && verdict.outcome !== 'wrong' ? {...verdict, outcome: 'hung-up'} : verdict;
}

function judgeFailure(item: PlanItem, progress: Progress, signal: AbortSignal, error: unknown): Verdict {
	const {code} = (error as {readonly code?: unknown});
	const text = typeof code === 'string' ? code : String(error);
	if (signal.aborted) {
		return {outcome: 'timeout', code: '', ran: ''};
	}

	if (progress.status === 0) {
		return {outcome: 'connection', code: text, ran: ''};
	}

	const verdict = judge(item, progress);
	return verdict.outcome === 'ok' || verdict.outcome === 'refused' ? {...verdict, outcome: 'incomplete', code: text} : {...verdict, code: text};
}
