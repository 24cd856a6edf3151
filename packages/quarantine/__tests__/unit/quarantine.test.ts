import t from 'tap';
import {initHashing} from '#routing';
import {
	EndpointAdmission, fingerprintOf, suspectHomesOf, KnownSuspects, RETENTION_MS, SuspectRegistry, type RunMode,
} from '#quarantine';

await initHashing();
const here = () => true;

function registryWith(crashes: ReadonlyArray<{readonly id: string; readonly alone: boolean}>): SuspectRegistry {
	const registry = SuspectRegistry.create();
	for (const {id, alone} of crashes) {
		registry.reportCrash({crashId: id, alone, batch: [{fingerprint: 'f', permitId: `p-${id}`}]}, here, 0);
	}

	return registry;
}

const mixed = (id: string) => ({id, alone: false});
const solo = (id: string) => ({id, alone: true});
const askCases = [
	{name: 'no crash', crashes: [], expected: 'run'},
	{name: 'one crash', crashes: [mixed('1')], expected: 'run'},
	{name: 'one crash reported twice', crashes: [mixed('1'), mixed('1')], expected: 'run'},
	{name: 'two crashes', crashes: [mixed('1'), mixed('2')], expected: 'run-alone'},
	{name: 'three crashes, the last one alone', crashes: [mixed('1'), mixed('2'), solo('3')], expected: 'refuse'},
	{name: 'many crashes in batches with others', crashes: ['1', '2', '3', '4', '5', '6', '7', '8', '9', '10'].map(id => mixed(id)), expected: 'run-alone'},
];
await t.test('the home answers by the crashes of a fingerprint', t => {
	for (const {name, crashes, expected} of askCases) {
		const registry = registryWith(crashes);
		const request = {fingerprint: 'f', permitId: 'p', entryId: 'e'};
		t.equal(registry.requestPermission(request, 1).permission.kind, expected, name);
		t.equal(registry.requestPermission(request, RETENTION_MS).permission.kind, expected === 'refuse' ? 'run' : expected, `${name}, an hour later`);
	}

	t.end();
});

await t.test('a permission ends by report or known death of its entry only, however long it takes', t => {
	const registry = registryWith([mixed('1')]);
	const ask = (permitId: string, now: number) => registry.requestPermission({fingerprint: 'f', permitId, entryId: 'e'}, now).permission.kind;
	t.equal(ask('a', 1), 'run');
	t.equal(ask('a', 2), 'run', 'a repeated request gets the same answer');
	t.equal(ask('b', 3 * RETENTION_MS), 'wait');
	registry.revokePermitsOf('other');
	t.equal(ask('b', 3 * RETENTION_MS), 'wait');
	registry.revokePermitsOf('e');
	t.equal(registry.records(2).length, 1);
	t.equal(ask('b', 4), 'run');
	t.equal(ask('a', 4), 'wait', 'an ended attempt gets no second permission');
	registry.endRun({fingerprint: 'f', permitId: 'b', how: 'finished'}, 5);
	t.equal(ask('c', 6), 'run');
	t.equal(ask('d', 6), 'run', 'a suspect that finished runs freely after one crash');
	t.end();
});

await t.test('records reach the successor in any order and do not revive an ended permission', t => {
	const home = registryWith([mixed('1')]);
	const given = home.requestPermission({fingerprint: 'f', permitId: 'a', entryId: 'e'}, 1).changed;
	const ended = home.endRun({fingerprint: 'f', permitId: 'a', how: 'not-run'}, 2);
	const successor = registryWith([mixed('2')]);
	successor.merge([ended, given].filter(record => record !== undefined), 3);
	t.equal(successor.requestPermission({fingerprint: 'f', permitId: 'b', entryId: 'e'}, 4).permission.kind, 'run-alone');
	t.end();
});

await t.test('a copy that is many runs old does not revive its permission', t => {
	const home = registryWith([mixed('1'), mixed('2')]);
	const ask = (permitId: string) => home.requestPermission({fingerprint: 'f', permitId, entryId: 'e'}, 1);
	const old = ask('old').changed;
	home.endRun({fingerprint: 'f', permitId: 'old', how: 'finished'}, 1);
	for (let run = 0; run < 20; run++) {
		ask(`${run}`);
		home.endRun({fingerprint: 'f', permitId: `${run}`, how: 'finished'}, 1);
	}

	home.merge(old === undefined ? [] : [old], 2);
	t.equal(ask('next').permission.kind, 'run-alone');
	t.end();
});

