/** One watch stream of the platform as typed events. */
import {linkAbort} from './propagate-abort.js';
import {watchLineSchema} from './schemas.js';
import {
	classifyError, open, parseJson, withoutEffect, type TransportOptions,
} from './transport.js';
import type {StoredObject, StoreFailure} from '#coordination';

/**
 * One event of a watch.
 *
 * - `added`, `modified`, `deleted`: a change; `object.resourceVersion` is the version to continue from.
 * - `bookmark`: nothing changed up to this version.
 * - `too-old`: the platform no longer holds the changes after the requested version; last event.
 * - `lost`: the stream broke or was refused; last event.
 */
export type WatchEvent
	= | {readonly kind: 'added' | 'deleted' | 'modified'; readonly object: StoredObject}
		| {readonly kind: 'bookmark'; readonly resourceVersion: string}
		| {readonly kind: 'too-old'}
		| {readonly kind: 'lost'; readonly failure: StoreFailure};

/** A line over this many characters ends the watch: a value of 1 MB may grow up to sixfold as JSON text. */
const MAX_LINE_LENGTH = 8_000_000;

const GONE = 410;

/** Opens a watch and yields its events; the last one tells why it ended, unless the signal aborted. */
export async function * watchObjects(transport: TransportOptions, path: string, outer?: AbortSignal): AsyncGenerator<WatchEvent, void, undefined> {
	const controller = new AbortController();
	if (outer?.aborted) {
		return;
	}

	const unlink = linkAbort(outer, controller);
	try {
		yield * readStream(transport, path, controller);
	} catch (error) {
		if (!outer?.aborted) {
			yield {kind: 'lost', failure: classifyError('GET', error)};
		}
	} finally {
		unlink();
		controller.abort();
	}
}

async function * readStream(transport: TransportOptions, path: string, controller: AbortController): AsyncGenerator<WatchEvent, void, undefined> {
	const timer = setTimeout(() => {
		controller.abort();
	}, transport.timeoutMs);
	const res = await open(transport, {method: 'GET', path}, controller.signal).finally(() => {
		clearTimeout(timer);
	});
	if (res.statusCode !== 200) {
		await res.body.dump();
		yield {kind: 'lost', failure: withoutEffect(`the platform answered ${res.statusCode}`)};
		return;
	}

	let pending = '';
	// A character may be split over two chunks; undici's setEncoding decodes each chunk alone.
	const decoder = new TextDecoder();
	for await (const bytes of res.body as AsyncIterable<Uint8Array>) {
		const lines = `${pending}${decoder.decode(bytes, {stream: true})}`.split('\n');
		pending = lines.pop() ?? '';
		for (const line of lines) {
			const event = parseLine(line);
			yield event;
			if (event.kind === 'lost' || event.kind === 'too-old') {
				return;
			}
		}

		if (pending.length > MAX_LINE_LENGTH) {
			break;
		}
	}

	yield {kind: 'lost', failure: withoutEffect('the watch stream ended')};
}

function parseLine(line: string): WatchEvent {
	const parsed = watchLineSchema.safeParse(parseJson(line));
	if (!parsed.success) {
		return {kind: 'lost', failure: withoutEffect('a watch line has the wrong shape')};
	}

	const {data} = parsed;
	switch (data.type) {
		case 'ADDED': {
			return {kind: 'added', object: data.object};
		}

		case 'MODIFIED': {
			return {kind: 'modified', object: data.object};
		}

		case 'DELETED': {
			return {kind: 'deleted', object: data.object};
		}

		case 'BOOKMARK': {
			return {kind: 'bookmark', resourceVersion: data.object.resourceVersion};
		}

		case 'ERROR': {
			return data.object.code === GONE
				? {kind: 'too-old'}
				: {kind: 'lost', failure: withoutEffect(`the watch failed with code ${data.object.code}`)};
		}
	}
}
