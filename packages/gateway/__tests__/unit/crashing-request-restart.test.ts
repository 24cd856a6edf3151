/** What entries know of a request that crashes endpoints outlasts the restart of any of them, and all of them find it again soon. */
import {randomInt} from 'node:crypto';
import t from 'tap';
import {
	callRaw, FakeRegistry, response, startCrashingEndpoints, startGateway, testConfig, testRoute,
} from '../gateway-harness.js';
import {sleep} from '#core';
import {findFreePort} from '#harness';

const ENDPOINTS = 9;
const ENTRIES = 3;

/** Time between two calls, in ms: longer than two exchanges between entries and the interval between probes. */
const CALL_INTERVAL_MS = 1100;

/** Crashes by which a request without shared parts is blocked: the first one, and that of its probe. */
const CRASHES_TO_BLOCK = 2;

const cases: ReadonlyArray<{readonly name: string; readonly maxAttempts: number; readonly restarted: number; readonly maxCrashes: number}> = [
	{
		name: 'no restart', maxAttempts: 3, restarted: 0, maxCrashes: CRASHES_TO_BLOCK,
	},
	{
		name: 'one entry restarts', maxAttempts: 3, restarted: 1, maxCrashes: CRASHES_TO_BLOCK,
	},
	{
		name: 'all but one restart', maxAttempts: 2, restarted: ENTRIES - 1, maxCrashes: CRASHES_TO_BLOCK,
	},
	{
		name: 'all entries restart', maxAttempts: 3, restarted: ENTRIES, maxCrashes: 2 * CRASHES_TO_BLOCK,
	},
];

t.jobs = cases.length;
for (const {name, maxAttempts, restarted, maxCrashes} of cases) {
	void t.test(name, {buffered: true}, async t => {
		const {endpoints, crashed} = await startCrashingEndpoints(t, {
			count: ENDPOINTS, isDeadly: ({text}) => text.endsWith('deadly'), answer: id => response(id, 'ok'),
		});
		const registry = FakeRegistry.create(testConfig([testRoute({maxAttempts})]), endpoints.map(endpoint => endpoint.record()));
		const peerPorts: number[] = [];
		while (peerPorts.length < ENTRIES) {
			peerPorts.push(await findFreePort());
		}

		const start = async (entry: number) => startGateway(t, registry, {graceMs: 100, peers: {host: '127.0.0.1', port: peerPorts[entry]!, seeds: peerPorts.map(port => `127.0.0.1:${port}`)}});
		const entries = await Promise.all(peerPorts.map(async (_, entry) => start(entry)));
		const callAll = async () => {
			for (let entry = 0; entry < ENTRIES; entry += 1) {
				await callRaw(entries[entry]!.port, `POST /a HTTP/1.1\r\nHost: h\r\nX-Request-Id: q${randomInt(1e9)}\r\nContent-Length: 6\r\n\r\ndeadly`, 2500, '\r\n\r\n');
				await sleep(CALL_INTERVAL_MS);
			}
		};

		await sleep(CALL_INTERVAL_MS);
		await callAll();
		t.equal(crashed.size, CRASHES_TO_BLOCK, 'the request is found');
		await Promise.all(entries.slice(0, restarted).map(async ({gateway}) => gateway.stop()));
		await Promise.all(peerPorts.slice(0, restarted).map(async (_, entry) => {
			entries[entry] = await start(entry);
		}));
		await sleep(CALL_INTERVAL_MS);
		await callAll();
		t.ok(crashed.size <= maxCrashes, `${crashed.size} crashes`);
	});
}
