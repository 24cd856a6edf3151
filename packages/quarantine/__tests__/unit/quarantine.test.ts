import t from 'tap';
import {initHashing} from '#routing';
import {
	EndpointAdmission, fingerprintOf, suspectOwnersOf, KnownSuspects, RETENTION_MS, SuspectRegistry, type RunMode,
} from '#quarantine';

await initHashing();
const isLocal = () => true;

function registryWith(crashes: ReadonlyArray<{readonly id: string; readonly alone: boolean}>): SuspectRegistry {
	const registry = SuspectRegistry.create();
	for (const {id, alone} of crashes) {
		registry.reportCrash({crashId: id, alone, batch: [{fingerprint: 'f', permitId: `p-${id}`}]}, isLocal, 0);
	}

	return registry;
}

const crashInBatch = (id: string) => ({id, alone: false});
const crashAlone = (id: string) => ({id, alone: true});
const askCases = [
	{name: 'no crash', crashes: [], expected: 'run'},
	{name: 'one crash', crashes: [crashInBatch('1')], expected: 'run'},
	{name: 'one crash reported twice', crashes: [crashInBatch('1'), crashInBatch('1')], expected: 'run'},
	{name: 'two crashes', crashes: [crashInBatch('1'), crashInBatch('2')], expected: 'run-alone'},
	{name: 'three crashes, the last one alone', crashes: [crashInBatch('1'), crashInBatch('2'), crashAlone('3')], expected: 'refuse'},
	{name: 'many crashes in batches with others', crashes: ['1', '2', '3', '4', '5', '6', '7', '8', '9', '10'].map(id => crashInBatch(id)), expected: 'run-alone'},
];
await t.test('the response of the owner depends on the crashes of the fingerprint', t => {
	for (const {name, crashes, expected} of askCases) {
		const registry = registryWith(crashes);
		const request = {fingerprint: 'f', permitId: 'p', entryId: 'e'};
		t.equal(registry.requestPermission(request, 1).permission.kind, expected, name);
		t.equal(registry.requestPermission(request, RETENTION_MS).permission.kind, expected === 'refuse' ? 'run' : expected, `${name}, an hour later`);
	}

	t.end();
});

await t.test('a permission ends only by a report or when its entry is known to be dead, regardless of time', t => {
	const registry = registryWith([crashInBatch('1')]);
	const request = (permitId: string, now: number) => registry.requestPermission({fingerprint: 'f', permitId, entryId: 'e'}, now).permission.kind;
	t.equal(request('a', 1), 'run');
	t.equal(request('a', 2), 'run', 'a repeated request gets the same response');
	t.equal(request('b', 3 * RETENTION_MS), 'wait');
	registry.revokePermitsOf('other');
	t.equal(request('b', 3 * RETENTION_MS), 'wait');
	registry.revokePermitsOf('e');
	t.equal(registry.records(2).length, 1);
	t.equal(request('b', 4), 'run');
	t.equal(request('a', 4), 'wait', 'an ended attempt is not permitted again');
	registry.endRun({fingerprint: 'f', permitId: 'b', how: 'finished'}, 5);
	t.equal(request('c', 6), 'run');
	t.equal(request('d', 6), 'run', 'a suspect with one crash that finished may run without permission');
	t.end();
});

await t.test('records that reach the successor out of order do not restore an ended permission', t => {
	const owner = registryWith([crashInBatch('1')]);
	const given = owner.requestPermission({fingerprint: 'f', permitId: 'a', entryId: 'e'}, 1).changed;
	const ended = owner.endRun({fingerprint: 'f', permitId: 'a', how: 'not-run'}, 2);
	const successor = registryWith([crashInBatch('2')]);
	successor.merge([ended, given].filter(record => record !== undefined), 3);
	t.equal(successor.requestPermission({fingerprint: 'f', permitId: 'b', entryId: 'e'}, 4).permission.kind, 'run-alone');
	t.end();
});

