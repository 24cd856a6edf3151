/** Causes of crashes: how one is found, and how others that were in the same batch are cleared. */
import t from 'tap';
import {CrashCauses, type CauseVerdict, type CrashCause} from '#quarantine';

type Step
	= | {readonly do: 'begin'; readonly causes: readonly CrashCause[]; readonly at: number}
		| {readonly do: 'crash'; readonly causes: readonly CrashCause[]; readonly probed?: readonly CrashCause[]; readonly at: number};

const cases: ReadonlyArray<{readonly name: string; readonly steps: readonly Step[]; readonly causes: readonly CrashCause[]; readonly at: number; readonly verdict: CauseVerdict}> = [
	{
		name: 'no crash', steps: [{do: 'begin', causes: ['part:a'], at: 0}], causes: ['part:a', 'part:b'], at: 10, verdict: {kind: 'clear'},
	},
	{
		name: 'one part in a crash', steps: [{do: 'crash', causes: ['part:a'], at: 0}], causes: ['part:a'], at: 10, verdict: {kind: 'probe', causes: ['part:a']},
	},
	{
		name: 'two parts in a crash wait until one is cleared', steps: [{do: 'crash', causes: ['part:a', 'part:b'], at: 0}], causes: ['part:a', 'part:b'], at: 10, verdict: {kind: 'wait', causes: ['part:a', 'part:b']},
	},
	{
		name: 'two parts that nobody cleared for long', steps: [{do: 'crash', causes: ['part:a', 'part:b'], at: 0}], causes: ['part:a', 'part:b'], at: 10_001, verdict: {kind: 'probe', causes: ['part:a', 'part:b']},
	},
	{
		name: 'a request with only one of them runs', steps: [{do: 'crash', causes: ['part:a', 'part:b'], at: 0}], causes: ['part:a', 'part:c'], at: 10, verdict: {kind: 'probe', causes: ['part:a']},
	},
	{
		name: 'an answer that begins after the crash clears a part', steps: [{do: 'crash', causes: ['part:a', 'part:b'], at: 0}, {do: 'begin', causes: ['part:a', 'part:c'], at: 5}], causes: ['part:a', 'part:b'], at: 10, verdict: {kind: 'probe', causes: ['part:b']},
	},
	{
		name: 'an answer that began before the crash clears nothing', steps: [{do: 'begin', causes: ['part:a'], at: 0}, {do: 'crash', causes: ['part:a'], at: 5}], causes: ['part:a'], at: 10, verdict: {kind: 'probe', causes: ['part:a']},
	},
	{
		name: 'several crashes in batches do not block a part', steps: [{do: 'crash', causes: ['part:a'], at: 0}, {do: 'crash', causes: ['part:a'], at: 1}, {do: 'crash', causes: ['part:a'], at: 2}], causes: ['part:a'], at: 10, verdict: {kind: 'probe', causes: ['part:a']},
	},
	{
		name: 'the crash of a probe blocks its part', steps: [{do: 'crash', causes: ['part:a'], at: 0}, {
			do: 'crash', causes: ['part:a', 'part:b'], probed: ['part:a'], at: 5,
		}], causes: ['part:a'], at: 10, verdict: {kind: 'blocked', cause: 'part:a'},
	},
	{
		name: 'a part that was answered before is not blocked by one crash of a probe', steps: [{do: 'begin', causes: ['part:a'], at: 0}, {do: 'crash', causes: ['part:a'], at: 5}, {
			do: 'crash', causes: ['part:a'], probed: ['part:a'], at: 10,
		}], causes: ['part:a'], at: 20, verdict: {kind: 'probe', causes: ['part:a']},
	},
	{
		name: 'but by two', steps: [{do: 'begin', causes: ['part:a'], at: 0}, {
			do: 'crash', causes: ['part:a'], probed: ['part:a'], at: 5,
		}, {
			do: 'crash', causes: ['part:a'], probed: ['part:a'], at: 10,
		}], causes: ['part:a'], at: 20, verdict: {kind: 'blocked', cause: 'part:a'},
	},
	{
		name: 'and only that one', steps: [{do: 'crash', causes: ['part:a'], at: 0}, {
			do: 'crash', causes: ['part:a', 'part:b'], probed: ['part:a'], at: 5,
		}], causes: ['part:b'], at: 10, verdict: {kind: 'probe', causes: ['part:b']},
	},
	{
		name: 'a block ends with another probe', steps: [{
			do: 'crash', causes: ['part:a'], probed: ['part:a'], at: 0,
		}], causes: ['part:a'], at: 30_000, verdict: {kind: 'probe', causes: ['part:a']},
	},
	{
		name: 'a second block lasts longer', steps: [{
			do: 'crash', causes: ['part:a'], probed: ['part:a'], at: 0,
		}, {
			do: 'crash', causes: ['part:a'], probed: ['part:a'], at: 30_000,
		}], causes: ['part:a'], at: 300_000, verdict: {kind: 'blocked', cause: 'part:a'},
	},
	{
		name: 'a part that was blocked by mistake is cleared by its probe', steps: [{
			do: 'crash', causes: ['part:a'], probed: ['part:a'], at: 0,
		}, {do: 'begin', causes: ['part:a'], at: 30_000}, {do: 'crash', causes: ['part:a'], at: 40_000}], causes: ['part:a'], at: 40_001, verdict: {kind: 'probe', causes: ['part:a']},
	},
	{
		name: 'a whole request', steps: [{do: 'crash', causes: ['request:a'], at: 0}], causes: ['request:a'], at: 10, verdict: {kind: 'probe', causes: ['request:a']},
	},
	{
		name: 'another request after it', steps: [{do: 'crash', causes: ['request:a'], at: 0}], causes: ['request:b'], at: 10, verdict: {kind: 'clear'},
	},
	{
		name: 'a whole request that crashed a probe', steps: [{do: 'crash', causes: ['request:a'], at: 0}, {
			do: 'crash', causes: ['request:a'], probed: ['request:a'], at: 5,
		}], causes: ['request:a'], at: 10, verdict: {kind: 'blocked', cause: 'request:a'},
	},
	{
		name: 'it is blocked for longer than a part', steps: [{
			do: 'crash', causes: ['request:a'], probed: ['request:a'], at: 0,
		}], causes: ['request:a'], at: 299_999, verdict: {kind: 'blocked', cause: 'request:a'},
	},
	{
		name: 'a request with a suspect part is a probe of both', steps: [{do: 'crash', causes: ['part:a', 'request:a'], at: 0}], causes: ['part:a', 'request:a'], at: 10, verdict: {kind: 'probe', causes: ['part:a', 'request:a']},
	},
	{
		name: 'only parts need to be separated', steps: [{do: 'crash', causes: ['part:a', 'part:b', 'request:a'], at: 0}], causes: ['part:a', 'part:b', 'request:a'], at: 10, verdict: {kind: 'wait', causes: ['part:a', 'part:b']},
	},
	{
		name: 'a request is blocked and not its part that was answered before', steps: [{do: 'begin', causes: ['part:a'], at: 0}, {do: 'crash', causes: ['part:a', 'request:a'], at: 5}, {
			do: 'crash', causes: ['part:a', 'request:a'], probed: ['part:a', 'request:a'], at: 10,
		}], causes: ['part:a', 'request:b'], at: 20, verdict: {kind: 'probe', causes: ['part:a']},
	},
];

