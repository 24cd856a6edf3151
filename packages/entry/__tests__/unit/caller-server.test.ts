/** What the server for callers holds of connections that have closed; guards against memory that grows with callers that leave before their answers. */
import {once} from 'node:events';
import {IncomingMessage, ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import t from 'tap';
import {CallerServer} from '../../src/caller-server.js';
import {sleep} from '#core';
import {collectGarbage} from '#harness';
import {createSilentLogger} from '#telemetry';

const CALLERS = 40;

const cases: ReadonlyArray<{readonly name: string; readonly use: (server: CallerServer, res: ServerResponse) => void}> = [
	{
		name: 'a response begins', use(server, res) {
			server.closesAfter(res);
		},
	},
	{
		name: 'the reason is asked for', use(server, res) {
			server.closeReasonOf(res);
		},
	},
	{
		name: 'a response is cut', use(server, res) {
			server.cut(res, 'test');
		},
	},
];

for (const {name, use} of cases) {
	await t.test(`${name} after the caller has left`, async t => {
		const server = CallerServer.create(createSilentLogger(), {maxConnections: 100, dropBody: () => undefined});
		const refs = await Promise.all(Array.from({length: CALLERS}, async () => leaveBefore(res => {
			use(server, res);
		})));
		await sleep(10);
		collectGarbage();
		t.equal(refs.filter(ref => ref.deref() !== undefined).length, 0);
		t.equal(server.lingeringConnections, 0);
	});
}

/** Uses a response whose connection has closed. */
async function leaveBefore(use: (res: ServerResponse) => void): Promise<WeakRef<Socket>> {
	const socket = new Socket();
	const closed = once(socket, 'close');
	socket.destroy();
	await closed;
	use(new ServerResponse(new IncomingMessage(socket)));
	return new WeakRef(socket);
}