await t.test('a copy that is many runs old does not restore its permission', t => {
	const owner = registryWith([crashInBatch('1'), crashInBatch('2')]);
	const request = (permitId: string) => owner.requestPermission({fingerprint: 'f', permitId, entryId: 'e'}, 1);
	const old = request('old').changed;
	owner.endRun({fingerprint: 'f', permitId: 'old', how: 'finished'}, 1);
	for (let run = 0; run < 20; run++) {
		request(`${run}`);
		owner.endRun({fingerprint: 'f', permitId: `${run}`, how: 'finished'}, 1);
	}

	owner.merge(old === undefined ? [] : [old], 2);
	t.equal(request('next').permission.kind, 'run-alone');
	t.end();
});

await t.test('the registry stays within its bound and evicts suspects with two crashes last', t => {
	const registry = SuspectRegistry.create(10);
	registry.reportCrash({crashId: 'x', alone: false, batch: [{fingerprint: 'twice', permitId: 'x'}]}, isLocal, 0);
	registry.reportCrash({crashId: 'y', alone: false, batch: [{fingerprint: 'twice', permitId: 'y'}]}, isLocal, 0);
	registry.reportCrash({crashId: 'z', alone: false, batch: Array.from({length: 50}, (_, index) => ({fingerprint: `${index}`, permitId: `${index}`}))}, isLocal, 1);
	t.equal(registry.size, 10);
	t.equal(registry.requestPermission({fingerprint: 'twice', permitId: 'p', entryId: 'e'}, 2).permission.kind, 'run-alone');
	t.end();
});

const admissionCases: ReadonlyArray<{readonly present: readonly RunMode[]; readonly offered: RunMode; readonly expected: string}> = [
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
await t.test('an endpoint runs one suspect at a time and nothing beside a request that runs alone', t => {
	for (const {present, offered, expected} of admissionCases) {
		const admission = EndpointAdmission.create();
		for (const [index, mode] of present.entries()) {
			admission.offer(`${index}`, mode);
		}

		t.equal(admission.offer('next', offered).kind, expected, `${offered} beside [${present.join(', ')}]`);
	}

	t.end();
});

await t.test('a held request starts when the last other request ends, and a crash reports the started requests', t => {
	const admission = EndpointAdmission.create();
	admission.offer('a', 'normal');
	admission.offer('b', 'suspect');
	admission.offer('c', 'alone');
	admission.markStarted('a');
	t.equal(admission.finish('b'), undefined);
	t.equal(admission.finish('a'), 'c');
	admission.markStarted('c');
	t.same(admission.recordCrash(), {started: ['c'], notRun: [], alone: true});
	admission.offer('d', 'normal');
	admission.offer('e', 'normal');
	admission.markStarted('d');
	admission.offer('f', 'alone');
	t.same(admission.recordCrash(), {started: ['d'], notRun: ['e', 'f'], alone: false});
	t.equal(admission.size, 0);
	t.end();
});

await t.test('resends have equal fingerprints, and the successor becomes the owner when the owner is removed', t => {
	t.equal(fingerprintOf('m', '/v1/completions', '{}'), fingerprintOf('m', '/v1/completions', '{}'));
	t.not(fingerprintOf('m', '/v1/completions', '{}'), fingerprintOf('m', '/v1/completions', '{ }'));
	const [owner, successor] = suspectOwnersOf('f', ['a', 'b', 'c', 'd']);
	t.equal(suspectOwnersOf('f', ['a', 'b', 'c', 'd'].filter(id => id !== owner))[0], successor);
	t.end();
});

await t.test('an entry keeps suspects for an hour and evicts the oldest at its bound', t => {
	const known = KnownSuspects.create(2);
	known.add(['a', 'b'], 0);
	known.add(['a', 'c'], 10);
	t.same(known.list(10), ['a', 'c']);
	t.equal(known.needsPermission('a', RETENTION_MS + 9), true, 'a later crash restarts the hour');
	t.equal(known.needsPermission('a', RETENTION_MS + 10), false);
	known.add(['d'], RETENTION_MS + 10);
	t.equal(known.size, 1);
	t.end();
});
