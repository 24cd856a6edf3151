/**
 * Changes of a group's map while orders are lost, late and duplicated, states are read one after the other, the
 * coordinator dies or freezes at any point, ranks crash, and the group has work or is idle.
 */
import fc from 'fast-check';
import t from 'tap';
import {SimulatedGroup} from '../simulated-group.js';
import {
	decideMapChange, type MapPlan, type RankOrder, type RankState,
} from '#rankmap';
import {fuzzParameters} from '#tooling';

const SIZE = 4;

/** Steps of one case. */
const STEPS = 400;

/** Maximum coordinator turns, after the faults have ended, until no step is held. */
const RECOVERY_TURNS = 40;

/** Supplies the decisions of the fault model from the numbers of the case. */
class RandomSource {
	#at = 0;
	readonly #numbers: readonly number[];

	constructor(numbers: readonly number[]) {
		this.#numbers = numbers;
	}

	/** Integer from 0 to `below - 1`. */
	next(below: number): number {
		this.#at = (this.#at + 1) % this.#numbers.length;
		return (this.#numbers[this.#at]! + (this.#at * 7)) % below;
	}
}

class Coordinator {
	plan: MapPlan | undefined;
	/** States read so far in this turn; the group may proceed between two reads. */
	states: RankState[] = [];
	pending: RankOrder[] = [];
	readonly #group: SimulatedGroup;
	readonly #allocateVersion: (() => number) | undefined;

	/** @param allocateVersion - Undefined for a coordinator that only completes changes begun by another. */
	constructor(group: SimulatedGroup, allocateVersion: (() => number) | undefined) {
		this.#group = group;
		this.#allocateVersion = allocateVersion;
	}

	/** Performs one small action: reads one rank, decides, or returns one order to send. */
	act(): RankOrder | undefined {
		const order = this.pending.shift();
		if (order !== undefined) {
			return order;
		}

		if (this.states.length < SIZE) {
			this.states.push(this.#group.state(this.states.length));
			return undefined;
		}

		const decision = decideMapChange(this.states, this.plan);
		this.states = [];
		if (decision.kind === 'settled' && this.#allocateVersion !== undefined) {
			const version = this.#allocateVersion();
			this.plan = {version, map: [[[version]]]};
		} else if (decision.kind === 'order') {
			this.pending = [...decision.orders];
		}

		return undefined;
	}
}

/** Runs one case; returns the number of switches. */
function runCase(numbers: readonly number[], faults: {readonly late: number; readonly death: number; readonly crash: number; readonly secondCoordinator: number}): number {
	const random = new RandomSource(numbers);
	const group = SimulatedGroup.create(SIZE);
	let version = 0;
	const allocateVersion = () => {
		version += 1;
		return version;
	};

	let coordinator = new Coordinator(group, allocateVersion);
	const secondCoordinator = new Coordinator(group, undefined);
	const late: RankOrder[] = [];
	for (let i = 0; i < STEPS; i += 1) {
		const order = (random.next(100) < faults.secondCoordinator ? secondCoordinator : coordinator).act();
		if (order !== undefined) {
			send(order, group, late, random, faults.late);
		}

		if (late.length > 0 && random.next(12) === 0) {
			group.execute(late.splice(random.next(late.length), 1)[0]!);
		}

		group.finishCopy(random.next(SIZE));
		if (random.next(3) === 0) {
			group.pass();
		}

		if (random.next(1000) < faults.death) {
			coordinator = new Coordinator(group, allocateVersion);
		}

		if (random.next(1000) < faults.crash) {
			group.reform();
		}
	}

	recover(group, coordinator, late);
	return group.switches;
}

/** Sends an order, which arrives once, twice, late or never. */
function send(order: RankOrder, group: SimulatedGroup, late: RankOrder[], random: RandomSource, lateShare: number): void {
	if (random.next(100) >= lateShare) {
		group.execute(order);
		return;
	}

	switch (random.next(3)) {
		case 0: {
			late.push(order);
			return;
		}

		case 1: {
			group.execute(order);
			late.push(order);
			break;
		}

		default:
	}
}

/** Checks that the group proceeds within a few turns once the faults have ended. */
function recover(group: SimulatedGroup, coordinator: Coordinator, late: RankOrder[]): void {
	for (const order of late) {
		group.execute(order);
	}

	for (let turn = 0; turn < RECOVERY_TURNS * (SIZE * 2); turn += 1) {
		const order = coordinator.act();
		if (order !== undefined) {
			group.execute(order);
		}

		for (let rank = 0; rank < SIZE; rank += 1) {
			group.finishCopy(rank);
		}
	}

	const before = group.step;
	for (let i = 0; i < 10; i += 1) {
		group.pass();
		for (let turn = 0; turn < 4 * SIZE; turn += 1) {
			const order = coordinator.act();
			if (order !== undefined) {
				group.execute(order);
			}
		}
	}

	if (group.step < before + 5) {
		throw new Error(`the group is still held before step ${group.step + 1}`);
	}
}

const faultMixes = [
	{
		name: 'no faults', late: 0, death: 0, crash: 0, secondCoordinator: 0,
	},
	{
		name: 'orders lost, late and duplicated', late: 40, death: 0, crash: 0, secondCoordinator: 0,
	},
	{
		name: 'and coordinator crashes', late: 40, death: 30, crash: 0, secondCoordinator: 0,
	},
	{
		name: 'and rank crashes', late: 30, death: 20, crash: 8, secondCoordinator: 0,
	},
	{
		name: 'and a second coordinator that acts concurrently', late: 30, death: 20, crash: 4, secondCoordinator: 40,
	},
];

for (const {name, ...faults} of faultMixes) {
	void t.test(name, t => {
		const parameters = fuzzParameters({seed: 4711, runs: 300});
		let switches = 0;
		fc.assert(fc.property(fc.array(fc.nat(100_000), {minLength: 200, maxLength: 400}), numbers => {
			switches += runCase(numbers, faults);
		}), parameters);
		t.ok(switches > parameters.numRuns, `${switches} switches in ${parameters.numRuns} cases`);
		t.end();
	});
}
