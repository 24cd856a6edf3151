import {getEventListeners} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import t, {type Test} from 'tap';
import type {Result} from '#core';
import {
	listAndWatch, PlatformClient, type ListWatchEvent, type PlatformClientOptions, type WatchEvent,
} from '#object-api';
import {PlatformServer, type PlatformServerOptions} from '#standins-platform';

async function start(t: Test, serverOptions: PlatformServerOptions = {}, clientOptions: Partial<PlatformClientOptions> = {}) {
	const server = await PlatformServer.create({key: 'secret', ...serverOptions});
	const client = PlatformClient.create({url: server.url, key: 'secret', ...clientOptions});
	t.teardown(async () => {
		await client.close();
		await server.close();
	});
	return {server, client};
}

function describeResult(result: Result<unknown, {readonly kind: string; readonly effect?: string}>): string {
	return result.kind === 'ok' ? 'done' : [result.failure.kind, result.failure.effect].filter(Boolean).join(' ');
}

/** Collects events up to and including the first of the given kind, or all events. */
async function collectUntil(events: AsyncIterable<WatchEvent>, last: WatchEvent['kind'] | 'end'): Promise<readonly WatchEvent[]> {
	const seen: WatchEvent[] = [];
	for await (const event of events) {
		seen.push(event);
		if (event.kind === last) {
			break;
		}
	}

	return seen;
}

await t.test('conditional calls distinguish conflicts from missing objects', async t => {
	const {server, client} = await start(t);
	const created = await client.create('a/b c', {n: 1});
	t.match(created, {kind: 'ok', value: {name: 'a/b c', value: {n: 1}}});
	const version = created.kind === 'ok' ? created.value.resourceVersion : '';
	const cases: ReadonlyArray<readonly [string, Promise<Result<unknown, {kind: string}>>, string]> = [
		['create again', client.create('a/b c', 2), 'conflict'],
		['update of an old version', client.update('a/b c', '1', 2), 'conflict'],
		['update of a missing object', client.update('none', '1', 2), 'missing'],
		['read of a missing object', client.read('none'), 'missing'],
		['remove of an old version', client.remove('a/b c', '1'), 'conflict'],
		['value over 1 MB', client.update('a/b c', version, 'x'.repeat(1_000_001)), 'too-large'],
		['remove', client.remove('a/b c', version), 'done'],
	];
	for (const [name, call, expected] of cases) {
		t.equal(describeResult(await call), expected, name);
	}

	t.match(await client.list('a/'), {kind: 'ok', value: {items: []}});
	t.equal(client.counts.update.sent, 3);
	t.equal(server.calls.update, 3, 'client and server count the same calls');
});

await t.test('writes that may have taken effect are distinguished from writes that did not', async t => {
	const {server, client} = await start(t, {writeRate: {perSecond: 0, burst: 5}}, {timeoutMs: 60_000});
	const shortTimeoutClient = PlatformClient.create({url: server.url, key: 'secret', timeoutMs: 50});
	t.teardown(async () => shortTimeoutClient.close());
	server.setFaults({down: true});
	t.equal(describeResult(await client.create('a', 1)), 'unavailable none', '503');
	server.setFaults({down: false, loseAnswers: 'after-write', loseCount: 1});
	t.equal(describeResult(await client.create('a', 1)), 'unavailable unknown', 'connection lost after the write');
	t.match(await client.read('a'), {value: {value: 1}}, 'the write took effect');
	server.setFaults({slowMs: 100_000});
	t.equal(describeResult(await shortTimeoutClient.create('b', 1)), 'unavailable unknown', 'timeout');
	t.equal(describeResult(await shortTimeoutClient.read('a')), 'unavailable none', 'a read has no effect');
	const signal = AbortSignal.abort();
	t.equal(describeResult(await client.create('b', 1, {signal})), 'unavailable none', 'aborted before it was sent');
	server.setFaults({slowMs: 0});
	for (const expected of ['missing', 'missing', 'missing', 'missing', 'unavailable none']) {
		t.equal(describeResult(await client.update('none', '1', 1)), expected, '429 after five writes');
	}

	t.equal(server.calls.rateLimited, 1);
	server.setFaults({slowMs: 100_000});
	const controller = new AbortController();
	const aborted = client.create('b', 1, {signal: controller.signal});
	setImmediate(() => {
		controller.abort();
	});
	t.equal(describeResult(await aborted), 'unavailable unknown', 'aborted while in progress');
	t.equal(client.counts.create.unavailable, 4);
	await server.close();
	t.equal(describeResult(await client.create('b', 1)), 'unavailable none', 'connection refused');
});

await t.test('calls that share a signal add a single listener and remove it when they end', async t => {
	const {server, client} = await start(t);
	const controller = new AbortController();
	const {signal} = controller;
	await Promise.all([client.read('a', {signal}), client.read('b', {signal})]);
	t.equal(getEventListeners(signal, 'abort').length, 0);
	server.setFaults({slowMs: 100_000});
	const calls = Array.from({length: 20}, async () => client.read('a', {signal}));
	t.equal(getEventListeners(signal, 'abort').length, 1);
	controller.abort();
	const results = await Promise.all(calls);
	t.same(results.map(result => describeResult(result)), Array.from({length: 20}, () => 'unavailable none'), 'all are aborted');
});

