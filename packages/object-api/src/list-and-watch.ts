/**
 * Follows all objects below a prefix for as long as wanted: lists them, watches from there,
 * watches again when a stream breaks, and lists again when changes may have been missed.
 */
import {setTimeout as delay} from 'node:timers/promises';
import type {PlatformClient} from './client.js';
import {linkAbort} from './propagate-abort.js';
import type {WatchEvent} from './watch.js';
import type {ObjectList, StoreFailure} from '#coordination';

/**
 * One event while following.
 *
 * - `listed`: all objects below the prefix; replaces everything known before.
 * - `added`, `modified`, `deleted`, `bookmark`: as in a watch.
 * - `lost`: the platform does not answer at the moment; following goes on after a delay.
 */
export type ListWatchEvent
	= | ({readonly kind: 'listed'} & ObjectList)
		| Exclude<WatchEvent, {readonly kind: 'lost' | 'too-old'}>
		| {readonly kind: 'lost'; readonly failure: StoreFailure};

/** How to follow. */
export type ListWatchOptions = {
	/** Ends the iterator. */
	readonly signal: AbortSignal;
	/** Number from 0 to below 1; spreads the retries of many processes. */
	readonly random: () => number;
	/** Interval in ms of listing again although the watch seems whole, since a watch can miss changes; default 30,000. */
	readonly relistMs?: number;
	/** First delay in ms before a retry; it doubles up to 32 times as much while nothing succeeds. Default 250. */
	readonly retryMs?: number;
};

const DEFAULT_RELIST_MS = 30_000;
const DEFAULT_RETRY_MS = 250;
const MAX_DOUBLINGS = 5;

type Progress = {version: string | undefined; failures: number};
type Attempt = {readonly options: ListWatchOptions; readonly progress: Progress};

/** Yields events until the signal aborts. Never throws. Each list and each watch counts as one call. */
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
	const listed = await client.list(prefix, {signal: options.signal});
	if (options.signal.aborted) {
		return;
	}

	if (listed.kind === 'failed') {
		progress.failures += 1;
		yield {kind: 'lost', failure: listed.failure};
		return;
	}

	progress.failures = 0;
	progress.version = listed.value.resourceVersion;
	yield {kind: 'listed', ...listed.value};
}

async function * watchOnce(client: PlatformClient, prefix: string, {options, progress, version}: Attempt & {readonly version: string}): AsyncGenerator<ListWatchEvent, void, undefined> {
	const controller = new AbortController();
	const unlink = linkAbort(options.signal, controller);
	const timer = setTimeout(() => {
		controller.abort();
	}, options.relistMs ?? DEFAULT_RELIST_MS);
	try {
		for await (const event of client.watch(prefix, version, {signal: controller.signal})) {
			yield * takeEvent(event, progress);
		}

		if (controller.signal.aborted) {
			progress.version = undefined;
		}
	} finally {
		clearTimeout(timer);
		unlink();
	}
}

function * takeEvent(event: WatchEvent, progress: Progress): Generator<ListWatchEvent, void, undefined> {
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

/** Waits half to the whole of the current delay. */
async function waitBeforeRetry({signal, random, retryMs = DEFAULT_RETRY_MS}: ListWatchOptions, {failures}: Progress): Promise<void> {
	const longest = retryMs * (2 ** Math.min(MAX_DOUBLINGS, Math.max(0, failures - 1)));
	try {
		await delay(longest * (0.5 + (random() / 2)), undefined, {signal});
	} catch {
		// The signal has aborted; the caller's loop ends.
	}
}
