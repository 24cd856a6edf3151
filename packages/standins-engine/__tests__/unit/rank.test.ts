import t from 'tap';
import {EngineRank, LockStepGroup, type RankKind} from '#standins-engine';
import type {EngineOrder} from '#expertmap';

const members = ['a', 'b'];
const base = {version: 2, epoch: 1, fence: 5};
const map = {slots: []};
const prepare: EngineOrder = {...base, order: 'prepare', map};
const gate: EngineOrder = {...base, order: 'gate', step: 3};
const go: EngineOrder = {...base, order: 'go', step: 3};
const cancel: EngineOrder = {...base, order: 'cancel', step: 3};
const drop: EngineOrder = {...base, order: 'drop'};
const reform: EngineOrder = {
	...base, order: 'reform', epoch: 2, step: 9, version: 1, members,
};

const makeRank = (id: string, kind: RankKind = 'checks-fence') => EngineRank.create({
	id, kind, epoch: 1, members, mapVersion: 1,
});

const cases: ReadonlyArray<readonly [title: string, orders: readonly EngineOrder[], expected: string]> = [
	['a gate needs loaded weights', [gate], 'not-prepared'],
	['go needs a gate', [prepare, go], 'no-gate'],
	['go needs the gate of the same step', [prepare, gate, {...go, step: 4}], 'no-gate'],
	['go after cancel has no gate', [prepare, gate, cancel, go], 'no-gate'],
	['cancel after go is refused', [prepare, gate, go, cancel], 'gone'],
	['drop after go is refused', [prepare, gate, go, drop], 'gone'],
	['drop of a gated version is refused', [prepare, gate, drop], 'too-late'],
	['a gate on a step that has started is refused', [prepare, {...gate, step: 0}], 'too-late'],
	['a late prepare does not load a dropped version again', [prepare, drop, prepare], 'too-late'],
	['a dropped version can be loaded for a later epoch', [prepare, drop, {...prepare, epoch: 2}], 'done'],
	['an order of an earlier epoch is refused', [prepare, reform, gate], 'too-late'],
	['a second gate is refused while there is one', [prepare, {...prepare, version: 3}, gate, {...gate, version: 3}], 'too-late'],
	['a reform needs loaded weights', [{...reform, version: 7}], 'not-prepared'],
	['a reform to an earlier epoch is refused', [reform, {...reform, epoch: 1, order: 'reform'}, {...reform, epoch: 0}], 'too-late'],
	['the previous map stays loaded after a reform', [prepare, {...reform, version: 2}, {...reform, epoch: 3}], 'done'],
	['a repeated go succeeds', [prepare, gate, go, go], 'done'],
	['a repeated cancel succeeds', [prepare, gate, cancel, cancel], 'done'],
	['a lower fencing token is refused', [prepare, {...gate, fence: 4}], 'fence'],
];

await t.test('the last order of a sequence is executed or refused according to the state', t => {
	for (const [title, orders, expected] of cases) {
		const rank = makeRank('a');
		const last = orders.map(order => rank.order(order, 0)).at(-1);
		t.equal(last?.kind === 'refused' ? last.reason : last?.kind, expected, title);
	}

	t.end();
});

await t.test('an engine that ignores fencing tokens executes an order with a lower one', t => {
	const rank = makeRank('a', 'ignores-fence');
	rank.order(prepare, 0);
	t.equal(rank.order({...gate, fence: 1}, 0).kind, 'done');
	t.equal(rank.state(0).fence, 5, 'the highest fencing token is still reported');
	t.end();
});

await t.test('a version is listed as prepared only after its weights are loaded', t => {
	const rank = EngineRank.create({
		id: 'a', kind: 'checks-fence', epoch: 1, members, mapVersion: 1, loadMs: 100,
	});
	rank.order(prepare, 0);
	t.same([rank.state(99).prepared, rank.state(100).prepared], [[], [2]]);
	t.end();
});

await t.test('the group advances in lock-step, waits at a gate and records the maps in use', t => {
	const [a, b] = [makeRank('a'), makeRank('b')];
	const group = LockStepGroup.create([a, b]);
	for (const rank of [a, b]) {
		rank.order(prepare, 0);
		rank.order(gate, 0);
	}

	for (let now = 1; now <= 5; now++) {
		group.tick(now);
	}

	t.equal(group.completed, 3, 'steps 0 to 2 run, the gate blocks step 3');
	a.order(go, 6);
	group.tick(6);
	t.equal(group.completed, 3, 'one released rank waits for the other');
	b.order(cancel, 7);
	group.tick(7);
	t.equal(group.mixedSteps.length, 1, 'a step with two maps is recorded as mixed');
	t.end();
});

await t.test('a stalled, absent or re-formed rank blocks the others of its epoch', t => {
	const [a, b] = [makeRank('a'), makeRank('b')];
	const group = LockStepGroup.create([a, b]);
	group.stall('b', 10);
	t.equal(group.tick(9).length, 0);
	t.equal(group.tick(10).length, 1);
	group.remove('b');
	t.equal(group.tick(11).length, 0);
	group.add(EngineRank.create({
		id: 'b', kind: 'checks-fence', epoch: 0, members: [], mapVersion: 0,
	}));
	t.equal(group.tick(12).length, 0, 'a restarted rank must join an epoch first');
	a.order({...reform, members: ['a']}, 13);
	t.same(group.tick(13).map(record => [record.epoch, record.step, [...record.maps.keys()]]), [[2, 9, ['a']]]);
	t.end();
});
