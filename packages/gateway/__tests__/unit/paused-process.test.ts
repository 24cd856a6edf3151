/** A process that is paused between a check and the moment at which it would send a request must check again. */
import t from 'tap';
import {
	callRaw, createRecordingLogger, FakeEndpoint, FakeRegistry, response, startGateway, testConfig, testRoute,
} from '../gateway-harness.js';
import {sleep} from '#core';

/** Longer than a key is trusted and than a permit of an endpoint is valid, in ms. */
const PAUSE_MS = 1500;

const KEY_TRUST_MS = 1200;

/** Longer than until the next permit of an endpoint with this limit, in ms. */
const PERMIT_INTERVAL_MS = 100;

/** Blocks the event loop, and with it the entry and the endpoint of the test, as a pause of the process does. */
function pause(): void {
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, PAUSE_MS);
}

const cases = [
	{
		name: 'a key', keyTrustMs: KEY_TRUST_MS, limit: '', key: 'key-1', waitMs: 8000, status: 503, isSent: false,
	},
	{
		name: 'a permit of an endpoint', keyTrustMs: undefined, limit: 'X-Limit: 1000\r\n', key: undefined, waitMs: 8000, status: 200, isSent: true,
	},
	{
		name: 'the time of the caller', keyTrustMs: undefined, limit: '', key: undefined, waitMs: PAUSE_MS - 500, status: 503, isSent: false,
	},
] as const;

for (const {name, keyTrustMs, limit, key, waitMs, status, isSent} of cases) {
	await t.test(`${name} is checked again after a pause`, async t => {
		let isPausing = false;
		const endpoint = await FakeEndpoint.create(t, 'e1', (socket, {id}) => {
			socket.write(response(id, 'whole', '200 OK', `X-Signed: s\r\n${limit}`));
		}, () => {
			if (isPausing) {
				isPausing = false;
				pause();
			}
		});
		const config = testConfig([testRoute({kind: {kind: 'at-most-once'}, timeoutMs: 8000})], 1, key === undefined ? undefined : [key]);
		const registry = FakeRegistry.create(config, [endpoint.record()]);
		const {logger, lines} = createRecordingLogger();
		const {port} = await startGateway(t, registry, {keyTrustMs, logger});
		const call = async (id: string) => callRaw(port, `POST / HTTP/1.1\r\nHost: h\r\nX-Request-Id: ${id}\r\nX-Wait: ${waitMs}\r\n${key === undefined ? '' : `X-Key: ${key}\r\n`}Content-Length: 0\r\n\r\n`, 4000, '\r\n\r\n');
		// The first answer names the limit, and the first permit begins to count it.
		for (const id of ['q0', 'q1']) {
			await call(id);
			await sleep(PERMIT_INTERVAL_MS);
		}

		registry.isDown = true;
		isPausing = true;
		const {text} = await call('q2');
		t.ok(lines.some(({fields}) => fields.requestId === 'q2' && fields.detail === 'no longer allowed'), 'the first permission is not used');
		t.match(text, new RegExp(`^HTTP/1.1 ${status} `, 'u'));
		t.equal(endpoint.received.some(({id}) => id === 'q2'), isSent);
	});
}
