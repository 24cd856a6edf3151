import t from 'tap';
import {
	initialMap, LoadWindow, planMap, rankLoads, skewOfMap, type ExpertShape,
} from '#rankmap';

const shape: ExpertShape = {
	ranks: 12, sets: 4, experts: 72, places: 8, spare: 3,
};

/** Demand in which few experts get most tokens; `turn` moves it to other experts. */
const demand = (turn: number) => Array.from({length: shape.sets}, (_, set) => Array.from({length: shape.experts}, (_, expert) => 1000 / ((1 + ((expert + (set * 7) + (turn * 31)) % shape.experts)) ** 1.1)));

void t.test('the initial map assigns experts round-robin', t => {
	const map = initialMap(shape);
	t.same(map[0]![1], [1, 13, 25, 37, 49, 61]);
	t.equal(map.length, 4);
	t.end();
});

void t.test('the load of an expert on two ranks is split evenly', t => {
	t.same(rankLoads([[0, 1], [1], [2]], [10, 8, 3]), [14, 4, 3]);
	t.end();
});

void t.test('plans respect the limits of a change and lower the skew', t => {
	let map = initialMap(shape);
	for (let turn = 0; turn < 6; turn += 1) {
		const load = demand(turn);
		for (let change = 0; change < 3; change += 1) {
			const former = map;
			const {map: next, copies, skewBefore: before, skewAfter: after} = planMap(former, load, shape, {minGainPerRound: 0.24});
			t.ok(after <= before, `${before} to ${after} with ${copies} copies`);
			for (const [set, placement] of next.entries()) {
				t.equal(new Set(placement.flat()).size, shape.experts, 'each expert is on at least one rank');
				for (const [rank, experts] of placement.entries()) {
					t.equal(new Set(experts).size, experts.length);
					t.ok(experts.length <= shape.places);
					t.ok(experts.filter(expert => !former[set]![rank]!.includes(expert)).length <= shape.spare);
				}
			}

			map = next;
		}

		t.ok(skewOfMap(map, load) < 1.6, `skew ${skewOfMap(map, load)} after three changes`);
	}

	t.end();
});

for (const ranks of [12, 63]) {
	// The largest groups in use and groups of a fifth of their size; demand of several topics that share most experts.
	void t.test(`one plan adapts ${ranks} ranks to new demand`, t => {
		const wide: ExpertShape = {
			ranks, sets: 8, experts: ranks * 4, places: 5, spare: 2,
		};
		const load = Array.from({length: wide.sets}, (_, set) => Array.from({length: wide.experts}, (_, expert) => 1000 / ((3 + (((expert * 37) + (set * 7)) % wide.experts)) ** 0.65)));
		const {skewBefore: before, skewAfter: after, copies} = planMap(initialMap(wide), load, wide, {minGainPerRound: 0.72});
		t.ok(after < 1.4, `skew ${before} to ${after} with ${copies} copies`);
		t.end();
	});
}

void t.test('even or no demand leaves the map unchanged', t => {
	const load = Array.from({length: shape.sets}, () => Array.from({length: shape.experts}, () => 100));
	t.equal(planMap(initialMap(shape), load, shape, {minGainPerRound: 0.24}).copies, 0);
	t.equal(planMap(initialMap(shape), load.map(set => set.map(() => 0)), shape, {minGainPerRound: 0.24}).copies, 0, 'no demand');
	t.end();
});

void t.test('counters of a restarted rank set a new baseline', t => {
	const window = LoadWindow.create(1, 2, 0.5);
	window.add([{rank: 0, epoch: 1, counts: [100, 100]}]);
	t.equal(window.total(), 0);
	window.add([{rank: 0, epoch: 1, counts: [110, 104]}]);
	t.same(window.load(), [[10, 4]]);
	window.add([{rank: 0, epoch: 2, counts: [5, 5]}]);
	t.same(window.load(), [[5, 2]], 'only the previous window decays');
	window.add([{rank: 0, epoch: 2, counts: [6, 5]}]);
	t.same(window.load(), [[3.5, 1]]);
	t.end();
});

void t.test('demand before a shift is forgotten, and readings that mix both are told', t => {
	const experts = 10;
	const window = LoadWindow.create(1, experts, 0.5);
	let counts = Array.from({length: experts}, () => 0);
	const add = (tokensOf: (expert: number) => number) => {
		counts = counts.map((value, expert) => value + tokensOf(expert));
		window.add([{rank: 0, epoch: 1, counts}]);
	};

	const before = (expert: number) => expert === 0 ? 50_000 : 1000;
	const after = (expert: number) => expert === 5 ? 50_000 : 1000;
	add(() => 0);
	add(before);
	add(before);
	t.notOk(window.isShifting);
	t.same(window.load()[0]![0], 75_000, 'without a shift, earlier readings still count');
	add(expert => (before(expert) + after(expert)) / 2);
	t.ok(window.isShifting, 'the reading spans the shift');
	add(after);
	t.notOk(window.isShifting);
	t.same(window.load()[0], Array.from({length: experts}, (_, expert) => after(expert)));
	t.end();
});

void t.test('few tokens do not show a shift', t => {
	const window = LoadWindow.create(1, 2, 0.5);
	window.add([{rank: 0, epoch: 1, counts: [0, 0]}]);
	window.add([{rank: 0, epoch: 1, counts: [10_000, 0]}]);
	window.add([{rank: 0, epoch: 1, counts: [10_000, 10]}]);
	t.notOk(window.isShifting);
	t.end();
});

await t.test('a slow rank gets less load', async t => {
	const load = demand(0);
	const paces = Array.from({length: shape.ranks}, (_, rank) => rank === 5 ? 6 : 1);
	let map = initialMap(shape);
	for (let change = 0; change < 4; change += 1) {
		({map} = planMap(map, load, shape, {minGainPerRound: 0.24, paces}));
	}

	const loads = rankLoads(map[0]!, load[0]!);
	const mean = loads.reduce((sum, value) => sum + value, 0) / loads.length;
	t.ok(loads[5]! * 6 < mean * 2, `the slow rank has ${loads[5]! / mean} of the mean load`);
	t.ok(skewOfMap(map, load, paces) < 2, `time of the slowest rank: ${skewOfMap(map, load, paces)}`);
});
