/** The entry role: callers connect here. Wires HTTP to the decisions and to the endpoints. */
import {randomUUID} from 'node:crypto';
import {type AddressInfo} from 'node:net';
import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import fastify, {type FastifyInstance, type FastifyReply, type FastifyRequest} from 'fastify';
import {AdminRoutes} from './admin.js';
import {Answer} from './answer.js';
import {AttemptTable} from './attempt-table.js';
import {Claims} from './claims.js';
import {deadlineOf, passedOnHeaders, workspaceOf} from './caller.js';
import {Fleet} from './fleet.js';
import {offeredName, readInference} from './inference.js';
import {ModelRequest, type RequestContext, type RequestEnd} from './model-request.js';
import {refuse, type Refusal} from './refusal.js';
import {Suspects} from './suspects.js';
import {WorkspaceLimits} from './workspace-limits.js';
import {OnceCall} from './once-call.js';
import {ServiceRequest, toRequestEnd, type ServiceCall} from './service-request.js';
import {type Logger, type Metrics} from '#telemetry';
import {type EntrySettings} from '#settings';
import {
	isNonIdempotent, resolveModel, serviceRule, type WorkspaceRule,
} from '#rules';
import {PrefixCacheIndex} from '#routing';
import {type Peering} from '#peering';
import {RetryBudget, type ObjectStore} from '#coordination';

const MAX_HEADER_BYTES = 32 * 1024;
/** Interval at which a draining entry looks whether outcomes of claims are still to be recorded. */
const DRAIN_CHECK_MS = 100;

/** A draining entry gives up recording outcomes after this time, so that a platform outage does not hold its replacement. */
const RECORD_LIMIT_MS = 30_000;

const inferencePaths = ['/v1/chat/completions', '/v1/completions'] as const;
const SERVICE_METHODS = ['GET', 'POST', 'PUT', 'PATCH', 'DELETE'] as const;

export type EntryOptions = {
	readonly settings: EntrySettings;
	readonly peering: Peering;
	/** Version of the program, for status. */
	readonly version: string;
	/** Object store of the platform, for claims. */
	readonly store: ObjectStore;
	readonly log: Logger;
	readonly metrics: Metrics;
	readonly signal: AbortSignal;
};

/** A request of a known caller. */
type Call = {
	readonly req: FastifyRequest;
	readonly res: FastifyReply;
	readonly requestId: string;
	readonly workspace: WorkspaceRule;
	readonly deadline: number;
	readonly startedAt: number;
	readonly signal: AbortSignal;
};

