import {once} from 'node:events';
import {createServer} from 'node:net';
import process from 'node:process';

/** Range of the ports. The system takes those of outgoing connections from a range above it, so none of them takes a free port before it is used. */
const FIRST_PORT = 20_000;
const PORT_COUNT = 12_000;

/** Ports that processes with successive ids look for apart from one another. */
const PORTS_PER_PROCESS = 50;

let offset = (process.pid * PORTS_PER_PROCESS) % PORT_COUNT;

/**
 * Returns a port of `127.0.0.1` on which no process listens, another one with each call.
 *
 * @throws Error when all ports are taken.
 */
export async function findFreePort(): Promise<number> {
	for (let tries = 0; tries < PORT_COUNT; tries += 1) {
		const port = FIRST_PORT + offset;
		offset = (offset + 1) % PORT_COUNT;
		if (await isFree(port)) {
			return port;
		}
	}

	throw new Error(`no port from ${FIRST_PORT} on is free`);
}

async function isFree(port: number): Promise<boolean> {
	const server = createServer();
	try {
		server.listen(port, '127.0.0.1');
		await once(server, 'listening');
	} catch {
		return false;
	}

	server.close();
	await once(server, 'close');
	return true;
}
