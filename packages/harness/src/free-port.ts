import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';

/** A port of `127.0.0.1` that nobody listens on. */
export async function freePort(): Promise<number> {
	const server = createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	server.close();
	await once(server, 'close');
	return port;
}
