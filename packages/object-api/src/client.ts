/**
 * Client of the platform's object API. It counts each call by kind and keeps to a
 * budget for reads and writes.
 */
import {Agent} from 'undici';
import type {z} from 'zod';
import {
	instancesSchema, listSchema, objectSchema, type InstanceListing,
} from './schemas.js';
import {TokenBucket, type BucketRate} from './token-bucket.js';
import {
	exchange, perhapsWithEffect, withoutEffect, type PlatformRequest, type TransportOptions,
} from './transport.js';
import {watchObjects, type WatchEvent} from './watch.js';
import type {
	CallOptions, ObjectList, ObjectStore, StoredObject, StoreFailure,
} from '#coordination';
import {failed, ok, type Result} from '#core';

/** Kinds of calls, as counted. A watch counts as one call, however long it waits. */
export type CallKind = 'create' | 'list' | 'listInstances' | 'read' | 'remove' | 'update' | 'watch';

/** Counts of one kind of call. */
export type CallCounts = {
	/** Calls sent to the platform. */
	readonly sent: number;
	/** Calls that were not sent because the budget was spent. */
	readonly overBudget: number;
	/** Calls sent that had no usable answer. */
	readonly unavailable: number;
};

/** Settings of the client. */
export type PlatformClientOptions = {
	/** Origin of the platform, for example `http://127.0.0.1:8001`. */
	readonly url: string;
	/** Platform key of the settings. */
	readonly key: string;
	/** Time for one call in ms; default 2,000. */
	readonly timeoutMs?: number;
	/** A watch without any line for so long counts as lost, in ms; default 5,000 (the platform sends a bookmark each second). */
	readonly watchIdleMs?: number;
	/** Budget for `read`, `list`, `listInstances` and `watch`; default 20 per second, burst 40. */
	readonly readBudget?: BucketRate;
	/** Budget for `create`, `update` and `remove`; default 20 per second, burst 40. */
	readonly writeBudget?: BucketRate;
	/** Clock of the budgets in ms; default `performance.now`. */
	readonly now?: () => number;
};

const API = '/apis/mimosamount/v1';
const CONNECT_TIMEOUT_MS = 1000;
const DEFAULT_TIMEOUT_MS = 2000;
const DEFAULT_WATCH_IDLE_MS = 5000;
const DEFAULT_BUDGET: BucketRate = {perSecond: 20, burst: 40};
const KINDS: readonly CallKind[] = ['read', 'create', 'update', 'remove', 'list', 'watch', 'listInstances'];
const WRITES = new Set<CallKind>(['create', 'update', 'remove']);

/** The only path from this project to the platform. */
export class PlatformClient implements ObjectStore {
	/** Creates a client; connections are made with the first call. */
	static create(options: PlatformClientOptions): PlatformClient {
		return new PlatformClient(options);
	}

	readonly #transport: TransportOptions;
	readonly #agent: Agent;
	readonly #now: () => number;
	readonly #reads: TokenBucket;
	readonly #writes: TokenBucket;
	readonly #counts = new Map<CallKind, {sent: number; overBudget: number; unavailable: number}>();

	private constructor(options: PlatformClientOptions) {
		// One request at a time per connection, so a lost connection never makes undici resend a write.
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
		this.#reads = TokenBucket.create(options.readBudget ?? DEFAULT_BUDGET, this.#now());
		this.#writes = TokenBucket.create(options.writeBudget ?? DEFAULT_BUDGET, this.#now());
		for (const kind of KINDS) {
			this.#counts.set(kind, {sent: 0, overBudget: 0, unavailable: 0});
		}
	}

