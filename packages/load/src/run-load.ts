/** Runs a plan against one or more URLs until all requests have ended. */
import {setMaxListeners} from 'node:events';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {Agent} from 'undici';
import type {RequestResult} from './item-result.js';
import {sendRequest} from './load-client.js';
import {
	createPlan, DEFAULT_PLAN, type PlannedRequest, type PlanOptions,
} from './load-plan.js';
import {LoadRecorder, type LoadReport} from './load-recorder.js';
import {InputError} from '#core';

export type LoadOptions = Partial<PlanOptions> & {
	/** Base URLs without a trailing slash, used in round-robin order. */
	readonly urls: readonly string[];
	/** Path of bookings; default `/bookings`. */
	readonly bookingPath?: string;
	/** Time after the last request was sent at which pending requests are aborted, in milliseconds; default 120,000. */
	readonly drainMs?: number;
	/** Called with the result of each request. */
	readonly onResult?: (result: RequestResult) => void;
	/** Called once a second during the run. */
	readonly onProgress?: (recorder: LoadRecorder, elapsedMs: number) => void;
	/** Ends the run early; pending requests count as `timeout`. */
	readonly signal?: AbortSignal;
};

const DEFAULT_DRAIN_MS = 120_000;
const PROGRESS_INTERVAL_MS = 1000;

function validateOptions(plan: PlanOptions, urls: readonly string[]): void {
	const shares = [plan.bookingShare, plan.streamShare, plan.prefixShare, plan.slowShare, plan.hangUpShare];
	if (urls.length === 0 || plan.models.length === 0 || plan.workspaces.length === 0) {
		throw new InputError('load: at least one URL, model and workspace is required');
	}

	if (!(plan.rate > 0) || (plan.count === Infinity && plan.durationMs === Infinity)) {
		throw new InputError('load: a rate above 0 and a count or a duration is required');
	}

	if (shares.some(share => !(share >= 0 && share <= 1)) || plan.minTokens < 1 || plan.maxTokens < plan.minTokens) {
		throw new InputError('load: shares are 0 to 1, and tokens a range starting at 1 or more');
	}
}

/**
 * Runs the load.
 *
 * @returns Counts and percentiles once all requests have ended.
 * @throws InputError when an option is out of range.
 */
export async function runLoad(options: LoadOptions): Promise<LoadReport> {
	const plan: PlanOptions = {...DEFAULT_PLAN, ...options};
	validateOptions(plan, options.urls);
	const recorder = LoadRecorder.create();
	const abortController = new AbortController();
	// Each pending request adds a listener; more than the default limit of 10 would print a warning.
	setMaxListeners(0, abortController.signal);
	const abortPending = (): void => {
		abortController.abort();
	};

	options.signal?.addEventListener('abort', abortPending);
	const dispatcher = new Agent({headersTimeout: 0, bodyTimeout: 0, pipelining: 1});
	const startedAtMs = performance.now();
	const progressTimer = setInterval(() => {
		options.onProgress?.(recorder, performance.now() - startedAtMs);
	}, PROGRESS_INTERVAL_MS);
	try {
		const pending = new Set<Promise<void>>();
		for (const planned of createPlan(plan)) {
			const waitMs = startedAtMs + planned.sendAtMs - performance.now();
			if (waitMs > 0) {
				// Timers may fire up to a millisecond late; this delay is included in the measured times.

				await sleep(waitMs);
			}

			if (abortController.signal.aborted) {
				break;
			}

			recorder.recordSent(performance.now() - startedAtMs - planned.sendAtMs);
			const request = runRequest(planned);
			pending.add(request);
			void request.finally(() => {
				pending.delete(request);
			});
		}

		const drainTimer = setTimeout(abortPending, options.drainMs ?? DEFAULT_DRAIN_MS);
		await Promise.all(pending);
		clearTimeout(drainTimer);
		return recorder.report(performance.now() - startedAtMs);
	} finally {
		clearInterval(progressTimer);
		options.signal?.removeEventListener('abort', abortPending);
		await dispatcher.destroy();
	}

	async function runRequest(planned: PlannedRequest): Promise<void> {
		const result = await sendRequest(planned, {
			url: options.urls[planned.index % options.urls.length] ?? '',
			bookingPath: options.bookingPath ?? '/bookings',
			dispatcher,
			signal: abortController.signal,
			plannedAtMs: startedAtMs + planned.sendAtMs,
			onTokens(gapMs, tokens) {
				recorder.recordTokens(gapMs, tokens);
			},
		});
		recorder.recordResult(result);
		options.onResult?.(result);
	}
}
