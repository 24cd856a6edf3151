import t from 'tap';
import {
	platformOptions, entryOptions, startServer, OPERATOR_KEY, run, startPlatform,
} from './harness.js';
import {explainRequestSchema, type ExplainResponse, type StatusResponse} from '#cli';

const machine: StatusResponse['machines'][number] = {
	id: 'drafting-1-0',
	zone: 'colombo-a',
	region: 'lk-west',
	role: 'endpoint',
	group: 'drafting-1',
	state: 'live',
	rulesVersion: 0,
	load: {queuedTokens: 1200, running: 7, tokensPerSecond: 812.345},
	reportAgeMs: 400,
	stepMs: 21.04,
	mapVersion: 3,
	ranks: [0, 1, 2, 3],
};

const status: StatusResponse = {
	process: {
		id: 'entry-1', zone: 'colombo-a', region: 'lk-west', version: '0.1.0', uptimeMs: 3_600_000,
	},
	rules: {version: 4, ageMs: 800},
	platform: {reachable: false, lastAnswerAgeMs: 95_000},
	machines: [machine, {
		id: 'ledger-\u001B[2J', zone: 'gampaha-b', region: 'lk-west', role: 'endpoint', state: 'suspected',
	}],
	drains: [{
		target: {kind: 'endpoint', name: 'ledger-3'}, author: 'Ruwan', reason: 'new disk', running: 2,
	}],
};

const candidate: ExplainResponse['candidates'][number] = {
	id: 'drafting-1-0',
	zone: 'colombo-a',
	source: 'prefix-home',
	queueMs: 30,
	ownMs: 10,
	prefillMs: 12,
	zoneMs: 0.5,
	straggler: 1,
	waitMs: 52.5,
	balanceMs: 2,
	costMs: 54.5,
	cachedTokens: 60,
	reportAgeMs: 700,
};

const explanation: ExplainResponse = {
	workspace: 'readings',
	model: 'drafting@2026-11',
	rulesVersion: 4,
	priority: 9,
	grant: {tokensPerSecond: 400, availableTokens: 900},
	chosen: 'drafting-1-0',
	candidates: [candidate],
	leftOut: [{id: 'drafting-2-0', reason: 'closed'}],
	notes: [],
};

/**
 * Starts an entry that responds with a JSON value or, for a number, with that status.
 * The value may depend on the number of the call, starting at 1.
 */
async function startEntry(respond: (call: number) => unknown) {
	const bodies: string[] = [];
	const entry = await startServer(({url, authorization, body}, res) => {
		bodies.push(body);
		if (authorization !== `Bearer ${OPERATOR_KEY}`) {
			res.writeHead(401).end('{}');
			return;
		}

		const value = respond(bodies.length);
		res.writeHead(typeof value === 'number' ? value : 200).end(url.startsWith('/admin/') ? JSON.stringify(value) : '');
	});
	return {...entry, bodies};
}

await t.test('status prints tables or JSON', async t => {
	const entry = await startEntry(() => status);
	const {code, out} = await run(['status', ...entryOptions(entry.url)]);
	t.equal(code, 0);
	t.match(out, /Rules: version 4, confirmed 800 ms ago\nPlatform: not reachable, last answer 95 s ago\n/u);
	t.match(out, /drafting-1-0 +colombo-a +endpoint +drafting-1 +0-3 +live +0 +3 +1200 +7 +812\.3 +21 +400 ms\n/u);
	t.match(out, /endpoint ledger-3 +2 +Ruwan +new disk\n/u);
	t.notMatch(out, '\u001B', 'control characters do not reach the terminal');
	const json = await run(['status', ...entryOptions(entry.url), '--json']);
	t.same(JSON.parse(json.out), status);
	entry.close();
});

await t.test('explain sends the prompt and shows the candidates', async t => {
	const entry = await startEntry(() => explanation);
	const args = ['explain', ...entryOptions(entry.url), '--workspace', 'readings', '--model', 'drafting', '--prompt-file', 'p.txt'];
	const {code, out} = await run(args, {files: {'p.txt': 'නිවේදනය'}});
	t.equal(code, 0);
	t.same(explainRequestSchema.parse(JSON.parse(entry.bodies[0] ?? '')), {workspace: 'readings', model: 'drafting', prompt: 'නිවේදනය'});
	t.match(out, /The request would run\.\n/u);
	t.match(out, /drafting-1-0 +colombo-a +prefix-home +54\.5 +52\.5 +30 +10 +12 +0\.5 +1 +2 +60 +700 ms +chosen\n/u);
	t.match(out, /drafting-2-0 +closed\n/u);
	entry.close();
});

// Guards against a wrong exit code when the entry refuses, sends an invalid response or cannot be reached.
await t.test('failures of the entry set the exit code', async t => {
	const responses = [503, {process: 1}, 'text'];
	const entry = await startEntry(call => responses[call - 1]);
	t.match(await run(['status', ...entryOptions(entry.url)]), {code: 1, out: '', err: /answered 503/u});
	t.match(await run(['status', ...entryOptions(entry.url)]), {code: 1, err: /does not match the schema at process/u});
	t.match(await run(['status', ...entryOptions(entry.url)]), {code: 1, err: /does not match the schema/u});
	t.match(await run(['status', ...entryOptions(entry.url)], {files: {'o.key': 'another-operator-key'}}), {code: 1, err: /key was refused/u});
	entry.close();
	t.match(await run(['status', ...entryOptions(entry.url)]), {code: 4, err: /ECONNREFUSED/u});
});

// Guards against --wait returning before the version is in force, or a timeout that hides that the version was accepted.
await t.test('apply --wait ends when the machines have the version', async t => {
	const platform = await startPlatform();
	const files = {'a.rules': 'zone a open # asked by Nimal\n'};
	const apply = ['rules', 'apply', 'a.rules', ...platformOptions(platform.url), '--author', 'Nimal', '--wait'];
	const entry = await startEntry(call => ({...status, rules: {version: call > 1 ? 1 : 0}, machines: [{...machine, rulesVersion: call > 2 ? 1 : 0}, status.machines[1]]}));
	const waited = await run([...apply, ...entryOptions(entry.url)], {files});
	t.match(waited, {code: 0, out: /accepted as version 1/u, err: /in force on the entry and 1 machines; 1 do not report/u});
	t.equal(entry.bodies.length, 3);
	entry.close();
	t.match(await run([...apply, ...entryOptions(entry.url), '--timeout', '2'], {files}), {code: 1, err: /version 1 is accepted, but not in force everywhere after 2 s: entry: cannot be reached/u});
	t.match(await run(apply, {files}), {code: 2, err: /--entry URL is missing/u});
	await platform.close();
});
