import t from 'tap';
import {brokenRules} from '../../../rules/__tests__/unit/broken-rules.js';
import {brokenSettings} from '../../../settings/__tests__/unit/broken-settings.js';
import {
	platformOptions, run, startPlatform, startProxy,
} from './harness.js';
import {PlatformServer} from '#standins-platform';

const FIRST = 'zone a open # asked by Nimal\n';
const SECOND = 'zone a closed # asked by Ruwan: power works\nzone b open # asked by Nimal\n';

async function apply(platform: {readonly url: string}, text: string, ...extra: readonly string[]) {
	return run(['rules', 'apply', 'a.rules', ...platformOptions(platform.url), '--author', 'Nimal', ...extra], {files: {'a.rules': text}});
}

async function currentVersion(platform: {readonly url: string}): Promise<unknown> {
	const {out} = await run(['rules', 'show', ...platformOptions(platform.url), '--json']);
	return out === '' ? 0 : (JSON.parse(out) as {readonly version: number}).version;
}

// Guards against sending an invalid file to the platform.
await t.test('an invalid rules file exits with 2, shows all findings and changes nothing', async t => {
	const platform = await startPlatform();
	await apply(platform, FIRST);
	const before = platform.calls;
	const outcomes = await Promise.all(brokenRules.map(async ({name, text, findings}) => {
		const files = {'a.rules': new TextEncoder().encode(text)};
		const check = await run(['rules', 'check', 'a.rules'], {files});
		const applied = await run(['rules', 'apply', 'a.rules', ...platformOptions(platform.url), '--author', 'Nimal'], {files});
		return {
			name, check, applied, count: findings.length,
		};
	}));
	for (const {name, check, applied, count} of outcomes) {
		t.same([check.code, applied.code], [2, 2], name);
		// UTF-8 cannot encode lone surrogates; they are decoded as U+FFFD, which is printable.
		const lines = check.err.split('\n').filter(line => line.startsWith('a.rules:'));
		t.ok(lines.length === count || name.includes('surrogate'), name);
		t.equal(check.out, '');
	}

	t.same(platform.calls, before, 'no call was made');
	t.equal(await currentVersion(platform), 1);
	await platform.close();
});

await t.test('an invalid settings file exits with 2 and shows all findings', async t => {
	const outcomes = await Promise.all(brokenSettings.map(async ({name, text, findings}) => {
		const outcome = await run(['settings', 'check', 'a.ini', '--json'], {files: {'a.ini': text}});
		return {name, outcome, findings};
	}));
	for (const {name, outcome, findings} of outcomes) {
		const json = JSON.parse(outcome.out) as {readonly findings: readonly unknown[]};
		t.equal(outcome.code, 2, name);
		t.equal(json.findings.length, findings.length, name);
	}
});

await t.test('files that are missing or not valid UTF-8 exit with 2', async t => {
	t.match(await run(['rules', 'check', 'a.rules'], {files: {'a.rules': new Uint8Array([0x7A, 0xFF])}}), {code: 2, err: /UTF-8/u});
	t.match(await run(['settings', 'check', 'none.ini']), {code: 2, err: /none\.ini/u});
});

await t.test('apply, diff, show and history work on the rules of the platform', async t => {
	const platform = await startPlatform();
	t.match(await run(['rules', 'show', ...platformOptions(platform.url)]), {code: 1, err: /no rules yet/u});
	t.match(await apply(platform, FIRST), {code: 0, out: '+ zone a open # asked by Nimal\naccepted as version 1\n'});
	t.match(await apply(platform, FIRST), {code: 0, out: /nothing was changed/u});
	t.match(
		await run(['rules', 'diff', 'a.rules', ...platformOptions(platform.url)], {files: {'a.rules': SECOND}}),
		{code: 0, out: '- zone a open # asked by Nimal\n+ zone a closed # asked by Ruwan: power works\n+ zone b open # asked by Nimal\n', err: /version 1 by Nimal/u},
	);
	t.match(await apply(platform, SECOND, '--expect', '1', '--json'), {code: 0, out: /"version": 2/u});
	t.match(await run(['rules', 'show', ...platformOptions(platform.url)]), {code: 0, out: SECOND});
	t.match(await run(['rules', 'show', ...platformOptions(platform.url), '--version', '1']), {code: 0, out: FIRST});
	t.match(await run(['rules', 'show', ...platformOptions(platform.url), '--version', '7']), {code: 1, err: /version 7 is not kept/u});
	const {out} = await run(['rules', 'history', ...platformOptions(platform.url), '--json']);
	t.match(JSON.parse(out), {writes: [{version: 1, author: 'Nimal'}, {version: 2, author: 'Nimal'}]});
	await platform.close();
});

