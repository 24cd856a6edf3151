/** Reads a watch stream of the platform as typed events. */
import {propagateAbort} from './propagate-abort.js';
import {watchLineSchema} from './schemas.js';
import {
	classifyError, sendRequest, parseJson, failureWithoutEffect, type TransportOptions,
} from './transport.js';
import type {StoredObject, StoreFailure} from '#coordination';

/**
 * Event of a watch.
 *
 * - `added`, `modified`, `deleted`: a change; `object.resourceVersion` is the version to resume from.
 * - `bookmark`: there are no further changes up to this version.
 * - `too-old`: the platform no longer has the changes after the requested version; last event.
 * - `lost`: the stream broke or the request was rejected; last event.
 */
export type WatchEvent
	= | {readonly kind: 'added' | 'deleted' | 'modified'; readonly object: StoredObject}
		| {readonly kind: 'bookmark'; readonly resourceVersion: string}
		| {readonly kind: 'too-old'}
		| {readonly kind: 'lost'; readonly failure: StoreFailure};

/** A line longer than this ends the watch. A value of 1 MB may grow up to sixfold when encoded as JSON. */
const MAX_LINE_CHARS = 8_000_000;

const HTTP_GONE = 410;

/** Opens a watch and yields its events; the last one gives the reason for its end, unless the signal aborted. */
export async function * watchObjects(transport: TransportOptions, path: string, callerSignal?: AbortSignal): AsyncGenerator<WatchEvent, void, undefined> {
	const controller = new AbortController();
	if (callerSignal?.aborted) {
		return;
	}

	const stopPropagation = propagateAbort(callerSignal, controller);
	try {
		yield * readStream(transport, path, controller);
	} catch (error) {
		if (!callerSignal?.aborted) {
			yield {kind: 'lost', failure: classifyError('GET', error)};
		}
	} finally {
		stopPropagation();
		controller.abort();
	}
}

async function * readStream(transport: TransportOptions, path: string, controller: AbortController): AsyncGenerator<WatchEvent, void, undefined> {
	const timer = setTimeout(() => {
		controller.abort();
	}, transport.timeoutMs);
	const res = await sendRequest(transport, {method: 'GET', path}, controller.signal).finally(() => {
		clearTimeout(timer);
	});
	if (res.statusCode !== 200) {
		await res.body.dump();
		yield {kind: 'lost', failure: failureWithoutEffect(`the platform answered ${res.statusCode}`)};
		return;
	}

	let partialLine = '';
	// A character may be split across two chunks; undici's setEncoding decodes each chunk separately.
	const decoder = new TextDecoder();
	for await (const bytes of res.body as AsyncIterable<Uint8Array>) {
		const lines = `${partialLine}${decoder.decode(bytes, {stream: true})}`.split('\n');
		partialLine = lines.pop() ?? '';
		for (const line of lines) {
			const event = parseLine(line);
			yield event;
			if (event.kind === 'lost' || event.kind === 'too-old') {
				return;
			}
		}

		if (partialLine.length > MAX_LINE_CHARS) {
			break;
		}
	}

	yield {kind: 'lost', failure: failureWithoutEffect('the watch stream ended')};
}

function parseLine(line: string): WatchEvent {
	const parsed = watchLineSchema.safeParse(parseJson(line));
	if (!parsed.success) {
		return {kind: 'lost', failure: failureWithoutEffect('a watch line does not match the schema')};
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
			return data.object.code === HTTP_GONE
				? {kind: 'too-old'}
				: {kind: 'lost', failure: failureWithoutEffect(`the watch failed with code ${data.object.code}`)};
		}
	}
}
