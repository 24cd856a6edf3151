/** Guards against responses that are truncated, duplicated, altered or meant for another caller. */
import {Buffer} from 'node:buffer';
import OpenAI from 'openai';
import t from 'tap';
import {errorOf, isCompleteStream, waitUntil} from '#harness';
import {
	readGeneratedBytes, CLERK_KEY, readCounts, startFleet, stopFleet,
} from '#integration';

const running = await startFleet({entries: 1, engines: [{args: ['--step-ms', '5']}, {args: ['--step-ms', '5']}]});
const {fleet, caller} = running;
const entry = fleet.entries[0]!;
t.teardown(async () => stopFleet(running));

async function readGeneratedText(requestId: string): Promise<string> {
	const generated = await Promise.all(fleet.endpoints.map(async node => readGeneratedBytes(fleet, node, requestId)));
	return Buffer.from(generated.find(bytes => bytes !== undefined) ?? []).toString();
}

async function readRequestCounts(): Promise<ReadonlyArray<number | undefined>> {
	const counts = await Promise.all(fleet.endpoints.map(async node => readCounts(fleet, node)));
	return counts.map(({requests}) => requests);
}

await t.test('an unmodified client library gets a streamed and a non-streamed response', async t => {
	const client = new OpenAI({apiKey: CLERK_KEY, baseURL: `${entry.url}/v1`, maxRetries: 0});
	const messages = [{role: 'user', content: 'Draft a notice for the junction.'}] as const;
	const completion = await client.chat.completions.create({model: 'drafting', max_completion_tokens: 8, messages: [...messages]});
	const stream = await client.chat.completions.create({
		model: 'drafting', max_completion_tokens: 8, messages: [...messages], stream: true,
	});
	let text = '';
	for await (const event of stream) {
		text += event.choices[0]?.delta.content ?? '';
	}

	t.ok(text.length > 0);
	t.equal(text, completion.choices[0]?.message.content);
	const models = await client.models.list();
	t.ok(models.data.some(({id}) => id === 'drafting'));
});

await t.test('each of many concurrent callers gets the bytes generated for its own request', async t => {
	const received = await Promise.all(Array.from({length: 40}, async (_, i) => caller.chat(entry, {prompt: `notice number ${i}`, stream: i % 2 === 0, maxTokens: 5 + i})));
	for (const [i, answer] of received.entries()) {
		t.equal(answer.status, 200);
		t.equal(answer.text, await readGeneratedText(answer.requestId), `request ${i}`);
	}

	t.equal(new Set(received.map(({requestId}) => requestId)).size, 40);
});

await t.test('a slow reader gets every byte', async t => {
	const answer = await caller.chat(entry, {
		prompt: 'read slowly',
		stream: true,
		maxTokens: 200,
		async onData() {
			await new Promise(resolve => {
				setTimeout(resolve, 5);
			});
		},
	});
	t.ok(isCompleteStream(answer));
	t.equal(answer.text, await readGeneratedText(answer.requestId));
});

await t.test('the engine stops generating after the caller has disconnected', async t => {
	const hangUp = new AbortController();
	const before = await Promise.all(fleet.endpoints.map(async node => readCounts(fleet, node)));
	await caller.chat(entry, {
		prompt: 'hang up', stream: true, maxTokens: 4000, signal: hangUp.signal,
		onData() {
			hangUp.abort();
		},
	});
	await waitUntil('an engine counts a cancel', async () => {
		const after = await Promise.all(fleet.endpoints.map(async node => readCounts(fleet, node)));
		return after.some((counts, i) => (counts.cancels ?? 0) > (before[i]?.cancels ?? 0));
	});
	t.pass('cancelled');
});

await t.test('invalid requests are refused as not run and reach no back end', async t => {
	const before = await readRequestCounts();
	const chat = JSON.stringify({model: 'drafting', messages: [{role: 'user', content: 'x'}]});
	const cases: ReadonlyArray<readonly [string, number, string, Parameters<typeof caller.send>[1]]> = [
		['wrong key', 401, 'unauthorized', {
			method: 'POST', path: '/v1/chat/completions', body: chat, headers: {authorization: 'Bearer wrong'},
		}],
		['no model', 400, 'bad-request', {method: 'POST', path: '/v1/chat/completions', body: '{"messages":[]}'}],
		['not JSON', 400, 'bad-request', {method: 'POST', path: '/v1/chat/completions', body: '{'}],
		['no body', 400, 'bad-request', {method: 'POST', path: '/v1/chat/completions'}],
		['unknown model', 404, 'unknown-model', {method: 'POST', path: '/v1/chat/completions', body: '{"model":"other"}'}],
		['bad deadline', 400, 'bad-request', {
			method: 'POST', path: '/v1/chat/completions', body: chat, headers: {'x-deadline-ms': 'soon'},
		}],
		['too large', 413, 'too-large', {method: 'POST', path: '/v1/chat/completions', body: 'x'.repeat(1_000_000)}],
		['unknown path', 400, 'bad-request', {method: 'GET', path: '/v2/other'}],
		['unknown service', 404, 'unknown-service', {method: 'GET', path: '/services/other/x'}],
		['booking without a key', 400, 'idempotency-key-required', {method: 'POST', path: '/services/ledger/bookings', body: '{}'}],
	];
	for (const [name, status, code, call] of cases) {
		const answer = await caller.send(entry, call);
		t.equal(answer.status, status, name);
		t.match(errorOf(answer), {code, outcome: 'not-run'}, name);
		t.ok(answer.requestId.length > 0, `${name}: has a request id`);
	}

	const after = await readRequestCounts();
	t.same(after, before);
});
