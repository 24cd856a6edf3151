/**
 * Changes of a group's map while orders are lost, late and doubled, states are read one after the other, the
 * coordinator dies or freezes at any point, ranks crash, and the group has work or none.
 */
import fc from 'fast-check';
import t from 'tap';
import {SimulatedGroup} from '../simulated-group.js';
import {
	nextMapStep, type MapPlan, type RankOrder, type RankState,
} from '#rankmap';
import {fuzzParameters} from '#tooling';

const SIZE = 4;

/** Steps of one case. */
const STEPS = 400;

/** Coordinator turns that may pass, once faults have ended, until no step is held. */
const RECOVERY_TURNS = 40;

/** Each decision of the fault model takes the next number of the case. */
class Chance {
	#at = 0;
	readonly #numbers: readonly number[];

	constructor(numbers: readonly number[]) {
		this.#numbers = numbers;
	}

	/** A whole number from 0 to `below - 1`. */
	next(below: number): number {
		this.#at = (this.#at + 1) % this.#numbers.length;
		return (this.#numbers[this.#at]! + (this.#at * 7)) % below;
	}
}

class Coordinator {
	plan: MapPlan | undefined;
	/** States read so far in this turn; a pause lets the group go on between two reads. */
	states: RankState[] = [];
	pending: RankOrder[] = [];
	readonly #group: SimulatedGroup;
	readonly #takeVersion: (() => number) | undefined;

	/** @param takeVersion - Undefined for a stand-in, which only completes what another began. */
	constructor(group: SimulatedGroup, takeVersion: (() => number) | undefined) {
		this.#group = group;
		this.#takeVersion = takeVersion;
	}

	/** One small action: reads one rank, or decides, or hands over one order. */
	act(): RankOrder | undefined {
		const order = this.pending.shift();
		if (order !== undefined) {
			return order;
		}

		if (this.states.length < SIZE) {
			this.states.push(this.#group.state(this.states.length));
			return undefined;
		}

		const step = nextMapStep(this.states, this.plan);
		this.states = [];
		if (step.kind === 'settled' && this.#takeVersion !== undefined) {
			const version = this.#takeVersion();
			this.plan = {version, map: [[[version]]]};
		} else if (step.kind === 'order') {
			this.pending = [...step.orders];
		}

		return undefined;
	}
}

/** Plays one case; returns the switches made. */
function playCase(numbers: readonly number[], faults: {readonly late: number; readonly death: number; readonly crash: number; readonly standIn: number}): number {
	const chance = new Chance(numbers);
	const group = SimulatedGroup.create(SIZE);
	let version = 0;
	const takeVersion = () => {
		version += 1;
		return version;
	};

	let coordinator = new Coordinator(group, takeVersion);
	const standIn = new Coordinator(group, undefined);
	const late: RankOrder[] = [];
	for (let i = 0; i < STEPS; i += 1) {
		const order = (chance.next(100) < faults.standIn ? standIn : coordinator).act();
		if (order !== undefined) {
			send(order, group, late, chance, faults.late);
		}

		if (late.length > 0 && chance.next(12) === 0) {
			group.carryOut(late.splice(chance.next(late.length), 1)[0]!);
		}

		group.finishCopy(chance.next(SIZE));
		if (chance.next(3) === 0) {
			group.pass();
		}

		if (chance.next(1000) < faults.death) {
			coordinator = new Coordinator(group, takeVersion);
		}

		if (chance.next(1000) < faults.crash) {
			group.reform();
		}
	}

	recover(group, coordinator, late);
	return group.switches;
}

/** Sends an order: it arrives, or arrives twice, or is lost, or has no answer and arrives later. */
function send(order: RankOrder, group: SimulatedGroup, late: RankOrder[], chance: Chance, lateShare: number): void {
	if (chance.next(100) >= lateShare) {
		group.carryOut(order);
		return;
	}

	switch (chance.next(3)) {
		case 0: {
			late.push(order);
			return;
		}

		case 1: {
			group.carryOut(order);
			late.push(order);
			break;
		}

		default:
	}
}

/** Without further faults the group soon goes on. */
function recover(group: SimulatedGroup, coordinator: Coordinator, late: RankOrder[]): void {
	for (const order of late) {
		group.carryOut(order);
	}

	for (let turn = 0; turn < RECOVERY_TURNS * (SIZE * 2); turn += 1) {
		const order = coordinator.act();
		if (order !== undefined) {
			group.carryOut(order);
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
				group.carryOut(order);
			}
		}
	}

	if (group.step < before + 5) {
		throw new Error(`the group stays held before step ${group.step + 1}`);
	}
}

const faultMixes = [
	{
		name: 'no faults', late: 0, death: 0, crash: 0, standIn: 0,
	},
	{
		name: 'orders lost, late and doubled', late: 40, death: 0, crash: 0, standIn: 0,
	},
	{
		name: 'and a coordinator that dies', late: 40, death: 30, crash: 0, standIn: 0,
	},
	{
		name: 'and ranks that crash', late: 30, death: 20, crash: 8, standIn: 0,
	},
	{
		name: 'and a stand-in that acts at the same time', late: 30, death: 20, crash: 4, standIn: 40,
	},
];

for (const {name, ...faults} of faultMixes) {
	void t.test(name, t => {
		const parameters = fuzzParameters({seed: 4711, runs: 300});
		let switches = 0;
		fc.assert(fc.property(fc.array(fc.nat(100_000), {minLength: 200, maxLength: 400}), numbers => {
			switches += playCase(numbers, faults);
		}), parameters);
		t.ok(switches > parameters.numRuns, `${switches} switches in ${parameters.numRuns} cases`);
		t.end();
	});
}
