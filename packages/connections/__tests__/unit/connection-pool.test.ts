/** Reuse of idle connections. */
import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import process from 'node:process';
import t from 'tap';
import {ConnectionPool} from '../../src/connection-pool.js';
import {BufferBudget, Exchange, readResponseBody} from '#connections';
import {sleep} from '#core';

/** Longer than the timeout for establishing a connection, in ms. */
const BLOCKED_MS = 600;

void t.test('a connection that is established while the event loop is blocked has not timed out', async t => {
	const server = createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const stop = new AbortController();
	const pool = ConnectionPool.create(() => performance.now(), stop.signal);
	const opening = pool.acquire({id: 'e1', address: `127.0.0.1:${(server.address() as AddressInfo).port}`}, {isNewRequired: true, timeoutMs: 1000});
	process.nextTick(() => {
		Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, BLOCKED_MS);
	});
	const opened = await opening;
	t.equal(opened.kind, 'connected');
	if (opened.kind === 'connected') {
		opened.socket.destroy();
	}

	stop.abort();
	server.close();
});

void t.test('a connection that is reused many times accumulates no listeners', async t => {
	const server = createServer(socket => {
		socket.on('error', () => undefined);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const stop = new AbortController();
	t.teardown(() => {
		stop.abort();
		server.close();
	});
	const pool = ConnectionPool.create(() => performance.now(), stop.signal);
	const target = {id: 'e1', address: `127.0.0.1:${(server.address() as AddressInfo).port}`};
	for (let use = 0; use < 20; use += 1) {
		const opened = await pool.acquire(target, {isNewRequired: false, timeoutMs: 1000});
		if (opened.kind === 'failed') {
			t.fail(opened.reason);
			return;
		}

		t.equal(opened.isReused, use > 0);
		for (const event of ['timeout', 'data', 'end', 'error']) {
			t.ok(opened.socket.listenerCount(event) <= 1, `${event}: ${opened.socket.listenerCount(event)}`);
		}

		pool.release(target, opened.socket, undefined);
	}
});

// Guards against connections that stay open after their endpoint was closed: each second one was skipped.
void t.test('all idle connections of an endpoint are closed', async t => {
	let open = 0;
	const server = createServer(socket => {
		open += 1;
		socket.on('error', () => undefined).on('data', () => undefined).once('close', () => {
			open -= 1;
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const stop = new AbortController();
	t.teardown(() => {
		stop.abort();
		server.close();
	});
	const pool = ConnectionPool.create(() => performance.now(), stop.signal);
	const target = {id: 'e1', address: `127.0.0.1:${(server.address() as AddressInfo).port}`};
	for (const connection of await Promise.all(Array.from({length: 5}, async () => pool.acquire(target, {isNewRequired: true, timeoutMs: 1000})))) {
		if (connection.kind === 'connected') {
			pool.release(target, connection.socket, undefined);
		}
	}

	await sleep(100);
	t.equal(open, 5);
	pool.closeIdle('e1');
	await sleep(100);
	t.equal(open, 0);
});

const endings = [
	{name: 'a short body', chunks: 1},
	{name: 'a body that is paused for its chunks near its end', chunks: 21_000},
	{name: 'a body that is paused for its chunks before', chunks: 40_000},
] as const;

for (const {name, chunks} of endings) {
	await t.test(`the connection serves the next request after ${name}, and is not closed by the end of the first`, async t => {
		const server = createServer(socket => {
			socket.on('error', () => undefined).on('data', () => {
				socket.write(`HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${'4\r\nbody\r\n'.repeat(chunks)}0\r\n\r\n`);
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const stop = new AbortController();
		const buffers = BufferBudget.create();
		const timer = setInterval(() => {
			buffers.sweep();
		}, 20);
		t.teardown(() => {
			clearInterval(timer);
			stop.abort();
			server.close();
		});
		const pool = ConnectionPool.create(() => performance.now(), stop.signal);
		const target = {id: 'e1', address: `127.0.0.1:${(server.address() as AddressInfo).port}`};
		const send = async () => {
			const opened = await pool.acquire(target, {isNewRequired: false, timeoutMs: 1000});
			if (opened.kind === 'failed') {
				throw new Error(opened.reason);
			}

			const exchange = Exchange.create(target, opened.socket, pool, {
				method: 'GET', path: '/', headers: ['Host', 'h'], body: new Uint8Array(),
			});
			const head = await exchange.head;
			if (head.kind === 'broken') {
				throw new Error(head.reason);
			}

			const body = await readResponseBody(exchange, head.res, {maxBytes: 1_000_000, buffers});
			return {exchange, isReused: opened.isReused, bytes: body.kind === 'complete' ? body.body.length : 0};
		};

		const first = await send();
		t.equal(first.bytes, 4 * chunks);
		await sleep(20);
		const second = send();
		await sleep(0);
		first.exchange.abort();
		t.match(await second, {isReused: true, bytes: 4 * chunks});
	});
}
