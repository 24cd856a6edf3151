import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';

/** Returns a port of `127.0.0.1` on which no process listens. */
export async function findFreePort(): Promise<number> {
	const server = createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	server.close();
	await once(server, 'close');
	return port;
}