// Guards against one operator's change silently undoing another's.
await t.test('an unexpected version is a conflict that reports what changed', async t => {
	const platform = await startPlatform();
	await apply(platform, FIRST);
	await apply(platform, SECOND);
	const outcome = await apply(platform, FIRST, '--expect', '1');
	t.equal(outcome.code, 3);
	t.match(outcome.err, /version 2 by Nimal is in force, but the change was made for version 1; nothing was changed/u);
	t.match(outcome.err, /\+ zone a closed # asked by Ruwan: power works/u);
	t.equal(await currentVersion(platform), 2);
	await platform.close();
});

await t.test('a change between reading and writing is a conflict', async t => {
	const platform = await startPlatform();
	await apply(platform, FIRST);
	const proxy = await startProxy(platform, async () => {
		await apply(platform, SECOND);
		return 'forward';
	});
	const outcome = await apply(proxy, 'zone c open # asked by Late\n', '--json');
	t.equal(outcome.code, 3);
	t.match(JSON.parse(outcome.out), {
		outcome: 'conflict', expected: 1, current: 2, changes: [{version: 2, author: 'Nimal'}], diff: {changed: [{after: {author: 'Ruwan'}}]},
	});
	t.equal(await currentVersion(platform), 2);
	proxy.close();
	await platform.close();
});

// Guards against a change being reported as failed, or made twice, when only the response was lost.
await t.test('a change whose response was lost is resolved by its write id', async t => {
	const platform = await startPlatform();
	platform.setFaults({loseAnswers: 'after-write'});
	t.match(await apply(platform, FIRST), {code: 0, out: /accepted as version 1/u});
	platform.setFaults({loseAnswers: 'after-write'});
	t.match(await apply(platform, SECOND), {code: 0, out: /accepted as version 2/u});
	await platform.close();
});

await t.test('an outcome that cannot be determined exits with 5 and reports the write id', async t => {
	const platform = await startPlatform();
	const proxy = await startProxy(platform, async () => 'drop-response');
	const outcome = await apply(proxy, FIRST);
	t.equal(outcome.code, 5);
	const id = /write id (?<id>write-\d+)/u.exec(outcome.err)?.groups?.id;
	platform.setFaults({down: false});
	t.match(await run(['rules', 'history', ...platformOptions(platform.url)]), {out: new RegExp(`${id}\n`, 'u')});
	proxy.close();
	await platform.close();
});

await t.test('an unknown outcome is resolved when the platform recovers before the last attempt', async t => {
	const platform = await startPlatform();
	const proxy = await startProxy(platform, async () => 'drop-response');
	const outcome = await run(['rules', 'apply', 'a.rules', ...platformOptions(proxy.url), '--author', 'Nimal'], {
		files: {'a.rules': FIRST},
		onDelay(count) {
			platform.setFaults({down: count < 3});
		},
	});
	t.match(outcome, {code: 0, out: /accepted as version 1/u});
	proxy.close();
	await platform.close();
});

await t.test('a platform that cannot be reached exits with 4', async t => {
	const platform = await startPlatform();
	await apply(platform, FIRST);
	platform.setFaults({down: true});
	t.match(await apply(platform, SECOND), {code: 4, out: '', err: /cannot be reached/u});
	platform.setFaults({down: false});
	t.equal(await currentVersion(platform), 1);
	const {url} = platform;
	await platform.close();
	t.match(await apply({url}, SECOND), {code: 4, err: /ECONNREFUSED/u});
	const other = await PlatformServer.create({key: 'another-platform-key'});
	t.match(await apply(other, SECOND), {code: 4, err: /401/u});
	await other.close();
});

await t.test('only the last 32 replaced versions are kept', async t => {
	const platform = await startPlatform();
	for (let i = 1; i <= 34; i += 1) {
		await apply(platform, `zone z${i} open # asked by Nimal\n`);
	}

	t.match(await run(['rules', 'show', ...platformOptions(platform.url), '--version', '1']), {code: 1});
	t.match(await run(['rules', 'show', ...platformOptions(platform.url), '--version', '2']), {code: 0, out: 'zone z2 open # asked by Nimal\n'});
	await platform.close();
});
