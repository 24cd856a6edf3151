import {Buffer} from 'node:buffer';
import t from 'tap';
import {build} from 'hdr-histogram-js';
import {InputError} from '#core';
import {
	createPlan, DEFAULT_PLAN, formatLoadReport, checkBookingResponse, checkChatResponse, parseRefusal, runLoad, summarize, type RequestResult, type PlannedRequest,
} from '#load';
import {EngineServer, expectedResponseBytes} from '#standins-engine';
import {ServiceServer} from '#standins-service';

const plan = {
	...DEFAULT_PLAN, count: 300, rate: 50, bookingShare: 0.3, slowShare: 0.2, hangUpShare: 0.2, workspaces: [{name: 'a', key: 'ka', weight: 3}, {name: 'b', key: 'kb', weight: 1}],
};

await t.test('the same seed gives the same plan, with the requested shares and rate', t => {
	const items = [...createPlan(plan)];
	t.same(items, [...createPlan(plan)]);
	t.notSame(items, [...createPlan({...plan, seed: 2})]);
	const share = (holds: (item: PlannedRequest) => boolean): number => items.filter(item => holds(item)).length / items.length;
	t.ok(Math.abs(share(item => item.kind === 'booking') - 0.3) < 0.08);
	t.ok(Math.abs(share(item => item.workspace.name === 'a') - 0.75) < 0.08);
	t.ok(Math.abs((items.at(-1)?.sendAtMs ?? 0) - 6000) < 1500, '300 calls at 50/s');
	t.ok(items.every((item, index) => item.sendAtMs >= (items[index - 1]?.sendAtMs ?? 0)));
	t.ok(items.every(item => item.kind === 'booking' || item.stream || item.readMode.kind === 'all'));
	t.ok([...createPlan({...plan, durationMs: 1000})].length < 100);
	t.end();
});

await t.test('a response is checked by its bytes', t => {
	const [item] = [...createPlan({...DEFAULT_PLAN, count: 1, streamShare: 1})] as [PlannedRequest];
	const bytes = Buffer.from(expectedResponseBytes('chat', item.body, 'r'));
	const secondEventIndex = bytes.indexOf('\n\n') + 2;
	const event = Buffer.from('data: {"error":{"message":"m","code":"stream-lost"}}\n\n');
	const cases = [
		{name: 'complete', received: bytes, expected: {outcome: 'ok'}},
		{name: 'truncated', received: bytes.subarray(0, -1), expected: {outcome: 'incomplete'}},
		{name: 'empty', received: Buffer.alloc(0), expected: {outcome: 'incomplete'}},
		{name: 'error event', received: Buffer.concat([bytes.subarray(0, secondEventIndex), event]), expected: {outcome: 'stream-error', code: 'stream-lost'}},
		{name: 'error event after a blank line within an event', received: Buffer.concat([bytes.subarray(0, 30), Buffer.from('\n\n'), event]), expected: {outcome: 'stream-error'}},
		{name: 'error event after a wrong byte', received: Buffer.concat([bytes.subarray(0, 30), Buffer.from('x\n\n'), event]), expected: {outcome: 'wrong'}},
		{name: 'error event after unexpected bytes', received: Buffer.concat([Buffer.from('data: x\n\n'), event]), expected: {outcome: 'wrong'}},
		{name: 'response to another request', received: expectedResponseBytes('chat', item.body, 'other'), expected: {outcome: 'wrong'}},
		{name: 'too long', received: Buffer.concat([bytes, bytes]), expected: {outcome: 'wrong'}},
	];
	for (const {name, received, expected} of cases) {
		t.match(checkChatResponse(item, 'r', received), expected, name);
	}

	const refusal = Buffer.from('{"error":{"code":"over-limit","outcome":"not-run"}}');
	t.same(parseRefusal(refusal, ''), {outcome: 'refused', code: 'over-limit', executionOutcome: 'not-run'});
	t.match(parseRefusal(Buffer.from('<html>'), 'unknown'), {code: 'no-json', executionOutcome: 'unknown'});
	t.match(checkBookingResponse(item, Buffer.from(`{"key":"${item.id}"}`)), {outcome: 'ok'});
	t.match(checkBookingResponse(item, Buffer.from('{"key":"other"}')), {outcome: 'wrong'});
	t.end();
});

await t.test('percentiles of a histogram of microseconds are reported in milliseconds', t => {
	const histogram = build({lowestDiscernibleValue: 1, highestTrackableValue: 1e9, numberOfSignificantValueDigits: 3});
	t.match(summarize(histogram), {count: 0, mean: 0, max: 0});
	for (let ms = 1; ms <= 100; ms++) {
		histogram.recordValue(ms * 1000);
	}

	const {count, p50, p95, max} = summarize(histogram);
	t.equal(count, 100);
	for (const [value, expected] of [[p50, 50], [p95, 95], [max, 100]] as const) {
		t.ok(Math.abs(value - expected) < 0.2, `${value} is about ${expected}`);
	}

	t.end();
});

await t.test('a run against the stand-ins checks all responses and agrees with the counts of the oracle', async t => {
	const engine = await EngineServer.create({stepMs: 1});
	t.teardown(async () => engine.close());
	const results: RequestResult[] = [];
	const report = await runLoad({
		...plan, bookingShare: 0, count: 60, rate: 500, slowBytesPerSecond: 1_000_000, urls: [engine.url], onResult(result) {
			results.push(result);
		},
	});
	t.equal(report.sent, 60);
	t.same(Object.keys(report.outcomes), ['hung-up 200', 'ok 200']);
	t.equal(engine.counts().requests, 60);
	t.ok(report.firstByteMs.count > 0 && report.betweenTokensMs.count > 0 && report.totalMs.whole.count > 0);
	t.equal(results.length, 60);
	t.match(formatLoadReport(report), /60 of 60 calls ended.*0 wrong/u);
});

await t.test('bookings, refusals and dropped connections are counted by outcome', async t => {
	const service = await ServiceServer.create();
	t.teardown(async () => service.close());
	service.inject({dropAfterRun: 2});
	const bookings = {
		...plan, bookingShare: 1, count: 10, rate: 1000, urls: [service.url],
	};
	const first = await runLoad(bookings);
	t.equal(first.outcomes['ok 201'], 8);
	t.equal(Object.entries(first.outcomes).filter(([name]) => name.startsWith('connection')).reduce((sum, [, calls]) => sum + calls, 0), 2);
	t.match(service.counts(), {runs: 10, doubleRuns: 0});
	service.inject({status: 503});
	const second = await runLoad(bookings);
	t.same(second.outcomes, {'refused 503 no-code': 10});
});

await t.test('a request without a response is aborted after the drain time, so that the run ends', async t => {
	const engine = await EngineServer.create({stepMs: 3_600_000, maxRunning: 1});
	t.teardown(async () => engine.close());
	const report = await runLoad({
		urls: [engine.url], count: 3, rate: 1000, drainMs: 50, minTokens: 5, maxTokens: 5,
	});
	t.match(report, {sent: 3, ended: 3});
	t.ok(Object.keys(report.outcomes).every(name => name.startsWith('timeout')));
});

await t.test('options out of range throw an InputError', async t => {
	const invalid = [{urls: []}, {urls: ['u'], rate: 0}, {urls: ['u'], count: Infinity}, {urls: ['u'], streamShare: 2}, {urls: ['u'], minTokens: 9, maxTokens: 3}];
	await Promise.all(invalid.map(async options => t.rejects(runLoad(options), InputError, JSON.stringify(options))));
});
