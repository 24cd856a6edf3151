/** HTTP server for readiness checks of the load balancer, or for metrics. Bodies of requests are not read. */
import {Buffer} from 'node:buffer';
import {createServer, type IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import {BoundedConnections, CallerConnections} from '#connections';
import {listenWhenFree, type ErrorListener} from '#core';

/** Most connections; a new one takes the place of the least useful one beyond that. */
const MAX_CONNECTIONS = 64;

/** Response to a status request. */
export type StatusResponse = {
	readonly status: number;
	readonly body: string;
};

/** Listens until the signal aborts. Rejects if the address is taken, or if the signal aborts before. */
export async function serveStatus(host: string, port: number, respond: (path: string) => Promise<StatusResponse>, {signal, onError}: {readonly signal: AbortSignal; readonly onError: ErrorListener}): Promise<void> {
	const connections = CallerConnections.create({onUnsent: () => undefined});
	const bounded = BoundedConnections.create({max: MAX_CONNECTIONS, isHandled: () => true, onDisplaced: () => undefined});
	const server = createServer((req, res) => {
		const connection = connections.of(req.socket);
		if (!connection.take(res)) {
			return;
		}

		bounded.addResponse(res);
		const isLast = connection.closesAfter(res, hasBody(req) ? {kind: 'must-close', reason: 'body not read'} : {kind: 'keep'});
		void respond(req.url ?? '/').then(({status, body}) => {
			res.writeHead(status, {
				'Content-Type': 'text/plain; charset=utf-8', 'Content-Length': Buffer.byteLength(body), ...(isLast ? {Connection: 'close'} : {}),
			});
			res.end(body);
		}).catch((error: unknown) => {
			onError(error);
			res.destroy();
		});
	});
	server.on('connection', (socket: Socket) => {
		bounded.add(socket);
	});
	await listenWhenFree(server, {host, port}, {signal});
	signal.addEventListener('abort', () => {
		server.close();
		server.closeAllConnections();
	}, {once: true});
}

function hasBody({headers}: IncomingMessage): boolean {
	return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
}
