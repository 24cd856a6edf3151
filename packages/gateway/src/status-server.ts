/** Small HTTP addresses of an entry: readiness for the balancer, and metrics. */
import {once} from 'node:events';
import {createServer, type Server} from 'node:http';

/** Answer to a status request. */
export type StatusAnswer = {
	readonly status: number;
	readonly body: string;
};

export class StatusServer {
	/** Listens until the signal aborts. Rejects if the address is taken. */
	static async create(host: string, port: number, answer: (path: string) => Promise<StatusAnswer>, signal: AbortSignal): Promise<StatusServer> {
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
		return new StatusServer(server);
	}

	private constructor(readonly server: Server) {}
}
