import {spawn} from 'node:child_process';
import process from 'node:process';
import t from 'tap';
import {request} from 'undici';
import {PlatformServer} from '#standins-platform';

const instance = {
	role: 'endpoint', kind: 'model', address: '127.0.0.1:9', zone: 'lucena', region: 'luzon-south', ranks: [0, 1], models: ['mimosa-serve'],
};

async function call(method: 'DELETE' | 'GET' | 'POST' | 'PUT', url: string, body?: unknown): Promise<{status: number; body: unknown}> {
	const res = await request(url, {method, ...(body === undefined ? {} : {body: JSON.stringify(body)})});
	return {status: res.statusCode, body: await res.body.json()};
}

await t.test('the instances list lags behind the registrations', async t => {
	let now = 0;
	const server = await PlatformServer.create({instanceLagMs: 100, now: () => now});
	t.teardown(async () => server.close());
	const list = async () => call('GET', `${server.url}/apis/mimosamount/v1/instances`);
	await call('PUT', `${server.url}/instances/e%201`, instance);
	t.match(await list(), {status: 200, body: {items: {length: 0}}});
	now = 100;
	t.match(await list(), {body: {items: [{id: 'e 1', state: 'live', ranks: [0, 1]}]}});
	await call('PUT', `${server.url}/instances/e%201`, {...instance, state: 'leaving'});
	now = 150;
	await call('DELETE', `${server.url}/instances/e%201`);
	t.match(await list(), {body: {items: [{state: 'live'}]}});
	now = 200;
	t.match(await list(), {body: {items: [{state: 'leaving'}]}});
	now = 250;
	t.match(await list(), {body: {items: {length: 0}}});
});

await t.test('invalid input is refused with a message', async t => {
	const server = await PlatformServer.create({key: 'secret'});
	t.teardown(async () => server.close());
	const cases: ReadonlyArray<readonly [string, ReturnType<typeof call>, number]> = [
		['unknown fault', call('POST', `${server.url}/faults`, {upsideDown: true}), 400],
		['negative count', call('POST', `${server.url}/faults`, {loseCount: -1}), 400],
		['instance without address', call('PUT', `${server.url}/instances/a`, {role: 'endpoint'}), 400],
		['unknown route', call('GET', `${server.url}/nothing`), 404],
		['no key', call('GET', `${server.url}/apis/mimosamount/v1/objects/a`), 401],
	];
	for (const [name, response, status] of cases) {
		t.match(await response, {status, body: {message: String}}, name);
	}

	t.match(await call('POST', `${server.url}/faults`, {slowMs: 5}), {status: 200, body: {slowMs: 5, down: false}}, 'other faults keep their values');
	t.match(await call('GET', `${server.url}/calls`), {body: {unauthorized: 1, read: 0}});
});

await t.test('the process prints its port and stops on SIGTERM', async t => {
	const child = spawn(process.execPath, ['target/packages/standins-platform/src/bin.js', '--port', '0', '--key', 'k'], {stdio: ['ignore', 'pipe', 'inherit']});
	const line = await new Promise<string>(resolve => {
		child.stdout.setEncoding('utf8').once('data', resolve);
	});
	const {listening} = JSON.parse(line) as {listening: number};
	t.match(await call('GET', `http://127.0.0.1:${listening}/calls`), {status: 200, body: {read: 0}});
	const exitCode = new Promise(resolve => {
		child.once('exit', resolve);
	});
	child.kill('SIGTERM');
	t.equal(await exitCode, 0);
});
