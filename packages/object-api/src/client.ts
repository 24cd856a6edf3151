/**
 * Client of the platform's object API. It counts calls by kind and enforces rate limits
 * for reads and writes.
 */
import {Agent} from 'undici';
import type {z} from 'zod';
import {
	instancesSchema, listSchema, objectSchema, type InstanceListing,
} from './schemas.js';
import {TokenBucket, type BucketRate} from './token-bucket.js';
import {
	exchange, failureWithUnknownEffect, failureWithoutEffect, type PlatformRequest, type TransportOptions,
} from './transport.js';
import {watchObjects, type WatchEvent} from './watch.js';
import type {
	CallOptions, ObjectList, ObjectStore, StoredObject, StoreFailure,
} from '#coordination';
import {failed, ok, type Result} from '#core';

/** Kinds of calls. A watch counts as one call, regardless of its duration. */
export type CallKind = 'create' | 'list' | 'listInstances' | 'read' | 'remove' | 'update' | 'watch';

/** Counters of one kind of call. */
export type CallCounts = {
	/** Calls sent to the platform. */
	readonly sent: number;
	/** Calls that were not sent because the rate limit was reached. */
	readonly overBudget: number;
	/** Calls that were sent and did not receive a valid response. */
	readonly unavailable: number;
};

/** Options of the client. */
export type PlatformClientOptions = {
	/** Origin of the platform, for example `http://127.0.0.1:8001`. */
	readonly url: string;
	/** Platform key from the settings. */
	readonly key: string;
	/** Timeout of one call in ms; default 2,000. */
	readonly timeoutMs?: number;
	/** Idle timeout of a watch without any line, in ms; default 5,000 (the platform sends a bookmark each second). */
	readonly watchIdleMs?: number;
	/** Rate limit for `read`, `list`, `listInstances` and `watch`; default 20 per second, burst 40. */
	readonly readBudget?: BucketRate;
	/** Rate limit for `create`, `update` and `remove`; default 20 per second, burst 40. */
	readonly writeBudget?: BucketRate;
	/** Clock of the rate limits in ms; default `performance.now`. */
	readonly now?: () => number;
};

const API_PATH = '/apis/mimosamount/v1';
const CONNECT_TIMEOUT_MS = 1000;
const DEFAULT_TIMEOUT_MS = 2000;
const DEFAULT_WATCH_IDLE_MS = 5000;
const DEFAULT_CALL_BUDGET: BucketRate = {perSecond: 20, burst: 40};
const CALL_KINDS: readonly CallKind[] = ['read', 'create', 'update', 'remove', 'list', 'watch', 'listInstances'];
const WRITE_KINDS = new Set<CallKind>(['create', 'update', 'remove']);

/** Client for all calls of this project to the platform. */
export class PlatformClient implements ObjectStore {
	/** Creates a client; connections are opened on the first call. */
	static create(options: PlatformClientOptions): PlatformClient {
		return new PlatformClient(options);
	}

	readonly #transport: TransportOptions;
	readonly #agent: Agent;
	readonly #now: () => number;
	readonly #readBucket: TokenBucket;
	readonly #writeBucket: TokenBucket;
	readonly #counts = new Map<CallKind, {sent: number; overBudget: number; unavailable: number}>();

