/** Requests that arrive while a group is stopped because it lost a rank. */
import t from 'tap';
import {
	callRaw, chunk, FakeEndpoint, FakeRegistry, response, startGateway, streamHead, testConfig, testRoute,
} from '../gateway-harness.js';
import {sleep} from '#core';

const kind = {kind: 'stream', resumable: true, targetGapMs: undefined} as const;
const request = (id: string, waitMs = 8000) => `POST / HTTP/1.1\r\nHost: h\r\nX-Request-Id: ${id}\r\nX-Wait: ${waitMs}\r\nContent-Length: 0\r\n\r\n`;

void t.test('a stopped group', async t => {
	let isRunning = true;
	const endpoint = await FakeEndpoint.create(t, 'e1', (socket, {id}) => {
		socket.write(isRunning ? `${streamHead(id)}${chunk('id: 1\ndata: a\n\n')}${chunk('')}` : response(id, '', '503 Service Unavailable', 'X-Not-Run: 1\r\n'));
	});
	const config = testConfig([testRoute({kind, timeoutMs: 8000})], 1, undefined, ['texts']);
	const {port} = await startGateway(t, FakeRegistry.create(config, [endpoint.record()]), {probeGroup: async () => isRunning});

	isRunning = false;
	const first = await callRaw(port, request('q1'), 3000, 'group-stopped\n');
	t.match(first.text, /^HTTP\/1\.1 503 /u);
	const retryAfterS = Number(/retry-after: (?<seconds>[\d.]+)/iu.exec(first.text)?.groups?.seconds);
	t.ok(retryAfterS >= 1.5 && retryAfterS <= 8 / 3, `Retry-After of ${retryAfterS} s, by when groups have usually formed again`);
	t.equal(endpoint.received.length, 1, 'sent once');

	const waiting = callRaw(port, request('q2'), 3000, '0\r\n\r\n');
	await sleep(300);
	t.equal(endpoint.received.length, 1, 'a request that arrives while the group is stopped is not sent');
	isRunning = true;
	const second = await waiting;
	t.match(second.text, /id: 1/u, 'and is sent when the group runs again');
	t.equal(endpoint.received.length, 2);
});

void t.test('requests wait only for a share of the slots; further ones are refused immediately', async t => {
	const endpoint = await FakeEndpoint.create(t, 'e1', (socket, {id}) => socket.write(response(id, '', '503 Service Unavailable', 'X-Not-Run: 1\r\n')));
	const config = testConfig([testRoute({kind, timeoutMs: 8000, maxAttempts: 1})], 1, undefined, ['texts']);
	const {port} = await startGateway(t, FakeRegistry.create(config, [endpoint.record()]), {probeGroup: async () => false});
	await callRaw(port, request('q0'), 3000, 'not-run\n');
	// With four slots one request may wait.
	const waiting = callRaw(port, request('q1'), 1000, 'group-stopped\n');
	await sleep(50);
	const startedAt = performance.now();
	const refused = await callRaw(port, request('q2'), 1000, 'group-stopped\n');
	t.match(refused.text, /^HTTP\/1\.1 503 /u);
	t.ok(performance.now() - startedAt < 500, 'without waiting');
	const first = await waiting;
	t.equal(first.text, '', 'the first request still waits');
});
