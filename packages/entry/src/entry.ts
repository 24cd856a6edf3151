/** The entry role: the HTTP proxy that callers connect to. Authenticates requests and runs them at the endpoints. */
import {randomUUID} from 'node:crypto';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import fastify, {type FastifyInstance, type FastifyReply, type FastifyRequest} from 'fastify';
import {AdminRoutes} from './admin-routes.js';
import {CallerResponse} from './caller-response.js';
import {CallerServer} from './caller-server.js';
import {AttemptTable} from './attempt-table.js';
import {ClaimService} from './claim-service.js';
import {
	parseDeadline, forwardedHeaders, authenticateWorkspace, isOperator, type Deadline,
} from './caller.js';
import {EndpointRouter} from './endpoint-router.js';
import {FirstStart} from './first-start.js';
import {qualifiedModelName, parseInferenceRequest} from './inference-request.js';
import {ModelRequest, type RequestContext, type RequestResult} from './model-request.js';
import {createRefusal, type Refusal} from './refusal.js';
import {Quarantine} from './quarantine.js';
import {RequestBodies} from './request-bodies.js';
import {WorkspaceLimits} from './workspace-limits.js';
import {AtMostOnceCall} from './at-most-once-call.js';
import {ServiceRequest, toRequestResult, type ServiceCall} from './service-request.js';
import {type Logger, type Metrics} from '#telemetry';
import {maxCallerConnections} from '#connections';
import {type EntrySettings} from '#settings';
import {
	isNonIdempotent, resolveModel, serviceRule, type WorkspaceRule,
} from '#rules';
import {PrefixCacheIndex} from '#routing';
import {type Peering} from '#peering';
import {RetryBudget, type ObjectStore} from '#coordination';
import {readInstant} from '#dispatch';
import {
	BacklogProbe, processClock, ReadDelay, type Arrival,
} from '#requests';

/** Window in which retries are limited to a fraction of the requests. */
const RETRY_WINDOW_MS = 10_000;

/** Interval at which a draining entry checks for claim outcomes that are still to be recorded. */
const DRAIN_CHECK_MS = 100;

/** A draining entry stops waiting for outcomes to be recorded after this time, so that a platform outage does not delay its replacement. */
const RECORD_TIMEOUT_MS = 30_000;

const BYTES_PER_MB = 1024 * 1024;

const inferencePaths = ['/v1/chat/completions', '/v1/completions'] as const;
const SERVICE_METHODS = ['GET', 'POST', 'PUT', 'PATCH', 'DELETE'] as const;

export type EntryOptions = {
	readonly settings: EntrySettings;
	readonly peering: Peering;
	/** Program version, shown by the status route. */
	readonly version: string;
	/** The platform's object store, used for claims. */
	readonly store: ObjectStore;
	readonly log: Logger;
	readonly metrics: Metrics;
	readonly signal: AbortSignal;
};

/** An authenticated request. */
type CallerRequest = {
	readonly req: FastifyRequest;
	readonly res: FastifyReply;
	readonly requestId: string;
	readonly workspace: WorkspaceRule;
	readonly deadline: Deadline;
	readonly startedAt: number;
	readonly signal: AbortSignal;
};

const notReady = createRefusal('not-ready', 'not-run', 'the entry does not know the rules yet', 1);
const unauthorized = createRefusal('unauthorized', 'not-run', 'the bearer key is missing or not known');

function hasBody({headers}: IncomingMessage): boolean {
	return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
}

/** The value of a header that is present exactly once. */
function singleHeader(req: FastifyRequest, name: string): string | undefined {
	const value = req.headers[name];
	return typeof value === 'string' ? value : undefined;
}

export class Entry {
	/**
	 * Starts listening for callers.
	 *
	 * @throws Error when the address cannot be listened on.
	 */
	static async create(options: EntryOptions): Promise<Entry> {
		const entry = new Entry(options);
		const {host, port} = options.settings.listen;
		await entry.#http.listen({host, port});
		entry.#backlogProbe = BacklogProbe.create({host, port: entry.port}, entry.#readDelay, readInstant);
		return entry;
	}

