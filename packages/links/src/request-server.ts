/** Request-response server over WebSockets; frames are MessagePack. */
import {createServer, type IncomingMessage} from 'node:http';
import {pack, unpack} from 'msgpackr';
import {WebSocketServer, type WebSocket} from 'ws';
import {DEFAULT_OPEN_FILES, MessageBound, type MachineLimits} from '#connections';
import {listenWhenFree, type ErrorListener} from '#core';

/** Handles one request and returns the response. A rejection is sent to the client as a failure. */
export type RequestHandler = (request: unknown) => Promise<unknown>;

/** Largest frame, in bytes: fits a configuration of a thousand routes with room to spare. */
export const MAX_FRAME_BYTES = 4 * 1024 * 1024;

/** Parts in which a frame may be received: those of 1.4 KB that the largest one has on a usual network, and some more. */
export const MAX_FRAME_PARTS = 4096;

/** Share of the machine's descriptors for connections to this server. */
const CONNECTIONS_SHARE = 0.1;

const MIN_CONNECTIONS = 64;

/** Bytes of answers that all clients together may leave unread; the connection with the most of them is closed beyond that. */
const MAX_UNREAD_BYTES = 16 * 1024 * 1024;

/** Status of the response to a request that is no WebSocket. */
const UPGRADE_REQUIRED_STATUS = 426;

export type RequestServerOptions = {
	readonly signal: AbortSignal;
	/** Called with the exception of a request that failed, also one that cannot be decoded. */
	readonly onError: ErrorListener;
	readonly machine?: MachineLimits | undefined;
};

export class RequestServer {
	/** Listens until the signal aborts. Rejects if the address is taken, or if the signal aborts before. */
	static async create(host: string, port: number, handler: RequestHandler, options: RequestServerOptions): Promise<RequestServer> {
		const {signal, onError, machine} = options;
		const httpServer = createServer((_req, res) => {
			res.writeHead(UPGRADE_REQUIRED_STATUS, {Connection: 'close'}).end();
		});
		await listenWhenFree(httpServer, {host, port}, {signal});
		const bound = MessageBound.create({
			memoryBytes: machine?.memoryBytes, maxConnections: maxConnectionsOn(machine), now: () => performance.now(), onError,
		}, signal);
		httpServer.on('connection', socket => {
			bound.addConnection(socket);
		});
		const server = new WebSocketServer({
			server: httpServer, maxPayload: MAX_FRAME_BYTES, maxFragments: 1, maxBufferedChunks: MAX_FRAME_PARTS, autoPong: false, perMessageDeflate: false,
		});
		signal.addEventListener('abort', () => {
			httpServer.close();
			httpServer.closeAllConnections();
		}, {once: true});
		return new RequestServer(server, handler, bound, options);
	}

	readonly #server: WebSocketServer;
	/** Bytes of answers that are not written out. */
	#unreadBytes = 0;
	readonly #handler: RequestHandler;
	readonly #onError: ErrorListener;

	private constructor(server: WebSocketServer, handler: RequestHandler, bound: MessageBound, {signal, onError}: RequestServerOptions) {
		this.#server = server;
		this.#handler = handler;
		this.#onError = onError;
		server.on('connection', (socket, {socket: connection}: IncomingMessage) => {
			const messages = bound.countMessages(connection, {
				pause() {
					socket.pause();
				},
				resume() {
					socket.resume();
				},
			});
			socket.on('error', () => {
				socket.terminate();
			});
			socket.on('message', data => {
				void this.#handle(socket, data as Uint8Array).finally(messages.completeMessage());
			});
		});
		signal.addEventListener('abort', () => {
			for (const socket of server.clients) {
				socket.terminate();
			}

			server.close();
		}, {once: true});
	}

	async #handle(socket: WebSocket, data: Uint8Array): Promise<void> {
		let id: unknown;
		try {
			const frame = unpack(data) as {id?: unknown; request?: unknown};
			id = frame.id;
			this.#send(socket, pack({id, answer: await this.#handler(frame.request)}));
		} catch (error) {
			this.#onError(error);
			this.#send(socket, pack({id, failure: (error as Error).message}));
		}
	}

	#send(socket: WebSocket, frame: Uint8Array): void {
		if (socket.readyState !== socket.OPEN) {
			return;
		}

		this.#unreadBytes += frame.length;
		socket.send(frame, () => {
			this.#unreadBytes -= frame.length;
		});
		if (this.#unreadBytes > MAX_UNREAD_BYTES) {
			this.#closeSlowest();
		}
	}

	/** Closes the connection whose client has left the most bytes unread. */
	#closeSlowest(): void {
		let slowest: WebSocket | undefined;
		for (const socket of this.#server.clients) {
			if (slowest === undefined || socket.bufferedAmount > slowest.bufferedAmount) {
				slowest = socket;
			}
		}

		slowest?.terminate();
	}
}

function maxConnectionsOn(machine: MachineLimits | undefined): number {
	return Math.max(MIN_CONNECTIONS, Math.floor((machine?.openFiles ?? DEFAULT_OPEN_FILES) * CONNECTIONS_SHARE));
}
