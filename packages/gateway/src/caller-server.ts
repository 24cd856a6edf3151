/**
 * The address for callers. Node's own HTTP server is used as it is: a router would normalise paths,
 * which must reach the endpoints byte by byte.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type IncomingMessage, type Server} from 'node:http';
import {CallerReply} from './caller-reply.js';
import type {Dialect} from './dialect.js';
import {RequestFlow, type FlowParts} from './request-flow.js';
import {refusalOf} from './refusals.js';

/** Largest body that is taken when the configuration does not bound it, in bytes. */
const DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;

/** Largest head of a request, in bytes; larger than any that the configuration permits. */
const MAX_HEADER_BYTES = 64 * 1024;

/** Callers reuse connections up to their idle limit; the entry closes them this much later, in ms. */
const IDLE_MARGIN_MS = 3000;

/** Idle limit before a configuration is known, in ms. */
const DEFAULT_IDLE_MS = 60_000;

export type CallerServerOptions = {
	readonly host: string;
	readonly port: number;
	readonly parts: FlowParts;
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
	#isLeaving = false;
	#open = 0;
	readonly #options: CallerServerOptions;

	private constructor(options: CallerServerOptions) {
		this.#options = options;
		this.#server = createServer({maxHeaderSize: MAX_HEADER_BYTES, keepAliveTimeout: DEFAULT_IDLE_MS, noDelay: true}, (req, res) => {
			this.#open += 1;
			res.once('close', () => {
				this.#open -= 1;
			});
			const reply = CallerReply.create(res, () => this.#isLeaving);
			void this.#serve(req, reply);
		});
		// Timeouts of the configuration bound callers; Node's own would cut requests that wait for an answer.
		this.#server.requestTimeout = 0;
		this.#server.on('clientError', (err, socket) => {
			options.parts.journal.record({kind: 'skipped-input', where: 'caller', detail: (err as NodeJS.ErrnoException).code ?? err.message});
			if (socket.writable) {
				socket.end('HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n');
			} else {
				socket.destroy();
			}
		});
	}

	/** Requests that are being read or served. */
	get open(): number {
		return this.#open;
	}

	/** Applies the idle limit of a configuration, in ms. */
	setIdleLimit(idleMs: number): void {
		this.#server.keepAliveTimeout = idleMs + IDLE_MARGIN_MS;
	}

	/** Ends each connection with its next answer; new ones are still taken. */
	beginLeaving(): void {
		this.#isLeaving = true;
	}

	/** Takes no new connections and closes the idle ones; requests in progress go on. */
	stopListening(): void {
		this.#server.close();
		this.#server.closeIdleConnections();
	}

	/** Closes idle connections. */
	closeIdle(): void {
		this.#server.closeIdleConnections();
	}

	async #listen(): Promise<void> {
		this.#server.listen({host: this.#options.host, port: this.#options.port, backlog: 1024});
		await once(this.#server, 'listening');
	}

	async #serve(req: IncomingMessage, reply: CallerReply): Promise<void> {
		const {parts, dialect} = this.#options;
		const caller = dialect.readRequest(req.method ?? 'GET', req.url ?? '/', req.headers, req.rawHeaders);
		const body = await readBody(req, parts.config.current?.limits.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES);
		if (body === 'broken') {
			reply.breakOff();
			return;
		}

		if (body === 'too-large') {
			const {status} = refusalOf('body-too-large');
			reply.sendWhole(status, [...dialect.ownHeaders(caller), 'Connection', 'close'], Buffer.from('body-too-large\n'));
			return;
		}

		await RequestFlow.create(parts, caller, body, reply).run();
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
