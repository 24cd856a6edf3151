/** The bound on the time that bytes wait before they are read covers pauses and connections to accept, but no idle time. */
import {Socket} from 'node:net';
import t from 'tap';
import {ReadDelay} from '../../src/read-delay.js';

/** A step of an event loop: it works, is idle, is suspended (only the wall clock goes on), marks a poll, ends a poll, or accepts. */
type Step = {readonly work?: number; readonly idle?: number; readonly suspended?: number; readonly tick?: true; readonly poll?: true; readonly accept?: string; /** Start of the probe that is accepted, in ms. */ readonly probe?: number};

const tick: readonly Step[] = [{tick: true}, {poll: true}];

const cases: ReadonlyArray<{readonly name: string; readonly steps: readonly Step[]; readonly waitedMs: number}> = [
	{name: 'idle since the last mark', steps: [...tick, {idle: 90}], waitedMs: 0},
	{name: 'work since the last mark', steps: [...tick, {idle: 60}, {work: 30}, {idle: 5}], waitedMs: 30},
	{name: 'work before the last mark', steps: [{work: 700}, ...tick, {idle: 20}, {work: 3}], waitedMs: 3},
	{name: 'one long callback', steps: [...tick, {work: 900}], waitedMs: 900},
	{name: 'a mark whose poll has not ended', steps: [...tick, {work: 900}, {tick: true}], waitedMs: 900},
	{name: 'a pause while the loop is idle', steps: [...tick, {idle: 1000}], waitedMs: 900},
	{name: 'a pause that ends with a late timer', steps: [...tick, {idle: 1000}, {tick: true}], waitedMs: 900},
	{name: 'a suspended machine', steps: [...tick, {idle: 50}, {suspended: 3000}], waitedMs: 3000},
	{name: 'a connection that is read after its first poll', steps: [...tick, {accept: 'c'}, {poll: true}, {idle: 10}, {poll: true}, {idle: 50}, {work: 2}], waitedMs: 2},
	{
		name: 'connections to accept at each poll', steps: [{accept: 'a'}, {work: 200}, ...tick, {accept: 'b'}, {work: 200}, ...tick, {accept: 'c'}, {poll: true}, {work: 100}], waitedMs: 500,
	},
	{
		name: 'a probe of the backlog', steps: [{accept: 'a'}, {work: 200}, ...tick, {accept: 'b'}, {probe: 150}, {work: 200}, ...tick, {accept: 'c'}, {poll: true}, {work: 100}], waitedMs: 350,
	},
	{
		name: 'a poll without a connection to accept', steps: [{accept: 'a'}, {work: 200}, {poll: true}, {poll: true}, ...tick, {accept: 'c'}, {poll: true}, {work: 100}], waitedMs: 100,
	},
	{
		name: 'an event that the same poll delivered before', steps: [...tick, {idle: 50}, {accept: 'a'}, {work: 200}], waitedMs: 200,
	},
	{
		name: 'a connection accepted before a probe', steps: [{accept: 'a'}, {work: 200}, ...tick, {accept: 'c'}, {work: 100}], waitedMs: 300,
	},
];

for (const {name, steps, waitedMs} of cases) {
	await t.test(name, async t => {
		let [monotonicMs, wallMs, idleMs] = [0, 0, 0];
		let afterPoll: Array<() => void> = [];
		const delay = ReadDelay.create({
			now: () => ({monotonicMs, wallMs}),
			idleMs: () => idleMs,
			afterPoll(callback) {
				afterPoll.push(callback);
			},
		});
		const connections = new Map([...'abc'].map(id => [id, new Socket()]));
		for (const {work = 0, idle = 0, suspended = 0, tick, poll, accept, probe} of steps) {
			monotonicMs += work + idle;
			wallMs += work + idle + suspended;
			idleMs += idle;
			if (tick) {
				delay.tick();
			}

			if (accept !== undefined) {
				delay.recordAccept(connections.get(accept)!);
			}

			if (probe !== undefined) {
				delay.recordBacklogProbe({monotonicMs: probe, wallMs: probe});
			}

			if (poll) {
				const callbacks = afterPoll;
				afterPoll = [];
				for (const callback of callbacks) {
					callback();
				}
			}
		}

		const {readDelayMs, latest} = delay.arrivalOn(connections.get('c')!);
		t.equal(readDelayMs, waitedMs);
		t.equal(latest.monotonicMs, monotonicMs, 'at the latest, when they are read');
	});
}
