/**
 * Tracks all objects with a prefix by list and watch: lists them, watches from the listed version,
 * watches again if the stream breaks, and lists again if changes may have been missed.
 */
import {setTimeout as delay} from 'node:timers/promises';
import type {PlatformClient} from './client.js';
import {propagateAbort} from './propagate-abort.js';
import type {WatchEvent} from './watch.js';
import type {ObjectList, StoreFailure} from '#coordination';

/**
 * Event of a list and watch.
 *
 * - `listed`: all objects with the prefix; replaces all earlier state.
 * - `added`, `modified`, `deleted`, `bookmark`: as in a watch.
 * - `lost`: the platform does not respond at the moment; the call is retried after a delay.
 */
export type ListWatchEvent
	= | ({readonly kind: 'listed'} & ObjectList)
		| Exclude<WatchEvent, {readonly kind: 'lost' | 'too-old'}>
		| {readonly kind: 'lost'; readonly failure: StoreFailure};

/** Options of a list and watch. */
export type ListWatchOptions = {
	/** Ends the iterator. */
	readonly signal: AbortSignal;
	/** Random number in the range [0, 1); adds jitter to the retries of many processes. */
	readonly random: () => number;
	/** Interval in ms for listing again although the watch appears intact, since a watch can miss changes; default 30,000. */
	readonly relistMs?: number;
	/** Initial retry delay in ms; it doubles with each consecutive failure, up to 32 times the initial value. Default 250. */
	readonly retryMs?: number;
};

const DEFAULT_RELIST_MS = 30_000;
const DEFAULT_RETRY_MS = 250;
const MAX_BACKOFF_DOUBLINGS = 5;

type Progress = {version: string | undefined; failures: number};
type Attempt = {readonly options: ListWatchOptions; readonly progress: Progress};

/** Yields events until the signal aborts. Never throws. Each list and each watch counts as one call of the client. */
export async function * listAndWatch(client: PlatformClient, prefix: string, options: ListWatchOptions): AsyncGenerator<ListWatchEvent, void, undefined> {
	const progress: Progress = {version: undefined, failures: 0};
	while (!options.signal.aborted) {
		const events = progress.version === undefined
			? listOnce(client, prefix, {options, progress})
			: watchOnce(client, prefix, {options, progress, version: progress.version});

		for await (const event of events) {
			yield event;
			if (event.kind === 'lost') {
				await waitBeforeRetry(options, progress);
			}
		}
	}
}

async function * listOnce(client: PlatformClient, prefix: string, {options, progress}: Attempt): AsyncGenerator<ListWatchEvent, void, undefined> {
	const result = await client.list(prefix, {signal: options.signal});
	if (options.signal.aborted) {
		return;
	}

	if (result.kind === 'failed') {
		progress.failures += 1;
		yield {kind: 'lost', failure: result.failure};
		return;
	}

	progress.failures = 0;
	progress.version = result.value.resourceVersion;
	yield {kind: 'listed', ...result.value};
}

async function * watchOnce(client: PlatformClient, prefix: string, {options, progress, version}: Attempt & {readonly version: string}): AsyncGenerator<ListWatchEvent, void, undefined> {
	const controller = new AbortController();
	const stopPropagation = propagateAbort(options.signal, controller);
	const timer = setTimeout(() => {
		controller.abort();
	}, options.relistMs ?? DEFAULT_RELIST_MS);
	try {
		for await (const event of client.watch(prefix, version, {signal: controller.signal})) {
			yield * applyEvent(event, progress);
		}

		if (controller.signal.aborted) {
			progress.version = undefined;
		}
	} finally {
		clearTimeout(timer);
		stopPropagation();
	}
}

function * applyEvent(event: WatchEvent, progress: Progress): Generator<ListWatchEvent, void, undefined> {
	switch (event.kind) {
		case 'too-old': {
			progress.version = undefined;
			break;
		}

		case 'lost': {
			progress.failures += 1;
			yield event;
			break;
		}

		case 'bookmark': {
			progress.failures = 0;
			progress.version = event.resourceVersion;
			yield event;
			break;
		}

		case 'added':
		case 'deleted':
		case 'modified': {
			progress.failures = 0;
			progress.version = event.object.resourceVersion;
			yield event;
			break;
		}
	}
}

/** Waits for the current backoff delay with jitter: 50% to 100% of it. */
async function waitBeforeRetry({signal, random, retryMs = DEFAULT_RETRY_MS}: ListWatchOptions, {failures}: Progress): Promise<void> {
	const maxDelayMs = retryMs * (2 ** Math.min(MAX_BACKOFF_DOUBLINGS, Math.max(0, failures - 1)));
	try {
		await delay(maxDelayMs * (0.5 + (random() / 2)), undefined, {signal});
	} catch {
		// The signal has aborted, so the caller's loop ends.
	}
}
