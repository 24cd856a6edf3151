/** A check of a group does not wait for an agent that stands still: the stream that waits for it is sent again too late. */
import t from 'tap';
import {EntryEventLog} from '../../src/event-log.js';
import {GroupMonitor} from '../../src/group-monitor.js';
import {sleep} from '#core';
import type {EndpointRecord} from '#dispatch';
import {createSilentLogger, Metrics} from '#telemetry';

/** Longer than the check may take, in ms. */
const STANDSTILL_MS = 2000;

const endpoints = ['e1', 'e2', 'e3'].map((id): EndpointRecord => ({
	id, service: 'texts', address: '127.0.0.1:1', zone: 'a', slots: 4, isLeaving: false, startedAt: 1, revision: 1,
}));

type Answer = boolean | undefined | 'stands still';

const cases: ReadonlyArray<{readonly name: string; readonly answers: readonly [Answer, Answer, Answer]; readonly isStopped: boolean; readonly isPrompt: boolean}> = [
	{
		name: 'one runs and one stands still', answers: ['stands still', true, false], isStopped: false, isPrompt: true,
	},
	{
		name: 'all that respond have stopped', answers: ['stands still', false, false], isStopped: true, isPrompt: false,
	},
	{
		name: 'none responds', answers: [undefined, undefined, undefined], isStopped: false, isPrompt: true,
	},
];

for (const {name, answers, isStopped, isPrompt} of cases) {
	await t.test(name, async t => {
		const stop = new AbortController();
		t.teardown(() => {
			stop.abort();
		});
		const monitor = GroupMonitor.create({
			async probe({id}) {
				const answer = answers[endpoints.findIndex(endpoint => endpoint.id === id)];
				if (answer !== 'stands still') {
					return answer;
				}

				await sleep(STANDSTILL_MS, stop.signal);
				return undefined;
			},
			endpointsOf: () => endpoints,
			events: EntryEventLog.create(createSilentLogger(), Metrics.create(), () => performance.now()),
			random: () => 0,
		}, stop.signal);
		const startedAt = performance.now();
		await monitor.check('texts');
		t.equal(performance.now() - startedAt < STANDSTILL_MS, isPrompt);
		t.equal(monitor.isStopped('texts'), isStopped);
	});
}
