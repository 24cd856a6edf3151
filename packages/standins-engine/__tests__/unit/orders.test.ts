import {setInterval} from 'node:timers/promises';
import t from 'tap';
import {EngineGroup, EngineServer} from '#standins-engine';

const map = {slots: [[[0], [1]]]};

type OrderResponse = {readonly status: number; readonly body: {readonly reason?: string; readonly state?: {readonly step: number; readonly mapVersion: number}}};

async function order(server: EngineServer, name: string, fields: Record<string, unknown>): Promise<OrderResponse> {
	const res = await fetch(`${server.url}/v1/orders`, {
		method: 'POST', headers: {'content-type': 'application/json'}, body: JSON.stringify({
			order: name, version: 2, fence: 5, ...fields,
		}),
	});
	return {status: res.status, body: await res.json() as OrderResponse['body']};
}

async function until(condition: () => boolean): Promise<void> {
	for await (const _ of setInterval(2)) {
		if (condition()) {
			return;
		}
	}
}

await t.test('orders over HTTP: an idle engine waits at its gate and changes its map after go', async t => {
	const server = await EngineServer.create({stepMs: 1});
	t.teardown(async () => server.close());
	t.match(await order(server, 'gate', {step: 9}), {status: 409, body: {reason: 'not-prepared'}});
	t.match(await order(server, 'prepare', {}), {status: 400}, 'prepare without a map is rejected');
	t.match(await order(server, 'prepare', {map}), {status: 200, body: {state: {prepared: [2]}}});
	t.match(await order(server, 'gate', {step: 9}), {status: 200});
	t.match(await order(server, 'go', {step: 9, fence: 4}), {status: 409, body: {reason: 'fence'}});
	await until(() => server.engine.orderState()?.step === 9);
	t.match(await order(server, 'go', {step: 9}), {status: 200});
	await until(() => server.engine.orderState()?.mapVersion === 2);
	t.match(await order(server, 'cancel', {step: 9}), {status: 409, body: {reason: 'gone'}});
	const res = await fetch(`${server.url}/v1/orders/state`);
	t.match(await res.json(), {
		epoch: 1, mapVersion: 2, prepared: [], fence: 5,
	});
});

await t.test('an engine with the ignoreFence fault executes an order with a lower fencing token', async t => {
	const server = await EngineServer.create({stepMs: 1});
	t.teardown(async () => server.close());
	await order(server, 'prepare', {map});
	server.inject({ignoreFence: true});
	t.match(await order(server, 'prepare', {map, version: 3, fence: 1}), {status: 200, body: {state: {fence: 5}}});
	server.inject({ignoreFence: false});
	t.match(await order(server, 'prepare', {map, version: 4, fence: 1}), {status: 409});
});

await t.test('a gate on one rank blocks the responses of the whole group, and no step mixes maps', async t => {
	const group = await EngineGroup.create({members: ['a', 'b', 'c'], stepMs: 1});
	t.teardown(async () => group.close());
	const gateStep = 5;
	await Promise.all(group.servers.map(async server => {
		await order(server, 'prepare', {map});
		await order(server, 'gate', {step: gateStep});
	}));
	const [first, ...others] = group.servers;
	const response = fetch(`${first?.url}/v1/completions`, {
		method: 'POST', headers: {'content-type': 'application/json', 'x-request-id': 'r'}, body: JSON.stringify({model: 'drafting', prompt: 'x', max_tokens: 30}),
	});
	await until(() => group.driver.group.completed === gateStep);
	await Promise.all(others.map(async server => order(server, 'go', {step: gateStep})));
	t.equal(group.driver.group.completed, gateStep, 'the rank without go blocks all others');
	t.match(first?.statsOf('r'), {states: ['running']});
	t.ok((first?.statsOf('r')?.tokens ?? 99) <= gateStep);
	await (first === undefined ? undefined : order(first, 'go', {step: gateStep}));
	const res = await response;
	t.equal(res.status, 200);
	t.same(group.driver.group.mixedSteps, []);
	t.same(group.servers.map(server => server.engine.orderState()?.mapVersion), [2, 2, 2]);
});

await t.test('a crashed rank restarts outside the barrier; the others are blocked until they re-form without it', async t => {
	const group = await EngineGroup.create({members: ['a', 'b'], stepMs: 1});
	t.teardown(async () => group.close());
	const [a, b] = group.servers;
	b?.inject({restartMs: 1});
	b?.engine.crash();
	await until(() => b?.engine.orderState() !== undefined);
	t.match(b?.engine.orderState(), {epoch: 0, mapVersion: 0});
	const response = fetch(`${a?.url}/v1/completions`, {
		method: 'POST', headers: {'content-type': 'application/json'}, body: JSON.stringify({model: 'drafting', prompt: 'x', max_tokens: 3}),
	});
	await until(() => a?.counts().requests === 1);
	t.equal(group.driver.group.completed, 0);
	t.match(a && await order(a, 'reform', {
		version: 1, epoch: 2, step: 10, members: ['a'],
	}), {status: 200});
	const res = await response;
	t.equal(res.status, 200);
});
