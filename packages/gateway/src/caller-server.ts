/**
 * The HTTP server for callers. It uses Node's server without a router, which would normalize paths; they must reach the endpoints
 * unchanged.
 */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {Server as NetServer, type Socket} from 'node:net';
import {CallerResponse} from './caller-response.js';
import type {CallerRequest, Dialect} from './dialect.js';
import type {RequestSummary} from './event-log.js';
import {RequestHandler, type RequestHandlerContext} from './request-handler.js';
import {refusalOf, retryAfterSeconds} from './refusals.js';
import {
	BoundedConnections, CallerBudget, callerBudgetBytes, CallerConnections, dropBody, maxCallerConnections, readCallerBody, ReadPacer, SWEEP_INTERVAL_MS, type BodyEnd, type CloseWish, type MachineLimits,
} from '#connections';
import {guardCallback, listenWhenFree, PiecePool} from '#core';
import {BacklogProbe, type ReadDelay} from '#requests';

/** Default limit for request bodies, in bytes, if the configuration is not known yet. */
const DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;

/** Largest head of a request, in bytes; larger than the configuration permits. */
const MAX_HEADER_BYTES = 64 * 1024;

/** Bytes of chunk extensions and trailers that a body may have regardless of its length: as many as the configuration permits for heads. */
const MAX_FRAMING_BYTES = 16 * 1024;

/** Time that a caller without a deadline is taken to wait, in ms; it bounds the time after which it is told to retry. */
const DEFAULT_WAIT_MS = 60_000;

/** Idle connections are closed this much later than the idle timeout of callers, in ms, so that callers close them first. */
const IDLE_TIMEOUT_MARGIN_MS = 3000;

/** Connections that wait to be accepted. */
const LISTEN_BACKLOG = 1024;

/** Status of the response to a request that could not be decoded. */
const INTERNAL_ERROR_STATUS = 500;

/** Status of the response to a request without a host. */
const BAD_REQUEST_STATUS = 400;

/** Idle timeout before a configuration is known, in ms. */
const DEFAULT_IDLE_TIMEOUT_MS = 60_000;

/** Bytes that complete responses may hold together until their callers have read them; the oldest are cut beyond that. */
const MAX_UNREAD_BYTES = 32 * 1024 * 1024;

/** Most open requests that are described. */
const MAX_DESCRIBED_REQUESTS = 50;

export type CallerServerOptions = {
	readonly host: string;
	readonly port: number;
	readonly context: RequestHandlerContext;
	readonly dialect: Dialect;
	readonly readDelay: ReadDelay;
	readonly machine: MachineLimits | undefined;
};

/** An open request. One whose response is complete waits until its caller has read that. */
export type OpenRequest
	= | {readonly state: 'being read'; readonly requestId: string | undefined}
		| ({readonly state: 'being handled' | 'being written'} & RequestSummary);

type Hold = {readonly released: Promise<void>; readonly release: () => void};

type OpenResponse = {
	readonly callerResponse: CallerResponse;
	/** Undefined while the request cannot be told by its id. */
	requestId: string | undefined;
	/** Whether the connection closes after it. */
	isLast: boolean;
	/** Undefined while the request is read. */
	handler: RequestHandler | undefined;
};

export class CallerServer {
	/** Starts to listen. Rejects if the address is taken, or if the signal aborts before it is free. */
	static async create(options: CallerServerOptions, signal: AbortSignal): Promise<CallerServer> {
		const server = new CallerServer(options);
		await server.#listen(signal);
		return server;
	}

	readonly #server: Server;
	#isDraining = false;
	/** Holds the requests on `#heldConnections`; undefined unless new connections are added to them. */
	#hold: Hold | undefined;
	readonly #heldConnections = new WeakSet<Socket>();
	readonly #openResponses = new Map<ServerResponse, OpenResponse>();
	readonly #connections: CallerConnections;
	readonly #backlogProbe: BacklogProbe;
	readonly #budget: CallerBudget;
	/** Memory for bodies. */
	readonly #pool = PiecePool.create();
	readonly #pacer = ReadPacer.create();
	readonly #boundedConnections: BoundedConnections;
	readonly #options: CallerServerOptions;

