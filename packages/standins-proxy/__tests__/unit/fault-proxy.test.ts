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

async function expectEcho(client: Client, text: string): Promise<void> {
	client.socket.write(text);
	await until(() => client.received().endsWith(text));
}

await t.test('bytes are forwarded unchanged and in order, also with a delay or a rate limit, and the end of the stream is forwarded', async t => {
	const proxy = await startProxy(t);
	const client = openClient(t, proxy);
	await expectEcho(client, 'plain');
	proxy.delay(5);
	await expectEcho(client, 'delayed');
	proxy.delay(0);
	proxy.limitRate(20_000);
	const long = Buffer.alloc(900, 'abcdefg').toString();
	await expectEcho(client, long);
	t.equal(client.received(), `plaindelayed${long}`);
	client.socket.end('bye');
	await client.closed;
	t.ok(client.received().endsWith('bye'));
	t.same([proxy.counts().bytesUp, proxy.counts().bytesDown], [915, 915]);
});

await t.test('freeze buffers data until unfreeze', async t => {
	const proxy = await startProxy(t);
	const client = openClient(t, proxy);
	await expectEcho(client, 'a');
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

await t.test('cut resets open connections and accepts new ones', async t => {
	const proxy = await startProxy(t);
	const client = openClient(t, proxy);
	await expectEcho(client, 'a');
	proxy.cut();
	await client.closed;
	await expectEcho(openClient(t, proxy), 'again');
	t.equal(proxy.counts().resets, 1);
});

await Promise.all((['up', 'down'] as const).map(async direction => {
	await t.test(`cut ${direction} discards the bytes of that direction only; clearing it resets the connection that lost bytes`, async t => {
		const proxy = await startProxy(t);
		const client = openClient(t, proxy);
		await expectEcho(client, 'a');
		proxy.cut(direction);
		client.socket.write('lost');
		if (direction === 'down') {
			await until(() => proxy.counts().bytesUp === 5);
		}

		// Bytes of a second client are forwarded after the discarded ones have been read.
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

await t.test('dropAfter forwards exactly the given number of bytes, then closes the connection', async t => {
	const proxy = await startProxy(t);
	const client = openClient(t, proxy);
	await expectEcho(client, 'abc');
	proxy.dropAfter(6);
	client.socket.write('defg');
	await client.closed;
	t.equal(client.received(), 'abcde', '4 bytes up and 2 down');
	t.equal(proxy.faults.dropAfterBytes, null);
});

await t.test('faults over HTTP: refuse, restore, and the rejection of an unknown fault', async t => {
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
	await expectEcho(openClient(t, proxy), 'a');
	await t.rejects(FaultProxy.create({target: 'nowhere'}), /HOST:PORT/u);
});

void t.test('a connection that is cut in the event loop turn in which its client ends its side is closed', async t => {
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
	// Its data is read in the same event loop turn as the end of the client's side, after that end.
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
	// A socket that has read the end detects a reset only when it writes.
	for (let write = 0; write < 50 && !accepted.destroyed; write += 1) {
		await setTimeout(10);
		accepted.write('part of a response');
	}

	t.ok(accepted.destroyed, 'the other side detects the reset');
});