await t.test('responses that do not match the schema are rejected', async t => {
	const texts = ['HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}', 'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nnot', 'HTTP/1.1 502 Bad\r\ncontent-length: 0\r\n\r\n', 'junk\r\n\r\n'];
	for (const text of texts) {
		const server = createServer(socket => {
			socket.once('data', () => {
				socket.end(text);
			});
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		const client = PlatformClient.create({url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, key: 'x'});
		t.equal(describeResult(await client.update('a', '1', 1)), 'unavailable unknown', JSON.stringify(text));
		t.equal(describeResult(await client.read('a')), 'unavailable none', JSON.stringify(text));
		await client.close();
		server.close();
	}
});

await t.test('no call is sent while the rate limit is reached', async t => {
	let now = 0;
	const {server, client} = await start(t, {}, {readBudget: {perSecond: 1, burst: 2}, writeBudget: {perSecond: 1, burst: 1}, now: () => now});
	const read = async () => describeResult(await client.read('a'));
	t.same([await read(), await read(), await read()], ['missing', 'missing', 'over-budget']);
	t.equal(describeResult(await client.create('a', 1)), 'done', 'writes have a separate rate limit');
	t.match(await collectUntil(client.watch('', '1'), 'lost'), [{kind: 'lost', failure: {kind: 'over-budget'}}]);
	now = 1000;
	t.same([await read(), await read()], ['done', 'over-budget'], 'one token per second');
	t.match(client.counts.read, {sent: 3, overBudget: 2});
	t.equal(server.calls.read, 3);
	t.equal(server.calls.watch, 0);
});

await t.test('a watch yields typed events and reports when the client must list again', async t => {
	const {server, client} = await start(t, {bookmarkMs: 20, historyLimit: 3});
	const created = await client.create('p/a', 'ඔ'.repeat(50_000));
	const {resourceVersion} = created.kind === 'ok' ? created.value : {resourceVersion: ''};
	const updated = await client.update('p/a', resourceVersion, 2);
	await client.create('other', 1);
	const events = await collectUntil(client.watch('p/', '1'), 'bookmark');
	t.same(events.map(event => 'object' in event ? event.object.value : event), ['ඔ'.repeat(50_000), 2, {kind: 'bookmark', resourceVersion: '4'}]);
	t.match(events, [{kind: 'added', object: {name: 'p/a'}}, {kind: 'modified', object: {resourceVersion: '3'}}, {kind: 'bookmark'}]);
	t.match(await collectUntil(client.watch('', '4'), 'bookmark'), [{kind: 'bookmark'}], 'only later changes');

	const live = collectUntil(client.watch('p/', '4'), 'deleted');
	await collectUntil(client.watch('p/', '4'), 'bookmark');
	server.setFaults({watchSkip: 1});
	await client.create('p/skipped', 1);
	await client.remove('p/a', updated.kind === 'ok' ? updated.value.resourceVersion : '');
	const seen = await live;
	t.match(seen.filter(event => event.kind !== 'bookmark'), [{kind: 'deleted', object: {name: 'p/a', resourceVersion: '6'}}], 'a change can be missed');

	server.compactHistory();
	t.match(await collectUntil(client.watch('p/', '5'), 'end'), [{kind: 'too-old'}]);
	t.equal(server.calls.watch, 5, 'a watch is one call');
});

await t.test('a watch reports any other end as lost, except after an abort', async t => {
	const {server, client} = await start(t, {bookmarkMs: 20});
	const controller = new AbortController();
	const aborted: WatchEvent[] = [];
	for await (const event of client.watch('', '1', {signal: controller.signal})) {
		aborted.push(event);
		controller.abort();
	}

	t.match(aborted, [{kind: 'bookmark'}]);
	const ended: string[] = [];
	for await (const event of client.watch('', '1')) {
		ended.push(event.kind);
		server.setFaults({down: true});
	}

	t.equal(ended.at(-1), 'lost');
	t.match(await collectUntil(client.watch('', '1'), 'end'), [{kind: 'lost', failure: {kind: 'unavailable', effect: 'none'}}], 'rejected while the platform is down');
	const silent = await start(t, {bookmarkMs: 100_000}, {watchIdleMs: 50});
	t.match(await collectUntil(silent.client.watch('', '1'), 'end'), [{kind: 'lost'}], 'no bookmark for too long');
});

await t.test('list and watch recovers from outages, broken streams, truncated history and missed changes', async t => {
	const {server, client} = await start(t, {bookmarkMs: 5}, {readBudget: {perSecond: 10_000, burst: 10_000}});
	const controller = new AbortController();
	const fault = async (change: Parameters<typeof server.setFaults>[0]) => {
		server.setFaults(change);
	};

	const steps: ReadonlyArray<readonly [ListWatchEvent['kind'], () => Promise<unknown>]> = [
		['listed', async () => client.create('p/a', 1)],
		['added', async () => fault({down: true})],
		['lost', async () => fault({})],
		['lost', async () => fault({down: false})],
		['bookmark', async () => {
			server.endWatches();
			await client.create('p/b', 1);
			server.compactHistory();
		}],
		['listed', async () => {
			await fault({watchSkip: 1});
			await client.create('p/skipped', 1);
		}],
		['listed', async () => {
			controller.abort();
		}],
	];
	const lists: number[] = [];
	let step = 0;
	for await (const event of listAndWatch(client, 'p/', {
		signal: controller.signal, random: () => 0, relistMs: 300, retryMs: 1,
	})) {
		if (event.kind === 'listed') {
			lists.push(event.items.length);
		}

		if (event.kind === steps[step]?.[0]) {
			await steps[step]![1]();
			step += 1;
		}
	}

	t.equal(step, steps.length, 'all steps were reached in order');
	t.equal(lists[0], 0);
	t.equal(lists.at(-1), 3, 'the change missed by the watch is listed');
});
