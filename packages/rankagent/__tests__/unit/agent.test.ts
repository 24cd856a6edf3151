/** Agents of the ranks of a simulated group, connected over loopback. */
import t, {type Test} from 'tap';
import {SimulatedGroup} from '../../../rankmap/__tests__/simulated-group.js';
import {failed, ok, sleep} from '#core';
import {findFreePort} from '#harness';
import {RankAgent, type RankEngine} from '#rankagent';
import type {GroupMap, RankOrder} from '#rankmap';
import {createSilentLogger, Metrics} from '#telemetry';

const SIZE = 4;
const hosts = ['127.0.0.1', '127.0.0.2', '127.0.0.3', '127.0.0.4'];
const experts = {
	sets: 1, experts: 8, places: 4, spare: 2,
};

/** Engine whose copies complete immediately. Demand is concentrated on the experts of rank 0. */
function engineOf(group: SimulatedGroup, rank: number): RankEngine {
	let counted = 0;
	return {
		state: async () => ok(group.state(rank)),
		async counts() {
			counted += 100_000;
			return ok({epoch: group.epoch, counts: [counted, counted / 2, 10, 10, counted, 10, 10, 10]});
		},
		holdings: async () => ok({version: group.state(rank).map, experts: [[rank, rank + SIZE]]}),
		async order(order: RankOrder) {
			const result = group.execute(order);
			group.finishCopy(order.rank);
			return result === 409 ? 'refused' : (result === 202 ? 'begun' : 'already');
		},
	};
}

async function startAgents(t: Test, group: SimulatedGroup, ranks: readonly number[]): Promise<void> {
	const port = await findFreePort();
	for (const rank of ranks) {
		const agent = await RankAgent.create({
			name: `agent-${rank}`,
			host: hosts[rank]!,
			port,
			localEngine: engineOf(group, rank),
			connectEngine: address => engineOf(group, Number(address)),
			directory: {read: async () => ({members: hosts.map((host, other) => ({host, engine: String(other)})).filter((_, other) => other !== rank), experts})},
			logger: createSilentLogger(),
			metrics: Metrics.create(),
		});
		t.teardown(async () => agent.stop());
	}
}

/** Runs passes until `done` or the time limit; returns whether `done` was reached. */
async function runUntil(group: SimulatedGroup, done: () => boolean, limitMs: number): Promise<boolean> {
	const startedAt = performance.now();
	while (!done() && performance.now() - startedAt < limitMs) {
		group.pass();
		await sleep(20);
	}

	return done();
}

/** Brings a group to the state left by a coordinator that crashed during a switch: all prepared, rank 0 held, `armed` ranks armed. */
function stopMidway(group: SimulatedGroup, armed: number): void {
	const map: GroupMap = [[[0, 4], [1, 5], [2, 6], [3, 7, 0]]];
	const executeOrder = (rank: number, action: RankOrder['action']) => {
		const {epoch, sequence} = group.state(rank);
		group.execute({
			rank, epoch, sequence, action,
		});
		group.finishCopy(rank);
	};

	for (let rank = 0; rank < SIZE; rank += 1) {
		executeOrder(rank, {kind: 'prepare', version: 7, map});
	}

	executeOrder(0, {kind: 'hold', step: 2});
	for (let rank = 0; rank < armed; rank += 1) {
		executeOrder(rank, {kind: 'arm', version: 7, step: 2});
	}
}

void t.test('the map adapts to demand', async t => {
	const group = SimulatedGroup.create(SIZE);
	await startAgents(t, group, [0, 1, 2, 3]);
	t.ok(await runUntil(group, () => group.state(3).map > 0, 10_000), 'a new map is in use');
});

void t.test('any agent completes the switch if the agents of ranks 0 and 1 are down', async t => {
	const group = SimulatedGroup.create(SIZE);
	stopMidway(group, 2);
	await startAgents(t, group, [2, 3]);
	t.ok(await runUntil(group, () => group.step > 2, 10_000));
	t.equal(group.state(3).map, 7);
});

for (const armed of [0, 2, 4]) {
	void t.test(`agents that start while the group is held with ${armed} ranks armed release it`, async t => {
		const group = SimulatedGroup.create(SIZE);
		stopMidway(group, armed);
		await startAgents(t, group, [0, 1, 2, 3]);
		t.ok(await runUntil(group, () => group.step > 2, 10_000));
		t.ok(group.state(3).map >= 7, 'the interrupted switch is complete');
	});

	void t.test(`the agent of rank 1 completes the switch if the agent of rank 0 is down, with ${armed} ranks armed`, async t => {
		const group = SimulatedGroup.create(SIZE);
		stopMidway(group, armed);
		await startAgents(t, group, [1, 2, 3]);
		t.ok(await runUntil(group, () => group.step > 2, 10_000));
		t.equal(group.state(3).map, 7);
	});
}

void t.test('nothing changes while a rank does not respond', async t => {
	const group = SimulatedGroup.create(SIZE);
	const port = await findFreePort();
	const agent = await RankAgent.create({
		name: 'agent-0',
		host: hosts[0]!,
		port,
		localEngine: engineOf(group, 0),
		connectEngine: () => ({...engineOf(group, 1), state: async () => failed('down')}),
		directory: {read: async () => ({members: [], experts})},
		logger: createSilentLogger(),
		metrics: Metrics.create(),
	});
	t.teardown(async () => agent.stop());
	t.notOk(await runUntil(group, () => group.state(0).sequence > 0, 1500));
});