for (const {name, steps, causes, at, verdict} of cases) {
	void t.test(name, t => {
		const here = CrashCauses.create();
		const elsewhere = CrashCauses.create();
		for (const [index, step] of steps.entries()) {
			if (step.do === 'begin') {
				here.recordBegun(step.causes, step.at);
			} else {
				here.recordCrash(step.causes, step.probed ?? [], `c${index}`, step.at);
			}
		}

		t.same(here.verdict(causes, at), verdict);
		elsewhere.merge(here.reports(at), at);
		t.same(elsewhere.verdict(causes, at), verdict, 'the same at an entry that was told');
		t.end();
	});
}

void t.test('an entry that saw an answer begin after a crash clears the part when it is told of the crash', t => {
	const here = CrashCauses.create();
	const elsewhere = CrashCauses.create();
	here.recordCrash(['part:a'], [], 'c', 100);
	elsewhere.recordBegun(['part:a'], 150);
	elsewhere.merge(here.reports(200), 200);
	t.same(elsewhere.verdict(['part:a'], 200), {kind: 'clear'});
	here.merge(elsewhere.reports(210), 210);
	t.same(here.verdict(['part:a'], 210), {kind: 'clear'});
	t.end();
});

void t.test('a report that was under way for long does not make a cleared part a suspect again', t => {
	const here = CrashCauses.create();
	here.recordCrash(['part:a'], [], 'c', 0);
	const late = here.reports(1);
	here.recordBegun(['part:a'], 300);
	here.merge(late, 4000);
	t.same(here.verdict(['part:a'], 4000), {kind: 'clear'});
	t.end();
});

