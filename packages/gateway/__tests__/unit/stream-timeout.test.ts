/** Callers disconnect from a stream after two seconds without an event, also before the first one; no attempt is made for them after that. */
import {setTimeout} from 'node:timers/promises';
import t from 'tap';
import {
	callRaw, FakeEndpoint, FakeRegistry, startGateway, streamHead, testConfig, testRoute,
} from '../gateway-harness.js';

const CALLER_TIMEOUT_MS = 2000;

const cases = [
	{name: 'immediate response head', headAfterMs: 0},
	{name: 'delayed response head', headAfterMs: 500},
] as const;

for (const {name, headAfterMs} of cases) {
	await t.test(`a stream without events is not sent again after its caller has disconnected: ${name}`, async t => {
		const sentAt: number[] = [];
		const endpoints = await Promise.all(['e1', 'e2'].map(async id => FakeEndpoint.create(t, id, async (socket, req) => {
			sentAt.push(performance.now());
			await setTimeout(headAfterMs);
			socket.write(streamHead(req.id));
		})));
		const route = testRoute({kind: {kind: 'stream', resumable: true, targetGapMs: 120}, timeoutMs: 8000});
		const {port} = await startGateway(t, FakeRegistry.create(testConfig([route]), endpoints.map(endpoint => endpoint.record())));
		const startedAt = performance.now();
		// The entry may notice late that a caller disconnected, so this caller stays connected a little longer.
		await callRaw(port, 'POST / HTTP/1.1\r\nHost: h\r\nX-Request-Id: q1\r\nX-Wait: 8000\r\nContent-Length: 0\r\n\r\n', CALLER_TIMEOUT_MS + 800);
		t.ok(sentAt.length > 0);
		t.same(sentAt.map(at => Math.round(at - startedAt)).filter(afterMs => afterMs > CALLER_TIMEOUT_MS), []);
	});
}
