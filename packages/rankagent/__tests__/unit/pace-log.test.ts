/** The coordinator logs the time of a group's steps, its skew and its batches once a second, so that slow steps can be traced to their cause. */
import t from 'tap';
import {PaceLog} from '#rankagent';
import type {RankState} from '#rankmap';
import {createSilentLogger, type Logger} from '#telemetry';

const stateOf = (rank: number, changes: Partial<RankState> = {}): RankState => ({
	group: 'g', epoch: 1, rank, isOpen: true, size: 2, sequence: 0, step: 0, map: 7, prepared: undefined, armed: undefined, heldStep: undefined, pace: 1, running: 0, queued: 0, isBusy: false, ...changes,
});

const demand = {map: [[[0], [1]]], load: [[300, 100]]};

const cases: ReadonlyArray<{readonly name: string; readonly at: number; readonly states: readonly RankState[]; readonly line: Readonly<Record<string, unknown>> | undefined}> = [
	{
		name: 'a second later', at: 1000, states: [stateOf(0, {step: 10, running: 3}), stateOf(1, {
			step: 10, running: 5, queued: 2, pace: 4,
		})], line: {
			step: 10, stepMs: 100, skew: 1.5, ranks: 2, running: 8, mostRunning: 5, queued: 2, slowestPace: 4,
		},
	},
	{
		name: 'in a new epoch, whose steps begin again', at: 1000, states: [stateOf(0, {epoch: 2, step: 1})], line: {epoch: 2, step: 1, stepMs: undefined},
	},
	{
		name: 'within the same second', at: 999, states: [stateOf(0, {step: 10})], line: undefined,
	},
	{
		name: 'while no rank responds', at: 1000, states: [], line: undefined,
	},
];

for (const {name, at, states, line} of cases) {
	void t.test(`pace of a group ${name}`, t => {
		const lines: unknown[] = [];
		const logger: Logger = {
			...createSilentLogger(),
			info(_message, fields) {
				lines.push(fields);
			},
		};
		const paceLog = PaceLog.create(logger);
		paceLog.record({states: [stateOf(0)], readDemand: () => undefined}, 0);
		paceLog.record({states, readDemand: () => demand}, at);
		t.equal(lines.length, line === undefined ? 1 : 2);
		if (line !== undefined) {
			t.match(lines[1], line);
		}

		t.end();
	});
}
