/** Entries of which only some can read the registry. */
import t, {type Test} from 'tap';
import {
	callRaw, FakeEndpoint, FakeRegistry, response, startGateway, testConfig, testRoute,
} from '../gateway-harness.js';
import {sleep} from '#core';
import {PEER_LOAD_TTL_MS, type EndpointRecord} from '#dispatch';
import {pollIntervalMs} from '#gateway';
import {findFreePort} from '#harness';
import {RequestClient} from '#links';
import {hashHex} from '#routing';

const TRUST_MS = 3000;

async function startPair(t: Test): Promise<{
	readonly registries: readonly [FakeRegistry, FakeRegistry];
	readonly ports: readonly [number, number];
	readonly endpoint: FakeEndpoint;
}> {
	const endpoint = await FakeEndpoint.create(t, 'e1', (socket, {id}) => socket.write(response(id, 'whole')));
	const records: readonly EndpointRecord[] = [endpoint.record()];
	const config = testConfig([testRoute()], 1, ['key-1', 'key-2']);
	const registries = [FakeRegistry.create(config, records), FakeRegistry.create(config, records)] as const;
	const peerPorts = [await findFreePort(), await findFreePort()] as const;
	const first = await startGateway(t, registries[0], {keyTrustMs: TRUST_MS, peers: {host: '127.0.0.1', port: peerPorts[0], seeds: []}});
	const second = await startGateway(t, registries[1], {keyTrustMs: TRUST_MS, peers: {host: '127.0.0.1', port: peerPorts[1], seeds: [`127.0.0.1:${peerPorts[0]}`]}});
	return {registries, ports: [first.port, second.port], endpoint};
}

const request = (id: string, key: string) => `GET / HTTP/1.1\r\nHost: h\r\nX-Request-Id: ${id}\r\nX-Key: ${key}\r\n\r\n`;

async function statusOf(port: number, key: string): Promise<string> {
	const {text} = await callRaw(port, request('q', key), 600, '\n');
	return text.slice(9, 12);
}

void t.test('an entry that cannot read the registry uses the configuration that its peer confirms', async t => {
	const {registries, ports} = await startPair(t);
	registries[1].isDown = true;
	await sleep(TRUST_MS + 800);
	t.equal(await statusOf(ports[1], 'key-1'), '200');
	void t.test('and applies the revocation of a key', async t => {
		registries[0].config = testConfig([testRoute()], 2, ['key-2']);
		await sleep(2500);
		t.equal(await statusOf(ports[1], 'key-1'), '401');
		t.equal(await statusOf(ports[1], 'key-2'), '200');
	});
});

void t.test('entries that cannot confirm their configuration refuse requests with keys and do not send them', async t => {
	const {registries, ports, endpoint} = await startPair(t);
	registries[0].isDown = true;
	registries[1].isDown = true;
	await sleep(TRUST_MS + 1000);
	const before = endpoint.received.length;
	t.equal(await statusOf(ports[0], 'key-1'), '503');
	t.equal(await statusOf(ports[1], 'key-1'), '503');
	t.equal(endpoint.received.length, before);
});

void t.test('an entry that starts while the registry is unavailable gets the configuration and endpoints from its seeds', async t => {
	const endpoint = await FakeEndpoint.create(t, 'e1', (socket, {id}) => socket.write(response(id, 'whole')));
	const seed = await findFreePort();
	await startGateway(t, FakeRegistry.create(testConfig([testRoute()], 1, ['key-1']), [endpoint.record()]), {keyTrustMs: TRUST_MS, peers: {host: '127.0.0.1', port: seed, seeds: []}});
	const registry = FakeRegistry.create(undefined, []);
	registry.isDown = true;
	const {port} = await startGateway(t, registry, {keyTrustMs: TRUST_MS, peers: {host: '127.0.0.1', port: await findFreePort(), seeds: [`127.0.0.1:${seed}`]}});
	t.equal(await statusOf(port, 'key-1'), '200');
	t.equal(await statusOf(port, 'key-9'), '401');
});

