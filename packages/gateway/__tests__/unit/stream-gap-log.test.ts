/** The line of an answered stream tells the longest gap between its events, so that streams with late events can be told from those with a late start. */
import {setTimeout} from 'node:timers/promises';
import t from 'tap';
import {
	callRaw, chunk, createRecordingLogger, FakeEndpoint, FakeRegistry, startGateway, streamHead, testConfig, testRoute,
} from '../gateway-harness.js';

const TARGET_GAP_MS = 120;

const cases = [
	{name: 'events that follow one another at once', gapMs: 0, result: 'gap-within-target'},
	{name: 'a gap over the target', gapMs: 250, result: 'gap-over-target'},
] as const;

for (const {name, gapMs, result} of cases) {
	await t.test(`a stream with ${name}`, async t => {
		const endpoint = await FakeEndpoint.create(t, 'e1', async (socket, req) => {
			const [first, rest] = [streamHead(req.id) + chunk('id: 1\ndata: a\n\n'), `${chunk('id: 2\ndata: b\n\n')}0\r\n\r\n`];
			if (gapMs === 0) {
				socket.write(first + rest);
				return;
			}

			socket.write(first);
			await setTimeout(gapMs);
			socket.write(rest);
		});
		const route = testRoute({kind: {kind: 'stream', resumable: true, targetGapMs: TARGET_GAP_MS}});
		const {logger, lines} = createRecordingLogger();
		const {port, metrics} = await startGateway(t, FakeRegistry.create(testConfig([route]), [endpoint.record()]), {logger});
		await callRaw(port, 'POST / HTTP/1.1\r\nHost: h\r\nX-Request-Id: q1\r\nX-Wait: 2000\r\nContent-Length: 0\r\n\r\n', 600);
		const stream = lines.find(({message}) => message === 'request answered')?.fields.stream as {events: number; longestGapMs: number; targetGapMs: number} | undefined;
		t.match(stream, {events: 2, targetGapMs: TARGET_GAP_MS});
		t.ok((stream?.longestGapMs ?? -1) >= gapMs - 20);
		t.equal(await metrics.counterValue('streams', result), 1);
	});
}
