import t from 'tap';
import {RetryBudget, VersionedConfig} from '#coordination';
import {MemoryStore} from '#standins-platform';

const NAME = 'config/rules';
const change = (writeId: string, baseVersion: number, author = 'ann') => ({
	writeId, baseVersion, author, text: `text of ${writeId}`, at: 7,
});

await t.test('the result of a rejected update contains the changes since its base version', async t => {
	const store = MemoryStore.create().client('cli');
	const config = VersionedConfig.create({name: NAME});
	t.match(await config.apply(store, change('a', 0)), {kind: 'accepted', version: 1});
	t.match(await config.apply(store, change('b', 1, 'bo')), {kind: 'accepted', version: 2});
	t.match(await config.apply(store, change('c', 0)), {
		kind: 'conflict', current: {version: 2, text: 'text of b', author: 'bo'}, changes: [{version: 1, author: 'ann'}, {version: 2, author: 'bo', at: 7}],
	});
	t.match(await config.apply(store, change('a', 0)), {kind: 'accepted', version: 1}, 'a repeated change has no further effect');
	t.equal(config.current?.version, 2);
});

await t.test('a change whose write is no longer stored is not reported as rejected', async t => {
	const store = MemoryStore.create().client('cli');
	const config = VersionedConfig.create({name: NAME});
	for (let version = 0; version <= 33; version += 1) {
		await config.apply(store, change(`w${version}`, version));
	}

	t.match(await config.apply(store, change('w0', 0)), {kind: 'unresolved', writeId: 'w0'});
	t.match(await config.apply(store, change('x', 2)), {kind: 'conflict'}, 'the write of version 3 is the oldest that is stored');
	t.match(await config.history(store), {kind: 'ok', value: {length: 32}});
});

await t.test('a store that was reset to an older version does not revert the configuration', async t => {
	const store = MemoryStore.create();
	const config = VersionedConfig.create({name: NAME});
	config.offer({version: 5, text: 'five', author: 'ann'});
	await VersionedConfig.create({name: NAME}).apply(store.client('x'), change('a', 0));
	await config.refresh(store.client('x'), 100);
	t.equal(config.current?.version, 5);
	t.equal(config.confirmedAgeMs(100), Infinity, 'an older version is no confirmation');
	t.equal(config.offer({version: 5, text: 'other', author: 'ann'}), 'contradicts');
	store.table.update(NAME, store.table.read(NAME)!.resourceVersion, {version: 'nine'});
	t.match(await config.refresh(store.client('x'), 100), {kind: 'failed', failure: {kind: 'invalid'}});
	t.match(await config.apply(store.client('x'), change('b', 5)), {kind: 'not-accepted', failure: {kind: 'invalid'}});
});

await t.test('a starting process is ready only when it can be sure of the highest version', async t => {
	const store = MemoryStore.create().client('x');
	const cases: ReadonlyArray<readonly [string, (config: VersionedConfig) => unknown, boolean]> = [
		['no response', () => undefined, false],
		['one seed of two', config => {
			config.seedResponded('s', undefined);
		}, false],
		['one seed, the other unreachable', config => {
			config.seedUnreachable('r');
			config.seedResponded('s', {version: 2, text: '', author: ''});
		}, true],
		['all unreachable', config => {
			config.seedUnreachable('r');
			config.seedUnreachable('s');
		}, false],
		['an unexpected seed', config => {
			config.seedResponded('u', {version: 2, text: '', author: ''});
		}, false],
		['the platform', async config => config.refresh(store, 0), true],
	];
	for (const [name, run, ready] of cases) {
		const config = VersionedConfig.create({name: NAME, seeds: ['r', 's']});
		await run(config);
		t.equal(config.isReady, ready, name);
	}
});

await t.test('the age of a confirmation is measured from the platform\'s response', t => {
	const config = VersionedConfig.create({name: NAME});
	config.offer({version: 2, text: '', author: ''});
	config.confirm(1, 0, 50);
	t.equal(config.confirmedAgeMs(60), Infinity);
	config.confirm(2, 30, 50);
	config.confirm(2, 900, 55);
	t.equal(config.confirmedAgeMs(60), 40, 'an older confirmation does not increase the age');
	t.end();
});

await t.test('retries are limited to a tenth of the requests, or to the minimum if that is higher', t => {
	const take = (budget: RetryBudget, now: number) => Array.from({length: 50}, () => budget.consumeRetry(now)).filter(Boolean).length;
	for (const [requests, expected] of [[0, 3], [29, 3], [40, 4], [200, 20]] as const) {
		const budget = RetryBudget.create();
		for (let index = 0; index < requests; index += 1) {
			budget.recordRequest(index);
		}

		t.equal(take(budget, 1000), expected, `${requests} requests`);
		t.equal(take(budget, 9000), 0, 'exhausted within the window');
		t.equal(take(budget, 11_200), 3, 'the window has passed');
	}

	t.end();
});

await t.test('a process that succeeds another uses the smaller of the fraction and the minimum at first', t => {
	const take = (budget: RetryBudget, now: number) => Array.from({length: 50}, () => budget.consumeRetry(now)).filter(Boolean).length;
	for (const [requests, expected] of [[0, 0], [15, 1], [200, 3]] as const) {
		const budget = RetryBudget.create({restrictedUntil: 9000});
		for (let index = 0; index < requests; index += 1) {
			budget.recordRequest(index);
		}

		t.equal(take(budget, 8999), expected, `${requests} requests`);
		t.equal(take(budget, 9000), Math.max(3, requests * 0.1) - expected, 'then the larger one');
	}

	t.end();
});

await t.test('two bursts of requests half a window apart do not give the retries of both to one window', t => {
	const budget = RetryBudget.create({fraction: 0.2, minRetries: 0});
	const burst = (now: number) => {
		for (let request = 0; request < 100; request += 1) {
			budget.recordRequest(now);
		}

		return Array.from({length: 100}, () => budget.consumeRetry(now + 100)).filter(Boolean).length;
	};

	t.equal(burst(0), 20);
	t.equal(burst(5100), 0);
	t.equal(budget.remainingRetries(10_100), 20);
	t.end();
});

await t.test('a granted retry counts in every window until it is sent or released', t => {
	const budget = RetryBudget.create({minRetries: 1});
	const sent = budget.reserveRetry(0);
	t.equal(budget.remainingRetries(20_000), 0);
	sent?.send(20_000);
	t.equal(budget.remainingRetries(29_900), 0);
	t.equal(budget.remainingRetries(30_000), 1);
	budget.reserveRetry(30_000)?.release();
	t.equal(budget.remainingRetries(30_000), 1);
	t.end();
});
