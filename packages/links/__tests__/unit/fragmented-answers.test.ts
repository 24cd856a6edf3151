/** Answers in many fragments fail; guards against a client that collects small fragments, each of which takes far more memory than its bytes. */
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {pack, unpack} from 'msgpackr';
import t from 'tap';
import {WebSocketServer} from 'ws';
import {RequestClient} from '#links';

const cases = [
	{name: 'one frame', fragmentBytes: Infinity, expected: {kind: 'ok', value: 'a'.repeat(1000)}},
	{name: 'fragments of one byte', fragmentBytes: 1, expected: {kind: 'failed', failure: 'closed'}},
] as const;

for (const {name, fragmentBytes, expected} of cases) {
	void t.test(`an answer in ${name}`, async t => {
		const server = new WebSocketServer({host: '127.0.0.1', port: 0});
		await once(server, 'listening');
		t.teardown(() => {
			for (const socket of server.clients) {
				socket.terminate();
			}

			server.close();
		});
		server.on('connection', socket => {
			socket.on('message', data => {
				const {id} = unpack(data as Uint8Array) as {id: number};
				const answer = pack({id, answer: 'a'.repeat(1000)});
				const size = Math.min(answer.length, fragmentBytes);
				for (let at = 0; at < answer.length; at += size) {
					socket.send(answer.subarray(at, at + size), {fin: at + size >= answer.length});
				}
			});
		});
		const client = RequestClient.create(`127.0.0.1:${(server.address() as AddressInfo).port}`);
		t.teardown(() => {
			client.close();
		});
		t.match(await client.request('q', 2000), expected);
	});
}
