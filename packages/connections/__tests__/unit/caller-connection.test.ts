/** Connections that are kept after their last response; guards against a crowd whose unread bytes are held for all of its connections. */
import {createServer, type Server} from 'node:http';
import {once} from 'node:events';
import {connect, Socket, type AddressInfo} from 'node:net';
import {promisify} from 'node:util';
import t, {type Test} from 'tap';
import {CallerConnections, UndrainedConnections} from '#connections';
import {sleep} from '#core';
import {collectGarbage} from '#harness';

const CALLERS = 40;

/** Connections that may stay when each has been sent more than is read after its last response. */
const MAX_KEPT = 16;

/** Time after which further connections are closed, in ms; those that are kept stay for 2 s. */
const CHECKED_AFTER_MS = 1000;

const HEAD = 'POST / HTTP/1.1\r\nHost: h\r\n';
const REST = 'x'.repeat(1024 * 1024);

/** Starts a server that closes each connection after its first response. */
async function startServer(t: Test): Promise<Server> {
	const connections = CallerConnections.create({onUnsent: () => undefined});
	const server = createServer((req, res) => {
		const connection = connections.of(req.socket);
		if (!connection.take(res)) {
			return;
		}

		connection.closesAfter(res, {kind: 'must-close', reason: 'test'});
		res.writeHead(413, {Connection: 'close', 'Content-Length': 0}).end();
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.close();
		server.closeAllConnections();
	});
	return server;
}

/** Sends a request, and `later` after the response has begun. The connection stays open. */
async function call(t: Test, {port}: AddressInfo, request: string, later: string): Promise<void> {
	const socket = connect({port, host: '127.0.0.1', allowHalfOpen: true});
	t.teardown(() => {
		socket.destroy();
	});
	socket.on('error', () => undefined).write(request);
	await once(socket, 'data');
	socket.write(later);
}

const cases: ReadonlyArray<{readonly name: string; readonly request: string; readonly later: string}> = [
	{name: 'the rest of a body that was not read', request: `${HEAD}Content-Length: 2000000\r\n\r\n`, later: REST},
	{name: 'a body that stops before its end', request: `${HEAD}Content-Length: 2000000\r\n\r\nx`, later: ''},
	{name: 'further requests', request: `${HEAD}Content-Length: 0\r\n\r\n`, later: `${HEAD}Content-Length: ${REST.length}\r\n\r\n${REST}`},
];

for (const {name, request, later} of cases) {
	await t.test(name, async t => {
		const server = await startServer(t);
		await Promise.all(Array.from({length: CALLERS}, async () => call(t, server.address() as AddressInfo, request, later)));
		await sleep(CHECKED_AFTER_MS);
		const kept = await promisify<number>(callback => {
			server.getConnections(callback);
		})();
		t.ok(kept > 0 && kept <= MAX_KEPT, `${kept} connections are kept`);
	});
}

void t.test('connections that are added in one turn', t => {
	const undrained = UndrainedConnections.create();
	const sockets = Array.from({length: CALLERS}, () => new Socket());
	for (const socket of sockets) {
		undrained.add(socket);
	}

	t.same(sockets.map(({destroyed}) => destroyed), sockets.map((_, i) => i < CALLERS - MAX_KEPT), 'the oldest are closed');
	t.end();
});

/** Asks for the connections of sockets that close, and of those that have closed. */
async function closeSockets(connections: CallerConnections): Promise<ReadonlyArray<WeakRef<Socket>>> {
	return Promise.all(Array.from({length: CALLERS}, async (_, i) => {
		const socket = new Socket();
		if (i % 2 === 0) {
			connections.of(socket);
		}

		const closed = once(socket, 'close');
		socket.destroy();
		await closed;
		connections.of(socket);
		return new WeakRef(socket);
	}));
}

await t.test('connections that have closed are not held', async t => {
	const connections = CallerConnections.create({onUnsent: () => undefined});
	const refs = await closeSockets(connections);
	await sleep(10);
	collectGarbage();
	t.equal(refs.filter(ref => ref.deref() !== undefined).length, 0);
	t.equal(connections.lingering, 0);
});