/** A header that was sent once. */
function headerOf(req: FastifyRequest, name: string): string | undefined {
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
		return entry;
	}

	readonly #options: EntryOptions;
	readonly #log: Logger;
	readonly #http: FastifyInstance;
	readonly #context: RequestContext;
	readonly #claims: Claims;
	readonly #idle = new EventTarget();
	#inProgress = 0;
	#draining = false;

	private constructor(options: EntryOptions) {
		this.#options = options;
		this.#log = options.log.part('entry');
		const {peering, metrics, signal, settings} = options;
		this.#context = {
			peering,
			fleet: Fleet.create({
				peering, subsetSize: settings.subsetSize, log: options.log, signal,
			}),
			attempts: AttemptTable.create(peering.pool, metrics),
			prefixes: PrefixCacheIndex.create(),
			budget: RetryBudget.create(),
			suspects: Suspects.create({peering, log: options.log}),
			limits: WorkspaceLimits.create({peering, log: options.log, signal}),
			metrics,
			log: this.#log,
		};
		this.#claims = Claims.create({
			peering, store: options.store, log: options.log, signal,
		});
		this.#http = fastify({
			logger: false, bodyLimit: settings.maxBodyBytes, http: {maxHeaderSize: MAX_HEADER_BYTES}, forceCloseConnections: false,
		});
		this.#routes();
	}

	/** Port on which callers connect. */
	get port(): number {
		return (this.#http.server.address() as AddressInfo).port;
	}

	/** Requests in progress. */
	get running(): number {
		return this.#inProgress;
	}

	/** Takes no new connections, lets every request in progress finish, then resolves. */
	async drain(): Promise<void> {
		this.#draining = true;
		this.#options.peering.setLeaving(true);
		this.#log.info('draining', {running: this.#inProgress});
		const recordUntil = Date.now() + RECORD_LIMIT_MS;
		while (this.#inProgress > 0 || (this.#claims.pending > 0 && Date.now() < recordUntil)) {
			await Promise.race([once(this.#idle, 'idle'), sleep(DRAIN_CHECK_MS)]);
		}

		this.#log.info('drained');
	}

	/** Closes the listening socket and idle connections. */
	async close(): Promise<void> {
		this.#claims.close();
		this.#context.fleet.close();
		this.#context.suspects.close();
		this.#context.limits.close();
		this.#context.attempts.close();
		await this.#http.close();
	}

	#routes(): void {
		const http = this.#http;
		http.removeAllContentTypeParsers();
		http.addContentTypeParser('*', {parseAs: 'buffer'}, (_req, body, done) => {
			done(null, body);
		});
		http.setErrorHandler((error, req, res) => {
			const status = (error as {readonly statusCode?: number}).statusCode;
			this.#refuse(res, req.id, status === 413
				? refuse('too-large', 'not-run', `the body is larger than ${this.#options.settings.maxBodyBytes} bytes`)
				: refuse('bad-request', 'not-run', 'the request cannot be read'));
		});
		http.setNotFoundHandler((req, res) => {
			this.#refuse(res, req.id, refuse('bad-request', 'not-run', `there is no ${req.method} ${req.url.split('?')[0] ?? ''}`));
		});
		for (const path of inferencePaths) {
			http.post(path, async (req, res) => this.#serve(req, res, async call => this.#infer(call, path)));
		}

		http.get('/v1/models', async (req, res) => this.#listModels(req, res));
		http.route({method: [...SERVICE_METHODS], url: '/services/:name/*', handler: async (req, res) => this.#serve(req, res, async call => this.#callService(call))});
		AdminRoutes.register(http, {
			settings: this.#options.settings,
			peering: this.#options.peering,
			fleet: this.#context.fleet,
			limits: this.#context.limits,
			version: this.#options.version,
			metrics: this.#options.metrics,
			state: () => ({running: this.#inProgress, draining: this.#draining}),
		});
	}

	#refuse(res: FastifyReply, requestId: string, refusal: Refusal): void {
		this.#options.metrics.count('refusals', refusal.reason);
		void res.hijack();
		Answer.create(res.raw, requestId, () => undefined).refuse(refusal);
	}

	/** Checks the caller, then runs the request and accounts for it. */
	async #serve(req: FastifyRequest, res: FastifyReply, run: (call: Call) => Promise<RequestEnd>): Promise<void> {
		const requestId = randomUUID();
		const startedAt = performance.now();
		const {ruleSet} = this.#options.peering.kernel.snapshot;
		if (this.#draining) {
			res.raw.setHeader('connection', 'close');
		}

		if (this.#options.peering.readiness.kind === 'waiting') {
			this.#refuse(res, requestId, refuse('not-ready', 'not-run', 'the entry does not know the rules yet', 1));
			return;
		}

		const workspace = workspaceOf(ruleSet, req.headers);
		if (workspace === undefined) {
			this.#refuse(res, requestId, refuse('unauthorized', 'not-run', 'the bearer key is missing or not known'));
			return;
		}

		const deadline = deadlineOf(req.headers, Date.now());
		if (deadline === undefined) {
			this.#refuse(res, requestId, refuse('bad-request', 'not-run', 'x-deadline-ms is not a number of milliseconds'));
			return;
		}

		const hangUp = new AbortController();
		res.raw.once('close', () => {
			if (!res.raw.writableFinished) {
				hangUp.abort();
			}
		});
		void res.hijack();
		this.#inProgress += 1;
		this.#context.budget.recordRequest(Date.now());
		try {
			const end = await run({
				req, res, requestId, workspace, deadline, startedAt, signal: hangUp.signal,
			});
			this.#account(requestId, workspace, end, startedAt);
		} catch (error) {
			this.#log.error('request failed', {requestId, err: error});
			res.raw.destroy();
		} finally {
			this.#inProgress -= 1;
			if (this.#inProgress === 0) {
				this.#idle.dispatchEvent(new Event('idle'));
			}
		}
	}

	#account(requestId: string, workspace: WorkspaceRule, end: RequestEnd, startedAt: number): void {
		const {metrics} = this.#options;
		const totalMs = performance.now() - startedAt;
		metrics.record('total', totalMs);
		metrics.count('answers', end.kind);
		if (end.kind === 'refusal') {
			metrics.count('refusals', end.reason);
		}

		this.#log.info('request ended', {
			requestId, workspace: workspace.name, end: end.kind, totalMs: Math.round(totalMs), ...(end.kind === 'refusal' ? {reason: end.reason, outcome: end.outcome} : {}),
		});
	}

	async #infer(call: Call, path: string): Promise<RequestEnd> {
		const {req, res, requestId, workspace, deadline, signal} = call;
		this.#options.metrics.count('requests', 'model');
		const body = req.body as Uint8Array | undefined;
		const reject = (refusal: Refusal): RequestEnd => {
			Answer.create(res.raw, requestId, () => undefined).refuse(refusal);
			return refusal;
		};

		if (body === undefined) {
			return reject(refuse('bad-request', 'not-run', 'the request has no body'));
		}

		const read = readInference(body);
		if (read.kind === 'failed') {
			return reject(refuse('bad-request', 'not-run', read.failure));
		}

		const inference = read.value;
		const resolved = resolveModel(this.#options.peering.kernel.snapshot.ruleSet, inference.model);
		if (resolved === undefined) {
			return reject(refuse('unknown-model', 'not-run', `the rules name no model ${inference.model}`));
		}

		const tokens = inference.inputTokens + inference.outputTokens;
		const spent = this.#context.limits.spend(workspace.name, tokens, Date.now());
		if (spent.kind === 'refused') {
			return reject(refuse('over-limit', 'not-run', `workspace ${workspace.name} is over its limit`, spent.retryAfterMs / 1000));
		}

		const answer = Answer.create(res.raw, requestId, offset => {
			request.delivered(offset);
		});
		const request = ModelRequest.create(this.#context, {
			requestId, workspace, inference, model: offeredName(resolved), path, headers: passedOnHeaders(req.headers), body, deadline, answer, signal,
		});
		const end = await request.run();
		if (end.kind === 'refusal') {
			answer.refuse(end);
			if (end.outcome === 'not-run') {
				this.#context.limits.refund(workspace.name, tokens, Date.now());
			}
		}

		return end;
	}

	async #callService(call: Call): Promise<RequestEnd> {
		const {req, res, requestId, workspace, deadline, signal} = call;
		const {name} = req.params as {readonly name: string};
		this.#options.metrics.count('requests', 'service');
		const rule = serviceRule(this.#options.peering.kernel.snapshot.ruleSet, name);
		const path = req.url.slice(`/services/${name}`.length);
		const answer = Answer.create(res.raw, requestId, offset => {
			request.delivered(offset);
		});
		if (rule === undefined) {
			const refusal = refuse('unknown-service', 'not-run', `the rules name no service ${name}`);
			answer.refuse(refusal);
			return refusal;
		}

		const serviceCall: ServiceCall = {
			requestId,
			workspace,
			service: name,
			method: req.method,
			path,
			headers: passedOnHeaders(req.headers),
			body: (req.body as Uint8Array | undefined) ?? new Uint8Array(),
			deadline,
			once: isNonIdempotent(rule, req.method, path),
			answer,
			signal,
		};
		const request = serviceCall.once
			? OnceCall.create({
				context: this.#context,
				claims: this.#claims,
				metrics: this.#options.metrics,
				rule,
				call: serviceCall,
				idempotencyKey: headerOf(req, 'idempotency-key'),
			})
			: ServiceRequest.create(this.#context, serviceCall);
		const end = await request.run();
		switch (end.kind) {
			case 'answered': {
				answer.send(end.whole);
				break;
			}

			case 'streamed': {
				answer.finish();
				break;
			}

			case 'refusal': {
				answer.refuse(end);
				break;
			}

			case 'abandoned': {
				break;
			}
		}

		return toRequestEnd(end);
	}

	async #listModels(req: FastifyRequest, res: FastifyReply): Promise<unknown> {
		const {ruleSet} = this.#options.peering.kernel.snapshot;
		if (workspaceOf(ruleSet, req.headers) === undefined) {
			this.#refuse(res, randomUUID(), refuse('unauthorized', 'not-run', 'the bearer key is missing or not known'));
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
