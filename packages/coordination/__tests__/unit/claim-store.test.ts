import {Buffer} from 'node:buffer';
import t from 'tap';
import {failed, type Result} from '#core';
import {
	ClaimStore, createClaimOutcome, hashClaimBody, shardOfClaim, type ClaimRequest, type ObjectStore, type StoreFailure,
} from '#coordination';
import {MemoryStore, flushPromises} from '#standins-platform';

const key = {workspace: 'w', service: 'ledger', idempotencyKey: 'k'};
const prefix = `claims/${shardOfClaim(key)}/`;
const request = (claimId: string, body = 'b'): ClaimRequest => ({
	key, bodyHash: hashClaimBody(Buffer.from(body)), claimId, claimant: `entry of ${claimId}`,
});
let writes = 0;

function createStore(store: ObjectStore, options: {readonly headLimitBytes?: number; readonly retentionMs?: number} = {}): ClaimStore {
	return ClaimStore.create({store, createId: () => `w${writes++}`, ...options});
}

/** Runs an operation to completion, with a flush at the time it is due. */
async function run<Value>(claims: ClaimStore, operation: Promise<Value>, now = 50): Promise<Value> {
	await claims.flush(now);
	return operation;
}

await t.test('each state of a key has its own response to a claim', async t => {
	const store = MemoryStore.create();
	const claims = createStore(store.client('a'));
	const other = createStore(store.client('b'));
	const outcome = createClaimOutcome(201, Buffer.from('booked'));
	t.match(await run(claims, claims.claim(request('c1'), 0)), {kind: 'granted'});
	t.match(await run(other, other.claim(request('c2'), 0)), {
		kind: 'held', claimId: 'c1', claimant: 'entry of c1', at: 50,
	});
	t.match(await run(other, other.claim(request('c2', 'another body'), 0)), {kind: 'key-reused'});
	t.match(await run(other, other.claim(request('c1'), 0)), {kind: 'granted'}, 'the same claim through another entry');
	t.match(await run(other, other.finish(key, 'c2', {outcome, now: 0})), {kind: 'not-held'});
	t.match(await run(claims, claims.release(key, 'c1', 0)), {kind: 'released'});
	t.match(await run(claims, claims.claim(request('c1'), 0)), {kind: 'withdrawn'});
	t.match(await run(claims, claims.claim(request('c3', 'third body'), 0)), {kind: 'granted'}, 'a released key can be claimed for any body');
	t.match(await run(claims, claims.finish(key, 'c3', {outcome, now: 0})), {kind: 'recorded'});
	await run(claims, claims.finish(key, 'c3', {outcome: createClaimOutcome(500, Buffer.of()), now: 0}));
	t.match(await run(other, other.claim(request('c4', 'third body'), 0)), {kind: 'done', outcome}, 'the first outcome is not replaced');
	t.match(await run(claims, claims.release(key, 'c3', 0)), {kind: 'already-done'});
	t.match(createClaimOutcome(200, Buffer.alloc(2049)), {complete: false});
	await t.rejects(claims.finish(key, 'c3', {outcome: {...outcome, body: 'x'.repeat(3000)}, now: 0}), /allowed: 2732/);
});

await t.test('operations of a shard are batched into one conditional update', async t => {
	const store = MemoryStore.create();
	const claims = createStore(store.client('a'));
	await run(claims, claims.claim(request('c0'), 0));
	const before = store.callCount;
	const outcome = createClaimOutcome(200, Buffer.of());
	const responses = [claims.claim(request('c1'), 100), claims.release(key, 'c0', 110), claims.claim(request('c2'), 120), claims.finish(key, 'c2', {outcome, now: 130})];
	t.equal(claims.nextFlushAt, 150);
	await claims.flush(149);
	t.equal(store.callCount, before, 'nothing is flushed before the batch window has passed');
	await claims.flush(150);
	t.match(await Promise.all(responses), [{kind: 'held'}, {kind: 'released'}, {kind: 'granted'}, {kind: 'recorded'}]);
	t.equal(store.callCount, before + 1);
	t.equal(claims.nextFlushAt, undefined);
});

