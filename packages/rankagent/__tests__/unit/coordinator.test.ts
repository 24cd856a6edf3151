/** A coordinator begins a switch for a moderate gain, but only for a large one while orders get no response. */
import t from 'tap';
import {SimulatedGroup} from '../../../rankmap/__tests__/simulated-group.js';
import {ok} from '#core';
import {Coordinator, type RankEngine} from '#rankagent';
import {OrderMonitor} from '#rankmap';
import {createSilentLogger, Metrics} from '#telemetry';

const SIZE = 12;
const EXPERTS = SIZE * 2;

/** Two experts per rank, of which the first of rank 0 is the most used; every `lostEvery`th order gets no response and has no effect. */
function startCoordinator(group: SimulatedGroup, firstExpert: number, lostEvery: number): {readonly coordinator: Coordinator; readonly holds: () => number} {
	let orders = 0;
	let holds = 0;
	let counted = 0;
	const engineOf = (rank: number): RankEngine => ({
		state: async () => ok(group.state(rank)),
		async counts() {
			counted += rank === 0 ? 10_000 : 0;
			return ok({epoch: group.epoch, counts: Array.from({length: EXPERTS}, (_, expert) => counted * (expert === 0 ? firstExpert : (expert < SIZE ? 1 : 0.4)))});
		},
		holdings: async () => ok({version: group.state(rank).map, experts: [[rank, rank + SIZE]]}),
		async order(order) {
			orders += 1;
			if (orders % lostEvery === 0) {
				return 'no-answer';
			}

			holds += order.action.kind === 'hold' ? 1 : 0;
			const status = group.execute(order);
			group.finishCopy(order.rank);
			return status === 409 ? 'refused' : (status === 202 ? 'begun' : 'already');
		},
	});
	const engines = Array.from({length: SIZE}, (_, rank) => engineOf(rank));
	const coordinator = Coordinator.create({
		localEngine: engines[0]!,
		getMembers: () => engines.slice(1).map(engine => ({viaAgent: engine, direct: engine})),
		getExperts: () => ({
			sets: 1, experts: EXPERTS, places: 4, spare: 2,
		}),
		wallClockMs: Date.now,
		logger: createSilentLogger(),
		metrics: Metrics.create(),
	});
	return {coordinator, holds: () => holds};
}

const cases = [
	{
		name: 'a moderate gain', firstExpert: 2.5, lostEvery: Infinity, holds: true,
	},
	{
		name: 'a moderate gain while every third order is lost', firstExpert: 2.5, lostEvery: 3, holds: false,
	},
	{
		name: 'a large gain while every third order is lost', firstExpert: 8, lostEvery: 3, holds: true,
	},
] as const;

for (const {name, firstExpert, lostEvery, holds} of cases) {
	void t.test(`${name}: the group is ${holds ? '' : 'not '}held`, async t => {
		const group = SimulatedGroup.create(SIZE);
		const started = startCoordinator(group, firstExpert, lostEvery);
		for (let turn = 0; turn < 60; turn += 1) {
			await started.coordinator.reconcile(group.state(0), true);
			group.pass();
		}

		t.equal(started.holds() > 0, holds);
		t.equal(group.state(0).map > 0, holds, 'the map changes');
	});
}

void t.test('unreliable orders are detected', t => {
	const watch = OrderMonitor.create();
	const note = (completed: number, lost: number, now: number) => {
		for (let i = 0; i < completed + lost; i += 1) {
			watch.record(i < completed, now);
		}
	};

	note(0, 4, 0);
	t.notOk(watch.isUnreliable(0), 'too few orders for a verdict');
	note(10, 0, 0);
	t.ok(watch.isUnreliable(0), '4 of 14');
	note(20, 0, 1000);
	t.notOk(watch.isUnreliable(1000), '4 of 34: some machines are busy');
	note(4, 8, 3000);
	t.ok(watch.isUnreliable(3000), '12 of 46');
	t.notOk(watch.isUnreliable(7001), 'all orders have left the window');
	t.end();
});