void t.test('probes of a part run one after another', t => {
	const suspects = CrashCauses.create();
	suspects.recordCrash(['part:a'], [], 'c', 0);
	t.equal(suspects.takeProbe(['part:a'], 10), true);
	t.equal(suspects.takeProbe(['part:a'], 900), false);
	t.equal(suspects.takeProbe(['part:b'], 900), true, 'a part that is no suspect needs no turn');
	t.equal(suspects.takeProbe(['part:a'], 1010), true);
	t.end();
});

void t.test('what entries tell one another is bounded', t => {
	const suspects = CrashCauses.create();
	suspects.recordCrash(['part:cleared'], [], 'c0', 0);
	suspects.recordBegun(['part:cleared'], 100);
	suspects.recordCrash(['part:blocked'], ['part:blocked'], 'c1', 0);
	t.same(suspects.reports(1000).map(({cause}) => cause), ['part:cleared', 'part:blocked']);
	suspects.merge([], 31_000);
	t.same(suspects.reports(31_000).map(({cause}) => cause), ['part:blocked'], 'a part that was cleared is forgotten');
	for (let crash = 0; crash < 500; crash += 1) {
		suspects.recordCrash([`part:p${crash}`], [], `d${crash}`, 31_000);
	}

	t.equal(suspects.reports(31_000).length, 200);
	t.equal(suspects.verdict(['part:blocked'], 29_999).kind, 'blocked', 'a blocked part is kept');
	t.equal(suspects.verdict(['part:p499'], 31_001).kind, 'probe', 'and so is the newest suspect');
	t.end();
});

void t.test('a suspect without a crashed probe is not reported for long, and stays a suspect', t => {
	const suspects = CrashCauses.create();
	suspects.recordCrash(['request:once'], [], 'c0', 0);
	suspects.recordCrash(['request:again'], ['request:again'], 'c1', 0);
	t.same(suspects.reports(30_000).map(({cause}) => cause), ['request:once', 'request:again']);
	t.same(suspects.reports(30_001).map(({cause}) => cause), ['request:again']);
	t.equal(suspects.verdict(['request:once'], 30_001).kind, 'probe');
	t.end();
});

for (const batch of [10, 90, 110, 400]) {
	void t.test(`a request that crashes its endpoint beside ${batch} others, which are served afterwards, is found by its second crash`, t => {
		const suspects = CrashCauses.create();
		const causes: readonly CrashCause[] = ['part:shared', 'request:deadly'];
		let crashes = 0;
		for (let now = 0; now < 20_000; now += 2000) {
			const verdict = suspects.verdict(causes, now);
			if (verdict.kind === 'blocked') {
				break;
			}

			crashes += 1;
			suspects.recordCrash(causes, verdict.kind === 'probe' ? verdict.causes : [], `deadly-${crashes}`, now);
			const others = Array.from({length: batch}, (_, i): readonly CrashCause[] => ['part:shared', `part:s${now}-${i}`, `request:r${now}-${i}`]);
			for (const other of others) {
				suspects.recordCrash(other, [], `of ${other[2]!}`, now);
			}

			for (const other of others) {
				suspects.recordBegun(other, now + 500);
			}
		}

		t.equal(crashes, 2);
		t.end();
	});
}
