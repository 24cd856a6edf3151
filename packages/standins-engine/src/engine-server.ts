/** HTTP server of the stand-in engine (design page, section 9.2). */
import {randomUUID} from 'node:crypto';
import type {ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {Buffer} from 'node:buffer';
import {
	fastify, type FastifyInstance, type FastifyReply, type FastifyRequest,
} from 'fastify';
import {z} from 'zod';
import {DEFAULT_ENGINE_OPTIONS, type EngineOptions} from './engine-options.js';
import {
	Engine, type ResumeFailure, type SubmitFailure,
} from './engine.js';
import {parseFaultChange, type FaultChange} from './faults.js';
import type {GroupDriver} from './group-driver.js';
import {parseInferenceRequest, type CompletionKind} from './inference-request.js';
import type {EngineCounts, RequestStats} from './oracle.js';
import {parseOrder} from './order-schema.js';
import type {Run, RunReader} from './run.js';
import {InputError} from '#core';

/** Largest request body in bytes. */
const MAX_BODY_BYTES = 8 * 1024 * 1024;

/** Priority of a request without `x-priority`, in the range 0 to 9 of the rules; higher numbers run first. */
const DEFAULT_PRIORITY = 5;

/** Options of an engine server; each has a default. */
export type EngineServerOptions = Partial<EngineOptions> & {
	/** Address to listen on; default `127.0.0.1`. */
	readonly host?: string;
	/** Port to listen on; 0, the default, picks a free one. */
	readonly port?: number;
	/** Steps of the group that the engine belongs to; without it the engine stands alone. */
	readonly driver?: GroupDriver;
};

const resumeSchema = z.object({offset: z.int().nonnegative()});
const afterSchema = z.object({after: z.coerce.number().int().nonnegative().default(0)});

export class EngineServer {
	/** Starts an engine that listens. */
	static async create(options: EngineServerOptions = {}): Promise<EngineServer> {
		const {host = '127.0.0.1', port = 0, driver, ...rest} = options;
		const server = new EngineServer({...DEFAULT_ENGINE_OPTIONS, ...rest}, driver);
		await server.#app.listen({host, port});
		return server;
	}

	readonly engine: Engine;
	readonly #app: FastifyInstance = fastify({bodyLimit: MAX_BODY_BYTES, forceCloseConnections: true});
	readonly #sockets = new Set<Socket>();

	private constructor(options: EngineOptions, driver: GroupDriver | undefined) {
		this.engine = Engine.create(options, () => {
			this.#dropConnections();
		}, driver);
		this.#trackConnections();
		this.#addInferenceRoutes();
		this.#addStateRoutes();
		this.#addOrderRoutes();
		this.#addControlRoutes();
		this.#app.setErrorHandler((error, _req, reply) => {
			const status = error instanceof InputError ? 400 : (error as {readonly statusCode?: number}).statusCode ?? 500;
			sendError(reply, status, 'bad_request', error instanceof Error ? error.message : String(error));
		});
	}

	get port(): number {
		return (this.#app.server.address() as AddressInfo).port;
	}

	/** `host:port`. */
	get address(): string {
		return `${(this.#app.server.address() as AddressInfo).address}:${this.port}`;
	}

	/** Base URL without a trailing slash. */
	get url(): string {
		return `http://${this.address}`;
	}

	counts(): EngineCounts {
		return this.engine.recorder.counts();
	}

	/** Account of one request id; undefined if it never came. */
	statsOf(requestId: string): RequestStats | undefined {
		return this.engine.recorder.statsOf(requestId);
	}

	/** The answer bytes that the latest run of a request made. */
	bytesOf(requestId: string): Uint8Array | undefined {
		return this.engine.recorder.bytesOf(requestId);
	}

	inject(change: FaultChange): void {
		this.engine.inject(change);
	}

	/** Drops all connections and stops. */
	async close(): Promise<void> {
		this.engine.close();
		this.#dropConnections();
		await this.#app.close();
	}

	#trackConnections(): void {
		this.#app.server.on('connection', (socket: Socket) => {
			// While a crashed engine restarts, connections are reset instead of closing the
			// listener, because another process could take the port in between.
			if (this.engine.down) {
				socket.resetAndDestroy();
				return;
			}

			this.#sockets.add(socket);
			socket.on('close', () => {
				this.#sockets.delete(socket);
			});
		});
	}

	#dropConnections(): void {
		for (const socket of this.#sockets) {
			socket.resetAndDestroy();
		}
	}

	#addInferenceRoutes(): void {
		const work = (kind: CompletionKind) => async (req: FastifyRequest, reply: FastifyReply) => {
			this.#serveCompletion(kind, req, reply);
			return reply;
		};

		this.#app.post('/v1/chat/completions', work('chat'));
		this.#app.post('/v1/completions', work('text'));
		this.#app.post<{Params: {id: string}}>('/v1/resume/:id', async (req, reply) => {
			const body = resumeSchema.safeParse(req.body);
			if (!body.success) {
				throw new InputError(`resume: ${z.prettifyError(body.error)}`);
			}

			this.#serveResume(req.params.id, body.data.offset, reply);
			return reply;
		});
		this.#app.post<{Params: {id: string}}>('/v1/cancel/:id', async (req, reply) => {
			if (this.engine.cancel(req.params.id)) {
				return {cancelled: req.params.id};
			}

			sendError(reply, 404, 'not_found', `no running request ${req.params.id}`);
			return reply;
		});
	}

	#serveCompletion(kind: CompletionKind, req: FastifyRequest, reply: FastifyReply): void {
		const request = parseInferenceRequest(kind, req.body);
		const requestId = readHeader(req, 'x-request-id') ?? randomUUID();
		const priority = Number(readHeader(req, 'x-priority') ?? DEFAULT_PRIORITY);
		if (!Number.isFinite(priority)) {
			throw new InputError(`x-priority: read ${JSON.stringify(req.headers['x-priority'])}, allowed: a number`);
		}

		const submitted = this.engine.submit(request, requestId, priority);
		if (submitted.kind === 'failed') {
			sendSubmitFailure(reply, submitted.failure, request.model);
			return;
		}

		this.#sendRun(submitted.value, 0, reply);
	}

	#serveResume(requestId: string, offset: number, reply: FastifyReply): void {
		const resumed = this.engine.resume(requestId, offset);
		if (resumed.kind === 'failed') {
			sendResumeFailure(reply, resumed.failure, requestId);
			return;
		}

		this.#sendRun(resumed.value, offset, reply);
	}

	#sendRun(run: Run, offset: number, reply: FastifyReply): void {
		void reply.hijack();
		reply.raw.on('close', this.engine.attach(run, offset, createResponseReader(run, reply.raw)));
	}

	#addStateRoutes(): void {
		this.#app.get('/v1/models', async () => ({
			object: 'list',
			data: this.engine.options.models.map(id => ({
				id, object: 'model', created: 0, owned_by: 'standin',
			})),
		}));
		this.#app.get('/v1/load', async () => this.engine.load());
		this.#app.get('/v1/expert-load', async () => this.engine.expertLoad());
		this.#app.get('/v1/cache-events', async req => {
			const query = afterSchema.safeParse(req.query);
			if (!query.success) {
				throw new InputError(`cache-events: ${z.prettifyError(query.error)}`);
			}

			return this.engine.cacheEvents(query.data.after);
		});
	}

	#addOrderRoutes(): void {
		this.#app.get('/v1/orders/state', async (_req, reply) => this.engine.orderState() ?? reply.code(503).send());
		this.#app.post('/v1/orders', async (req, reply) => {
			const answer = this.engine.order(parseOrder(req.body, this.engine.orderState()?.epoch ?? 0));
			if (answer === undefined) {
				return reply.code(503).send();
			}

			const {kind, ...body} = answer;
			return reply.code(kind === 'done' ? 200 : 409).send(body);
		});
	}

	#addControlRoutes(): void {
		this.#app.get('/faults', async () => this.engine.faults);
		this.#app.post('/faults', async req => {
			this.engine.inject(parseFaultChange(req.body));
			return this.engine.faults;
		});
		this.#app.get('/counts', async () => this.counts());
		this.#app.get('/group-steps', async () => this.engine.groupSteps());
		this.#app.get<{Params: {id: string}}>('/counts/:id', async (req, reply) => {
			const count = this.statsOf(req.params.id);
			if (count === undefined) {
				sendError(reply, 404, 'not_found', `no request ${req.params.id}`);
				return reply;
			}

			return {...count, body: Buffer.from(this.bytesOf(req.params.id) ?? []).toString('base64')};
		});
	}
}