	readonly #options: EntryOptions;
	readonly #log: Logger;
	readonly #server: CallerServer;
	readonly #http: FastifyInstance;
	readonly #context: RequestContext;
	readonly #claims: ClaimService;
	readonly #readDelay = ReadDelay.create(processClock);

	#backlogProbe: BacklogProbe | undefined;
	readonly #arrivals = new WeakMap<IncomingMessage, Arrival>();
	readonly #requestBodies: RequestBodies;
	/** Bodies that were read. */
	readonly #bodies = new WeakMap<IncomingMessage, Uint8Array>();
	readonly #idle = new EventTarget();
	#inProgress = 0;
	#draining = false;

	private constructor(options: EntryOptions) {
		this.#options = options;
		this.#log = options.log.child('entry');
		const {peering, metrics, signal, settings} = options;
		const createdAt = Date.now();
		const firstStart = FirstStart.create({
			machineId: peering.machine.id,
			store: options.store,
			onError: error => {
				this.#log.error('start was not recorded', {err: error});
			},
			signal,
		});
		this.#context = {
			peering,
			router: EndpointRouter.create({
				peering, subsetSize: settings.subsetSize, log: options.log, signal,
			}),
			attempts: AttemptTable.create(peering.pool, metrics),
			prefixes: PrefixCacheIndex.create(),
			retryBudget: RetryBudget.create({
				restrictedUntil: () => firstStart.isFirst ? Number.NEGATIVE_INFINITY : createdAt + RETRY_WINDOW_MS,
				windowMs: RETRY_WINDOW_MS,
			}),
			quarantine: Quarantine.create({peering, log: options.log}),
			limits: WorkspaceLimits.create({peering, log: options.log, signal}),
			metrics,
			log: this.#log,
		};
		this.#claims = ClaimService.create({
			peering, store: options.store, log: options.log, signal,
		});
		this.#requestBodies = RequestBodies.create({
			maxBytes: settings.maxBodyBytes,
			memoryBytes: settings.memoryMb * BYTES_PER_MB,
			onError: error => {
				this.#log.error('check of request bodies failed', {err: error});
			},
		}, signal);
		this.#server = CallerServer.create(this.#log, {
			maxConnections: maxCallerConnections(settings.maxOpenFiles),
			dropBody: req => {
				this.#requestBodies.drop(req);
			},
		});
		this.#http = fastify({
			logger: false,
			bodyLimit: settings.maxBodyBytes,
			forceCloseConnections: false,
			serverFactory: onRequest => this.#server.listenWith(onRequest),
			clientErrorHandler: (err, socket) => {
				this.#server.refuseInput(err, socket);
			},
		});
		this.#readDelay.start(signal, delayMs => {
			metrics.recordLatency('loopDelay', delayMs);
		});
		this.#http.server.on('connection', connection => {
			this.#backlogProbe?.recordAccept(connection);
		});
		this.#http.addHook('onRequest', async ({raw, headers, id}, res) => {
			// The body may follow later.
			this.#arrivals.set(raw, this.#readDelay.arrivalOn(raw.socket));
			if (raw.httpVersion === '1.1' && headers.host === undefined) {
				this.#refuse(res, id, createRefusal('bad-request', 'not-run', 'the request names no host'));
			}
		});
		this.#http.addHook('onSend', async (_req, res) => {
			if (this.#server.closesAfter(res.raw)) {
				void res.header('connection', 'close');
			}
		});
		this.#registerRoutes();
	}

	/** The port that callers connect to. */
	get port(): number {
		return (this.#http.server.address() as AddressInfo).port;
	}

	/** Number of requests in progress. */
	get running(): number {
		return this.#inProgress;
	}

	/**
	 * Announces that this entry is leaving, closes connections after their next response, and waits for requests in progress and pending
	 * claim outcomes. Then it stops listening, and waits until all responses are written out.
	 */
	async drain(): Promise<void> {
		this.#draining = true;
		this.#server.startDraining();
		this.#options.peering.setLeaving(true);
		this.#log.info('draining', {running: this.#inProgress});
		const recordDeadline = Date.now() + RECORD_TIMEOUT_MS;
		while (this.#inProgress > 0 || (this.#claims.pending > 0 && Date.now() < recordDeadline)) {
			await Promise.race([once(this.#idle, 'idle'), sleep(DRAIN_CHECK_MS)]);
		}

		this.#server.stopListening();
		while (this.#inProgress > 0 || this.#server.openResponses > 0 || this.#server.lingeringConnections > 0) {
			this.#server.closeIdleConnections();
			await sleep(DRAIN_CHECK_MS);
		}

		this.#log.info('drained');
	}

	/** Closes the listening socket and idle connections. */
	async close(): Promise<void> {
		this.#claims.close();
		this.#context.router.close();
		this.#context.quarantine.close();
		this.#context.limits.close();
		this.#context.attempts.close();
		await this.#http.close();
	}

	#registerRoutes(): void {
		const http = this.#http;
		http.removeAllContentTypeParsers();
		http.addHook('preParsing', async (req, res, payload) => {
			const refusal = hasBody(req.raw) ? await this.#readBody(req, res) : undefined;
			if (refusal !== undefined) {
				this.#server.closeAfter(res.raw, 'body not read');
				this.#refuse(res, req.id, refusal);
			}

			return payload;
		});
		http.addContentTypeParser('*', async (req: FastifyRequest) => this.#bodies.get(req.raw) ?? new Uint8Array());
		http.setErrorHandler((error, req, res) => {
			const status = (error as {readonly statusCode?: number}).statusCode;
			this.#refuse(res, req.id, status === 413
				? createRefusal('too-large', 'not-run', `the body is larger than ${this.#options.settings.maxBodyBytes} bytes`)
				: createRefusal('bad-request', 'not-run', 'the request cannot be read'));
		});
		http.setNotFoundHandler((req, res) => {
			this.#refuse(res, req.id, createRefusal('bad-request', 'not-run', `there is no ${req.method} ${req.url.split('?')[0] ?? ''}`));
		});
		for (const path of inferencePaths) {
			http.post(path, async (req, res) => this.#handle(req, res, async call => this.#handleInference(call, path)));
		}

		http.get('/v1/models', async (req, res) => this.#listModels(req, res));
		http.route({method: [...SERVICE_METHODS], url: '/services/:name/*', handler: async (req, res) => this.#handle(req, res, async call => this.#handleServiceCall(call))});
		AdminRoutes.register(http, {
			settings: this.#options.settings,
			peering: this.#options.peering,
			router: this.#context.router,
			limits: this.#context.limits,
			version: this.#options.version,
			metrics: this.#options.metrics,
			state: () => ({running: this.#inProgress, draining: this.#draining}),
		});
	}

	/** Reads the body of a request whose caller is known. Returns why it is not read; undefined if it was. */
	async #readBody({raw, headers}: FastifyRequest, res: FastifyReply): Promise<Refusal | undefined> {
		const {settings, peering: {kernel, readiness}} = this.#options;
		if (!isOperator(settings.operatorKeyHash, headers) && (readiness.kind === 'waiting' || authenticateWorkspace(kernel.snapshot.ruleSet, headers) === undefined)) {
			this.#requestBodies.drop(raw);
			return readiness.kind === 'waiting' ? notReady : unauthorized;
		}

		const read = await this.#requestBodies.read(raw, res.raw);
		if (read.kind === 'unread') {
			return read.refusal;
		}

		if (read.isLast) {
			this.#server.closeAfter(res.raw, 'large body while others wait');
		}

		this.#bodies.set(raw, read.body);
		return undefined;
	}

	#refuse(res: FastifyReply, requestId: string, refusal: Refusal): void {
		this.#options.metrics.count('refusals', refusal.reason);
		void res.hijack();
		this.#createResponse(res, requestId, () => undefined).refuse(refusal);
	}

	#createResponse(res: FastifyReply, requestId: string, onDelivered: (offset: number) => void): CallerResponse {
		return CallerResponse.create(res.raw, requestId, {
			onDelivered,
			closesAfter: () => this.#server.closesAfter(res.raw),
			onCutOff: ({reason, message}, bytes) => {
				this.#log.warn('answer cut off', {
					requestId, reason, detail: message, bytes,
				});
			},
		});
	}

	/** Authenticates the caller, runs the request and records its result. */
	async #handle(req: FastifyRequest, res: FastifyReply, run: (call: CallerRequest) => Promise<RequestResult>): Promise<void> {
		const requestId = randomUUID();
		const arrival = this.#arrivals.get(req.raw) ?? this.#readDelay.arrivalOn(req.raw.socket);
		const startedAt = arrival.earliest.monotonicMs;
		this.#options.metrics.recordLatency('readDelay', arrival.readDelayMs);
		const {ruleSet} = this.#options.peering.kernel.snapshot;
		if (this.#options.peering.readiness.kind === 'waiting') {
			this.#refuse(res, requestId, notReady);
			return;
		}

		const workspace = authenticateWorkspace(ruleSet, req.headers);
		if (workspace === undefined) {
			this.#refuse(res, requestId, unauthorized);
			return;
		}

		const deadline = parseDeadline(req.headers, arrival);
		if (deadline === undefined) {
			this.#refuse(res, requestId, createRefusal('bad-request', 'not-run', 'x-deadline-ms is not a number of milliseconds'));
			return;
		}

		const disconnect = new AbortController();
		res.raw.once('close', () => {
			if (!res.raw.writableFinished) {
				this.#recordDisconnect(res.raw, requestId);
				disconnect.abort();
			}
		});
		void res.hijack();
		this.#inProgress += 1;
		this.#context.retryBudget.recordRequest(Date.now());
		try {
			const result = await run({
				req, res, requestId, workspace, deadline, startedAt, signal: disconnect.signal,
			});
			this.#recordResult(requestId, workspace, result, startedAt);
		} catch (error) {
			this.#log.error('request failed', {requestId, err: error});
			this.#server.cut(res.raw, 'internal error');
		} finally {
			this.#inProgress -= 1;
			if (this.#inProgress === 0) {
				this.#idle.dispatchEvent(new Event('idle'));
			}
		}
	}

	#recordDisconnect(res: ServerResponse, requestId: string): void {
		const reason = this.#server.closeReasonOf(res);
		const isAnswerBegun = res.headersSent;
		if (reason === undefined) {
			this.#log.info('caller left', {requestId, isAnswerBegun});
		} else {
			this.#log.warn('connection closed', {requestId, reason, isAnswerBegun});
		}
	}

	#recordResult(requestId: string, workspace: WorkspaceRule, result: RequestResult, startedAt: number): void {
		const {metrics} = this.#options;
		const totalMs = performance.now() - startedAt;
		metrics.recordLatency('total', totalMs);
		metrics.count('answers', result.kind);
		if (result.kind === 'refusal') {
			metrics.count('refusals', result.reason);
		}

		this.#log.info('request ended', {
			requestId, workspace: workspace.name, end: result.kind, totalMs: Math.round(totalMs), ...(result.kind === 'refusal' ? {reason: result.reason, outcome: result.outcome} : {}),
		});
	}

	async #handleInference(call: CallerRequest, path: string): Promise<RequestResult> {
		const {req, res, requestId, workspace, deadline, signal} = call;
		this.#options.metrics.count('requests', 'model');
		const body = req.body as Uint8Array | undefined;
		const reject = (refusal: Refusal): RequestResult => {
			this.#createResponse(res, requestId, () => undefined).refuse(refusal);
			return refusal;
		};

		if (body === undefined) {
			return reject(createRefusal('bad-request', 'not-run', 'the request has no body'));
		}

		const read = parseInferenceRequest(body);
		if (read.kind === 'failed') {
			return reject(createRefusal('bad-request', 'not-run', read.failure));
		}

		const inference = read.value;
		const resolved = resolveModel(this.#options.peering.kernel.snapshot.ruleSet, inference.model);
		if (resolved === undefined) {
			return reject(createRefusal('unknown-model', 'not-run', `the rules name no model ${inference.model}`));
		}

		const tokens = inference.inputTokens + inference.outputTokens;
		const spent = this.#context.limits.spend(workspace.name, tokens, Date.now());
		if (spent.kind === 'refused') {
			return reject(createRefusal('over-limit', 'not-run', `workspace ${workspace.name} is over its limit`, spent.retryAfterMs / 1000));
		}

		const response = this.#createResponse(res, requestId, offset => {
			request.acknowledgeDelivery(offset);
		});
		const request = ModelRequest.create(this.#context, {
			requestId, workspace, inference, model: qualifiedModelName(resolved), path, headers: forwardedHeaders(req.headers), body, deadline, response, signal,
		});
		const result = await request.run();
		if (result.kind === 'refusal') {
			response.refuse(result);
			if (result.outcome === 'not-run') {
				this.#context.limits.refund(workspace.name, tokens, Date.now());
			}
		}

		return result;
	}

	async #handleServiceCall(call: CallerRequest): Promise<RequestResult> {
		const {req, res, requestId, workspace, deadline, signal} = call;
		const {name} = req.params as {readonly name: string};
		this.#options.metrics.count('requests', 'service');
		const rule = serviceRule(this.#options.peering.kernel.snapshot.ruleSet, name);
		const path = req.url.slice(`/services/${name}`.length);
		const response = this.#createResponse(res, requestId, offset => {
			request.acknowledgeDelivery(offset);
		});
		if (rule === undefined) {
			const refusal = createRefusal('unknown-service', 'not-run', `the rules name no service ${name}`);
			response.refuse(refusal);
			return refusal;
		}

		const serviceCall: ServiceCall = {
			requestId,
			workspace,
			service: name,
			method: req.method,
			path,
			headers: forwardedHeaders(req.headers),
			body: (req.body as Uint8Array | undefined) ?? new Uint8Array(),
			deadline,
			atMostOnce: isNonIdempotent(rule, req.method, path),
			response,
			signal,
		};
		const request = serviceCall.atMostOnce
			? AtMostOnceCall.create({
				context: this.#context,
				claims: this.#claims,
				metrics: this.#options.metrics,
				rule,
				call: serviceCall,
				idempotencyKey: singleHeader(req, 'idempotency-key'),
			})
			: ServiceRequest.create(this.#context, serviceCall);
		const result = await request.run();
		switch (result.kind) {
			case 'answered': {
				response.send(result.response);
				break;
			}

			case 'streamed': {
				response.finish();
				break;
			}

			case 'refusal': {
				response.refuse(result);
				break;
			}

			case 'abandoned': {
				break;
			}
		}

		return toRequestResult(result);
	}

	async #listModels(req: FastifyRequest, res: FastifyReply): Promise<unknown> {
		const {ruleSet} = this.#options.peering.kernel.snapshot;
		if (authenticateWorkspace(ruleSet, req.headers) === undefined) {
			this.#refuse(res, randomUUID(), unauthorized);
			return;
		}

		const models = [...ruleSet.models.values()].flatMap(rule => [rule.name, ...rule.versions.map(version => `${rule.name}@${version}`)]);
		void res.header('x-request-id', randomUUID());
		return {
			object: 'list', data: models.map(id => ({
				id, object: 'model', created: 0, owned_by: 'mimosamount',
			})),
		};
	}
}
