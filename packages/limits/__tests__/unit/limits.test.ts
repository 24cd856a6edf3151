import t from 'tap';
import {
	admit, createConcurrencyLimit, FairQueue, GrantLimiter, GrantAllocator, adjustConcurrencyLimit, type QueueItem,
} from '#limits';

const estimate = {waitMs: 500, errorFactor: 1};
const admissionCases = [
	{name: 'enough time', deadline: 1600, expected: 'admitted'},
	{name: 'just enough time', deadline: 1500, expected: 'admitted'},
	{name: 'a wait that is too long', deadline: 1499, expected: 'overloaded'},
	{name: 'a deadline that has passed', deadline: 1000, expected: 'deadline'},
];
await t.test('a request that cannot meet its deadline is refused early', t => {
	for (const {name, deadline, expected} of admissionCases) {
		const admission = admit(estimate, deadline, 1000);
		t.equal(admission.kind === 'admitted' ? admission.kind : admission.reason, expected, name);
	}

	t.end();
});

const capacityCases = [
	{name: 'long steps shrink the batch in proportion', sample: {stepMs: 77, running: 100}, expected: 87},
	{name: 'very long steps shrink it by at most three tenths', sample: {stepMs: 1000, running: 100}, expected: 70},
	{name: 'short steps grow a batch in use', sample: {stepMs: 40, running: 100}, expected: 101},
	{name: 'short steps leave an unused limit alone', sample: {stepMs: 40, running: 20}, expected: 100},
	{name: 'an idle engine says nothing', sample: {stepMs: 1000, running: 0}, expected: 100},
];
await t.test('the capacity follows the step time', t => {
	for (const {name, sample, expected} of capacityCases) {
		const capacity = adjustConcurrencyLimit(createConcurrencyLimit(100, 1, 256), sample, 0);
		t.equal(Math.floor(capacity.limit), expected, name);
		t.equal(adjustConcurrencyLimit(capacity, {stepMs: 1000, running: 100}, 999).limit, capacity.changedAt === 0 ? capacity.limit : 70, `${name}: one change in a second`);
	}

	t.end();
});

await t.test('an isolated entry falls to limit / known entries within 5 s', t => {
	const holder = GrantLimiter.create('e', 0);
	holder.setRules(new Map([['w', {tokensPerSecond: 1000, weight: 1, priority: 0}]]));
	holder.setKnownEntries(10);
	holder.spend('w', 10, 0);
	const sequence = holder.demands(0)[0]?.sequence ?? 0;
	holder.onGrant({workspace: 'w', sequence, tokensPerSecond: 900}, 100);
	t.same([2999, 4000, 5000, 20_000].map(at => holder.rate('w', at)), [900, 500, 100, 100]);
	holder.onGrant({workspace: 'w', sequence, tokensPerSecond: 5000}, 200);
	t.equal(holder.rate('w', 300), 900, 'a repeated answer changes nothing');
	t.equal(holder.rate('unlimited', 0), Number.POSITIVE_INFINITY);
	t.end();
});

await t.test('a request larger than the bucket passes once and is paid back before the next', t => {
	const holder = GrantLimiter.create('e', 0);
	holder.setRules(new Map([['w', {tokensPerSecond: 100, weight: 1, priority: 0}]]));
	t.equal(holder.spend('w', 5000, 0).kind, 'spent');
	t.equal(holder.spend('w', 1, 1).kind, 'refused');
	holder.reconcile('w', 5000, 10, 2);
	t.equal(holder.spend('w', 1, 3).kind, 'spent', 'unused tokens come back');
	t.end();
});

await t.test('a full queue displaces the workspace that exceeds its share, not the newcomer', t => {
	const queue = FairQueue.create<QueueItem>({maxItems: 4, maxTokens: 1000});
	const item = (id: string, workspace: string, priority = 1): QueueItem => ({
		id, workspace, priority, weight: 1, tokens: 100, deadline: 1000,
	});
	for (const id of ['h1', 'h2', 'h3', 'h4']) {
		queue.offer(item(id, 'hog'), 0);
	}

	t.same(queue.offer(item('s1', 'small'), 0), {kind: 'queued', displaced: [item('h4', 'hog')]});
	t.same(queue.offer(item('h5', 'hog'), 0), {kind: 'refused', reason: 'endpoint-full', outcome: 'not-run'});
	t.same(queue.offer(item('l1', 'low', 0), 0), {kind: 'refused', reason: 'endpoint-full', outcome: 'not-run'});
	t.equal(queue.tokensAhead('small', 1, 1), 300, 'own backlog, and of the other as much as it is due meanwhile');
	t.same(['h1', 's1', 'h2', 'h3'], [1, 2, 3, 4].map(() => queue.take(0).item?.id));
	t.end();
});

await t.test('the share of a lost entry returns once it has left the directory and its grant has run out', t => {
	const home = GrantAllocator.create();
	home.setRules(new Map([['w', {tokensPerSecond: 1000, weight: 1, priority: 0}]]));
	home.setEntries(new Set(['a', 'b']), -60_000);
	let sequence = 0;
	const ask = (entryId: string, held: number, now: number) => home.onDemand({
		workspace: 'w', entryId, sequence: ++sequence, tokensPerSecond: 2000, heldTokensPerSecond: held, heldSequence: held === 0 ? 0 : sequence - 1,
	}, now)?.tokensPerSecond;
	t.equal(ask('a', 0, 0), 1000);
	t.equal(ask('b', 0, 100), 0, 'all of the limit may be in use at the lost entry');
	t.equal(ask('b', 0, 6000), 500, 'while it is in the directory its fallback stays reserved');
	home.setEntries(new Set(['b']), 7000);
	t.equal(ask('b', 500, 8000), 1000);
	t.end();
});
