/** A switch must not delay the group: orders and readings take time, and all streams pause while the group waits for them. */
import t from 'tap';
import {SimulatedGroup} from '../simulated-group.js';
import {initialMap, decideMapChange} from '#rankmap';

/** Calls to ranks (orders and readings) that a coordinator makes during one forward pass: about one per ms. */
const CALLS_PER_PASS = 50;

for (const ranks of [4, 12, 63]) {
	void t.test(`${ranks} ranks switch without a delayed pass`, async t => {
		const group = SimulatedGroup.create(ranks);
		const plan = {
			version: 5, map: initialMap({
				ranks, sets: 1, experts: ranks * 4, places: 5, spare: 2,
			}),
		};
		let calls = 0;
		let waited = 0;
		const call = <Value>(make: () => Value): Value => {
			calls += 1;
			if (calls % CALLS_PER_PASS === 0) {
				group.pass();
				waited += group.passesHeld > 0 ? 1 : 0;
			}

			return make();
		};

		for (let turn = 0; turn < 50 && group.state(0).map !== plan.version; turn += 1) {
			const states = Array.from({length: ranks}, (_, rank) => call(() => group.state(rank)));
			const decision = decideMapChange(states, plan);
			for (const order of decision.kind === 'order' ? decision.orders : []) {
				call(() => group.execute(order));
				group.finishCopy(order.rank);
			}
		}

		for (let rank = 0; rank < ranks; rank += 1) {
			t.equal(group.state(rank).map, plan.version);
		}

		t.equal(waited, 0);
	});
}
