import t, {type Test} from 'tap';
import {ServiceServer} from '#standins-service';

async function startService(t: Test): Promise<ServiceServer> {
	const server = await ServiceServer.create();
	t.teardown(async () => server.close());
	return server;
}

type CallResult = {readonly status: number; readonly body: unknown};

async function call(server: ServiceServer, path: string, init: RequestInit = {}): Promise<CallResult> {
	const res = await fetch(`${server.url}${path}`, init);
	return {status: res.status, body: await res.json()};
}

async function post(server: ServiceServer, path: string, value: unknown, key?: string): Promise<CallResult> {
	const headers = {'content-type': 'application/json', ...(key === undefined ? {} : {'idempotency-key': key})};
	return call(server, path, {method: 'POST', headers, body: JSON.stringify(value)});
}

await t.test('a repeated key runs again and is counted as a duplicate run', async t => {
	const server = await startService(t);
	t.same(await post(server, '/bookings', {household: 1}, 'k'), {status: 201, body: {run: 1, key: 'k', state: 'booked'}});
	t.match(await post(server, '/bookings', {household: 1}, 'k'), {status: 201, body: {run: 2}});
	await post(server, '/bookings', {household: 2});
	t.match(server.counts(), {runs: 3, doubleRuns: 1, byKey: {k: 2}});
	t.match(await call(server, '/bookings/by-key/k'), {status: 200, body: {ran: true, runs: 2, answer: {run: 1}}});
	t.match(await call(server, '/bookings/by-key/other'), {status: 404});
	t.match(await call(server, '/bookings'), {body: {items: [{run: 1}, {run: 2}, {run: 3}]}});
});

await t.test('a call whose response is dropped has run; a refused call has not', async t => {
	const server = await startService(t);
	await post(server, '/faults', {dropAfterRun: 1, delayMs: 1});
	await t.rejects(post(server, '/bookings', {}, 'dropped'));
	t.match(await post(server, '/bookings', {}, 'next'), {status: 201});
	await post(server, '/faults', {status: 500});
	t.match(await post(server, '/bookings', {}, 'refused'), {status: 500});
	t.match(server.counts(), {dropped: 1, refused: 1, byKey: {dropped: 1, next: 1, refused: undefined}});
	t.match(await post(server, '/faults', {status: 200}), {status: 400});
});
