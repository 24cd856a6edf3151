/** The one module that knows a model engine's interface. */
import {Buffer} from 'node:buffer';
import {z} from 'zod';
import {Backend, type BackendAnswer, type BackendRequest} from './backend.js';
import {type EngineOrder, type EngineState, type OrderResponse} from '#expertmap';
import {
	failed, ok, type Result,
} from '#core';

const loadSchema = z.object({
	queuedTokens: z.number(),
	running: z.number(),
	tokensPerSecond: z.number(),
	stepMs: z.number(),
	step: z.number(),
});

/** Load that the engine reports, with a lag. Tokens, requests, tokens/s, ms, step number. */
export type EngineLoad = Readonly<z.infer<typeof loadSchema>>;

const orderStateSchema = z.object({
	epoch: z.number(),
	members: z.array(z.string()),
	step: z.number(),
	mapVersion: z.number(),
	prepared: z.array(z.number()),
	gate: z.object({version: z.number(), step: z.number(), gone: z.boolean()}).exactOptional(),
	fence: z.number(),
});

const orderAnswerSchema = z.object({reason: z.enum(['fence', 'not-prepared', 'too-late', 'no-gate', 'gone']).exactOptional(), state: orderStateSchema});
const expertLoadSchema = z.object({step: z.number(), layers: z.array(z.array(z.number()))});

/** Observed load of experts: step, then tokens per layer and expert. */
export type ExpertLoad = Readonly<z.infer<typeof expertLoadSchema>>;

const cacheEventsSchema = z.object({
	next: z.number(),
	events: z.array(z.object({kind: z.enum(['stored', 'evicted']), prefixHash: z.string()})),
});

/** Cache events after a position; late and with gaps. */
export type CacheEvents = Readonly<z.infer<typeof cacheEventsSchema>>;

/** Answer to an order, or none; `orderState` then tells whether the order took effect. */
export type OrderResult = OrderResponse | {readonly kind: 'no-answer'};

/** Requests to the engine that are not a caller's work give up after this time. */
const CONTROL_LIMIT_MS = 2000;

/** Client of one model engine. */
export class EngineClient {
	/** @param url - Base URL of the engine on loopback. */
	static create(url: string): EngineClient {
		return new EngineClient(Backend.create(url), Backend.create(url));
	}

	readonly #work: Backend;
	/** Orders and load reads do not queue behind requests. */
	readonly #control: Backend;

	private constructor(work: Backend, control: Backend) {
		this.#work = work;
		this.#control = control;
	}

	/** Runs a caller's request. The request id becomes the engine's own id of the request. */
	async run(req: BackendRequest & {readonly requestId: string; readonly priority: number}): Promise<BackendAnswer> {
		return this.#work.send({...req, headers: {...req.headers, 'x-request-id': req.requestId, 'x-priority': String(req.priority)}});
	}

	/** Reads a stream again from a byte offset; the engine answers 404 when it no longer holds it. */
	async resume(requestId: string, offset: number, signal: AbortSignal): Promise<BackendAnswer> {
		return this.#work.send({
			method: 'POST', path: `/v1/resume/${encodeURIComponent(requestId)}`, headers: {'content-type': 'application/json'}, body: Buffer.from(JSON.stringify({offset})), signal,
		});
	}

	/** Cancels a request; an engine that does not know it answers 404, which is not an error. */
	async cancel(requestId: string): Promise<void> {
		await this.#json('POST', `/v1/cancel/${encodeURIComponent(requestId)}`, {}, z.unknown());
	}

	/** Reads the load; fails with a message when the engine does not answer. */
	async load(): Promise<Result<EngineLoad, string>> {
		return this.#json('GET', '/v1/load', undefined, loadSchema);
	}

	async expertLoad(): Promise<Result<ExpertLoad, string>> {
		return this.#json('GET', '/v1/expert-load', undefined, expertLoadSchema);
	}

	async cacheEvents(after: number): Promise<Result<CacheEvents, string>> {
		return this.#json('GET', `/v1/cache-events?after=${after}`, undefined, cacheEventsSchema);
	}

	async orderState(): Promise<Result<EngineState, string>> {
		return this.#json('GET', '/v1/orders/state', undefined, orderStateSchema);
	}

	/** Gives an order. */
	async order(order: EngineOrder): Promise<OrderResult> {
		const res = await this.#json('POST', '/v1/orders', order, orderAnswerSchema);
		if (res.kind === 'failed') {
			return {kind: 'no-answer'};
		}

		const {reason, state} = res.value;
		return reason === undefined ? {kind: 'done', state} : {kind: 'refused', reason, state};
	}

	async close(): Promise<void> {
		await Promise.all([this.#work.close(), this.#control.close()]);
	}

	async #json<Value>(method: string, path: string, body: unknown, schema: z.ZodType<Value>): Promise<Result<Value, string>> {
		const res = await this.#control.send({
			method,
			path,
			headers: body === undefined ? {} : {'content-type': 'application/json'},
			body: body === undefined ? new Uint8Array() : Buffer.from(JSON.stringify(body)),
			signal: AbortSignal.timeout(CONTROL_LIMIT_MS),
		});
		if (res.kind !== 'head') {
			return failed(`${method} ${path}: ${res.kind}`);
		}

		try {
			const chunks: Uint8Array[] = [];
			for await (const chunk of res.body) {
				chunks.push(chunk);
			}

			const parsed = schema.safeParse(JSON.parse(Buffer.concat(chunks).toString('utf8')));
			return parsed.success ? ok(parsed.data) : failed(`${method} ${path}: unexpected answer with status ${res.status}`);
		} catch {
			return failed(`${method} ${path}: unreadable answer with status ${res.status}`);
		}
	}
}