await t.test('entries newer than a segment that another process created first stay in the head', async t => {
	const store = MemoryStore.create('stepped');
	const [a, b] = [createStore(store.client('a'), {headLimitBytes: 10}), createStore(store.client('b'), {headLimitBytes: 9999})];
	void a.claim(request('c1'), 0);
	void a.flush(50);
	await store.respondToAll();
	// A seals the head that contains the claim and crashes; meanwhile B records the outcome.
	void a.release(key, 'none', 0);
	void a.flush(50);
	await flushPromises();
	t.match(store.pending, [{kind: 'create', name: `${prefix}seg-0`}]);
	store.kill('a', true);
	const finished = b.finish(key, 'c1', {outcome: createClaimOutcome(200, Buffer.of()), now: 0});
	void b.flush(50);
	await store.respondToAll();
	t.match(await finished, {kind: 'recorded'});
	const c = createStore(store.client('c'), {headLimitBytes: 10});
	const resent = c.claim(request('c2'), 0);
	void c.flush(50);
	await store.respondToAll();
	t.match(await resent, {kind: 'done'});
	t.match(store.table.read(`${prefix}head`)?.value, {nextSegment: 1, entries: [{state: 'done'}]});
});

await t.test('a claim is kept for its retention time and its segment is deleted afterwards', async t => {
	const store = MemoryStore.create();
	const claims = createStore(store.client('a'), {headLimitBytes: 10, retentionMs: 1000});
	await run(claims, claims.claim(request('c1'), 0), 100);
	t.match(await run(claims, claims.claim(request('c2'), 1050), 1100), {kind: 'held'});
	t.ok(store.table.read(`${prefix}seg-0`));
	t.match(await run(claims, claims.claim(request('c3'), 1050), 1101), {kind: 'granted'});
	t.notOk(store.table.read(`${prefix}seg-0`));
	await run(claims, claims.release(key, 'c3', 1101), 1200);
	t.match(store.table.read(`${prefix}head`)?.value, {firstSegment: 1, expired: {length: 0}});
});

await t.test('after a release, a write in flight cannot restore the claim', async t => {
	const store = MemoryStore.create('stepped');
	const claims = createStore(store.client('a'));
	const claim = claims.claim(request('c1'), 0);
	void claims.flush(50);
	await flushPromises();
	await store.step(0, 'respond');
	await store.step(0, 'delay');
	await store.step(0, 'refuse');
	t.match(await claim, {kind: 'unavailable', recorded: 'unknown'});
	const released = claims.release(key, 'c1', 0);
	void claims.flush(50);
	await store.respondToAll();
	t.match(await released, {kind: 'released'});
	store.executeDelayed(0);
	store.automatic = true;
	const other = createStore(store.client('b'));
	t.match(await run(other, other.claim(request('c2'), 0)), {kind: 'granted'});
});

await t.test('a store fault never grants a claim, and the response tells whether it may be stored', async t => {
	const change = (store: MemoryStore, name: string, value?: unknown) => {
		const {resourceVersion} = store.table.read(`${prefix}${name}`)!;
		return value === undefined ? store.table.remove(`${prefix}${name}`, resourceVersion) : store.table.update(`${prefix}${name}`, resourceVersion, value);
	};

	const cases: ReadonlyArray<readonly [string, (store: MemoryStore) => unknown, string]> = [
		['head that does not match the schema', store => change(store, 'head', []), 'invalid'],
		['deleted head', store => change(store, 'head'), 'invalid'],
		['segment that does not match the schema', store => change(store, 'seg-0', 'x'), 'invalid'],
		['deleted segment', store => change(store, 'seg-0'), 'missing'],
	];
	for (const [name, fault, kind] of cases) {
		const store = MemoryStore.create();
		const claims = createStore(store.client('a'), {headLimitBytes: 10});
		await run(claims, claims.claim(request('c1'), 0));
		await run(claims, claims.claim(request('c2'), 0));
		await run(claims, claims.release(key, 'c3', 0));
		fault(store);
		t.match(await run(claims, claims.claim(request('c4'), 0)), {kind: 'unavailable', recorded: 'no', failure: {kind}}, name);
	}
});

await t.test('while the call budget is exhausted, the batch window grows and operations fail after a bounded wait', async t => {
	const exhausted = async (): Promise<Result<never, StoreFailure>> => failed({kind: 'over-budget'});
	const claims = createStore({
		read: exhausted, create: exhausted, update: exhausted, remove: exhausted, list: exhausted,
	});
	const claim = claims.claim(request('c1'), 0);
	const windows: Array<number | undefined> = [];
	for (let now = 50; claims.nextFlushAt !== undefined; now = claims.nextFlushAt ?? 0) {
		await claims.flush(now);
		windows.push(claims.nextFlushAt);
		if (windows.length > 8) {
			break;
		}
	}

	t.same(windows.slice(0, 5), [100, 200, 400, 800, 1600]);
	await claims.flush(2000);
	t.match(await claim, {kind: 'unavailable', recorded: 'no', failure: {kind: 'over-budget'}});
});
