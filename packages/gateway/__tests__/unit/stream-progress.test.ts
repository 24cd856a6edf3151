/** Which streams count as stalled: those without another complete event, not those that are slow, or that the caller reads slowly. */
import {setTimeout as sleep} from 'node:timers/promises';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import t from 'tap';
import {
	callRaw, chunk, FakeEndpoint, FakeRegistry, startGateway, streamHead, testConfig, testRoute, type Script,
} from '../gateway-harness.js';

const event = (id: number) => `id: ${id}\ndata: ${id}\n\n`;

/** Callers of these routes leave after two seconds without an event. */
const CALLER_TIMEOUT_MS = 2000;

const TRICKLE_INTERVAL_MS = 100;

/** Sends single bytes until the connection closes. */
async function trickle(socket: Socket, text: () => string): Promise<void> {
	while (!socket.destroyed) {
		socket.write(chunk(text()));
		await sleep(TRICKLE_INTERVAL_MS);
	}
}

const stalledCases: ReadonlyArray<{readonly name: string; readonly start: string; readonly text: string}> = [
	{name: 'single bytes of an event', start: event(1), text: 'x'},
	{name: 'comments', start: event(1), text: ': alive\n\n'},
	{name: 'single bytes before the first event', start: '', text: 'x'},
];

for (const {name, start, text} of stalledCases) {
	await t.test(`a stream that stalls behind ${name} is resumed before its caller leaves`, async t => {
		let isFirst = true;
		let resumedAfterMs: number | undefined;
		const startedAt = performance.now();
		const script: Script = (socket, {id}) => {
			if (isFirst) {
				isFirst = false;
				socket.write(streamHead(id) + (start === '' ? '' : chunk(start)));
				void trickle(socket, () => text);
				return;
			}

			resumedAfterMs = performance.now() - startedAt;
			socket.write(streamHead(id) + chunk((start === '' ? event(1) : '') + event(2)) + chunk(''));
		};

		const endpoints = await Promise.all(['e1', 'e2'].map(async id => FakeEndpoint.create(t, id, script)));
		const route = testRoute({kind: {kind: 'stream', resumable: true, targetGapMs: 120}, timeoutMs: 8000});
		const {port} = await startGateway(t, FakeRegistry.create(testConfig([route]), endpoints.map(endpoint => endpoint.record())));
		const result = await callRaw(port, 'POST / HTTP/1.1\r\nHost: h\r\nX-Request-Id: q1\r\nX-Wait: 8000\r\nContent-Length: 0\r\n\r\n', 4000, '0\r\n\r\n');
		t.same([...result.text.matchAll(/data: (\d)/gu)].map(match => match[1]), ['1', '2']);
		t.ok(resumedAfterMs !== undefined && resumedAfterMs < CALLER_TIMEOUT_MS + 500, `resumed after ${resumedAfterMs} ms`);
	});
}

const slowCases: ReadonlyArray<{readonly name: string; readonly targetMs: number; readonly targetGapMs: number; readonly pauseMs: number; readonly maxAttempts: number}> = [
	{
		name: 'no other endpoint remains', targetMs: 100, targetGapMs: 120, pauseMs: 1900, maxAttempts: 1,
	},
	{
		name: 'its callers wait longer for the first event', targetMs: 700, targetGapMs: 120, pauseMs: 2300, maxAttempts: 2,
	},
	{
		name: 'its callers wait longer between events', targetMs: 100, targetGapMs: 350, pauseMs: 2300, maxAttempts: 2,
	},
];

for (const {name, targetMs, targetGapMs, pauseMs, maxAttempts} of slowCases) {
	await t.test(`a slow stream is not cut off: ${name}`, async t => {
		const script: Script = async (socket, {id}) => {
			socket.write(streamHead(id) + chunk(event(1)));
			await sleep(pauseMs);
			socket.write(chunk(event(2)) + chunk(''));
		};

		const endpoints = await Promise.all(['e1', 'e2'].map(async id => FakeEndpoint.create(t, id, script)));
		const route = testRoute({
			kind: {kind: 'stream', resumable: true, targetGapMs}, timeoutMs: 8000, targetMs, maxAttempts,
		});
		const {port} = await startGateway(t, FakeRegistry.create(testConfig([route]), endpoints.map(endpoint => endpoint.record())));
		const result = await callRaw(port, 'POST / HTTP/1.1\r\nHost: h\r\nX-Request-Id: q1\r\nX-Wait: 8000\r\nContent-Length: 0\r\n\r\n', pauseMs + 1000, '0\r\n\r\n');
		t.same([...result.text.matchAll(/data: (\d)/gu)].map(match => match[1]), ['1', '2']);
		t.equal(endpoints.flatMap(({received}) => received).length, 1, 'at one endpoint');
	});
}

await t.test('a stream is not cut off while its caller does not read', async t => {
	const body = 'x'.repeat(900_000);
	const ids = Array.from({length: 20}, (_, index) => index + 1);
	const endpoint = await FakeEndpoint.create(t, 'e1', (socket, {id}) => {
		socket.write(streamHead(id));
		for (const eventId of ids) {
			socket.write(chunk(`id: ${eventId}\ndata: ${body}\n\n`));
		}

		socket.write(chunk(''));
	});
	const route = testRoute({kind: {kind: 'stream', resumable: true, targetGapMs: 120}, timeoutMs: 20_000});
	const {port} = await startGateway(t, FakeRegistry.create(testConfig([route]), [endpoint.record()]));
	const caller = connect(port, '127.0.0.1');
	caller.write('POST / HTTP/1.1\r\nHost: h\r\nX-Request-Id: q1\r\nX-Wait: 20000\r\nContent-Length: 0\r\n\r\n');
	await once(caller, 'readable');
	await sleep(CALLER_TIMEOUT_MS + 1000);
	let text = '';
	for await (const data of caller) {
		text += String(data);
		if (text.endsWith('0\r\n\r\n')) {
			break;
		}
	}

	t.same([...text.matchAll(/id: (\d+)\n/gu)].map(match => Number(match[1])), ids);
});