	/** Counts since the client was created, by kind of call. */
	get counts(): Readonly<Record<CallKind, CallCounts>> {
		return Object.fromEntries(KINDS.map(kind => [kind, {...this.#count(kind)}])) as Record<CallKind, CallCounts>;
	}

	/** Reads one object. Failures: `missing`, `unavailable`, `over-budget`. */
	async read(name: string, options?: CallOptions): Promise<Result<StoredObject, StoreFailure>> {
		return this.#call('read', {method: 'GET', path: objectPath(name)}, objectSchema, options);
	}

	/** Creates an object. Failures: all but `missing`. */
	async create(name: string, value: unknown, options?: CallOptions): Promise<Result<StoredObject, StoreFailure>> {
		return this.#call('create', {method: 'POST', path: `${API}/objects`, body: {name, value}}, objectSchema, options);
	}

	/** Replaces an object of a known version. All failures are possible. */
	async update(name: string, resourceVersion: string, value: unknown, options?: CallOptions): Promise<Result<StoredObject, StoreFailure>> {
		return this.#call('update', {method: 'PUT', path: objectPath(name), body: {resourceVersion, value}}, objectSchema, options);
	}

	/** Deletes an object of a known version. Failures: all but `too-large`. */
	async remove(name: string, resourceVersion: string, options?: CallOptions): Promise<Result<undefined, StoreFailure>> {
		const path = `${objectPath(name)}?resourceVersion=${encodeURIComponent(resourceVersion)}`;
		return this.#call('remove', {method: 'DELETE', path}, undefined, options);
	}

	/** Lists the objects below a prefix. Failures: `unavailable`, `over-budget`. */
	async list(prefix: string, options?: CallOptions): Promise<Result<ObjectList, StoreFailure>> {
		return this.#call('list', {method: 'GET', path: listPath(prefix)}, listSchema, options);
	}

	/** Lists the instances that the platform knows; the list lags. Failures: `unavailable`, `over-budget`. */
	async listInstances(options?: CallOptions): Promise<Result<InstanceListing, StoreFailure>> {
		return this.#call('listInstances', {method: 'GET', path: `${API}/instances`}, instancesSchema, options);
	}

	/**
	 * Watches the objects below a prefix for changes after `resourceVersion`. The last event is `too-old`
	 * (list again, then watch from there) or `lost` (watch again from the last version seen); when
	 * the signal aborts, the iterator ends without one. Never throws.
	 */
	async * watch(prefix: string, resourceVersion: string, options?: CallOptions): AsyncGenerator<WatchEvent, void, undefined> {
		if (!this.#takeToken('watch')) {
			yield {kind: 'lost', failure: {kind: 'over-budget'}};
			return;
		}

		const path = `${listPath(prefix)}&watch=1&resourceVersion=${encodeURIComponent(resourceVersion)}`;
		for await (const event of watchObjects(this.#transport, path, options?.signal)) {
			if (event.kind === 'lost') {
				this.#count('watch').unavailable += 1;
			}

			yield event;
		}
	}

	/** Closes all connections; calls in progress fail as `unavailable`. */
	async close(): Promise<void> {
		await this.#agent.destroy();
	}

	async #call<Value>(kind: CallKind, req: PlatformRequest, schema: z.ZodType<Value> | undefined, options: CallOptions | undefined): Promise<Result<Value, StoreFailure>> {
		if (!this.#takeToken(kind)) {
			return failed({kind: 'over-budget'});
		}

		const answer = await exchange(this.#transport, req, options?.signal);
		const result = answer.kind === 'failed'
			? failed(answer.failure)
			: readAnswer(req.method, answer.status, answer.body, schema);
		if (result.kind === 'failed' && result.failure.kind === 'unavailable') {
			this.#count(kind).unavailable += 1;
		}

		return result;
	}

	#takeToken(kind: CallKind): boolean {
		const bucket = WRITES.has(kind) ? this.#writes : this.#reads;
		const taken = bucket.take(this.#now());
		const count = this.#count(kind);
		if (taken) {
			count.sent += 1;
		} else {
			count.overBudget += 1;
		}

		return taken;
	}

	#count(kind: CallKind): {sent: number; overBudget: number; unavailable: number} {
		return this.#counts.get(kind)!;
	}
}

function objectPath(name: string): string {
	return `${API}/objects/${encodeURIComponent(name)}`;
}

function listPath(prefix: string): string {
	return `${API}/objects?prefix=${encodeURIComponent(prefix)}`;
}

/** Turns a status and a body into a result; an answer of the wrong shape counts as no answer. */
function readAnswer<Value>(method: PlatformRequest['method'], status: number, body: unknown, schema: z.ZodType<Value> | undefined): Result<Value, StoreFailure> {
	switch (status) {
		case 200:
		case 201: {
			if (schema === undefined) {
				return ok(undefined as Value);
			}

			const parsed = schema.safeParse(body);
			return parsed.success ? ok(parsed.data) : failed(perhapsWithEffect(method, 'the answer has the wrong shape'));
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
			return failed(withoutEffect(`the platform answered ${status}`));
		}

		default: {
			return failed(perhapsWithEffect(method, `the platform answered ${status}`));
		}
	}
}
