import t from 'tap';
import {
	platformOptions, run, startPlatform, startProxy,
} from './harness.js';

const RULES = '# our rules\n\nendpoint e1 open # asked by Nimal\nzone b closed # asked by Ruwan: power works\n';

async function startWithRules(text: string) {
	const platform = await startPlatform();
	platform.putInstance({
		id: 'e2', role: 'endpoint', kind: 'model', address: '127.0.0.1:1', zone: 'b', region: 'r', state: 'live',
	});
	await run(['rules', 'apply', 'a.rules', ...platformOptions(platform.url), '--author', 'Nimal'], {files: {'a.rules': text}});
	const showRules = async () => {
		const {out} = await run(['rules', 'show', ...platformOptions(platform.url)]);
		return out;
	};

	return {platform, show: showRules};
}

// Guards against a drain that drops other lines, omits the author, or leaves rules that contradict it.
await t.test('drain adds a closed rule with its comment, and undrain removes it', async t => {
	const {platform, show} = await startWithRules(RULES);
	t.match(
		await run(['drain', 'e2', ...platformOptions(platform.url), '--author', 'Dilani', '--reason', 'new disk']),
		{code: 0, out: 'endpoint e2 is closed (rules version 2)\n'},
	);
	t.equal(await show(), `${RULES}endpoint e2 closed # asked by Dilani: new disk\n`);
	t.match(await run(['drain', 'endpoint/e2', ...platformOptions(platform.url), '--author', 'Nimal']), {code: 0, out: /closed already by line 5, asked by Dilani \(rules version 2\)/u});
	t.match(
		await run(['undrain', 'e2', ...platformOptions(platform.url), '--author', 'Nimal']),
		{code: 0, err: /also closed by line 4 \(zone b\), asked by Ruwan/u},
	);
	t.equal(await show(), RULES);
	t.match(await run(['undrain', 'group/g', ...platformOptions(platform.url), '--author', 'Nimal', '--json']), {code: 0, out: /"unchanged"/u});
	await platform.close();
});

await t.test('drain replaces an open rule and warns about an unknown target', async t => {
	const {platform, show} = await startWithRules(RULES);
	t.match(
		await run(['drain', 'e1', ...platformOptions(platform.url), '--author', 'Dilani']),
		{code: 0, out: /its open rule was removed/u, err: /no endpoint e1/u},
	);
	t.match(await show(), /^# our rules\n\nzone b closed .*\nendpoint e1 closed # asked by Dilani\n$/u);
	await platform.close();
});

await t.test('drain creates the first version when there are no rules', async t => {
	const platform = await startPlatform();
	t.match(await run(['drain', 'zone/a', ...platformOptions(platform.url), '--author', 'Dilani']), {code: 0, out: /version 1/u});
	await platform.close();
});

// Guards against losing one of two concurrent drains.
await t.test('a drain that conflicts with another change is retried on the new version', async t => {
	const {platform, show} = await startWithRules(RULES);
	let writes = 0;
	const proxy = await startProxy(platform, async () => {
		writes += 1;
		if (writes === 1) {
			await run(['drain', 'e3', ...platformOptions(platform.url), '--author', 'Ruwan']);
		}

		return 'forward';
	});
	t.match(await run(['drain', 'e2', ...platformOptions(proxy.url), '--author', 'Dilani']), {code: 0, err: /retrying the edit on the new version/u});
	t.equal(await show(), `${RULES}endpoint e3 closed # asked by Ruwan\nendpoint e2 closed # asked by Dilani\n`);
	proxy.close();
	await platform.close();
});

await t.test('a drain that conflicts on every attempt exits as a conflict', async t => {
	const {platform, show} = await startWithRules(RULES);
	let writes = 0;
	const proxy = await startProxy(platform, async () => {
		writes += 1;
		await run(['drain', `x${writes}`, ...platformOptions(platform.url), '--author', 'Ruwan']);
		return 'forward';
	});
	t.match(await run(['drain', 'e2', ...platformOptions(proxy.url), '--author', 'Dilani']), {code: 3, err: /conflict/u});
	t.notMatch(await show(), /Dilani/u);
	proxy.close();
	await platform.close();
});

await t.test('invalid targets, authors and reasons exit with 2', async t => {
	const url = 'http://127.0.0.1:1';
	const outcomes = await Promise.all([
		run(['drain', 'rack/r1', ...platformOptions(url), '--author', 'Dilani']),
		run(['drain', 'zone/', ...platformOptions(url), '--author', 'Dilani']),
		run(['drain', 'e1', ...platformOptions(url), '--author', '42']),
		run(['drain', 'e1', ...platformOptions(url), '--author', 'Dilani', '--reason', 'a\nzone b closed']),
		run(['drain', 'e1', ...platformOptions(url)]),
	]);
	t.same(outcomes.map(({code}) => code), [2, 2, 2, 2, 2]);
});
