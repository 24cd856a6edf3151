/** Checks under fault injection that all ranks use one map per step (invariant 1), that hold times are bounded and that every change settles. */
import process from 'node:process';
import fc from 'fast-check';
import t from 'tap';
import {GroupSimulation} from '../group-simulation.js';
import type {MapLeader} from '#expertmap';

const SEED = Number(process.env.FUZZ_SEED ?? 20_261);
const RUNS = Number(process.env.FUZZ_RUNS ?? 300);
/** Time after the last fault within which every change settles: a lease, a re-form, joining and two cancelled changes. */
const SETTLE_MS = 60_000;
/** Group sizes; commands for a member that does not exist have no effect. */
const MEMBERS = {min: 3, max: 5};

type Model = {faults: number};
type Action = fc.Command<Model, GroupSimulation>;

/** A command that acts on the simulation, advances the time and checks the invariants. */
function command(text: string, ms: number, act: (real: GroupSimulation) => void): Action {
	return {
		check: () => true,
		run(model, real) {
			model.faults += 1;
			act(real);
			real.run(ms);
			check(real);
		},
		toString: () => `${text} +${ms}`,
	};
}

function check(real: GroupSimulation): void {
	const [mixed] = real.group.mixedSteps;
	if (mixed !== undefined) {
		throw new Error(`step ${mixed.step} of epoch ${mixed.epoch} used two maps: ${JSON.stringify([...mixed.maps])}`);
	}

	if (real.violations.length > 0) {
		throw new Error(real.violations.join('; '));
	}
}

const id = fc.constantFrom('a', 'b', 'c', 'd', 'e');
const wait = fc.integer({min: 1, max: 150}).map(n => n * 10);
const long = fc.integer({min: 1, max: 80}).map(n => n * 100);
const phases: ReadonlyArray<MapLeader['phase']> = ['gating', 'gating', 'going', 'going', 'going', 'cancelling', 'inviting', 'preparing'];
const phase = fc.constantFrom(...phases);
/** Target of a fault: the leader's endpoint, or a fixed one, so that shrinking keeps the role. */
const targetName = fc.constantFrom('leader', 'leader', 'a', 'b', 'c', 'd', 'e');
const resolveTarget = (real: GroupSimulation, name: string) => name === 'leader' ? real.leader ?? 'a' : name;
const short = fc.integer({min: 1, max: 12}).map(n => n * 10);

/** Faults that are injected a chosen time after a change has reached a phase. */
const fault = fc.constantFrom('pause', 'kill', 'restart', 'isolate', 'late', 'slow', 'engine', 'loss');
const timed = fc.tuple(phase, targetName, short, wait, long, fault).map(([phase, name, after, ms, length, fault]) => timedCommand({
	phase, name, after, ms, length, fault,
}));

type Timed = {phase: MapLeader['phase']; name: string; after: number; ms: number; length: number; fault: string};

function timedCommand({phase, name, after, ms, length, fault}: Timed): Action {
	return command(`at ${phase} +${after} ${fault} ${name} ${length}`, ms, real => {
		real.runUntil(phase);
		const id = resolveTarget(real, name);
		if (fault === 'late' || fault === 'slow') {
			real.socketDelayMs.set(id, length);
		}

		real.run(after);
		injectFault(real, fault, id, length);
	});
}

function injectFault(real: GroupSimulation, fault: string, id: string, length: number): void {
	switch (fault) {
		case 'pause': {
			real.pause(id, length);
			break;
		}

		case 'kill': {
			real.kill(id);
			break;
		}

		case 'restart': {
			real.kill(id);
			real.restart(id);
			break;
		}

		case 'late': {
			real.kill(id);
			real.socketDelayMs.delete(id);
			real.restart(id);
			break;
		}

		case 'isolate': {
			real.partitioned = new Set([id]);
			break;
		}

		case 'engine': {
			real.killEngine(id);
			break;
		}

		case 'loss': {
			real.loss = 60;
			break;
		}

		default: {
			break;
		}
	}
}

