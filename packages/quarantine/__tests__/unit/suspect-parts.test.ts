/** Parts of prompts that crash endpoints: how one is found, and how others that were in the same batch are cleared. */
import t from 'tap';
import {SuspectParts, type PartVerdict} from '#quarantine';

type Step
	= | {readonly do: 'begin'; readonly parts: readonly string[]; readonly at: number}
		| {readonly do: 'crash'; readonly parts: readonly string[]; readonly probed?: readonly string[]; readonly at: number};

const cases: ReadonlyArray<{readonly name: string; readonly steps: readonly Step[]; readonly parts: readonly string[]; readonly at: number; readonly verdict: PartVerdict}> = [
	{
		name: 'no crash', steps: [{do: 'begin', parts: ['a'], at: 0}], parts: ['a', 'b'], at: 10, verdict: {kind: 'clear'},
	},
	{
		name: 'one part in a crash', steps: [{do: 'crash', parts: ['a'], at: 0}], parts: ['a'], at: 10, verdict: {kind: 'probe', parts: ['a']},
	},
	{
		name: 'two parts in a crash wait until one is cleared', steps: [{do: 'crash', parts: ['a', 'b'], at: 0}], parts: ['a', 'b'], at: 10, verdict: {kind: 'wait', parts: ['a', 'b']},
	},
	{
		name: 'two parts that nobody cleared for long', steps: [{do: 'crash', parts: ['a', 'b'], at: 0}], parts: ['a', 'b'], at: 10_001, verdict: {kind: 'probe', parts: ['a', 'b']},
	},
	{
		name: 'a request with only one of them runs', steps: [{do: 'crash', parts: ['a', 'b'], at: 0}], parts: ['a', 'c'], at: 10, verdict: {kind: 'probe', parts: ['a']},
	},
	{
		name: 'an answer that begins after the crash clears a part', steps: [{do: 'crash', parts: ['a', 'b'], at: 0}, {do: 'begin', parts: ['a', 'c'], at: 5}], parts: ['a', 'b'], at: 10, verdict: {kind: 'probe', parts: ['b']},
	},
	{
		name: 'an answer that began before the crash clears nothing', steps: [{do: 'begin', parts: ['a'], at: 0}, {do: 'crash', parts: ['a'], at: 5}], parts: ['a'], at: 10, verdict: {kind: 'probe', parts: ['a']},
	},
	{
		name: 'several crashes in batches do not block a part', steps: [{do: 'crash', parts: ['a'], at: 0}, {do: 'crash', parts: ['a'], at: 1}, {do: 'crash', parts: ['a'], at: 2}], parts: ['a'], at: 10, verdict: {kind: 'probe', parts: ['a']},
	},
	{
		name: 'the crash of a probe blocks its part', steps: [{do: 'crash', parts: ['a'], at: 0}, {
			do: 'crash', parts: ['a', 'b'], probed: ['a'], at: 5,
		}], parts: ['a'], at: 10, verdict: {kind: 'blocked', part: 'a'},
	},
	{
		name: 'a part that was answered before is not blocked by one crash of a probe', steps: [{do: 'begin', parts: ['a'], at: 0}, {do: 'crash', parts: ['a'], at: 5}, {
			do: 'crash', parts: ['a'], probed: ['a'], at: 10,
		}], parts: ['a'], at: 20, verdict: {kind: 'probe', parts: ['a']},
	},
	{
		name: 'but by two', steps: [{do: 'begin', parts: ['a'], at: 0}, {
			do: 'crash', parts: ['a'], probed: ['a'], at: 5,
		}, {
			do: 'crash', parts: ['a'], probed: ['a'], at: 10,
		}], parts: ['a'], at: 20, verdict: {kind: 'blocked', part: 'a'},
	},
	{
		name: 'and only that one', steps: [{do: 'crash', parts: ['a'], at: 0}, {
			do: 'crash', parts: ['a', 'b'], probed: ['a'], at: 5,
		}], parts: ['b'], at: 10, verdict: {kind: 'probe', parts: ['b']},
	},
	{
		name: 'a block ends with another probe', steps: [{
			do: 'crash', parts: ['a'], probed: ['a'], at: 0,
		}], parts: ['a'], at: 30_000, verdict: {kind: 'probe', parts: ['a']},
	},
	{
		name: 'a second block lasts longer', steps: [{
			do: 'crash', parts: ['a'], probed: ['a'], at: 0,
		}, {
			do: 'crash', parts: ['a'], probed: ['a'], at: 30_000,
		}], parts: ['a'], at: 300_000, verdict: {kind: 'blocked', part: 'a'},
	},
	{
		name: 'a part that was blocked by mistake is cleared by its probe', steps: [{
			do: 'crash', parts: ['a'], probed: ['a'], at: 0,
		}, {do: 'begin', parts: ['a'], at: 30_000}, {do: 'crash', parts: ['a'], at: 40_000}], parts: ['a'], at: 40_001, verdict: {kind: 'probe', parts: ['a']},
	},
];

