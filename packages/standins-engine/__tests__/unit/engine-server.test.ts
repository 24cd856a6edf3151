import {Buffer} from 'node:buffer';
import {setInterval} from 'node:timers/promises';
import OpenAI from 'openai';
import t, {type Test} from 'tap';
import {EngineServer, expectedResponseBytes, type EngineServerOptions} from '#standins-engine';

const body = {model: 'drafting', messages: [{role: 'user', content: 'prepare a notice'}], stream: true};

async function startEngine(t: Test, options: EngineServerOptions = {}): Promise<EngineServer> {
	const server = await EngineServer.create({stepMs: 1, ...options});
	t.teardown(async () => server.close());
	return server;
}

type PostResult = {readonly status: number; readonly cached: unknown; readonly bytes: Uint8Array};

async function open(server: EngineServer, path: string, value: unknown, id = 'r1'): Promise<Response> {
	return fetch(`${server.url}${path}`, {
		method: 'POST', headers: {'content-type': 'application/json', 'x-request-id': id}, body: JSON.stringify(value),
	});
}

async function post(server: EngineServer, path: string, value: unknown, id = 'r1'): Promise<PostResult> {
	const res = await open(server, path, value, id);
	return {status: res.status, cached: res.headers.get('x-cached-tokens'), bytes: Buffer.from(await res.arrayBuffer())};
}

async function statusOf(server: EngineServer, path: string, value: unknown, id = 'r1'): Promise<number> {
	const {status} = await post(server, path, value, id);
	return status;
}

/** Waits until a condition is true; the test timeout bounds the wait. */
async function until(condition: () => boolean): Promise<void> {
	for await (const _ of setInterval(2)) {
		if (condition()) {
			return;
		}
	}
}

await t.test('an unmodified openai client receives the same text with and without streaming', async t => {
	const server = await startEngine(t);
	const client = new OpenAI({baseURL: `${server.url}/v1`, apiKey: 'none', maxRetries: 0});
	const request = {model: 'drafting', messages: [{role: 'user' as const, content: 'hello'}]};
	let text = '';
	const finishReasons: unknown[] = [];
	for await (const chunk of await client.chat.completions.create({...request, stream: true, stream_options: {include_usage: true}})) {
		text += chunk.choices[0]?.delta.content ?? '';
		finishReasons.push(...chunk.choices.map(choice => choice.finish_reason).filter(Boolean));
	}

	const unstreamed = await client.chat.completions.create(request);
	t.equal(unstreamed.choices[0]?.message.content, text);
	t.same(finishReasons, ['stop']);
	const completion = await client.completions.create({model: 'drafting', prompt: 'x', max_tokens: 4});
	t.same([completion.choices[0]?.finish_reason, completion.usage?.completion_tokens], ['length', 4]);
	const models = await client.models.list();
	t.same(models.data.map(model => model.id), ['drafting', 'mimosa-serve']);
	await t.rejects(client.chat.completions.create({...request, model: 'other'}), /404/u);
});

await t.test('the response bytes are the expected bytes, also when resumed at any offset', async t => {
	const server = await startEngine(t);
	const expected = Buffer.from(expectedResponseBytes('chat', body, 'r1'));
	const response = await post(server, '/v1/chat/completions', body);
	t.ok(expected.equals(response.bytes));
	await Promise.all([0, 1, 333, expected.length - 1, expected.length].map(async offset => {
		const rest = await post(server, '/v1/resume/r1', {offset});
		t.ok(expected.subarray(offset).equals(rest.bytes), `offset ${offset}`);
	}));
	t.equal(await statusOf(server, '/v1/resume/r1', {offset: expected.length + 1}), 416);
	t.equal(await statusOf(server, '/v1/resume/r1', {offset: -1}), 400);
	t.equal(await statusOf(server, '/v1/resume/unknown', {offset: 0}), 404);
	t.match(server.statsOf('r1'), {runs: 1, bytes: expected.length, states: ['done']});
});

await t.test('the run of a caller that disconnects can be resumed, without a second run', async t => {
	const server = await startEngine(t, {stepMs: 3});
	const aborter = new AbortController();
	const res = await fetch(`${server.url}/v1/chat/completions`, {
		method: 'POST', headers: {'content-type': 'application/json', 'x-request-id': 'r1'}, body: JSON.stringify(body), signal: aborter.signal,
	});
	t.equal(res.status, 200);
	aborter.abort();
	const rest = await post(server, '/v1/resume/r1', {offset: 100});
	t.ok(Buffer.from(expectedResponseBytes('chat', body, 'r1')).subarray(100).equals(rest.bytes));
	t.equal(server.counts().requests, 1);
});

await t.test('cancel ends a running request without the end marker of the stream and is counted once', async t => {
	const server = await startEngine(t, {stepMs: 2});
	const res = await open(server, '/v1/chat/completions', {...body, max_tokens: 10_000});
	t.equal(await statusOf(server, '/v1/cancel/r1', {}), 200);
	await t.rejects(res.arrayBuffer());
	t.equal(await statusOf(server, '/v1/cancel/r1', {}), 404);
	t.match(server.counts(), {cancels: 1, byId: {r1: {states: ['cancelled']}}});
});

