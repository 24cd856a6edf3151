/** The HTTP server for callers: which responses are open, and when their connections close. */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {Server as NetServer, type Socket} from 'node:net';
import {BoundedConnections, CallerConnections} from '#connections';
import {type Logger} from '#telemetry';

const MAX_HEADER_BYTES = 32 * 1024;

/** Idle time after which a connection is closed, in ms. */
const IDLE_TIMEOUT_MS = 72_000;

export type RequestListener = (req: IncomingMessage, res: ServerResponse) => void;

export type CallerServerOptions = {
	/** Most connections of callers; a new one takes the place of the least useful one beyond that. */
	readonly maxConnections: number;
	/** Reads the body of a request that is not answered. */
	readonly dropBody: (req: IncomingMessage) => void;
};

export class CallerServer {
	static create(log: Logger, options: CallerServerOptions): CallerServer {
		return new CallerServer(log, options);
	}

	readonly #log: Logger;
	readonly #options: CallerServerOptions;
	readonly #open = new Set<ServerResponse>();
	readonly #connections: CallerConnections;
	/** Responses after which their connections close, and why. */
	readonly #last = new WeakMap<ServerResponse, string>();
	readonly #boundedConnections: BoundedConnections;
	#server: Server | undefined;
	#isDraining = false;

	private constructor(log: Logger, options: CallerServerOptions) {
		const {maxConnections} = options;
		this.#log = log;
		this.#options = options;
		this.#connections = CallerConnections.create({
			onUnsent(bytes) {
				log.warn('bytes not sent', {bytes});
			},
		});
		this.#boundedConnections = BoundedConnections.create({
			max: maxConnections,
			isHandled: ({req}) => req.complete,
			onDisplaced: (socket, use) => {
				log.warn('connection displaced', {use, maxConnections});
				this.#connections.of(socket).noteClose('too many connections');
			},
		});
	}

	/** Number of responses that are not written out yet. */
	get openResponses(): number {
		return this.#open.size;
	}

	/** Number of connections whose last response may not have arrived yet. */
	get lingeringConnections(): number {
		return this.#connections.lingering;
	}

	/** Creates the server, which passes on each request that can be answered. */
	listenWith(onRequest: RequestListener): Server {
		// Node's own refusal of a request without a host would close the connection before the responses to later requests.
		const server = createServer({maxHeaderSize: MAX_HEADER_BYTES, keepAliveTimeout: IDLE_TIMEOUT_MS, requireHostHeader: false}, (req, res) => {
			if (!this.#connections.of(req.socket).take(res)) {
				this.#log.info('request not taken', {reason: 'connection closes', method: req.method});
				this.#options.dropBody(req);
				return;
			}

			this.#open.add(res);
			this.#boundedConnections.addResponse(res);
			res.once('close', () => {
				this.#open.delete(res);
			});
			onRequest(req, res);
		});
		// A request may wait for its response, or send its body, for as long as its deadline permits.
		server.requestTimeout = 0;
		server.on('connection', socket => {
			this.#boundedConnections.add(socket);
		});
		this.#server = server;
		return server;
	}

	/** Ends a connection after bytes that are no request. Responses in progress end first; other bytes would be taken as part of them. */
	refuseInput(err: Error, socket: Socket): void {
		const connection = this.#connections.of(socket);
		if (connection.isLingering) {
			return;
		}

		const detail = (err as NodeJS.ErrnoException).code ?? err.message;
		this.#log.info('input skipped', {detail, openResponses: this.#open.size});
		if (!socket.writable) {
			connection.noteClose(`invalid input ${detail}`);
			socket.destroy();
			return;
		}

		if (!connection.closeAfterOpen()) {
			connection.noteClose(`invalid input ${detail}`);
			connection.endWith('HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n');
		}
	}

	/** Decides whether the connection closes after a response whose head is about to be sent; it must after some. */
	closesAfter(res: ServerResponse): boolean {
		const reason = this.#last.get(res);
		return this.#connections.of(res.req.socket).closesAfter(res, reason === undefined ? {kind: this.#isDraining ? 'close' : 'keep'} : {kind: 'must-close', reason});
	}

	/** Closes the connection after a response: the body of its request is not read, or further bodies are not wanted. */
	closeAfter(res: ServerResponse, reason: string): void {
		this.#last.set(res, reason);
	}

	/** Why this entry closed the connection of a response; undefined if it did not. */
	closeReasonOf(res: ServerResponse): string | undefined {
		return this.#connections.of(res.req.socket).closeReason;
	}

	/** Closes the connection of a response that cannot be ended in another way. */
	cut(res: ServerResponse, reason: string): void {
		this.#connections.of(res.req.socket).noteClose(reason);
		res.destroy();
	}

	/** Closes each connection after its next response; new connections are still accepted. */
	startDraining(): void {
		this.#isDraining = true;
	}

	/** Stops accepting connections; those that are open continue. */
	stopListening(): void {
		if (this.#server !== undefined) {
			// The HTTP server's own method would also close connections whose response is not written out yet.
			NetServer.prototype.close.call(this.#server);
		}
	}

	/** Closes idle connections, unless a response may not have arrived yet: Node takes its connection as idle. */
	closeIdleConnections(): void {
		if (this.lingeringConnections === 0 && [...this.#open].every(({writableEnded}) => !writableEnded)) {
			this.#server?.closeIdleConnections();
		}
	}
}
