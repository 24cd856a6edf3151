import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import {setInterval, setTimeout} from 'node:timers/promises';
import t, {type Test} from 'tap';
import {FaultProxy} from '#standins-proxy';

type Client = {readonly socket: Socket; readonly received: () => string; readonly closed: Promise<unknown>};

/** Starts an echo server behind a proxy. */
async function startProxy(t: Test): Promise<FaultProxy> {
	const echo = createServer(socket => {
		socket.on('error', () => undefined);
		socket.pipe(socket);
	});
	echo.listen(0, '127.0.0.1');
	await once(echo, 'listening');
	const proxy = await FaultProxy.create({target: `127.0.0.1:${(echo.address() as AddressInfo).port}`, control: 0});
	t.teardown(async () => {
		await proxy.close();
		echo.close();
	});
	return proxy;
}

function openClient(t: Test, proxy: FaultProxy): Client {
	const socket = connect(proxy.port, '127.0.0.1');
	let text = '';
	socket.setEncoding('utf8').on('data', data => {
		text += String(data);
	});
	socket.on('error', () => undefined);
	t.teardown(() => socket.destroy());
	return {
		socket, received: () => text, closed: new Promise(resolve => {
			socket.on('close', resolve);
		}),
	};
}

async function until(condition: () => boolean): Promise<void> {
	for await (const _ of setInterval(2)) {
		if (condition()) {
			return;
		}
	}
}

async function echoes(client: Client, text: string): Promise<void> {
	client.socket.write(text);
	await until(() => client.received().endsWith(text));
}

await t.test('bytes pass unaltered in order, also delayed and slowed, and the end is passed on', async t => {
	const proxy = await startProxy(t);
	const client = openClient(t, proxy);
	await echoes(client, 'plain');
	proxy.delay(5);
	await echoes(client, 'delayed');
	proxy.delay(0);
	proxy.limitRate(20_000);
	const long = Buffer.alloc(900, 'abcdefg').toString();
	await echoes(client, long);
	t.equal(client.received(), `plaindelayed${long}`);
	client.socket.end('bye');
	await client.closed;
	t.ok(client.received().endsWith('bye'));
	t.same([proxy.counts().bytesUp, proxy.counts().bytesDown], [915, 915]);
});

await t.test('freeze keeps data back until the release', async t => {
	const proxy = await startProxy(t);
	const client = openClient(t, proxy);
	await echoes(client, 'a');
	proxy.freeze();
	client.socket.write('b');
	const {bytesUp} = proxy.counts();
	const other = openClient(t, proxy);
	other.socket.write('c');
	await until(() => proxy.counts().connections === 2);
	t.equal(proxy.counts().bytesUp, bytesUp);
	proxy.unfreeze();
	await until(() => client.received() === 'ab' && other.received() === 'c');
});

await t.test('cut resets open connections and lets new ones in', async t => {
	const proxy = await startProxy(t);
	const client = openClient(t, proxy);
	await echoes(client, 'a');
	proxy.cut();
	await client.closed;
	await echoes(openClient(t, proxy), 'again');
	t.equal(proxy.counts().resets, 1);
});

await Promise.all((['up', 'down'] as const).map(async direction => {
	await t.test(`cut ${direction} discards that direction only; restoring resets the connection that lost bytes`, async t => {
		const proxy = await startProxy(t);
		const client = openClient(t, proxy);
		await echoes(client, 'a');
		proxy.cut(direction);
		client.socket.write('lost');
		if (direction === 'down') {
			await until(() => proxy.counts().bytesUp === 5);
		}

		// Bytes of a second client pass through the proxy after the lost ones have been read.
		const other = openClient(t, proxy);
		other.socket.write('x');
		await until(() => proxy.counts().connections === 2 && (direction === 'up' || proxy.counts().bytesUp === 6));
		t.equal(client.received(), 'a');
		proxy.inject({cut: 'none', refuse: true});
		client.socket.write('y');
		await client.closed;
		t.equal(client.received(), 'a');
	});
}));

await t.test('dropAfter forwards exactly that many bytes, then closes the connection', async t => {
	const proxy = await startProxy(t);
	const client = openClient(t, proxy);
	await echoes(client, 'abc');
	proxy.dropAfter(6);
	client.socket.write('defg');
	await client.closed;
	t.equal(client.received(), 'abcde', '4 bytes up and 2 down');
	t.equal(proxy.faults.dropAfterBytes, null);
});

await t.test('faults over HTTP: refuse, restore, and an error for an unknown fault', async t => {
	const proxy = await startProxy(t);
	const statusOf = async (path: string, body: unknown): Promise<number> => {
		const res = await fetch(`http://127.0.0.1:${proxy.controlPort}${path}`, {
			method: 'POST', headers: {'content-type': 'application/json'}, body: JSON.stringify(body),
		});
		return res.status;
	};

	t.equal(await statusOf('/faults', {refuse: true}), 200);
	await openClient(t, proxy).closed;
	t.equal(await statusOf('/faults', {explode: 1}), 400);
	t.equal(await statusOf('/restore', {}), 200);
	await echoes(openClient(t, proxy), 'a');
	await t.rejects(FaultProxy.create({target: 'nowhere'}), /HOST:PORT/u);
});

void t.test('a connection that is cut in the turn of the event loop in which its client ends its side is gone', async t => {
	const server = createServer({allowHalfOpen: true});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => server.close());
	const {port} = server.address() as AddressInfo;
	const proxy = await FaultProxy.create({target: `127.0.0.1:${port}`});
	t.teardown(async () => proxy.close());
	const {socket} = openClient(t, proxy);
	const [accepted] = await once(server, 'connection') as [Socket];
	accepted.on('error', () => undefined).resume();
	// Its data is read in the same turn as the end, after it.
	const trigger = connect(port, '127.0.0.1');
	const [triggered] = await once(server, 'connection') as [Socket];
	t.teardown(() => {
		accepted.destroy();
		trigger.destroy();
		triggered.destroy();
	});
	triggered.once('data', () => {
		proxy.cut('both');
	});
	socket.end();
	trigger.write('now');
	// A side that has read the end notices a reset only when it writes.
	for (let write = 0; write < 50 && !accepted.destroyed; write += 1) {
		await setTimeout(10);
		accepted.write('part of an answer');
	}

	t.ok(accepted.destroyed, 'the other side notices');
});
