/** A report of an engine without end is given up; guards against an endpoint that collects it until its heap is full. */
import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import t from 'tap';
import {EngineClient} from '#engine';

/** More than an endpoint may read of any report, and what is under way. */
const MAX_SENT_BYTES = 32 * 1024 * 1024;

const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;

const cases = [
	{name: 'in chunks of 64 KiB', block: chunk('x'.repeat(64 * 1024))},
	{name: 'in chunks of 1 KiB', block: chunk('x'.repeat(1024)).repeat(64)},
] as const;

for (const {name, block} of cases) {
	await t.test(`a report without end ${name}`, async t => {
		let sent = 0;
		const sockets = new Set<Socket>();
		const server = createServer(socket => {
			sockets.add(socket);
			const write = () => {
				while (!socket.destroyed && sent < 2 * MAX_SENT_BYTES) {
					sent += block.length;
					if (!socket.write(block)) {
						socket.once('drain', write);
						return;
					}
				}
			};

			socket.on('error', () => undefined).once('data', () => {
				socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n');
				write();
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const engine = EngineClient.create(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
		t.teardown(async () => {
			await engine.close();
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		});
		const result = await engine.load();
		t.match(result, {kind: 'failed', failure: /too long/u});
		t.ok(sent < MAX_SENT_BYTES, `${sent} bytes are sent`);
	});
}