for (const {name, steps, parts, at, verdict} of cases) {
	void t.test(name, t => {
		const here = SuspectParts.create();
		const elsewhere = SuspectParts.create();
		for (const [index, step] of steps.entries()) {
			if (step.do === 'begin') {
				here.recordBegun(step.parts, step.at);
			} else {
				here.recordCrash(step.parts, step.probed ?? [], `c${index}`, step.at);
			}
		}

		t.same(here.verdict(parts, at), verdict);
		elsewhere.merge(here.reports(at), at);
		t.same(elsewhere.verdict(parts, at), verdict, 'the same at an entry that was told');
		t.end();
	});
}

void t.test('an entry that saw an answer begin after a crash clears the part when it is told of the crash', t => {
	const here = SuspectParts.create();
	const elsewhere = SuspectParts.create();
	here.recordCrash(['a'], [], 'c', 100);
	elsewhere.recordBegun(['a'], 150);
	elsewhere.merge(here.reports(200), 200);
	t.same(elsewhere.verdict(['a'], 200), {kind: 'clear'});
	here.merge(elsewhere.reports(210), 210);
	t.same(here.verdict(['a'], 210), {kind: 'clear'});
	t.end();
});

void t.test('a report that was under way for long does not make a cleared part a suspect again', t => {
	const here = SuspectParts.create();
	here.recordCrash(['a'], [], 'c', 0);
	const late = here.reports(1);
	here.recordBegun(['a'], 300);
	here.merge(late, 4000);
	t.same(here.verdict(['a'], 4000), {kind: 'clear'});
	t.end();
});

void t.test('probes of a part run one after another', t => {
	const suspects = SuspectParts.create();
	suspects.recordCrash(['a'], [], 'c', 0);
	t.equal(suspects.takeProbe(['a'], 10), true);
	t.equal(suspects.takeProbe(['a'], 900), false);
	t.equal(suspects.takeProbe(['b'], 900), true, 'a part that is no suspect needs no turn');
	t.equal(suspects.takeProbe(['a'], 1010), true);
	t.end();
});

void t.test('what entries tell one another is bounded', t => {
	const suspects = SuspectParts.create();
	suspects.recordCrash(['cleared'], [], 'c0', 0);
	suspects.recordBegun(['cleared'], 100);
	suspects.recordCrash(['blocked'], ['blocked'], 'c1', 0);
	t.same(suspects.reports(1000).map(({part}) => part), ['cleared', 'blocked']);
	suspects.merge([], 31_000);
	t.same(suspects.reports(31_000).map(({part}) => part), ['blocked'], 'a part that was cleared is forgotten');
	for (let crash = 0; crash < 500; crash += 1) {
		suspects.recordCrash([`p${crash}`], [], `d${crash}`, 31_000);
	}

	t.equal(suspects.reports(31_000).length, 200);
	t.equal(suspects.verdict(['blocked'], 29_999).kind, 'blocked', 'a blocked part is kept');
	t.equal(suspects.verdict(['p499'], 31_001).kind, 'probe', 'and so is the newest suspect');
	t.end();
});
