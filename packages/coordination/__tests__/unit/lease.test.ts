import t from 'tap';
import {FenceChecker, Lease, writeConditionally} from '#coordination';
import {MemoryStore, flushPromises, type CallOutcome} from '#standins-platform';

const NAME = 'groups/g/lease';

function createLease(store: MemoryStore, holder: string): Lease {
	let writes = 0;
	return Lease.create({
		store: store.client(holder), name: NAME, holder, createId: () => `${holder}-${writes++}`, durationMs: 100, marginMs: 10,
	});
}

await t.test('a lease expires at its holder before another process can take over, and the fencing token increases', async t => {
	const store = MemoryStore.create();
	const [a, b] = [createLease(store, 'a'), createLease(store, 'b')];
	t.throws(() => Lease.create({
		store: store.client('a'), name: NAME, holder: 'a', createId: String, marginMs: 15_000,
	}), /margin of 15000 ms/);
	t.match(await a.acquire(1000), {kind: 'held', fence: 1, until: 1090});
	t.match(await b.acquire(5), {kind: 'other', holder: 'a', retryAt: 105});
	t.match(await b.acquire(6), {kind: 'other', retryAt: 106}, 'the wait starts with the call after the first read');
	t.match(await a.renew(1050), {kind: 'held', fence: 1, until: 1140});
	t.match(await b.acquire(106), {kind: 'other', retryAt: 206}, 'a renewal restarts the wait');
	t.equal(a.held(1139)?.fence, 1);
	t.equal(a.held(1140), undefined, 'the lease expires earlier by the margin');
	await b.acquire(107);
	t.match(await b.acquire(207), {kind: 'held', fence: 2});
	t.match(await a.renew(1139), {kind: 'lost'});
	t.match(await b.release(), {kind: 'released'});
	t.match(await a.acquire(1300), {kind: 'held', fence: 3}, 'a released lease can be acquired without a wait');
});

await t.test('a renewal in progress during a release does not restore the lease', async t => {
	const store = MemoryStore.create('stepped');
	const lease = createLease(store, 'a');
	const acquired = lease.acquire(0);
	await store.respondToAll();
	await acquired;
	const renewed = lease.renew(10);
	await flushPromises();
	const released = lease.release();
	t.equal(lease.held(10), undefined, 'it is released before any response');
	await store.step(0, 'respond');
	t.match(await renewed, {kind: 'held'});
	await store.respondToAll();
	await released;
	const other = createLease(store, 'b').acquire(0);
	await store.respondToAll();
	t.match(await other, {kind: 'held', fence: 2}, 'the renewal was released as well');
});

await t.test('a renewal that takes effect late is renewed again with the same fencing token', async t => {
	const store = MemoryStore.create('stepped');
	const lease = createLease(store, 'a');
	void lease.acquire(0);
	await store.respondToAll();
	const renewed = lease.renew(10);
	await flushPromises();
	await store.step(0, 'delay');
	await store.step(0, 'refuse');
	t.match(await renewed, {kind: 'unavailable'});
	t.ok(lease.held(10), 'it stays held until it expires');
	store.executeDelayed(0);
	const again = lease.renew(20);
	await flushPromises();
	await store.respondToAll();
	t.match(await again, {kind: 'held', fence: 1, until: 110});
});

await t.test('a stored object that does not match the schema is neither acquired nor overwritten', async t => {
	const store = MemoryStore.create();
	store.table.create(NAME, {fence: 'seven'});
	t.match(await createLease(store, 'a').acquire(0), {kind: 'invalid', name: NAME});
});

await t.test('lost responses of a conditional write are resolved', async t => {
	const cases: ReadonlyArray<readonly [readonly CallOutcome[], string, string]> = [
		[['lose-response', 'respond'], 'accepted', 'the write is recognized by its id in the stored value'],
		[['lose-request', 'respond', 'respond'], 'accepted', 'the same write is sent again'],
		[['delay', 'respond', 'lose-request', 'respond', 'respond'], 'accepted', 'twice'],
		[['lose-request', 'respond', 'lose-request', 'respond', 'lose-request', 'respond'], 'unresolved', 'attempts are bounded'],
		[['lose-request', 'refuse'], 'unresolved', 'nothing can be read back'],
		[['lose-request', 'respond', 'refuse'], 'unresolved', 'the first copy may still take effect'],
		[['refuse'], 'refused', 'nothing was sent'],
	];
	for (const [fates, kind, why] of cases) {
		const store = MemoryStore.create('stepped');
		const result = writeConditionally({
			store: store.client('a'), name: 'x', baseVersion: undefined, value: {id: 7}, isWritten: value => (value as {id: number}).id === 7,
		});
		for (const fate of fates) {
			await store.step(0, fate);
		}

		t.equal(store.pending.length, 0, `no further call: ${why}`);
		t.match(await result, {kind}, why);
	}
});

await t.test('the result of a check is unknown until an authoritative source has responded', t => {
	const checker = FenceChecker.create(['p', 'q']);
	checker.observe({kind: 'engine', fence: 4});
	t.match(checker.check(9), {kind: 'unknown'}, 'the engine alone is not authoritative');
	checker.observe({kind: 'peer', id: 'p', fence: 5});
	t.match(checker.check(9), {kind: 'unknown'}, 'one peer of two is not authoritative');
	checker.observe({kind: 'peer', id: 'q', fence: 2});
	t.match(checker.check(8), {kind: 'refused', highest: 9}, 'tokens checked before that are recorded');
	t.match(checker.check(9), {kind: 'admitted'});
	const withPlatform = FenceChecker.create();
	withPlatform.observe({kind: 'platform', fence: 3});
	t.match(withPlatform.check(3), {kind: 'admitted'});
	t.throws(() => withPlatform.check(Number.NaN), /not a non-negative integer/);
	t.end();
});
