/**
 * The address for callers. Node's own HTTP server is used as it is: a router would normalise paths,
 * which must reach the endpoints byte by byte.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type IncomingMessage, type Server} from 'node:http';
import {CallerReply} from './caller-reply.js';
import type {Dialect} from './dialect.js';
import {RequestHandler, type RequestHandlerContext} from './request-handler.js';
import {refusalOf} from './refusals.js';

/** Largest body that is taken when the configuration does not bound it, in bytes. */
const DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;

/** Largest head of a request, in bytes; larger than any that the configuration permits. */
const MAX_HEADER_BYTES = 64 * 1024;

/** Callers reuse connections up to their idle limit; the entry closes them this much later, in ms. */
const IDLE_TIMEOUT_MARGIN_MS = 3000;

/** Idle limit before a configuration is known, in ms. */
const DEFAULT_IDLE_TIMEOUT_MS = 60_000;

export type CallerServerOptions = {
	readonly host: string;
	readonly port: number;
	readonly context: RequestHandlerContext;
	readonly dialect: Dialect;
};

export class CallerServer {
	/** Starts to listen. Rejects if the address is taken. */
	static async create(options: CallerServerOptions): Promise<CallerServer> {
		const server = new CallerServer(options);
		await server.#listen();
		return server;
	}

	readonly #server: Server;
	#isDraining = false;
	#openRequests = 0;
	readonly #options: CallerServerOptions;

	private constructor(options: CallerServerOptions) {
		this.#options = options;
		this.#server = createServer({maxHeaderSize: MAX_HEADER_BYTES, keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS, noDelay: true}, (req, res) => {
			this.#openRequests += 1;
			res.once('close', () => {
				this.#openRequests -= 1;
			});
			const reply = CallerReply.create(res, () => this.#isDraining);
			void this.#serve(req, reply);
		});
		// Timeouts of the configuration bound callers; Node's own would cut requests that wait for an answer.
		this.#server.requestTimeout = 0;
		this.#server.on('clientError', (err, socket) => {
			options.context.events.record({kind: 'skipped-input', where: 'caller', detail: (err as NodeJS.ErrnoException).code ?? err.message});
			if (socket.writable) {
				socket.end('HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n');
			} else {
				socket.destroy();
			}
		});
	}

	/** Requests that are being read or served. */
	get openRequests(): number {
		return this.#openRequests;
	}

	/** Applies the idle limit of a configuration, in ms. */
	setIdleTimeout(idleMs: number): void {
		this.#server.keepAliveTimeout = idleMs + IDLE_TIMEOUT_MARGIN_MS;
	}

	/** Ends each connection with its next answer; new ones are still taken. */
	startDraining(): void {
		this.#isDraining = true;
	}

	/** Takes no new connections and closes the idle ones; requests in progress go on. */
	stopListening(): void {
		this.#server.close();
		this.#server.closeIdleConnections();
	}

	/** Closes idle connections. */
	closeIdleConnections(): void {
		this.#server.closeIdleConnections();
	}

	async #listen(): Promise<void> {
		this.#server.listen({host: this.#options.host, port: this.#options.port, backlog: 1024});
		await once(this.#server, 'listening');
	}

	async #serve(req: IncomingMessage, reply: CallerReply): Promise<void> {
		const {context: parts, dialect} = this.#options;
		const caller = dialect.readRequest(req.method ?? 'GET', req.url ?? '/', req.headers, req.rawHeaders);
		const body = await readBody(req, parts.config.current?.limits.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES);
		if (body === 'broken') {
			reply.destroy();
			return;
		}

		if (body === 'too-large') {
			const {status} = refusalOf('body-too-large');
			reply.sendComplete(status, [...dialect.refusalHeaders(caller), 'Connection', 'close'], Buffer.from('body-too-large\n'));
			return;
		}

		await RequestHandler.create(parts, caller, body, reply).run();
	}
}

async function readBody(req: IncomingMessage, maxBytes: number): Promise<Uint8Array | 'broken' | 'too-large'> {
	const chunks: Uint8Array[] = [];
	let bytes = 0;
	return new Promise(resolve => {
		req.on('data', (chunk: Uint8Array) => {
			bytes += chunk.length;
			if (bytes > maxBytes) {
				resolve('too-large');
				return;
			}

			chunks.push(chunk);
		});
		req.once('end', () => {
			resolve(Buffer.concat(chunks));
		});
		req.on('error', () => {
			// `close` follows and settles the promise.
		});
		req.once('close', () => {
			resolve('broken');
		});
	});
}