	private constructor(options: PlatformClientOptions) {
		// One request at a time per connection, so that undici never resends a write after a lost connection.
		this.#agent = new Agent({
			pipelining: 1,
			connect: {timeout: CONNECT_TIMEOUT_MS},
			bodyTimeout: options.watchIdleMs ?? DEFAULT_WATCH_IDLE_MS,
		});
		this.#transport = {
			dispatcher: this.#agent,
			url: options.url.replace(/\/$/, ''),
			key: options.key,
			timeoutMs: options.timeoutMs ?? DEFAULT_TIMEOUT_MS,
		};
		this.#now = options.now ?? (() => performance.now());
		this.#readBucket = TokenBucket.create(options.readBudget ?? DEFAULT_CALL_BUDGET, this.#now());
		this.#writeBucket = TokenBucket.create(options.writeBudget ?? DEFAULT_CALL_BUDGET, this.#now());
		for (const kind of CALL_KINDS) {
			this.#counts.set(kind, {sent: 0, overBudget: 0, unavailable: 0});
		}
	}

	/** Counters since the client was created, by kind of call. */
	get counts(): Readonly<Record<CallKind, CallCounts>> {
		return Object.fromEntries(CALL_KINDS.map(kind => [kind, {...this.#countsOf(kind)}])) as Record<CallKind, CallCounts>;
	}

	/** Reads one object. Failures: `missing`, `unavailable`, `over-budget`. */
	async read(name: string, options?: CallOptions): Promise<Result<StoredObject, StoreFailure>> {
		return this.#call('read', {method: 'GET', path: objectPath(name)}, objectSchema, options);
	}

	/** Creates an object. Failures: all except `missing`. */
	async create(name: string, value: unknown, options?: CallOptions): Promise<Result<StoredObject, StoreFailure>> {
		return this.#call('create', {method: 'POST', path: `${API_PATH}/objects`, body: {name, value}}, objectSchema, options);
	}

	/** Replaces an object if it still has the given version. All failures are possible. */
	async update(name: string, resourceVersion: string, value: unknown, options?: CallOptions): Promise<Result<StoredObject, StoreFailure>> {
		return this.#call('update', {method: 'PUT', path: objectPath(name), body: {resourceVersion, value}}, objectSchema, options);
	}

	/** Deletes an object if it still has the given version. Failures: all except `too-large`. */
	async remove(name: string, resourceVersion: string, options?: CallOptions): Promise<Result<undefined, StoreFailure>> {
		const path = `${objectPath(name)}?resourceVersion=${encodeURIComponent(resourceVersion)}`;
		return this.#call('remove', {method: 'DELETE', path}, undefined, options);
	}

	/** Lists the objects with a prefix. Failures: `unavailable`, `over-budget`. */
	async list(prefix: string, options?: CallOptions): Promise<Result<ObjectList, StoreFailure>> {
		return this.#call('list', {method: 'GET', path: listPath(prefix)}, listSchema, options);
	}

	/** Lists the instances known to the platform; the list may be outdated. Failures: `unavailable`, `over-budget`. */
	async listInstances(options?: CallOptions): Promise<Result<InstanceListing, StoreFailure>> {
		return this.#call('listInstances', {method: 'GET', path: `${API_PATH}/instances`}, instancesSchema, options);
	}

	/**
	 * Watches the objects with a prefix for changes after `resourceVersion`. The last event is `too-old`
	 * (list again and watch from the listed version) or `lost` (watch again from the last version seen).
	 * If the signal aborts, the iterator ends without such an event. Never throws.
	 */
	async * watch(prefix: string, resourceVersion: string, options?: CallOptions): AsyncGenerator<WatchEvent, void, undefined> {
		if (!this.#takeToken('watch')) {
			yield {kind: 'lost', failure: {kind: 'over-budget'}};
			return;
		}

		const path = `${listPath(prefix)}&watch=1&resourceVersion=${encodeURIComponent(resourceVersion)}`;
		for await (const event of watchObjects(this.#transport, path, options?.signal)) {
			if (event.kind === 'lost') {
				this.#countsOf('watch').unavailable += 1;
			}

			yield event;
		}
	}

	/** Closes all connections; calls in progress fail with `unavailable`. */
	async close(): Promise<void> {
		await this.#agent.destroy();
	}

	async #call<Value>(kind: CallKind, req: PlatformRequest, schema: z.ZodType<Value> | undefined, options: CallOptions | undefined): Promise<Result<Value, StoreFailure>> {
		if (!this.#takeToken(kind)) {
			return failed({kind: 'over-budget'});
		}

		const response = await exchange(this.#transport, req, options?.signal);
		const result = response.kind === 'failed'
			? failed(response.failure)
			: toResult(req.method, response.status, response.body, schema);
		if (result.kind === 'failed' && result.failure.kind === 'unavailable') {
			this.#countsOf(kind).unavailable += 1;
		}

		return result;
	}

	#takeToken(kind: CallKind): boolean {
		const bucket = WRITE_KINDS.has(kind) ? this.#writeBucket : this.#readBucket;
		const isTaken = bucket.take(this.#now());
		const count = this.#countsOf(kind);
		if (isTaken) {
			count.sent += 1;
		} else {
			count.overBudget += 1;
		}

		return isTaken;
	}

	#countsOf(kind: CallKind): {sent: number; overBudget: number; unavailable: number} {
		return this.#counts.get(kind)!;
	}
}

function objectPath(name: string): string {
	return `${API_PATH}/objects/${encodeURIComponent(name)}`;
}

function listPath(prefix: string): string {
	return `${API_PATH}/objects?prefix=${encodeURIComponent(prefix)}`;
}

/** Converts an HTTP status and body to a result; a body that does not match the schema counts as no response. */
function toResult<Value>(method: PlatformRequest['method'], status: number, body: unknown, schema: z.ZodType<Value> | undefined): Result<Value, StoreFailure> {
	switch (status) {
		case 200:
		case 201: {
			if (schema === undefined) {
				return ok(undefined as Value);
			}

			const parsed = schema.safeParse(body);
			return parsed.success ? ok(parsed.data) : failed(failureWithUnknownEffect(method, 'the response does not match the schema'));
		}

		case 404: {
			return failed({kind: 'missing'});
		}

		case 409: {
			return failed({kind: 'conflict'});
		}

		case 413: {
			return failed({kind: 'too-large'});
		}

		case 400:
		case 401:
		case 403:
		case 429:
		case 503: {
			return failed(failureWithoutEffect(`the platform answered ${status}`));
		}

		default: {
			return failed(failureWithUnknownEffect(method, `the platform answered ${status}`));
		}
	}
}
