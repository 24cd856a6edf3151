/** Retries that wait for a stopped group count when they are sent, not when they were granted. */
import t from 'tap';
import {
	callRaw, FakeEndpoint, FakeRegistry, response, startGateway, testConfig, testRoute,
} from '../gateway-harness.js';
import {worstExcess} from '../retry-rule.js';
import {sleep} from '#core';

/** With the delay of a refusal, requests wait longer for the group than the window is. */
const rule = {fraction: 0.2, windowMs: 1200, slack: 20};
const WAIT_MS = 1200;
const REFUSAL_MS = 100;
const SERVED = 200;
const REFUSED = 40;

void t.test('retries that waited beyond a window add no second share to the next one', async t => {
	let state: 'served' | 'refused' | 'stopped' = 'served';
	const requests: number[] = [];
	const arrivals: Array<{readonly id: string; readonly at: number}> = [];
	const endpoints = await Promise.all([0, 1].map(async index => FakeEndpoint.create(t, `e${index}`, (socket, {id}) => {
		arrivals.push({id, at: performance.now()});
		if (state === 'served') {
			socket.write(response(id, 'ok'));
			return;
		}

		// All requests are on their way when the first one is refused.
		setTimeout(() => {
			socket.write(response(id, '', '503 Full', 'X-Not-Run: 1\r\n'));
		}, REFUSAL_MS);
	})));
	const route = testRoute({timeoutMs: 4000});
	const registry = FakeRegistry.create(testConfig([route], 1, undefined, ['texts']), endpoints.map(endpoint => ({...endpoint.record(), slots: 4 * REFUSED})));
	const {port} = await startGateway(t, registry, {retry: {...rule, isFirstStart: true}, probeGroup: async () => state !== 'stopped'});
	const send = async (count: number) => Promise.all(Array.from({length: count}, async () => {
		const id = `q${requests.push(performance.now())}`;
		return callRaw(port, `GET / HTTP/1.1\r\nHost: h\r\nX-Request-Id: ${id}\r\n\r\n`, 3000, '\r\n\r\n');
	}));

	await send(SERVED);
	state = 'stopped';
	const waiting = send(REFUSED);
	await sleep(WAIT_MS);
	state = 'served';
	await waiting;
	await send(SERVED);
	state = 'refused';
	await send(REFUSED);

	const seen = new Set<string>();
	const repeats = arrivals.filter(({id}) => seen.size === seen.add(id).size).map(({at}) => at);
	const excess = worstExcess({requests, repeats}, rule);
	t.ok(excess <= 0, `${repeats.length} repeats, ${excess} beyond what a window allows`);
	t.ok(repeats.length > 0, 'retries are made');
});
