/** Connections to the port for readiness; guards against clients that send bodies without end, or keep many connections. */
import {connect, type Socket} from 'node:net';
import t, {type Test} from 'tap';
import {serveStatus} from '../../src/status-server.js';
import {findFreePort, waitUntil} from '#harness';

const HOST = '127.0.0.1';

/** More than the server keeps. */
const CONNECTIONS = 100;

const GET = 'GET /ready HTTP/1.1\r\nHost: h\r\n';

type Client = {readonly socket: Socket; readonly text: () => string; readonly isClosed: () => boolean};

async function startServer(t: Test): Promise<number> {
	const stop = new AbortController();
	t.teardown(() => {
		stop.abort();
	});
	const port = await findFreePort();
	await serveStatus(HOST, port, async () => ({status: 200, body: 'ready\n'}), {
		signal: stop.signal,
		onError(error) {
			t.fail(String(error));
		},
	});
	return port;
}

function openClient(t: Test, port: number): Client {
	const socket = connect(port, HOST);
	let text = '';
	let isClosed = false;
	socket.on('error', () => undefined).on('data', data => {
		text += data.toString('latin1');
	}).once('close', () => {
		isClosed = true;
	});
	t.teardown(() => {
		socket.destroy();
	});
	return {socket, text: () => text, isClosed: () => isClosed};
}

function countAnswers({text}: Client): number {
	return text().split('HTTP/1.1 200 OK').length - 1;
}

const cases: ReadonlyArray<{readonly name: string; readonly requests: string; readonly answers: number; readonly isClosed: boolean}> = [
	{
		name: 'requests without a body', requests: `${GET}\r\n`.repeat(2), answers: 2, isClosed: false,
	},
	{
		name: 'a request with an empty body', requests: `${GET}Content-Length: 0\r\n\r\n`.repeat(2), answers: 2, isClosed: false,
	},
	{
		name: 'bodies one behind the other', requests: `${GET}Content-Length: 2\r\n\r\nxx`.repeat(2), answers: 1, isClosed: true,
	},
	{
		name: 'a body that stops before its end', requests: `${GET}Content-Length: 1000000\r\n\r\nx`, answers: 1, isClosed: true,
	},
	{
		name: 'a body in chunks that stops before its end', requests: `${GET}Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n`, answers: 1, isClosed: true,
	},
];

for (const {name, requests, answers, isClosed} of cases) {
	await t.test(name, async t => {
		const client = openClient(t, await startServer(t));
		client.socket.write(requests);
		await waitUntil('answers', async () => countAnswers(client) === answers);
		if (isClosed) {
			await waitUntil('the connection closes', async () => client.isClosed());
		} else {
			client.socket.write(`${GET}\r\n`);
			await waitUntil('another answer', async () => countAnswers(client) === answers + 1);
		}

		t.equal(client.isClosed(), isClosed);
		t.equal(countAnswers(client), isClosed ? answers : answers + 1);
	});
}

await t.test('a new connection takes the place of one that is idle', async t => {
	const port = await startServer(t);
	const clients: Client[] = [];
	for (let i = 0; i < CONNECTIONS; i += 1) {
		const client = openClient(t, port);
		client.socket.write(`${GET}\r\n`);
		await waitUntil(`an answer on connection ${i}`, async () => countAnswers(client) === 1);
		clients.push(client);
	}

	await waitUntil('connections are closed', async () => clients.filter(client => client.isClosed()).length > CONNECTIONS / 4);
	t.notOk(clients.at(-1)!.isClosed(), 'not the newest');
});
