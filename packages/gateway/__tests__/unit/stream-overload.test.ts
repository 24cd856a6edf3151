/** More concurrent streams than their steps can carry within the target make all streams late without serving more callers. */
import {setTimeout} from 'node:timers/promises';
import t from 'tap';
import {
	callRaw, chunk, FakeEndpoint, FakeRegistry, startGateway, streamHead, testConfig, testRoute,
} from '../gateway-harness.js';

/** Endpoints of four slots each. */
const ENDPOINTS = 5;

/** Time that each open stream adds to a step of the group, in ms. */
const STEP_MS_PER_STREAM = 20;

const OPEN_STREAMS = 18;
const MIN_EVENTS = 100;

const cases = [
	{
		name: 'steps of 18 streams exceed the target', targetGapMs: 270, isRefused: true,
	},
	{
		name: 'steps of 18 streams are within the target', targetGapMs: 3000, isRefused: false,
	},
] as const;

const request = (id: string) => `POST / HTTP/1.1\r\nHost: h\r\nX-Request-Id: ${id}\r\nX-Wait: 60000\r\nContent-Length: 0\r\n\r\n`;

for (const {name, targetGapMs, isRefused} of cases) {
	await t.test(`another stream is ${isRefused ? 'refused' : 'accepted'} while ${name}`, async t => {
		const open = new Set<(text: string) => void>();
		const stop = new AbortController();
		t.teardown(() => {
			stop.abort();
		});
		const endpoints = await Promise.all(Array.from({length: ENDPOINTS}, async (_, index) => FakeEndpoint.create(t, `e${index}`, (socket, {id}) => {
			socket.write(streamHead(id));
			open.add(text => {
				socket.write(text);
			});
		})));
		let events = 0;
		const runSteps = async () => {
			for (let step = 1; !stop.signal.aborted; step += 1) {
				await setTimeout(STEP_MS_PER_STREAM * Math.max(1, open.size));
				for (const write of open) {
					write(chunk(`id: ${step}\ndata: a\n\n`));
				}

				events += open.size === OPEN_STREAMS ? OPEN_STREAMS : 0;
			}
		};

		void runSteps();
		const route = testRoute({kind: {kind: 'stream', resumable: true, targetGapMs}, timeoutMs: 60_000, targetMs: 5000});
		const {port} = await startGateway(t, FakeRegistry.create(testConfig([route]), endpoints.map(endpoint => endpoint.record())));
		const calls = Array.from({length: OPEN_STREAMS}, async (_, index) => callRaw(port, request(`q${index}`), 10_000));
		while (events < MIN_EVENTS) {
			await setTimeout(10);
		}

		const {text} = await callRaw(port, request('one-more'), 5000, isRefused ? 'overload\n' : 'id: ');
		t.match(text, isRefused ? /^HTTP\/1\.1 503 [^]*overload/u : /^HTTP\/1\.1 200 /u);
		stop.abort();
		for (const endpoint of endpoints) {
			endpoint.close();
		}

		await Promise.all(calls);
	});
}