	private constructor(options: CallerServerOptions) {
		this.#options = options;
		this.#connections = CallerConnections.create({
			onUnsent(bytes) {
				options.context.events.record({kind: 'unsent', bytes});
			},
		});
		this.#budget = CallerBudget.create(callerBudgetBytes(options.machine?.memoryBytes));
		const maxConnections = maxCallerConnections(options.machine?.openFiles);
		this.#boundedConnections = BoundedConnections.create({
			max: maxConnections,
			isHandled: res => this.#openResponses.get(res)?.handler !== undefined,
			onDisplaced: (socket, use) => {
				options.context.events.record({kind: 'connection-displaced', use, maxConnections});
				this.#connections.of(socket).noteClose('too many connections');
			},
		});
		this.#backlogProbe = BacklogProbe.create({host: options.host, port: options.port}, options.readDelay, options.context.now);
		// Node's own refusal of a request without a host would close the connection before the responses to later requests.
		this.#server = createServer({
			maxHeaderSize: MAX_HEADER_BYTES, keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS, noDelay: true, requireHostHeader: false,
		}, (req, res) => {
			const connection = this.#connections.of(req.socket);
			if (!connection.take(res)) {
				this.#recordNotTaken(req);
				dropBody(req, this.#pacer);
				return;
			}

			const callerResponse = CallerResponse.create(res, {
				closesAfter: isRequired => connection.closesAfter(res, this.#closeWish(res, isRequired)),
				closeReason: () => connection.closeReason,
				onCut() {
					connection.noteClose('earlier response was cut off');
				},
				reset() {
					connection.reset();
				},
			});
			this.#openResponses.set(res, {
				callerResponse, requestId: undefined, isLast: false, handler: undefined,
			});
			this.#boundedConnections.addResponse(res);
			res.once('close', () => {
				this.#openResponses.delete(res);
			});
			res.once('prefinish', () => {
				this.#cutUnread();
			});
			if (req.httpVersion === '1.1' && req.headers.host === undefined) {
				options.context.events.record({kind: 'skipped-input', where: 'caller', detail: 'no host'});
				callerResponse.sendComplete(BAD_REQUEST_STATUS, [], Buffer.alloc(0), 'closed');
				dropBody(req, this.#pacer);
				return;
			}

			this.#serve(req, res, callerResponse).catch((error: unknown) => {
				this.#failInternally(callerResponse, this.#openResponses.get(res)?.requestId, error);
			});
		});
		this.#server.on('connection', socket => {
			this.#backlogProbe.recordAccept(socket);
			if (this.#hold !== undefined) {
				this.#heldConnections.add(socket);
			}

			this.#boundedConnections.add(socket);
		});
		// The timeouts of the configuration apply; Node's own would abort requests that wait for a response.
		this.#server.requestTimeout = 0;
		this.#server.on('clientError', (err, socket) => {
			const connection = this.#connections.of(socket as Socket);
			if (connection.isLingering) {
				return;
			}

			const detail = (err as NodeJS.ErrnoException).code ?? err.message;
			options.context.events.record({kind: 'skipped-input', where: 'caller', detail});
			if (!socket.writable) {
				if (!socket.destroyed) {
					connection.noteClose(`invalid input ${detail}`);
				}

				socket.destroy();
				return;
			}

			// Responses in progress end first; other bytes would be taken as part of them.
			if (!connection.closeAfterOpen()) {
				connection.noteClose(`invalid input ${detail}`);
				connection.endWith('HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n');
			}
		});
	}

	/** Number of requests that are being read or handled. */
	get openRequests(): number {
		return this.#openResponses.size;
	}

	/** Whether the end of the process would cut a response. */
	get isBusy(): boolean {
		return this.#openResponses.size > 0 || this.#isAnyLingering;
	}

	/** Number of connections whose last response may not have arrived yet. */
	get lingeringConnections(): number {
		return this.#connections.lingering;
	}

	get #isAnyLingering(): boolean {
		return this.lingeringConnections > 0;
	}

	/** Describes the open requests, the oldest first, up to a limit. */
	describeOpen(): readonly OpenRequest[] {
		return [...this.#openResponses].slice(0, MAX_DESCRIBED_REQUESTS).map(([res, {requestId, handler}]) => (handler === undefined ? {state: 'being read', requestId} : {state: res.writableEnded ? 'being written' : 'being handled', ...handler.describe()}));
	}

	/** Applies the idle timeout of a configuration, in ms. */
	setIdleTimeout(idleMs: number): void {
		this.#server.keepAliveTimeout = idleMs + IDLE_TIMEOUT_MARGIN_MS;
	}

	/** Closes each connection after its next response; new connections are still accepted. */
	startDraining(): void {
		this.#isDraining = true;
	}

	/** Prepares the responses that have begun and are not complete for an end of the process at any moment: they are logged, or reset if they would look complete. */
	prepareForEnd(): void {
		for (const [res, {callerResponse, handler}] of this.#openResponses) {
			if (callerResponse.resetUnframed()) {
				handler?.recordCutByEnd();
			} else if (callerResponse.isStarted && !res.writableEnded) {
				handler?.recordStillOpen();
			}
		}
	}

	/** Reads requests on connections that are accepted from now on, but handles them only after `releaseNew`: the backlog empties sooner. */
	holdNew(): void {
		let release: () => void;
		const released = new Promise<void>(resolve => {
			release = resolve;
		});
		this.#hold = {released, release: release!};
	}

	releaseNew(): void {
		this.#hold?.release();
		this.#hold = undefined;
	}

	/** Stops accepting connections and closes idle ones; requests in progress continue. */
	stopListening(): void {
		// The HTTP server's own method would also close connections whose response is not written out yet.
		NetServer.prototype.close.call(this.#server);
		this.closeIdleConnections();
	}

	/** Closes idle connections, unless a response may not have arrived yet: Node takes its connection as idle. */
	closeIdleConnections(): void {
		if (!this.#isAnyLingering && [...this.#openResponses.keys()].every(({writableEnded}) => !writableEnded)) {
			this.#server.closeIdleConnections();
		}
	}

	/** Cuts the oldest responses that their callers have not read while all hold too much: the memory limit would end all requests. */
	#cutUnread(): void {
		const unread = [...this.#openResponses].filter(([res]) => res.writableEnded && res.writableLength > 0 && !res.req.socket.destroyed);
		let bytes = unread.reduce((sum, [res]) => sum + res.writableLength, 0);
		for (const [res, {handler, callerResponse}] of unread) {
			if (bytes <= MAX_UNREAD_BYTES) {
				return;
			}

			bytes -= res.writableLength;
			handler?.cutUnread();
			// A response that waits for an earlier one has no socket of its own yet.
			const connection = this.#connections.of(res.req.socket);
			connection.noteClose('not-read');
			if (callerResponse.isUnframed) {
				connection.reset();
			} else {
				res.req.socket.destroy();
			}
		}
	}

	#closeWish(res: ServerResponse, isRequired: boolean): CloseWish {
		if (isRequired) {
			return {kind: 'must-close', reason: 'response without a length'};
		}

		if (this.#openResponses.get(res)?.isLast === true) {
			return {kind: 'must-close', reason: 'large body while others wait'};
		}

		return {kind: this.#isDraining ? 'close' : 'keep'};
	}

	async #listen(signal: AbortSignal): Promise<void> {
		await listenWhenFree(this.#server, this.#options, {signal, backlog: LISTEN_BACKLOG});
		const {context: {config, events, now}} = this.#options;
		const timer = setInterval(guardCallback(() => {
			const idleMs = config.current?.limits.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS;
			this.#budget.sweep({stallMs: idleMs + IDLE_TIMEOUT_MARGIN_MS, framingBytes: MAX_FRAMING_BYTES}, now().monotonicMs);
		}, events.errorListener('callers')), SWEEP_INTERVAL_MS);
		signal.addEventListener('abort', () => {
			clearInterval(timer);
		}, {once: true});
	}

	/** Records a request that gets no answer, since its connection closes after an earlier response. */
	#recordNotTaken({method = 'GET', url = '/', headers, rawHeaders}: IncomingMessage): void {
		let requestId: string | undefined;
		try {
			requestId = this.#options.dialect.readRequest(method, url, headers, rawHeaders).id;
		} catch {
			// A request that cannot be decoded has no id.
		}

		this.#options.context.events.record({kind: 'not-taken', requestId, reason: 'connection closes'});
	}

	/** Ends a request outside its handler, as one that could not be decoded. */
	#failInternally(callerResponse: CallerResponse, requestId: string | undefined, error: unknown): void {
		this.#options.context.events.record({
			kind: 'internal-error', where: 'request', requestId, error,
		});
		if (callerResponse.isStarted) {
			callerResponse.destroy();
		} else {
			callerResponse.sendComplete(INTERNAL_ERROR_STATUS, ['Content-Type', 'text/plain; charset=utf-8'], Buffer.from('internal-error\n'), 'closed');
		}
	}

	async #serve(req: IncomingMessage, res: ServerResponse, callerResponse: CallerResponse): Promise<void> {
		const {context, dialect, readDelay} = this.#options;
		const headArrival = readDelay.arrivalOn(req.socket);
		const caller = dialect.readRequest(req.method ?? 'GET', req.url ?? '/', req.headers, req.rawHeaders);
		const open = this.#openResponses.get(res);
		if (open !== undefined) {
			open.requestId = caller.id;
		}

		const reading = readCallerBody(req, {
			budget: this.#budget, pool: this.#pool, pacer: this.#pacer, maxBytes: context.config.current?.limits.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES, now: () => context.now().monotonicMs,
		});
		// The handler holds the body until then.
		res.once('close', reading.release);
		const read = await reading.ended;
		const readAt = context.now();
		if (this.#heldConnections.has(req.socket)) {
			await this.#hold?.released;
		}

		if (read.kind !== 'complete') {
			this.#refuseBody(read, caller, callerResponse);
			return;
		}

		if (open !== undefined && read.isLast) {
			open.isLast = true;
		}

		if (!await this.#connections.of(req.socket).awaitTurn(res)) {
			context.events.record({kind: 'not-taken', requestId: caller.id, reason: 'connection closes'});
			return;
		}

		const arrival = {...headArrival, latest: readAt};
		const handler = RequestHandler.create(context, {req: caller, body: read.body, arrival}, callerResponse);
		if (open !== undefined) {
			open.handler = handler;
		}

		await handler.run();
		// A response that waits for an earlier one emits no `prefinish` yet.
		this.#cutUnread();
	}

	/** Answers a request whose body was not read. */
	#refuseBody(end: Exclude<BodyEnd, {readonly kind: 'complete'}>, caller: CallerRequest, callerResponse: CallerResponse): void {
		const {context: {events, random}, dialect} = this.#options;
		if (end.kind === 'refused') {
			const {reason} = end;
			const {status, mayRetry} = refusalOf(reason);
			const retryAfterS = mayRetry
				? retryAfterSeconds({
					reason, remainingMs: caller.waitMs ?? DEFAULT_WAIT_MS, earliestMs: 0, random: random(),
				})
				: undefined;
			events.record({
				kind: 'body-refused', requestId: caller.id, reason, status, retryAfterS, heldBytes: this.#budget.usedBytes,
			});
			callerResponse.sendComplete(status, [...dialect.refusalHeaders(caller), ...(retryAfterS === undefined ? [] : ['Retry-After', String(retryAfterS)])], Buffer.from(`${reason}\n`), 'closed');
			return;
		}

		const {disconnect} = callerResponse;
		events.record({
			kind: 'skipped-input', where: 'caller', detail: `body ${end.kind}, request ${caller.id}`, requestId: caller.id, disconnect,
		});
		if (end.kind === 'broken') {
			callerResponse.destroy();
			return;
		}

		const {status} = refusalOf('body-too-large');
		callerResponse.sendComplete(status, dialect.refusalHeaders(caller), Buffer.from('body-too-large\n'), 'closed');
	}
}
