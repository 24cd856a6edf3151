/** An endpoint's silence ends no exchange: another attempt is made beside it, and the first to deliver wins. */
import {connect} from 'node:net';
import t, {type Test} from 'tap';
import {
	callRaw, chunk, createRecordingLogger, FakeEndpoint, FakeRegistry, response, startGateway, streamHead, testConfig, testRoute, type Script,
} from '../gateway-harness.js';
import {sleep} from '#core';
import type {RouteKind} from '#dispatch';

const idempotent: RouteKind = {kind: 'idempotent'};
const resumable: RouteKind = {kind: 'stream', resumable: true, targetGapMs: 120};
const notResumable: RouteKind = {kind: 'stream', resumable: false, targetGapMs: 120};

/** A time after another attempt is made, in ms, for each kind of request below: half of `TIMEOUT_MS`, and 300 ms less than a caller's patience of 2 s. */
const SILENCE_MS = 1850;
const TIMEOUT_MS = 3400;
const CALL_MS = 3800;
const EVENTS = 6;

t.jobs = 6;

const silent: Script = () => undefined;
const breaks: Script = socket => socket.destroy();
const refuses: Script = (socket, {id}) => socket.write(response(id, 'full', '503 Service Unavailable', 'X-Not-Run: 1\r\n'));
const fails: Script = (socket, {id}) => socket.write(response(id, 'failed', '500 Internal Server Error'));
const answers = (body: string, afterMs: number): Script => async (socket, {id}) => {
	await sleep(afterMs);
	socket.write(response(id, body));
};

const breaksAfter = (ms: number): Script => async socket => {
	await sleep(ms);
	socket.destroy();
};

/** Events after the last one that the caller has, named after their run, with a pause before one of them. */
const streams = (run: string, pauseBefore: number, pauseMs: number): Script => async (socket, {id, headers}) => {
	socket.write(streamHead(id));
	for (let next = Number(headers.get('x-last-event') ?? 0) + 1; next <= EVENTS && !socket.destroyed; next += 1) {
		await sleep(next === pauseBefore ? pauseMs : 30);
		socket.write(chunk(`id: ${next}\ndata: ${run}${next}\n\n`));
	}

	socket.write(chunk(''));
};

type Setup = {readonly kind: RouteKind; /** What the endpoints do with the first request, the second and so on. */ readonly scripts: readonly Script[]; readonly endpointCount?: number; /** Number of endpoints that are registered at first. */ readonly registeredCount?: number; readonly maxAttempts?: number; readonly probeGroup?: () => Promise<boolean | undefined>};

/** Starts an entry whose endpoints follow the scripts in the order of the requests; `closed` holds the requests whose connection has ended. */
async function start(t: Test, {kind, scripts, endpointCount = scripts.length, registeredCount = endpointCount, maxAttempts = scripts.length, probeGroup}: Setup) {
	const closed = new Set<number>();
	let received = 0;
	const endpoints = await Promise.all(Array.from({length: endpointCount}, async (_, i) => FakeEndpoint.create(t, `e${i}`, (socket, req) => {
		const index = received;
		received += 1;
		socket.once('close', () => {
			closed.add(index);
		});
		scripts[index]?.(socket, req);
	})));
	const records = endpoints.map(endpoint => endpoint.record());
	const {logger, lines} = createRecordingLogger();
	const registry = FakeRegistry.create(testConfig([testRoute({kind, timeoutMs: kind.kind === 'stream' ? 8000 : TIMEOUT_MS, maxAttempts})], 1, undefined, ['texts']), records.slice(0, registeredCount));
	const entry = await startGateway(t, registry, {logger, graceMs: 1400, ...(probeGroup === undefined ? {} : {probeGroup})});
	return {
		...entry, closed, lines, records, registry, received: () => received,
	};
}

const request = 'POST / HTTP/1.1\r\nHost: h\r\nX-Request-Id: q1\r\nContent-Length: 0\r\n\r\n';
const eventsOf = (text: string) => [...text.matchAll(/data: (\w+)/gu)].map(match => match[1]!);
const run = (name: string, from = 1) => Array.from({length: EVENTS - from + 1}, (_, i) => `${name}${i + from}`);

const responses: ReadonlyArray<Setup & {readonly name: string; readonly status: number; readonly body: string}> = [
	...([['refuses', refuses], ['breaks', breaks], ['fails', fails], ['is silent', silent]] as const).map(([what, other]) => ({
		name: `the only answer comes late, the other endpoint ${what}`, kind: idempotent, scripts: [answers('late', SILENCE_MS + 500), other], status: 200, body: 'late',
	})),
	{
		name: 'the other endpoint is first', kind: idempotent, scripts: [answers('late', 2600), answers('other', 100)], status: 200, body: 'other',
	},
	{
		name: 'the other endpoint fails, and the silent one breaks', kind: idempotent, scripts: [breaksAfter(SILENCE_MS + 300), fails], status: 500, body: 'failed',
	},
	{
		name: 'the other endpoint fails, and the silent one stays so', kind: idempotent, scripts: [silent, fails], status: 500, body: 'failed',
	},
	{
		name: 'the other endpoint refuses, and the silent one breaks: it may have run', kind: idempotent, scripts: [breaksAfter(SILENCE_MS + 300), refuses], status: 502, body: 'unknown-outcome\n',
	},
	{
		name: 'two endpoints refuse beside the silent one, a third answers', kind: idempotent, scripts: [silent, refuses, refuses, answers('third', 50)], status: 200, body: 'third',
	},
	{
		name: 'no endpoint answers', kind: idempotent, scripts: [silent, silent], status: 504, body: 'timeout\n',
	},
];

