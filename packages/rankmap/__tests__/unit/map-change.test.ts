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
			for (const order of decision.kind === 'order' ? [decision.first, ...decision.orders].filter(order => order !== undefined) : []) {
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

/** A held group is released only if no rank can be armed: guards against passes with two maps after the agent of a rank has failed. */
const heldCases = [
	{name: 'all prepared', last: {}, phase: 'arming'},
	{name: 'a lagging state without the map', last: {prepared: undefined, isLagging: true}, phase: 'arming'},
	{name: 'a lagging state with an older map', last: {prepared: 3, isLagging: true}, phase: 'arming'},
	{
		name: 'a state without the map while another rank is armed', last: {prepared: undefined}, armed: 1, phase: 'arming',
	},
	{
		name: 'a lagging state of an armed rank, all others armed', last: {armed: {version: 5, step: 9}, isLagging: true}, armed: 3, phase: 'releasing',
	},
	{name: 'a state without the map, none lagging, none armed', last: {prepared: undefined}, phase: 'releasing'},
] as const;

for (const {name, last, phase, ...rest} of heldCases) {
	void t.test(`held group, ${name}: ${phase}`, async t => {
		const group = SimulatedGroup.create(4);
		const armed = 'armed' in rest ? rest.armed : 0;
		const states = Array.from({length: 4}, (_, rank) => ({
			...group.state(rank),
			prepared: 5,
			heldStep: rank === 0 ? 9 : undefined,
			armed: rank < armed ? {version: 5, step: 9} : undefined,
			...(rank === 3 ? last : {}),
		}));
		t.match(decideMapChange(states, undefined), {kind: 'order', phase});
	});
}

/** Ranks other than rank 0 prepare a map only after rank 0 has begun to: guards against a late hold of the map before. */
void t.test('rank 0 prepares first', async t => {
	const group = SimulatedGroup.create(4);
	const plan = {
		version: 5, map: initialMap({
			ranks: 4, sets: 1, experts: 8, places: 5, spare: 2,
		}),
	};
	const states = Array.from({length: 4}, (_, rank) => group.state(rank));
	t.match(decideMapChange(states, plan), {first: {rank: 0}, orders: [{rank: 1}, {rank: 2}, {rank: 3}]});
	t.match(decideMapChange(states.map(state => ({...state, isBusy: state.rank === 0})), plan), {first: undefined, orders: [{rank: 1}, {rank: 2}, {rank: 3}]});
});
