/** Small HTTP addresses of an entry: readiness for the balancer, and metrics. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';

/** Answer to a status request. */
export type StatusResponse = {
	readonly status: number;
	readonly body: string;
};

/** Listens until the signal aborts. Rejects if the address is taken. */
export async function serveStatus(host: string, port: number, answer: (path: string) => Promise<StatusResponse>, signal: AbortSignal): Promise<void> {
	const server = createServer((req, res) => {
		void answer(req.url ?? '/').then(({status, body}) => {
			res.writeHead(status, {'Content-Type': 'text/plain; charset=utf-8', 'Content-Length': Buffer.byteLength(body)});
			res.end(body);
		});
	});
	server.listen({host, port});
	await once(server, 'listening');
	signal.addEventListener('abort', () => {
		server.close();
		server.closeAllConnections();
	}, {once: true});
}
