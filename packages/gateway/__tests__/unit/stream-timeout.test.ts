/** Callers give a stream up after a gap of two seconds, also before its first event; nothing is sent for them after that. */
import {setTimeout} from 'node:timers/promises';
import t from 'tap';
import {
	callRaw, FakeEndpoint, FakeRegistry, startGateway, streamHead, testConfig, testRoute,
} from '../gateway-harness.js';

const CALLER_PATIENCE_MS = 2000;

const cases = [
	{name: 'its head comes at once', headAfterMs: 0},
	{name: 'its head comes late', headAfterMs: 500},
] as const;

for (const {name, headAfterMs} of cases) {
	await t.test(`a stream without events is not sent again when its caller has gone: ${name}`, async t => {
		const sentAt: number[] = [];
		const endpoints = await Promise.all(['e1', 'e2'].map(async id => FakeEndpoint.create(t, id, async (socket, req) => {
			sentAt.push(performance.now());
			await setTimeout(headAfterMs);
			socket.write(streamHead(req.id));
		})));
		const route = testRoute({kind: {kind: 'stream', resumable: true, targetGapMs: 120}, timeoutMs: 8000});
		const {port} = await startGateway(t, FakeRegistry.create(testConfig([route]), endpoints.map(endpoint => endpoint.record())));
		const startedAt = performance.now();
		// The caller's close may reach the entry late, so this caller stays a little longer.
		await callRaw(port, 'POST / HTTP/1.1\r\nHost: h\r\nX-Request-Id: q1\r\nX-Wait: 8000\r\nContent-Length: 0\r\n\r\n', CALLER_PATIENCE_MS + 800);
		t.ok(sentAt.length > 0);
		t.same(sentAt.map(at => Math.round(at - startedAt)).filter(afterMs => afterMs > CALLER_PATIENCE_MS), []);
	});
}
