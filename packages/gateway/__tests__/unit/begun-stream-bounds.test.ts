/** A stream that has begun goes on until its caller's time is over; guards against shorter bounds that end it sooner. */
import t from 'tap';
import {
	callRaw, chunk, createRecordingLogger, FakeEndpoint, FakeRegistry, response, startGateway, streamHead, testConfig, testRoute, type Script,
} from '../gateway-harness.js';
import {sleep} from '#core';

/** Time of the requests, in ms. */
const TIMEOUT_MS = 3400;

/** Time by which an answer that is held after its time is late, in ms. */
const MAX_LATE_MS = 250;

/** Time without an event after which callers disconnect by themselves, as far as the entry knows, in ms. */
const PATIENCE_MS = 2000;

const begins = (breaksAfterMs: number): Script => async (socket, {id}) => {
	socket.write(streamHead(id) + chunk('id: 1\ndata: 1\n\n'));
	await sleep(breaksAfterMs);
	socket.destroy();
};

const goesOn: Script = (socket, {id}) => socket.write(streamHead(id) + chunk('id: 2\ndata: 2\n\n') + chunk(''));
const fails: Script = (socket, {id}) => socket.write(response(id, 'failed', '500 Internal Server Error'));

const cases: ReadonlyArray<{
	readonly name: string; readonly scripts: readonly Script[]; readonly isComplete: boolean;
	/** When the second endpoint is registered, and until when the group is stopped, in ms after the request. */
	readonly registeredAtMs?: number; readonly stoppedUntilMs?: number;
}> = [
	{name: 'the attempt beside a silent endpoint fails', scripts: [begins(TIMEOUT_MS * 2), fails], isComplete: false},
	{
		name: 'a silent endpoint breaks off later than its caller should have left', scripts: [begins(PATIENCE_MS + 700), goesOn], registeredAtMs: PATIENCE_MS + 300, isComplete: true,
	},
	{
		name: 'its group is stopped for longer than its caller should have waited', scripts: [begins(100), goesOn], stoppedUntilMs: PATIENCE_MS + 600, isComplete: true,
	},
	{name: 'its endpoint breaks off at the end of the time that it was handed', scripts: [begins(TIMEOUT_MS - 15)], isComplete: false},
	{
		name: 'its group stays stopped', scripts: [begins(100), goesOn], stoppedUntilMs: Infinity, isComplete: false,
	},
];

t.jobs = 4;

for (const {name, scripts, registeredAtMs = 0, stoppedUntilMs = 0, isComplete} of cases) {
	void t.test(`a begun stream is not ended before its time: ${name}`, async t => {
		let received = 0;
		let isGroupRunning = true;
		const endpoints = await Promise.all(scripts.map(async (_, i) => FakeEndpoint.create(t, `e${i}`, (socket, req) => {
			const script = scripts[received];
			received += 1;
			isGroupRunning = stoppedUntilMs === 0;
			script?.(socket, req);
		})));
		const records = endpoints.map(endpoint => endpoint.record());
		const route = testRoute({kind: {kind: 'stream', resumable: true, targetGapMs: 120}, timeoutMs: TIMEOUT_MS, maxAttempts: 2});
		const registry = FakeRegistry.create(testConfig([route], 1, undefined, ['texts']), registeredAtMs === 0 ? records : records.slice(0, 1));
		const {logger, lines} = createRecordingLogger();
		const {port} = await startGateway(t, registry, {logger, probeGroup: async () => isGroupRunning});
		const startedAt = performance.now();
		const call = callRaw(port, 'POST / HTTP/1.1\r\nHost: h\r\nX-Request-Id: q1\r\nContent-Length: 0\r\n\r\n', TIMEOUT_MS * 2, '\r\n0\r\n\r\n');
		if (registeredAtMs > 0) {
			await sleep(registeredAtMs);
			registry.records = records;
		}

		if (stoppedUntilMs > 0 && stoppedUntilMs < Infinity) {
			await sleep(stoppedUntilMs);
			isGroupRunning = true;
		}

		const {text} = await call;
		const elapsedMs = performance.now() - startedAt;
		const cut = lines.find(({message}) => message === 'answer cut off');
		const detail = `${Math.round(elapsedMs)} ms, ${JSON.stringify(cut)}`;
		t.match(text, /data: 1/u);
		if (isComplete) {
			t.match(text, /data: 2.*\r\n0\r\n\r\n$/su, detail);
		} else {
			t.ok(elapsedMs >= TIMEOUT_MS, detail);
			t.ok(Number(cut?.fields.minOverdueMs) < MAX_LATE_MS, detail);
		}
	});
}
