/** Why an endpoint gets no new work: each reason, and what ends it. */
import t from 'tap';
import {
	EndpointAvailability, EndpointDirectory, EndpointHealth, EndpointLimits, MAX_WAIT_MS, type AvailabilityReport, type EndpointRecord, type Unavailability,
} from '#dispatch';

const record = (changes: Partial<EndpointRecord> = {}): EndpointRecord => ({
	id: 'a', service: 's', address: '127.0.0.1:1', zone: 'z', slots: 4, isLeaving: false, startedAt: 10, revision: 1, ...changes,
});

const served: AvailabilityReport = {isLeaving: false, isNotRun: false, retryAfterS: undefined};
const refused = (retryAfterS: number | undefined): AvailabilityReport => ({isLeaving: false, isNotRun: true, retryAfterS});

type Step
	= | {readonly do: 'head'; readonly at: number; readonly head: AvailabilityReport; readonly isTrial?: boolean; readonly startedAt?: number}
		| {readonly do: 'admit'; readonly at: number; readonly is: 'closed' | 'open' | 'trial'}
		| {readonly do: 'end-trial'}
		| {readonly do: 'register'; readonly record: EndpointRecord}
		| {readonly do: 'reason'; readonly at: number; readonly is: Unavailability | undefined; readonly startedAt?: number};

const cases: ReadonlyArray<{readonly name: string; readonly steps: readonly Step[]}> = [
	{name: 'nothing known', steps: [{do: 'reason', at: 0, is: undefined}, {do: 'admit', at: 0, is: 'open'}]},
	{
		name: 'a wait ends with one trial, and further requests go when its answer has begun',
		steps: [
			{do: 'head', at: 0, head: refused(1.5)},
			{do: 'reason', at: 1400, is: {kind: 'waiting', remainingMs: 100}},
			{do: 'admit', at: 1499, is: 'closed'},
			{do: 'admit', at: 1500, is: 'trial'},
			{do: 'admit', at: 1500, is: 'closed'},
			{do: 'reason', at: 9000, is: {kind: 'on-trial'}},
			{
				do: 'head', at: 9000, head: served, isTrial: true,
			},
			{do: 'admit', at: 9000, is: 'open'},
			{do: 'admit', at: 9000, is: 'open'},
		],
	},
	{
		name: 'a trial that is refused with a time begins the next wait',
		steps: [{do: 'head', at: 0, head: refused(1)}, {do: 'admit', at: 1000, is: 'trial'}, {
			do: 'head', at: 1010, head: refused(2), isTrial: true,
		}, {do: 'reason', at: 1010, is: {kind: 'waiting', remainingMs: 2000}}, {do: 'admit', at: 3010, is: 'trial'}],
	},
	{
		name: 'a trial that is refused without a time leaves room for one other',
		steps: [{do: 'head', at: 0, head: refused(1)}, {do: 'admit', at: 1000, is: 'trial'}, {
			do: 'head', at: 1010, head: refused(undefined), isTrial: true,
		}, {do: 'admit', at: 1010, is: 'trial'}, {do: 'admit', at: 1010, is: 'closed'}],
	},
	{
		name: 'a trial without an answer leaves room for one other', steps: [{do: 'head', at: 0, head: refused(1)}, {do: 'admit', at: 1000, is: 'trial'}, {do: 'end-trial'}, {do: 'admit', at: 1100, is: 'trial'}, {do: 'admit', at: 1100, is: 'closed'}],
	},
	{
		name: 'a request sent before the wait does not end it', steps: [{do: 'head', at: 0, head: refused(1)}, {do: 'head', at: 10, head: served}, {do: 'admit', at: 10, is: 'closed'}, {do: 'head', at: 1200, head: served}, {do: 'admit', at: 1200, is: 'trial'}, {do: 'admit', at: 1200, is: 'closed'}],
	},
	{
		name: 'a refusal of an earlier request during a trial holds when the trial is answered',
		steps: [{do: 'head', at: 0, head: refused(1)}, {do: 'admit', at: 1000, is: 'trial'}, {do: 'head', at: 1010, head: refused(1)}, {
			do: 'head', at: 1020, head: served, isTrial: true,
		}, {do: 'reason', at: 1020, is: {kind: 'waiting', remainingMs: 990}}],
	},
	{
		name: 'of two waits the later end counts', steps: [{do: 'head', at: 0, head: refused(3)}, {do: 'head', at: 100, head: refused(0.5)}, {do: 'reason', at: 100, is: {kind: 'waiting', remainingMs: 2900}}],
	},
	{name: 'a time of zero asks for no wait', steps: [{do: 'head', at: 0, head: refused(0)}, {do: 'admit', at: 0, is: 'open'}]},
	{name: 'an absurd time is cut', steps: [{do: 'head', at: 0, head: refused(Infinity)}, {do: 'reason', at: 0, is: {kind: 'waiting', remainingMs: MAX_WAIT_MS}}]},
	{
		name: 'another process under the id was not asked to be left alone',
		steps: [{do: 'head', at: 0, head: refused(5)}, {do: 'register', record: record({startedAt: 20, revision: 2})}, {
			do: 'reason', at: 10, is: undefined, startedAt: 20,
		}],
	},
	{
		name: 'leaving by its answer',
		steps: [{do: 'head', at: 0, head: {...served, isLeaving: true}}, {do: 'admit', at: 0, is: 'closed'}, {do: 'reason', at: 0, is: {kind: 'leaving', source: 'answer'}}, {do: 'register', record: record({revision: 7})}, {do: 'admit', at: 1, is: 'closed'}, {do: 'register', record: record({startedAt: 20, revision: 8})}, {
			do: 'reason', at: 2, is: undefined, startedAt: 20,
		}],
	},
	{
		name: 'leaving by the registry', steps: [{do: 'register', record: record({isLeaving: true, revision: 2})}, {do: 'reason', at: 0, is: {kind: 'leaving', source: 'register'}}],
	},
];

for (const {name, steps} of cases) {
	void t.test(name, t => {
		const directory = EndpointDirectory.create();
		directory.put(record());
		const availability = EndpointAvailability.create({directory, limits: EndpointLimits.create(), health: EndpointHealth.create()});
		for (const step of steps) {
			switch (step.do) {
				case 'head': {
					availability.recordHead(record({startedAt: step.startedAt ?? 10}), step.head, {isTrial: step.isTrial ?? false, now: step.at});
					break;
				}

				case 'admit': {
					t.equal(availability.admit(record(), step.at), step.is, `at ${step.at}`);
					break;
				}

				case 'end-trial': {
					availability.endTrial(record());
					break;
				}

				case 'register': {
					directory.put(step.record);
					break;
				}

				case 'reason': {
					t.same(availability.reasonAgainst(record({startedAt: step.startedAt ?? 10}), step.at), step.is, `at ${step.at}`);
				}
			}
		}

		t.end();
	});
}
