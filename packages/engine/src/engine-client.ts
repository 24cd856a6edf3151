/** Client of a model engine. No other module depends on the engine's HTTP interface. */
import {Buffer} from 'node:buffer';
import {z} from 'zod';
import {Backend, type BackendResponse, type BackendRequest} from './backend.js';
import {LimitedBody} from '#connections';
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

/** Load reported by the engine, with a lag. Units: tokens, requests, tokens/s, ms, step number. */
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

const orderResponseSchema = z.object({reason: z.enum(['fence', 'not-prepared', 'too-late', 'no-gate', 'gone']).exactOptional(), state: orderStateSchema});
const expertLoadSchema = z.object({step: z.number(), layers: z.array(z.array(z.number()))});

/** Observed load of experts: step number, and tokens by layer and expert. */
export type ExpertLoad = Readonly<z.infer<typeof expertLoadSchema>>;

const cacheEventsSchema = z.object({
	next: z.number(),
	events: z.array(z.object({kind: z.enum(['stored', 'evicted']), prefixHash: z.string()})),
});

/** Cache events after a position. They arrive late and with gaps. */
export type CacheEvents = Readonly<z.infer<typeof cacheEventsSchema>>;

/** Response to an order, or `no-answer`; `orderState` then shows whether the order took effect. */
export type OrderResult = OrderResponse | {readonly kind: 'no-answer'};

/** Timeout of requests to the engine other than callers' requests. */
const CONTROL_TIMEOUT_MS = 2000;

/** Longest response to these, in bytes. */
const MAX_CONTROL_RESPONSE_BYTES = 8 * 1024 * 1024;

/** Client of one model engine. */
export class EngineClient {
	/** @param url - Base URL of the engine on loopback. */
	static create(url: string): EngineClient {
		return new EngineClient(Backend.create(url), Backend.create(url));
	}

	readonly #requests: Backend;
	/** Separate connections, so that orders and load queries do not queue behind callers' requests. */
	readonly #control: Backend;

	private constructor(work: Backend, control: Backend) {
		this.#requests = work;
		this.#control = control;
	}

	/** Runs a caller's request. The engine uses the request id as its own. */
	async run(req: BackendRequest & {readonly requestId: string; readonly priority: number}): Promise<BackendResponse> {
		return this.#requests.send({...req, headers: {...req.headers, 'x-request-id': req.requestId, 'x-priority': String(req.priority)}});
	}

	/** Resumes a stream from a byte offset; the engine responds with 404 if it no longer has the stream. */
	async resume(requestId: string, offset: number, signal: AbortSignal): Promise<BackendResponse> {
		return this.#requests.send({
			method: 'POST', path: `/v1/resume/${encodeURIComponent(requestId)}`, headers: {'content-type': 'application/json'}, body: Buffer.from(JSON.stringify({offset})), signal,
		});
	}

	/** Cancels a request; an engine that does not know it responds with 404, which is not an error. */
	async cancel(requestId: string): Promise<void> {
		await this.#fetchJson('POST', `/v1/cancel/${encodeURIComponent(requestId)}`, {}, z.unknown());
	}

	/** Reads the load; fails with a message if the engine does not respond. */
	async load(): Promise<Result<EngineLoad, string>> {
		return this.#fetchJson('GET', '/v1/load', undefined, loadSchema);
	}

	async expertLoad(): Promise<Result<ExpertLoad, string>> {
		return this.#fetchJson('GET', '/v1/expert-load', undefined, expertLoadSchema);
	}

	async cacheEvents(after: number): Promise<Result<CacheEvents, string>> {
		return this.#fetchJson('GET', `/v1/cache-events?after=${after}`, undefined, cacheEventsSchema);
	}

	async orderState(): Promise<Result<EngineState, string>> {
		return this.#fetchJson('GET', '/v1/orders/state', undefined, orderStateSchema);
	}

	/** Sends an order. */
	async order(order: EngineOrder): Promise<OrderResult> {
		const res = await this.#fetchJson('POST', '/v1/orders', order, orderResponseSchema);
		if (res.kind === 'failed') {
			return {kind: 'no-answer'};
		}

		const {reason, state} = res.value;
		return reason === undefined ? {kind: 'done', state} : {kind: 'refused', reason, state};
	}

	async close(): Promise<void> {
		await Promise.all([this.#requests.close(), this.#control.close()]);
	}

	async #fetchJson<Value>(method: string, path: string, body: unknown, schema: z.ZodType<Value>): Promise<Result<Value, string>> {
		const res = await this.#control.send({
			method,
			path,
			headers: body === undefined ? {} : {'content-type': 'application/json'},
			body: body === undefined ? new Uint8Array() : Buffer.from(JSON.stringify(body)),
			signal: AbortSignal.timeout(CONTROL_TIMEOUT_MS),
		});
		if (res.kind !== 'head') {
			return failed(`${method} ${path}: ${res.kind}`);
		}

		try {
			const body = LimitedBody.create({}, MAX_CONTROL_RESPONSE_BYTES);
			for await (const chunk of res.body) {
				const excess = body.append(chunk);
				if (excess !== undefined) {
					return failed(`${method} ${path}: response ${excess}`);
				}
			}

			const parsed = schema.safeParse(JSON.parse(new TextDecoder().decode(body.take())));
			return parsed.success ? ok(parsed.data) : failed(`${method} ${path}: unexpected response with status ${res.status}`);
		} catch {
			return failed(`${method} ${path}: unreadable response with status ${res.status}`);
		}
	}
}
