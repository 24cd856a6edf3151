/** When a group stalls before it is known to be stopped, the other ranks cannot serve a stream without events either. */
import t from 'tap';
import {
	callRaw, FakeEndpoint, FakeRegistry, startGateway, testConfig, testRoute,
} from '../gateway-harness.js';

/** Longer than an entry waits for the first event of a stream, in ms. */
const CALL_MS = 2400;

await t.test('a stream without events is not sent to another rank of a stopped group', async t => {
	const endpoints = await Promise.all(['e1', 'e2'].map(async id => FakeEndpoint.create(t, id, () => undefined)));
	const route = testRoute({kind: {kind: 'stream', resumable: true, targetGapMs: 120}, timeoutMs: 8000});
	const registry = FakeRegistry.create(testConfig([route], 1, undefined, ['texts']), endpoints.map(endpoint => endpoint.record()));
	const {port} = await startGateway(t, registry, {probeGroup: async () => false});
	await callRaw(port, 'POST / HTTP/1.1\r\nHost: h\r\nX-Request-Id: q1\r\nX-Wait: 8000\r\nContent-Length: 0\r\n\r\n', CALL_MS);
	t.same(endpoints.flatMap(({received}) => received.map(({id}) => id)), ['q1']);
});