void t.test('one of two entries reads the configuration, and the other one does if that fails', async t => {
	const {registries, ports} = await startPair(t);
	await sleep(1500);
	const before = registries.map(({reads}) => reads);
	await sleep(3000);
	const [first, second] = [registries[0].reads - before[0]!, registries[1].reads - before[1]!] as const;
	t.ok(first + second >= 2 && first + second <= 4, `${first} and ${second} reads in 3 s, one per second in total`);
	const [reader, other] = first > second ? [0, 1] as const : [1, 0] as const;
	registries[reader].isDown = true;
	const config = testConfig([testRoute()], 2, ['key-2']);
	for (const registry of registries) {
		registry.config = config;
	}

	// The shortest time within which a change must take effect on a platform in use.
	await sleep(2000);
	t.equal(await statusOf(ports[other], 'key-1'), '401');
	t.equal(await statusOf(ports[reader], 'key-1'), '401', 'also at the entry that cannot read the registry');
});

void t.test('an entry that can read the registry gets the content of a configuration from there; its peers only report the version', async t => {
	const {registries, ports} = await startPair(t);
	await sleep(500);
	const routes = [testRoute(), ...Array.from({length: 2000}, (_, i) => testRoute({name: `r${i}`, pathPrefix: `/p${i}/`}))];
	registries[0].config = testConfig(routes, 2, ['key-2']);
	registries[1].config = registries[0].config;
	const before = registries.map(({reads}) => reads);
	await sleep(2000);
	t.equal(await statusOf(ports[0], 'key-2'), '200');
	t.equal(await statusOf(ports[1], 'key-2'), '200');
	t.ok(registries.every(({reads}, i) => reads > before[i]!), 'both read it');
});

for (const {name, peersDigest, isListed} of [
	{name: 'an entry that knows the same entries', peersDigest: 'same', isListed: false},
	{name: 'an entry that knows others', peersDigest: 'other', isListed: true},
	{name: 'an entry of an earlier version', peersDigest: undefined, isListed: true},
] as const) {
	void t.test(`the addresses of entries are sent to ${name}: ${isListed}`, async t => {
		const endpoint = await FakeEndpoint.create(t, 'e1', () => undefined);
		const [port, requesting] = [await findFreePort(), await findFreePort()];
		const from = `127.0.0.1:${requesting}`;
		const registry = FakeRegistry.create(testConfig([testRoute()]), [endpoint.record()]);
		await startGateway(t, registry, {peers: {host: '127.0.0.1', port, seeds: []}});
		await startGateway(t, registry, {peers: {host: '127.0.0.1', port: requesting, seeds: [`127.0.0.1:${port}`]}});
		const client = RequestClient.create(`127.0.0.1:${port}`);
		const listPeers = async (digest: string | undefined) => {
			const result = await client.request({
				from, load: {}, peersDigest: digest, configVersion: 1, wantsConfig: false, wantsEndpoints: false,
			}, 500);
			return result.kind === 'ok' ? (result.value as {readonly peers: readonly string[]}).peers : [];
		};

		for (let listed = await listPeers(undefined); !listed.includes(from); listed = await listPeers(undefined)) {
			await sleep(20);
		}

		const known = hashHex([from, `127.0.0.1:${port}`].toSorted().join(' '));
		t.same(await listPeers(peersDigest === 'same' ? known : peersDigest), isListed ? [from] : []);
		client.close();
	});
}

void t.test('the interval of the exchange grows with the number of entries', t => {
	t.equal(pollIntervalMs(0), 200);
	t.equal(pollIntervalMs(11), 200);
	t.ok(pollIntervalMs(34) / 34 >= pollIntervalMs(17) / 17, 'twice the entries cause no more messages of one entry');
	t.ok(pollIntervalMs(340) * 2 <= PEER_LOAD_TTL_MS, 'counts do not expire in between');
	t.end();
});
