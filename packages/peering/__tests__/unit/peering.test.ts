/** Guards against requesting a new version from every peer that announces it, and against applying older or altered texts. */
import t from 'tap';
import {waitUntil} from '#harness';
import {TextHistory} from '#membership';
import {Peering} from '#peering';
import {LinkPool, type PeerLink} from '#protocol';
import {initHashing} from '#routing';
import {createSilentLogger, Metrics} from '#telemetry';

const SHARED_KEY = 'shared-key-of-the-tests';
const RULES = 'model drafting versions=1 # asked by Nadeesha: the drafting model\n';

await initHashing();
const controller = new AbortController();
t.teardown(() => {
	controller.abort();
});

const peering = await Peering.create({
	machine: {
		id: 'entry-1', role: 'entry', kind: 'entry', address: '127.0.0.1:0', zone: 'z', region: 'r', state: 'live',
	},
	incarnation: 'i1',
	listen: {host: '127.0.0.1', port: 0},
	sharedKey: SHARED_KEY,
	seeds: [],
	log: createSilentLogger(),
	metrics: Metrics.create(),
	signal: controller.signal,
});

async function connect(id: string): Promise<PeerLink> {
	const pool = LinkPool.create({
		sharedKey: SHARED_KEY,
		identity: () => ({
			id, role: 'entry', region: 'r', zone: 'z', address: '127.0.0.1:1', incarnation: 'i',
		}),
		onRefused(reason) {
			t.fail(reason);
		},
		signal: controller.signal,
	});
	return pool.dial(peering.machine.address);
}

await t.test('a version announced by ten peers is requested from one', async t => {
	const links = await Promise.all(Array.from({length: 10}, async (_, i) => connect(`entry-${i + 2}`)));
	const requestedTopics: string[] = [];
	for (const link of links) {
		link.registerMessageHandler('textWant', message => {
			requestedTopics.push(message.topic);
			const history = TextHistory.create().with({version: 5, text: RULES});
			link.send({kind: 'text', topic: message.topic, ...history.updateFrom(message.have)});
		});
	}

	for (const link of links) {
		link.send({
			kind: 'heartbeat', rulesVersion: 5, directoryVersion: 0, confirmedAgeMs: 0,
		});
	}

	await waitUntil('version 5 is in force', () => peering.kernel.snapshot.rules.newest.version === 5);
	t.same(requestedTopics, ['rules']);
	t.equal(peering.kernel.snapshot.ruleSet.models.size, 1);
});

await t.test('an older or altered text is not applied', async t => {
	const link = await connect('entry-20');
	const table = [
		{name: 'older', version: 4, hash: undefined},
		{name: 'altered', version: 6, hash: '0000000000000000'},
	];
	for (const {version, hash} of table) {
		const update = TextHistory.create().with({version, text: 'model other versions=1 # asked by X: y\n'}).updateFrom(0);
		link.send({
			kind: 'text', topic: 'rules', ...update, hash: hash ?? update.hash,
		});
	}

	const responded = new Promise<void>(resolve => {
		link.registerMessageHandler('text', () => {
			resolve();
		});
	});
	link.send({kind: 'textWant', topic: 'rules', have: 0});
	await responded;
	t.equal(peering.kernel.snapshot.rules.newest.version, 5);
	t.ok(peering.kernel.snapshot.ruleSet.models.has('drafting'));
});