await t.test('the registry stays within its bound and keeps suspects with two crashes longest', t => {
	const registry = SuspectRegistry.create(10);
	registry.reportCrash({crashId: 'x', alone: false, batch: [{fingerprint: 'twice', permitId: 'x'}]}, here, 0);
	registry.reportCrash({crashId: 'y', alone: false, batch: [{fingerprint: 'twice', permitId: 'y'}]}, here, 0);
	registry.reportCrash({crashId: 'z', alone: false, batch: Array.from({length: 50}, (_, index) => ({fingerprint: `${index}`, permitId: `${index}`}))}, here, 1);
	t.equal(registry.size, 10);
	t.equal(registry.requestPermission({fingerprint: 'twice', permitId: 'p', entryId: 'e'}, 2).permission.kind, 'run-alone');
	t.end();
});

const gateCases: ReadonlyArray<{readonly present: readonly RunMode[]; readonly offered: RunMode; readonly expected: string}> = [
	{present: ['normal', 'normal'], offered: 'normal', expected: 'start'},
	{present: ['normal'], offered: 'suspect', expected: 'start'},
	{present: ['suspect'], offered: 'normal', expected: 'start'},
	{present: ['suspect'], offered: 'suspect', expected: 'refused'},
	{present: [], offered: 'alone', expected: 'start'},
	{present: ['normal'], offered: 'alone', expected: 'hold'},
	{present: ['alone'], offered: 'normal', expected: 'refused'},
	{present: ['normal', 'alone'], offered: 'normal', expected: 'refused'},
	{present: ['normal', 'alone'], offered: 'alone', expected: 'refused'},
];
await t.test('an endpoint keeps suspects apart and runs one alone', t => {
	for (const {present, offered, expected} of gateCases) {
		const gate = EndpointAdmission.create();
		for (const [index, mode] of present.entries()) {
			gate.offer(`${index}`, mode);
		}

		t.equal(gate.offer('next', offered).kind, expected, `${offered} beside [${present.join(', ')}]`);
	}

	t.end();
});

await t.test('a held request starts when the last other one ends, and a crash names who had started', t => {
	const gate = EndpointAdmission.create();
	gate.offer('a', 'normal');
	gate.offer('b', 'suspect');
	gate.offer('c', 'alone');
	gate.markStarted('a');
	t.equal(gate.finish('b'), undefined);
	t.equal(gate.finish('a'), 'c');
	gate.markStarted('c');
	t.same(gate.recordCrash(), {started: ['c'], notRun: [], alone: true});
	gate.offer('d', 'normal');
	gate.offer('e', 'normal');
	gate.markStarted('d');
	gate.offer('f', 'alone');
	t.same(gate.recordCrash(), {started: ['d'], notRun: ['e', 'f'], alone: false});
	t.equal(gate.size, 0);
	t.end();
});

await t.test('fingerprints are equal for resends; homes are two and the successor becomes home', t => {
	t.equal(fingerprintOf('m', '/v1/completions', '{}'), fingerprintOf('m', '/v1/completions', '{}'));
	t.not(fingerprintOf('m', '/v1/completions', '{}'), fingerprintOf('m', '/v1/completions', '{ }'));
	const [home, successor] = suspectHomesOf('f', ['a', 'b', 'c', 'd']);
	t.equal(suspectHomesOf('f', ['a', 'b', 'c', 'd'].filter(id => id !== home))[0], successor);
	t.end();
});

await t.test('an entry remembers suspects for an hour and drops the oldest at its bound', t => {
	const known = KnownSuspects.create(2);
	known.add(['a', 'b'], 0);
	known.add(['a', 'c'], 10);
	t.same(known.list(10), ['a', 'c']);
	t.equal(known.needsPermission('a', RETENTION_MS + 9), true, 'a later crash renews the hour');
	t.equal(known.needsPermission('a', RETENTION_MS + 10), false);
	known.add(['d'], RETENTION_MS + 10);
	t.equal(known.size, 1);
	t.end();
});
