/**
 * Changes of a group's map while orders are lost, late and duplicated, states are read one after the other, the
 * coordinator dies or freezes at any point, agents of ranks are down so that their ranks are read with a lag, ranks
 * crash, and the group has work or is idle. Guards against passes with two maps.
 */
import fc from 'fast-check';
import t from 'tap';
import {SimulatedGroup, type OrderResult} from '../simulated-group.js';
import {
	decideMapChange, type MapPlan, type ObservedRank, type RankOrder,
} from '#rankmap';
import {fuzzParameters} from '#tooling';

const SIZE = 4;

/** Steps of one case. */
const STEPS = 400;

/** Maximum coordinator turns, after the faults have ended, until no step is held. */
const RECOVERY_TURNS = 40;

/** Longest time by which a reading from another machine lags, in steps of a case. */
const MAX_LAG_STEPS = 40;

/** Longest time for which an agent is down, in steps of a case. */
const MAX_DOWN_STEPS = 80;

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

/** The states of a group's ranks, now and some steps ago, and the agents that are down. */
class Observer {
	readonly #history: ObservedRank[][] = [];
	readonly #downUntil = new Map<number, number>();
	readonly #group: SimulatedGroup;
	readonly #random: RandomSource;

	constructor(group: SimulatedGroup, random: RandomSource) {
		this.#group = group;
		this.#random = random;
	}

	/** Notes the states at the begin of a step. */
	record(): void {
		this.#history.push(Array.from({length: SIZE}, (_, rank) => this.#group.state(rank)));
	}

	stopAgent(rank: number): void {
		this.#downUntil.set(rank, this.#history.length + this.#random.next(MAX_DOWN_STEPS));
	}

	startAgents(): void {
		this.#downUntil.clear();
	}

	isDown(rank: number): boolean {
		return (this.#downUntil.get(rank) ?? 0) > this.#history.length;
	}

	fresh(rank: number): ObservedRank {
		return this.#group.state(rank);
	}

	lagging(rank: number): ObservedRank {
		const recorded = this.#history.at(-1 - this.#random.next(MAX_LAG_STEPS)) ?? this.#history[0]!;
		return {...recorded[rank]!, isLagging: true};
	}
}

class Coordinator {
	plan: MapPlan | undefined;
	/** States read so far in this turn; the group may proceed between two reads. */
	states: ObservedRank[] = [];
	pending: RankOrder[] = [];
	/** Orders that are sent only after the one before them has been executed. */
	#gated: readonly RankOrder[] = [];
	readonly #observer: Observer;
	readonly #allocateVersion: (() => number) | undefined;

	/** @param allocateVersion - Undefined for a coordinator that only completes changes begun by another. */
	constructor(observer: Observer, allocateVersion: (() => number) | undefined) {
		this.#observer = observer;
		this.#allocateVersion = allocateVersion;
	}

	/** Performs one small action: reads one rank, decides, or returns one order to send. */
	act(): RankOrder | undefined {
		const order = this.pending.shift();
		if (order !== undefined) {
			return order;
		}

		if (this.states.length < SIZE) {
			this.#read(this.states.length);
			return undefined;
		}

		const decision = decideMapChange(this.states, this.plan);
		this.states = [];
		if (decision.kind === 'settled' && this.#allocateVersion !== undefined) {
			const version = this.#allocateVersion();
			this.plan = {version, map: [[[version]]]};
		} else if (decision.kind === 'order') {
			this.pending = decision.first === undefined ? [...decision.orders] : [decision.first];
			this.#gated = decision.first === undefined ? [] : decision.orders;
		}

		return undefined;
	}

	/** Takes the result of an order; undefined if it got no response. */
	noteResult(result: OrderResult | undefined): void {
		if (this.#gated.length > 0) {
			this.pending = result === 200 || result === 202 ? [...this.#gated] : [];
			this.#gated = [];
		}
	}

	/** Reads a rank; without its agent only while the group is held, and with a lag. A coordinator that stands in for that of rank 0 reads rank 0 with a lag. */
	#read(rank: number): void {
		const isRemote = rank === 0 ? this.#allocateVersion === undefined : this.#observer.isDown(rank);
		if (isRemote && rank > 0 && this.states[0]!.heldStep === undefined) {
			this.states = [];
			return;
		}

		this.states.push(isRemote ? this.#observer.lagging(rank) : this.#observer.fresh(rank));
	}
}

/** Runs one case; returns the number of switches. */
function runCase(numbers: readonly number[], faults: {readonly late: number; readonly death: number; readonly crash: number; readonly secondCoordinator: number; readonly agentDown: number}): number {
	const random = new RandomSource(numbers);
	const group = SimulatedGroup.create(SIZE);
	let version = 0;
	const allocateVersion = () => {
		version += 1;
		return version;
	};

	const observer = new Observer(group, random);
	let coordinator = new Coordinator(observer, allocateVersion);
	const secondCoordinator = new Coordinator(observer, undefined);
	const late: RankOrder[] = [];
	for (let i = 0; i < STEPS; i += 1) {
		observer.record();
		const acting = random.next(100) < faults.secondCoordinator ? secondCoordinator : coordinator;
		const order = acting.act();
		if (order !== undefined) {
			acting.noteResult(send(order, group, late, random, faults.late));
		}

		if (late.length > 0 && random.next(12) === 0) {
			group.execute(late.splice(random.next(late.length), 1)[0]!);
		}

		group.finishCopy(random.next(SIZE));
		if (random.next(3) === 0) {
			group.pass();
		}

		if (random.next(1000) < faults.death) {
			coordinator = new Coordinator(observer, allocateVersion);
		}

		if (random.next(1000) < faults.crash) {
			group.reform();
		}

		if (random.next(1000) < faults.agentDown) {
			observer.stopAgent(1 + random.next(SIZE - 1));
		}
	}

	observer.startAgents();
	recover(group, coordinator, late);
	return group.switches;
}

/** Sends an order, which arrives once, twice, late or never. Returns its result; undefined if there is no response. */
function send(order: RankOrder, group: SimulatedGroup, late: RankOrder[], random: RandomSource, lateShare: number): OrderResult | undefined {
	if (random.next(100) >= lateShare) {
		return group.execute(order);
	}

	switch (random.next(3)) {
		case 0: {
			late.push(order);
			return undefined;
		}

		case 1: {
			late.push(order);
			return group.execute(order);
		}

		default: {
			return undefined;
		}
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
			coordinator.noteResult(group.execute(order));
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
				coordinator.noteResult(group.execute(order));
			}
		}
	}

	if (group.step < before + 5) {
		throw new Error(`the group is still held before step ${group.step + 1}`);
	}
}

const faultMixes = [
	{
		name: 'no faults', late: 0, death: 0, crash: 0, secondCoordinator: 0, agentDown: 0,
	},
	{
		name: 'orders lost, late and duplicated', late: 40, death: 0, crash: 0, secondCoordinator: 0, agentDown: 0,
	},
	{
		name: 'and coordinator crashes', late: 40, death: 30, crash: 0, secondCoordinator: 0, agentDown: 0,
	},
	{
		name: 'and rank crashes', late: 30, death: 20, crash: 8, secondCoordinator: 0, agentDown: 0,
	},
	{
		name: 'and a second coordinator that acts concurrently', late: 30, death: 20, crash: 4, secondCoordinator: 40, agentDown: 0,
	},
	{
		name: 'agents that are down while a switch is in progress', late: 0, death: 0, crash: 0, secondCoordinator: 0, agentDown: 30,
	},
	{
		name: 'all of these', late: 30, death: 20, crash: 4, secondCoordinator: 30, agentDown: 30,
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