function readHeader(req: FastifyRequest, name: string): string | undefined {
	const value = req.headers[name];
	return typeof value === 'string' && value !== '' ? value : undefined;
}

function sendError(reply: FastifyReply, status: number, code: string, message: string): void {
	void reply.code(status).send({
		error: {
			message, type: status < 500 ? 'invalid_request_error' : 'server_error', code, param: null,
		},
	});
}

function sendSubmitFailure(reply: FastifyReply, failure: SubmitFailure, model: string): void {
	switch (failure.kind) {
		case 'refused': {
			sendError(reply, failure.status, 'refused', 'the engine refuses work');
			return;
		}

		case 'unknown-model': {
			sendError(reply, 404, 'model_not_found', `no model ${model}`);
			return;
		}

		case 'full': {
			sendError(reply, 503, 'overloaded', 'the queue of the engine is full');
		}
	}
}

function sendResumeFailure(reply: FastifyReply, failure: ResumeFailure, requestId: string): void {
	if (failure.kind === 'missing') {
		sendError(reply, 404, 'not_found', `no stream ${requestId} is held`);
		return;
	}

	sendError(reply, 416, 'offset_beyond_end', `the answer has ${failure.bytes} bytes`);
}

/** Writes a run's bytes to a response; the head is sent with the first byte. */
function createResponseReader(run: Run, raw: ServerResponse): RunReader {
	const start = (): void => {
		if (!raw.headersSent) {
			raw.writeHead(200, {
				'content-type': run.response.contentType,
				'cache-control': 'no-cache',
				'x-request-id': run.requestId,
				'x-cached-tokens': String(run.cachedTokens),
			});
		}
	};

	return {
		write(bytes) {
			start();
			raw.write(bytes);
		},
		end() {
			start();
			raw.end();
		},
		abort(state) {
			abortResponse(raw, state);
		},
	};
}

/** A partial answer must not look complete, so its connection is destroyed. */
function abortResponse(raw: ServerResponse, state: 'cancelled' | 'lost'): void {
	if (raw.headersSent || state === 'lost') {
		raw.destroy();
		return;
	}

	raw.writeHead(499, {'content-type': 'application/json'});
	raw.end(JSON.stringify({
		error: {
			message: 'the request was cancelled', type: 'invalid_request_error', code: 'cancelled', param: null,
		},
	}));
}