await t.test('a crash drops the whole batch and the resumable runs, and the engine restarts', async t => {
	const server = await startEngine(t, {stepMs: 2});
	server.inject({crashOn: 'poison', restartMs: 20});
	const streams = await Promise.all(['a', 'b'].map(async id => open(server, '/v1/chat/completions', {...body, max_tokens: 10_000}, id)));
	const bodies = streams.map(async res => res.arrayBuffer());
	const poison = post(server, '/v1/completions', {model: 'drafting', prompt: 'some poison'}, 'p');
	const results = await Promise.allSettled([...bodies, poison]);
	t.same(results.map(result => result.status), ['rejected', 'rejected', 'rejected']);
	t.match(server.counts(), {crashes: 1, byId: {a: {states: ['lost']}, b: {states: ['lost']}, p: {states: ['lost'], tokens: 0}}});
	await until(() => !server.engine.down);
	t.equal(await statusOf(server, '/v1/resume/a', {offset: 0}), 404);
	t.equal(await statusOf(server, '/v1/chat/completions', body, 'after'), 200);
});

await t.test('a crashed engine resets connections until its restart', async t => {
	const server = await startEngine(t);
	server.inject({restartMs: 3_600_000});
	server.engine.crash();
	await t.rejects(fetch(`${server.url}/v1/models`));
});

await t.test('faults over HTTP: a refused request does not run, and an unknown fault is rejected', async t => {
	const server = await startEngine(t);
	t.equal(await statusOf(server, '/faults', {refuse: 503}), 200);
	t.equal(await statusOf(server, '/v1/chat/completions', body), 503);
	t.equal(server.counts().requests, 0);
	t.equal(await statusOf(server, '/faults', {explode: true}), 400);
	await post(server, '/faults', {refuse: null});
	t.equal(await statusOf(server, '/v1/chat/completions', body), 200);
});

await t.test('load, expert load, cache events and request statistics over HTTP', async t => {
	const server = await startEngine(t);
	await post(server, '/faults', {loadLagMs: 0, eventLagMs: 0});
	const prompt = {model: 'drafting', prompt: 'x'.repeat(200), max_tokens: 5};
	await post(server, '/v1/completions', prompt);
	const repeated = await post(server, '/v1/completions', prompt, 'r2');
	t.equal(repeated.cached, '48');
	const get = async (path: string): Promise<unknown> => {
		const res = await fetch(`${server.url}${path}`);
		return res.json();
	};

	const events = await get('/v1/cache-events?after=0') as {next: number; events: unknown[]};
	t.same([events.next, events.events.length], [3, 3]);
	t.match(await get('/v1/load'), {queuedTokens: 0, running: 0, step: Number});
	const {layers} = await get('/v1/expert-load') as {layers: number[][]};
	t.same(layers.map(layer => layer.reduce((sum, count) => sum + count, 0)), [10, 10]);
	const stats = await get('/counts/r2') as {runs: number; body: string};
	t.ok(Buffer.from(stats.body, 'base64').equals(expectedResponseBytes('text', prompt, 'r2')));
});

await t.test('a model name without version and adapter matches all versions and adapters, and no other name', async t => {
	const server = await startEngine(t, {models: ['drafting', 'swap@2']});
	const cases = [['drafting', 200], ['drafting@3+tamil', 200], ['swap@2', 200], ['swap@1', 404], ['draft', 404]] as const;
	const statuses = await Promise.all(cases.map(async ([model]) => statusOf(server, '/v1/completions', {model, prompt: 'x', max_tokens: 1}, model)));
	t.same(statuses, cases.map(([, status]) => status));
});

await t.test('a stalled engine generates no token until the stall ends, and keeps its requests', async t => {
	const server = await startEngine(t);
	server.inject({stallMs: 3_600_000});
	const response = post(server, '/v1/completions', {model: 'drafting', prompt: 'x', max_tokens: 2});
	await until(() => server.counts().requests === 1);
	t.match(await statusOf(server, '/v1/cancel/other', {}), 404);
	t.equal(server.counts().tokens, 0);
	server.inject({stallMs: 0});
	t.match(await response, {status: 200});
});

await t.test('the request recorder still has the exact bytes of a run that can no longer be resumed', async t => {
	const server = await startEngine(t, {holdMs: 0});
	await post(server, '/v1/chat/completions', body);
	const statsBefore = server.statsOf('r1');
	await post(server, '/v1/cancel/r1', {});
	t.equal(await statusOf(server, '/v1/resume/r1', {offset: 0}), 404);
	t.same(server.statsOf('r1'), statsBefore);
	t.ok(Buffer.from(server.bytesOf('r1') ?? []).equals(expectedResponseBytes('chat', body, 'r1')));
});

await t.test('an engine that crashes again before its restart restarts once', async t => {
	const server = await startEngine(t);
	server.inject({restartMs: 5});
	server.engine.crash();
	server.engine.crash();
	await until(() => server.engine.orderState() !== undefined && !server.engine.down);
	t.equal(await statusOf(server, '/v1/chat/completions', body), 200);
	t.equal(server.counts().crashes, 2);
});
