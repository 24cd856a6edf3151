import t from 'tap';
import {
	admit, createConcurrencyLimit, FairQueue, GrantLimiter, GrantAllocator, adjustConcurrencyLimit, type QueueItem,
} from '#limits';

const estimate = {waitMs: 500, errorFactor: 1};
const admissionCases = [
	{name: 'enough time', deadline: 1600, expected: 'admitted'},
	{name: 'just enough time', deadline: 1500, expected: 'admitted'},
	{name: 'too long a wait', deadline: 1499, expected: 'overloaded'},
	{name: 'a deadline that has passed', deadline: 1000, expected: 'deadline'},
];
await t.test('a request that cannot meet its deadline is refused early', t => {
	for (const {name, deadline, expected} of admissionCases) {
		const admission = admit(estimate, deadline, 1000);
		t.equal(admission.kind === 'admitted' ? admission.kind : admission.reason, expected, name);
	}

	t.end();
});

const limitCases = [
	{name: 'long steps decrease the limit in proportion', sample: {stepMs: 77, running: 100}, expected: 87},
	{name: 'very long steps decrease it by at most 30 percent', sample: {stepMs: 1000, running: 100}, expected: 70},
	{name: 'short steps increase a limit in use', sample: {stepMs: 40, running: 100}, expected: 101},
	{name: 'short steps do not change an unused limit', sample: {stepMs: 40, running: 20}, expected: 100},
	{name: 'a sample of an idle engine is ignored', sample: {stepMs: 1000, running: 0}, expected: 100},
];
await t.test('the concurrency limit follows the step time', t => {
	for (const {name, sample, expected} of limitCases) {
		const adjusted = adjustConcurrencyLimit(createConcurrencyLimit(100, 1, 256), sample, 0);
		t.equal(Math.floor(adjusted.limit), expected, name);
		t.equal(adjustConcurrencyLimit(adjusted, {stepMs: 1000, running: 100}, 999).limit, adjusted.changedAt === 0 ? adjusted.limit : 70, `${name}: one change in a second`);
	}

	t.end();
});

await t.test('the rate of an isolated entry falls to limit / known entries within 5 s', t => {
	const limiter = GrantLimiter.create('e', 0);
	limiter.setRules(new Map([['w', {tokensPerSecond: 1000, weight: 1, priority: 0}]]));
	limiter.setKnownEntries(10);
	limiter.spend('w', 10, 0);
	const sequence = limiter.demands(0)[0]?.sequence ?? 0;
	limiter.onGrant({workspace: 'w', sequence, tokensPerSecond: 900}, 100);
	t.same([2999, 4000, 5000, 20_000].map(at => limiter.rate('w', at)), [900, 500, 100, 100]);
	limiter.onGrant({workspace: 'w', sequence, tokensPerSecond: 5000}, 200);
	t.equal(limiter.rate('w', 300), 900, 'a repeated response changes nothing');
	t.equal(limiter.rate('unlimited', 0), Number.POSITIVE_INFINITY);
	t.end();
});

await t.test('a request larger than the bucket is accepted once, and the overdraft delays the next request', t => {
	const limiter = GrantLimiter.create('e', 0);
	limiter.setRules(new Map([['w', {tokensPerSecond: 100, weight: 1, priority: 0}]]));
	t.equal(limiter.spend('w', 5000, 0).kind, 'spent');
	t.equal(limiter.spend('w', 1, 1).kind, 'refused');
	limiter.reconcile('w', 5000, 10, 2);
	t.equal(limiter.spend('w', 1, 3).kind, 'spent', 'unused tokens are returned');
	t.end();
});

await t.test('a full queue displaces items of the workspace that exceeds its share, not the new item', t => {
	const queue = FairQueue.create<QueueItem>({maxItems: 4, maxTokens: 1000});
	const item = (id: string, workspace: string, priority = 1): QueueItem => ({
		id, workspace, priority, weight: 1, tokens: 100, deadline: 1000,
	});
	for (const id of ['h1', 'h2', 'h3', 'h4']) {
		queue.offer(item(id, 'heavy'), 0);
	}

	t.same(queue.offer(item('s1', 'small'), 0), {kind: 'queued', displaced: [item('h4', 'heavy')]});
	t.same(queue.offer(item('h5', 'heavy'), 0), {kind: 'refused', reason: 'endpoint-full', outcome: 'not-run'});
	t.same(queue.offer(item('l1', 'low', 0), 0), {kind: 'refused', reason: 'endpoint-full', outcome: 'not-run'});
	t.equal(queue.tokensAhead('small', 1, 1), 300, 'its own backlog and what the other workspace receives in the meantime');
	t.same(['h1', 's1', 'h2', 'h3'], [1, 2, 3, 4].map(() => queue.take(0).item?.id));
	t.end();
});

await t.test('the share of a failed entry is reallocated when it has left the directory and its grant has expired', t => {
	const allocator = GrantAllocator.create();
	allocator.setRules(new Map([['w', {tokensPerSecond: 1000, weight: 1, priority: 0}]]));
	allocator.setEntries(new Set(['a', 'b']), -60_000);
	let sequence = 0;
	const report = (entryId: string, held: number, now: number) => allocator.onDemand({
		workspace: 'w', entryId, sequence: ++sequence, tokensPerSecond: 2000, heldTokensPerSecond: held, heldSequence: held === 0 ? 0 : sequence - 1,
	}, now)?.tokensPerSecond;
	t.equal(report('a', 0, 0), 1000);
	t.equal(report('b', 0, 100), 0, 'the failed entry may be using the whole limit');
	t.equal(report('b', 0, 6000), 500, 'its fallback rate stays reserved while it is in the directory');
	allocator.setEntries(new Set(['b']), 7000);
	t.equal(report('b', 500, 8000), 1000);
	t.end();
});
