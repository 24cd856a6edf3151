/** Runs a plan against one or more addresses and stops by itself. */
import {setMaxListeners} from 'node:events';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {Agent} from 'undici';
import type {ItemResult} from './item-result.js';
import {sendItem} from './load-client.js';
import {
	createPlan, DEFAULT_PLAN, type PlanItem, type PlanOptions,
} from './load-plan.js';
import {LoadRecorder, type LoadReport} from './load-recorder.js';
import {InputError} from '#core';

export type LoadOptions = Partial<PlanOptions> & {
	/** Base URLs; calls are spread over them in turn. */
	readonly urls: readonly string[];
	/** Path of bookings; default `/bookings`. */
	readonly bookingPath?: string;
	/** Time after the last call was sent at which open calls are ended, in milliseconds; default 120,000. */
	readonly drainMs?: number;
	/** Called with the outcome of each call. */
	readonly onResult?: (result: ItemResult) => void;
	/** Called once a second while the run goes on. */
	readonly onProgress?: (recorder: LoadRecorder, elapsedMs: number) => void;
	/** Ends the run early; open calls count as `timeout`. */
	readonly signal?: AbortSignal;
};

const DRAIN_MS = 120_000;
const PROGRESS_MS = 1000;

function checkOptions(plan: PlanOptions, urls: readonly string[]): void {
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
 * @returns Counts and percentiles once all calls have ended.
 * @throws InputError when an option is out of range.
 */
export async function runLoad(options: LoadOptions): Promise<LoadReport> {
	const plan: PlanOptions = {...DEFAULT_PLAN, ...options};
	checkOptions(plan, options.urls);
	const recorder = LoadRecorder.create();
	const ending = new AbortController();
	// Each open call listens; the default limit of 10 listeners would print a warning.
	setMaxListeners(0, ending.signal);
	const stop = (): void => {
		ending.abort();
	};

	options.signal?.addEventListener('abort', stop);
	const dispatcher = new Agent({headersTimeout: 0, bodyTimeout: 0, pipelining: 1});
	const startedAt = performance.now();
	const progress = setInterval(() => {
		options.onProgress?.(recorder, performance.now() - startedAt);
	}, PROGRESS_MS);
	try {
		const open = new Set<Promise<void>>();
		for (const item of createPlan(plan)) {
			const waitMs = startedAt + item.atMs - performance.now();
			if (waitMs > 0) {
				// Timers may fire up to a millisecond late; the lag is part of the measured times.

				await sleep(waitMs);
			}

			if (ending.signal.aborted) {
				break;
			}

			recorder.recordSent(performance.now() - startedAt - item.atMs);
			const call = runItem(item);
			open.add(call);
			void call.finally(() => {
				open.delete(call);
			});
		}

		const drain = setTimeout(stop, options.drainMs ?? DRAIN_MS);
		await Promise.all(open);
		clearTimeout(drain);
		return recorder.report(performance.now() - startedAt);
	} finally {
		clearInterval(progress);
		options.signal?.removeEventListener('abort', stop);
		await dispatcher.destroy();
	}

	async function runItem(item: PlanItem): Promise<void> {
		const result = await sendItem(item, {
			url: options.urls[item.index % options.urls.length] ?? '',
			bookingPath: options.bookingPath ?? '/bookings',
			dispatcher,
			signal: ending.signal,
			plannedAt: startedAt + item.atMs,
			onTokens(gapMs, tokens) {
				recorder.recordTokens(gapMs, tokens);
			},
		});
		recorder.recordResult(result);
		options.onResult?.(result);
	}
}
