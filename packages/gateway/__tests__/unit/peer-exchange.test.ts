/** Entries of which the register serves some and turns others away. */
import t, {type Test} from 'tap';
import {
	answer, callRaw, FakeEndpoint, FakeRegistry, startGateway, testConfig, testRoute,
} from '../gateway-harness.js';
import {sleep} from '#core';
import type {EndpointRecord} from '#dispatch';
import {freePort} from '#harness';

const TRUST_MS = 3000;

async function startPair(t: Test): Promise<{
	readonly registers: readonly [FakeRegistry, FakeRegistry];
	readonly ports: readonly [number, number];
	readonly endpoint: FakeEndpoint;
}> {
	const endpoint = await FakeEndpoint.create(t, 'e1', (socket, {id}) => socket.write(answer(id, 'whole')));
	const records: readonly EndpointRecord[] = [endpoint.record()];
	const config = testConfig([testRoute()], 1, ['key-1', 'key-2']);
	const registers = [FakeRegistry.create(config, records), FakeRegistry.create(config, records)] as const;
	const peerPorts = [await freePort(), await freePort()] as const;
	const first = await startGateway(t, registers[0], {keyTrustMs: TRUST_MS, peers: {host: '127.0.0.1', port: peerPorts[0], seeds: []}});
	const second = await startGateway(t, registers[1], {keyTrustMs: TRUST_MS, peers: {host: '127.0.0.1', port: peerPorts[1], seeds: [`127.0.0.1:${peerPorts[0]}`]}});
	return {registers, ports: [first.port, second.port], endpoint};
}

const request = (id: string, key: string) => `GET / HTTP/1.1\r\nHost: h\r\nX-Request-Id: ${id}\r\nX-Key: ${key}\r\n\r\n`;

async function statusOf(port: number, key: string): Promise<string> {
	const {text} = await callRaw(port, request('q', key), 600, '\n');
	return text.slice(9, 12);
}

void t.test('an entry that the register turns away serves by what its neighbour confirms', async t => {
	const {registers, ports} = await startPair(t);
	registers[1].isDown = true;
	await sleep(TRUST_MS + 800);
	t.equal(await statusOf(ports[1], 'key-1'), '200');
	void t.test('and learns of a key that was taken away', async t => {
		registers[0].config = testConfig([testRoute()], 2, ['key-2']);
		await sleep(2500);
		t.equal(await statusOf(ports[1], 'key-1'), '401');
		t.equal(await statusOf(ports[1], 'key-2'), '200');
	});
});

void t.test('entries that cannot confirm their configuration refuse requests with keys as not run', async t => {
	const {registers, ports, endpoint} = await startPair(t);
	registers[0].isDown = true;
	registers[1].isDown = true;
	await sleep(TRUST_MS + 1000);
	const before = endpoint.received.length;
	t.equal(await statusOf(ports[0], 'key-1'), '503');
	t.equal(await statusOf(ports[1], 'key-1'), '503');
	t.equal(endpoint.received.length, before);
});

void t.test('an entry that starts while the register is away learns all from its seeds', async t => {
	const endpoint = await FakeEndpoint.create(t, 'e1', (socket, {id}) => socket.write(answer(id, 'whole')));
	const seed = await freePort();
	await startGateway(t, FakeRegistry.create(testConfig([testRoute()], 1, ['key-1']), [endpoint.record()]), {keyTrustMs: TRUST_MS, peers: {host: '127.0.0.1', port: seed, seeds: []}});
	const register = FakeRegistry.create(undefined, []);
	register.isDown = true;
	const {port} = await startGateway(t, register, {keyTrustMs: TRUST_MS, peers: {host: '127.0.0.1', port: await freePort(), seeds: [`127.0.0.1:${seed}`]}});
	t.equal(await statusOf(port, 'key-1'), '200');
	t.equal(await statusOf(port, 'key-9'), '401');
});

void t.test('one of two entries reads the configuration, the other one when it fails', async t => {
	const {registers, ports} = await startPair(t);
	await sleep(1500);
	const before = registers.map(({reads}) => reads);
	await sleep(3000);
	const [first, second] = [registers[0].reads - before[0]!, registers[1].reads - before[1]!] as const;
	t.ok(first + second >= 2 && first + second <= 4, `${first} and ${second} reads in 3 s, one a second together`);
	const [reader, other] = first > second ? [0, 1] as const : [1, 0] as const;
	registers[reader].isDown = true;
	const config = testConfig([testRoute()], 2, ['key-2']);
	for (const register of registers) {
		register.config = config;
	}

	// The shortest time in which a change must be in force on a platform in use.
	await sleep(2000);
	t.equal(await statusOf(ports[other], 'key-1'), '401');
	t.equal(await statusOf(ports[reader], 'key-1'), '401', 'also where the register cannot be read');
});

void t.test('the content of a configuration comes from the register; another entry only tells that it is there', async t => {
	const {registers, ports} = await startPair(t);
	await sleep(500);
	const routes = [testRoute(), ...Array.from({length: 2000}, (_, i) => testRoute({name: `r${i}`, pathPrefix: `/p${i}/`}))];
	registers[0].config = testConfig(routes, 2, ['key-2']);
	registers[1].config = registers[0].config;
	const before = registers.map(({reads}) => reads);
	await sleep(2000);
	t.equal(await statusOf(ports[0], 'key-2'), '200');
	t.equal(await statusOf(ports[1], 'key-2'), '200');
	t.ok(registers.every(({reads}, i) => reads > before[i]!), 'both have read it');
});