for (const {name, status, body, ...setup} of responses) {
	void t.test(`a response is not given up on silence: ${name}`, async t => {
		const {port, received} = await start(t, setup);
		const {text} = await callRaw(port, request, CALL_MS, body);
		t.match(text, new RegExp(`^HTTP/1.1 ${status} `, 'u'));
		t.ok(text.endsWith(body), text);
		t.equal(received(), setup.scripts.length);
	});
}

/** A group that runs again some time after it was first asked for. */
const stoppedFor = (ms: number) => {
	let endsAt: number | undefined;
	return async () => {
		endsAt ??= performance.now() + ms;
		return performance.now() > endsAt;
	};
};

const streamCases: ReadonlyArray<Setup & {readonly name: string; readonly expected: readonly string[]; readonly received: number; /** Request whose connection is closed as another won. */ readonly loser?: number}> = [
	{
		name: 'it may not be resumed', kind: notResumable, scripts: [streams('a', 4, 2700), silent], expected: run('a'), received: 1,
	},
	{
		name: 'before its first event, and it may not be resumed', kind: notResumable, scripts: [streams('a', 1, 2700), silent], expected: run('a'), received: 1,
	},
	{
		name: 'it goes on before the other endpoint does', kind: resumable, scripts: [streams('a', 4, SILENCE_MS), streams('b', 4, 1000)], expected: run('a'), received: 2, loser: 1,
	},
	{
		name: 'the other endpoint goes on first', kind: resumable, scripts: [streams('a', 4, SILENCE_MS + 50), streams('b', 0, 0)], expected: ['a1', 'a2', 'a3', ...run('b', 4)], received: 2, loser: 0,
	},
	{
		name: 'the other endpoint begins first', kind: resumable, scripts: [streams('a', 1, SILENCE_MS + 50), streams('b', 0, 0)], expected: run('b'), received: 2, loser: 0,
	},
	{
		name: 'no endpoint goes on until its caller should have left', kind: resumable, scripts: [streams('a', 4, 2700), silent], expected: run('a'), received: 2, loser: 1,
	},
	{
		name: 'its group pauses as a whole', kind: resumable, scripts: [streams('a', 4, SILENCE_MS + 100), silent], probeGroup: async () => false, expected: run('a'), received: 1,
	},
	{
		name: 'its group pauses as a whole, and runs again a little before it goes on', kind: resumable, scripts: [streams('a', 4, SILENCE_MS + 50), silent], probeGroup: stoppedFor(50), expected: run('a'), received: 1,
	},
];

for (const {name, expected, received, loser, ...setup} of streamCases) {
	void t.test(`a stream is not given up on silence: ${name}`, async t => {
		const entry = await start(t, setup);
		const {text} = await callRaw(entry.port, request, CALL_MS, '\r\n0\r\n\r\n');
		t.same(eventsOf(text), expected);
		t.ok(text.endsWith('0\r\n\r\n'), 'complete');
		t.equal(entry.received(), received);
		t.equal(entry.lines.filter(({fields}) => fields.retry === 'taken').length, received - 1);
		await sleep(50);
		t.same([...entry.closed], loser === undefined ? [] : [loser]);
	});
}

for (const kind of [idempotent, resumable]) {
	void t.test(`all connections to endpoints are closed when the caller leaves: ${kind.kind}`, async t => {
		const {port, closed, received} = await start(t, {kind, scripts: [silent, silent, silent]});
		const caller = connect(port, '127.0.0.1');
		caller.write(request);
		await sleep(SILENCE_MS);
		t.equal(received(), 2);
		caller.destroy();
		await sleep(200);
		t.equal(closed.size, 2);
		await sleep(1000);
		t.equal(received(), 2);
	});

	for (const [name, script, ending] of [['is first', kind === idempotent ? answers('a', SILENCE_MS + 500) : streams('a', 1, SILENCE_MS + 500), /\r\n\r\n(a|.*a6\n\n\r\n0\r\n\r\n)$/su], ['does not go on', silent, /^HTTP\/1.1 504 .*timeout\s$/su]] as const) {
		void t.test(`a planned stop while a silent endpoint and another one run a request, the silent one ${name}: ${kind.kind}`, async t => {
			const {gateway, port, closed, received} = await start(t, {kind, scripts: [script, silent]});
			const called = callRaw(port, request, CALL_MS);
			await sleep(SILENCE_MS);
			t.equal(received(), 2);
			await gateway.stop();
			const {text} = await called;
			t.match(text, ending);
			t.ok(closed.has(1));
		});
	}
}

void t.test('an endpoint that lost to a stream that went on is used again when that one breaks', async t => {
	const breaksLater: Script = async (socket, {id}) => {
		socket.write(streamHead(id) + chunk('id: 1\ndata: a1\n\n'));
		await sleep(SILENCE_MS);
		socket.write(chunk('id: 2\ndata: a2\n\n'));
		await sleep(100);
		socket.destroy();
	};

	const entry = await start(t, {
		kind: resumable, endpointCount: 2, scripts: [breaksLater, silent, streams('c', 0, 0)],
	});
	const {text} = await callRaw(entry.port, request, CALL_MS, '\r\n0\r\n\r\n');
	t.same(eventsOf(text), ['a1', 'a2', ...run('c', 3)]);
	t.ok(text.endsWith('0\r\n\r\n'), 'complete');
});

void t.test('a silent endpoint whose only alternative appears later is not waited for to the end', async t => {
	const {port, records, registry} = await start(t, {
		kind: idempotent, endpointCount: 2, registeredCount: 1, scripts: [silent, answers('second', 0)],
	});
	const called = callRaw(port, request, CALL_MS, 'second');
	await sleep(SILENCE_MS + 200);
	registry.records = records;
	const {text} = await called;
	t.match(text, /^HTTP\/1.1 200 /u);
});
