/** A stream that its endpoint ends at the time that it was handed; guards against a caller's connection that is closed before its time. */
import t from 'tap';
import {
	callRaw, chunk, createRecordingLogger, FakeEndpoint, FakeRegistry, startGateway, streamHead, testConfig, testRoute,
} from '../gateway-harness.js';

/** Time of the caller, in ms. */
const WAIT_MS = 600;

const cases = [
	{
		name: 'just before the caller\'s time', endsAfterMs: WAIT_MS - 15, isHeld: true, reason: 'timeout',
	},
	{
		name: 'long before the caller\'s time', endsAfterMs: WAIT_MS / 4, isHeld: false, reason: 'unknown-outcome',
	},
] as const;

for (const {
	name, endsAfterMs, isHeld, reason,
} of cases) {
	void t.test(name, async t => {
		const endpoint = await FakeEndpoint.create(t, 'e1', (socket, {id}) => {
			socket.write(streamHead(id) + chunk('id: 1\ndata: a\n\n'));
			setTimeout(() => {
				socket.destroy();
			}, endsAfterMs);
		});
		const routes = [testRoute({kind: {kind: 'stream', resumable: true, targetGapMs: undefined}})];
		const {logger, lines} = createRecordingLogger();
		const {port} = await startGateway(t, FakeRegistry.create(testConfig(routes), [endpoint.record()]), {logger});
		const {text, ended} = await callRaw(port, `POST / HTTP/1.1\r\nHost: h\r\nX-Request-Id: q1\r\nX-Wait: ${WAIT_MS}\r\nContent-Length: 0\r\n\r\n`, 5 * WAIT_MS);
		const cut = lines.find(({message}) => message === 'answer cut off');
		t.match(text, /data: a/u);
		t.equal(ended, 'closed');
		t.equal(cut?.fields.reason, reason);
		t.equal(Number(cut?.fields.minOverdueMs) >= 0, isHeld, `closed ${String(cut?.fields.minOverdueMs)} ms after its time`);
	});
}