const actions = [
	timed,
	timed,
	timed,
	timed,
	timed,
	fc.tuple(fc.integer({min: 1, max: 20}), wait).map(([count, ms]) => command(`propose ${count}`, ms, real => {
		real.proposals += count;
	})),
	long.map(ms => command('run', ms, () => undefined)),
	long.map(ms => command('heal', ms, real => {
		real.heal();
	})),
	fc.tuple(id, wait).map(([id, ms]) => command(`kill ${id}`, ms, real => {
		real.kill(id);
	})),
	fc.tuple(id, wait).map(([id, ms]) => command(`restart ${id}`, ms, real => {
		real.restart(id);
	})),
	fc.tuple(id, wait, long).map(([id, ms, pause]) => command(`pause ${id} ${pause}`, ms, real => {
		real.pause(id, pause);
	})),
	fc.tuple(id, wait, long).map(([id, ms, late]) => command(`late socket ${id} ${late}, kill and restart`, ms, real => {
		real.socketDelayMs.set(id, late);
		real.run(100);
		real.kill(id);
		real.socketDelayMs.delete(id);
		real.restart(id);
	})),
	fc.tuple(fc.uniqueArray(id, {maxLength: 2}), wait).map(([ids, ms]) => command(`isolate ${ids.join('')}`, ms, real => {
		real.partitioned = new Set(ids);
	})),
	fc.tuple(fc.integer({min: 0, max: 60}), fc.integer({min: 0, max: 30}), fc.integer({min: 5, max: 900}), wait)
		.map(([loss, duplication, delay, ms]) => command(`loss ${loss} duplication ${duplication} delay ${delay}`, ms, real => {
			real.loss = loss;
			real.duplication = duplication;
			real.maxDelayMs = delay;
		})),
	fc.tuple(id, wait, long).map(([id, ms, stall]) => command(`stall ${id} ${stall}`, ms, real => {
		real.group.stall(id, real.now + stall);
	})),
	fc.tuple(id, wait).map(([id, ms]) => command(`kill engine ${id}`, ms, real => {
		real.killEngine(id);
	})),
	fc.tuple(id, wait).map(([id, ms]) => command(`restart engine ${id}`, ms, real => {
		real.restartEngine(id);
	})),
	fc.tuple(fc.boolean(), long).map(([up, ms]) => command(`platform ${up ? 'up' : 'down'}`, ms, real => {
		real.isPlatformUp = up;
	})),
];

/** Runs commands, ends all faults and checks that the group settles and makes steps. */
function runCase(count: number, seed: number, commands: Iterable<Action>): GroupSimulation {
	const real = new GroupSimulation(count, seed);
	real.run(2000);
	real.proposals = 5;
	fc.modelRun(() => ({model: {faults: 0}, real}), commands);
	real.heal();
	const end = real.now + SETTLE_MS;
	let isDone = false;
	while (!isDone && real.now < end) {
		// A change whose plan was being recorded when the faults ended may still begin within this second, so the group must be settled before and after it.
		const {isSettled, group: {completed}} = real;
		real.run(1000);
		isDone = isSettled && real.isSettled && real.group.completed > completed;
	}

	check(real);
	if (!isDone) {
		throw new Error(`not settled or no step:\n${real.describe()}`);
	}

	return real;
}

// FUZZ_RUNS sets the number of runs, so the test runner's timeout applies instead of tap's default.
t.setTimeout(0);

await t.test('all ranks use one map in every step, holds are bounded and every change settles', {timeout: 0}, t => {
	let changes = 0;
	fc.assert(fc.property(fc.integer(MEMBERS), fc.integer(), fc.commands(actions, {maxCommands: 30}), (count, seed, commands) => {
		changes += runCase(count, seed, commands).record.installed.version > 1 ? 1 : 0;
	}), {seed: SEED, numRuns: RUNS});
	t.ok(changes * 4 > RUNS, `changes are made in at least a quarter of the runs, in ${changes} of ${RUNS}`);
	t.end();
});

await t.test('two partitions that both reach a restarted engine do not both re-form (seed 32)', t => {
	const common = {phase: 'gating' as const};
	runCase(3, -2_147_483_578, [
		timedCommand({
			...common, after: 50, fault: 'isolate', name: 'leader', length: 100, ms: 590,
		}),
		timedCommand({
			...common, after: 70, fault: 'pause', name: 'leader', length: 2300, ms: 1040,
		}),
		timedCommand({
			...common, after: 50, fault: 'engine', name: 'c', length: 100, ms: 1060,
		}),
	]);
	t.pass('the group settles');
	t.end();
});
