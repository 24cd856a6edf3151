/** An entry that starts again within a window makes no more retries than the window allows. */
import t from 'tap';
import {
	callRaw, FakeEndpoint, FakeRegistry, response, startGateway, testConfig, testRoute,
} from '../gateway-harness.js';
import {worstExcess} from '../retry-rule.js';
import {sleep} from '#core';

const rule = {fraction: 0.2, windowMs: 3000, slack: 24};
const ROUNDS = 2;
const SERVED_PER_ROUND = 300;
const REFUSED_PER_ROUND = 60;

void t.test('an entry that starts again has no second share of the retries', async t => {
	let isFull = false;
	const requests: number[] = [];
	const arrivals: Array<{readonly id: string; readonly at: number}> = [];
	const endpoints = await Promise.all([0, 1].map(async index => FakeEndpoint.create(t, `e${index}`, (socket, {id}) => {
		arrivals.push({id, at: performance.now()});
		socket.write(isFull ? response(id, '', '503 Full', 'X-Not-Run: 1\r\n') : response(id, 'ok'));
	})));
	const registry = FakeRegistry.create(testConfig([testRoute()]), endpoints.map(endpoint => endpoint.record()));
	const send = async (port: number, count: number) => {
		await Promise.all(Array.from({length: count}, async () => {
			const id = `q${requests.push(performance.now())}`;
			return callRaw(port, `GET / HTTP/1.1\r\nHost: h\r\nX-Request-Id: ${id}\r\n\r\n`, 2000, '\r\n\r\n');
		}));
	};

	for (let round = 0; round < ROUNDS; round += 1) {
		const {gateway, port} = await startGateway(t, registry, {retry: {...rule, isFirstStart: round === 0}, graceMs: 100});
		isFull = false;
		await send(port, SERVED_PER_ROUND);
		// The served requests of the first round leave the window before the refused ones of the second do.
		await sleep(round === 0 ? rule.windowMs * 0.7 : 0);
		isFull = true;
		await send(port, REFUSED_PER_ROUND);
		await gateway.stop();
	}

	const seen = new Set<string>();
	const repeats = arrivals.filter(({id}) => seen.size === seen.add(id).size).map(({at}) => at);
	const excess = worstExcess({requests, repeats}, rule);
	t.ok(excess <= 0, `${repeats.length} repeats, ${excess} beyond what a window allows`);
	t.ok(repeats.length > 0, 'retries are made');
});
