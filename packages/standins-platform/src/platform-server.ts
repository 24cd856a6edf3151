/**
 * HTTP server of the platform stand-in on the loopback address: object API, instances list and
 * faults. For development and tests only. The state is kept in memory and is initially empty.
 */
import {Buffer} from 'node:buffer';
import {setMaxListeners} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {z} from 'zod';
import {
	changeFaults, faultsChangeSchema, NO_FAULTS, type Faults,
} from './faults.js';
import {readBody, sendJson} from './http.js';
import {InstanceList, instanceSchema, type InstanceRecord} from './instance-list.js';
import {ObjectTable, type TableWriteResult} from './object-table.js';
import {TokenBucket, type RateLimit} from './token-bucket.js';
import {Watchers} from './watchers.js';

/** Options of the stand-in. */
export type PlatformServerOptions = {
	/** TCP port on 127.0.0.1; 0, the default, selects a free port. */
	readonly port?: number;
	/** Bearer token that calls must carry; by default, calls are not authenticated. */
	readonly key?: string;
	/** Rate limit of reads, lists, watches and instances lists; default 2,000 per second, burst 2,000. */
	readonly readRate?: RateLimit;
	/** Rate limit of writes; default 500 per second, burst 500. */
	readonly writeRate?: RateLimit;
	/** Lag of the instances list in ms; default 0. */
	readonly instanceLagMs?: number;
	/** Interval of bookmarks in ms; default 1,000. */
	readonly bookmarkMs?: number;
	/** Number of changes kept for watches; a watch from an earlier revision gets code 410. Default 1,000. */
	readonly historyLimit?: number;
	/** Clock in ms; default `Date.now`. */
	readonly now?: () => number;
};

/** Counts of `GET /calls`: admitted calls by kind, and refused ones by reason. */
export type CallCounts = Record<'create' | 'list' | 'listInstances' | 'read' | 'remove' | 'update' | 'watch' | 'rateLimited' | 'unauthorized' | 'unavailable', number>;

type CallKind = 'create' | 'list' | 'listInstances' | 'read' | 'remove' | 'update' | 'watch';

type Call = {readonly kind: CallKind; readonly name: string; readonly query: URLSearchParams};

const API_PREFIX = '/apis/mimosamount/v1';
const MAX_VALUE_BYTES = 1_000_000;
const DEFAULT_READ_RATE: RateLimit = {perSecond: 2000, burst: 2000};
const DEFAULT_WRITE_RATE: RateLimit = {perSecond: 500, burst: 500};
const STATUS_BY_RESULT = {conflict: 409, missing: 404} as const;

const createSchema = z.object({name: z.string().min(1), value: z.unknown()});
const updateSchema = z.object({resourceVersion: z.string(), value: z.unknown()});

/** Platform stand-in, embedded in tests or started by `bin.ts`. */
export class PlatformServer {
	/** Starts the server. Rejects with the error of node:http if the port is in use. */
	static async create(options: PlatformServerOptions = {}): Promise<PlatformServer> {
		const server = new PlatformServer(options);
		await server.#listen(options.port ?? 0);
		return server;
	}

	readonly #key: string | undefined;
	readonly #now: () => number;
	readonly #table: ObjectTable;
	readonly #instances: InstanceList;
	readonly #watchers: Watchers;
	readonly #readBucket: TokenBucket;
	readonly #writeBucket: TokenBucket;
	readonly #server: Server;
	readonly #closed = new AbortController();
	#faults: Faults = NO_FAULTS;
	readonly #calls: CallCounts = {
		read: 0, create: 0, update: 0, remove: 0, list: 0, watch: 0, listInstances: 0, rateLimited: 0, unauthorized: 0, unavailable: 0,
	};

	private constructor(options: PlatformServerOptions) {
		this.#key = options.key;
		this.#now = options.now ?? Date.now;
		// Every delayed call adds an abort listener, so a large number of them is not a leak.
		setMaxListeners(0, this.#closed.signal);
		this.#table = ObjectTable.create(options.historyLimit ?? 1000);
		this.#instances = InstanceList.create(options.instanceLagMs ?? 0);
		this.#watchers = Watchers.create(this.#table, options.bookmarkMs ?? 1000, () => this.#skipChange());
		this.#readBucket = TokenBucket.create(options.readRate ?? DEFAULT_READ_RATE, this.#now());
		this.#writeBucket = TokenBucket.create(options.writeRate ?? DEFAULT_WRITE_RATE, this.#now());
		this.#server = createServer((req, res) => {
			void this.#handle(req, res);
		});
	}

	/** Port that the server listens on. */
	get port(): number {
		return (this.#server.address() as AddressInfo).port;
	}

	/** Origin for clients, for example `http://127.0.0.1:40123`. */
	get url(): string {
		return `http://127.0.0.1:${this.port}`;
	}

	/** Counts since the server was created. */
	get calls(): CallCounts {
		return {...this.#calls};
	}

	/** Active faults. */
	get faults(): Faults {
		return this.#faults;
	}

	/** Changes some faults; the others keep their values. */
	setFaults(change: z.infer<typeof faultsChangeSchema>): void {
		this.#faults = changeFaults(this.#faults, change);
		if (this.#faults.down) {
			this.#watchers.endAll();
		}
	}

	/** Registers or replaces an instance. */
	putInstance(instance: InstanceRecord): void {
		this.#instances.put(instance, this.#now());
	}

	removeInstance(id: string): void {
		this.#instances.remove(id, this.#now());
	}

	/** Discards the history of changes, so that every watch from an earlier revision gets code 410. */
	compactHistory(): void {
		this.#table.compactHistory();
	}

	/** Ends all watches, as a restart of the platform does. */
	endWatches(): void {
		this.#watchers.endAll();
	}

	/** Stops listening and closes all connections. */
	async close(): Promise<void> {
		this.#closed.abort();
		this.#watchers.close();
		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
			this.#server.closeAllConnections();
		});
	}

	async #listen(port: number): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, '127.0.0.1', resolve);
		});
	}

	async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		try {
			const url = new URL(req.url ?? '/', 'http://platform');
			await (url.pathname.startsWith(API_PREFIX) ? this.#serveApi(req, res, url) : this.#control(req, res, url));
		} catch (error) {
			if (res.headersSent || this.#closed.signal.aborted) {
				res.destroy();
			} else {
				sendJson(res, 500, {message: String(error)});
			}
		}
	}

	async #control(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
		const route = `${req.method} ${url.pathname}`;
		switch (route) {
			case 'GET /calls': {
				sendJson(res, 200, this.calls);

				break;
			}

			case 'GET /faults': {
				sendJson(res, 200, this.#faults);

				break;
			}

			case 'POST /faults': {
				await this.#parseBody(req, res, faultsChangeSchema, change => {
					this.setFaults(change);
					sendJson(res, 200, this.#faults);
				});

				break;
			}

			default: {
				if (url.pathname.startsWith('/instances/')) {
					await this.#registerInstance(req, res, decodeURIComponent(url.pathname.slice('/instances/'.length)));
				} else {
					sendJson(res, 404, {message: 'no such route'});
				}
			}
		}
	}

	async #registerInstance(req: IncomingMessage, res: ServerResponse, id: string): Promise<void> {
		if (req.method === 'DELETE') {
			this.removeInstance(id);
			sendJson(res, 200, {id});
			return;
		}

		await this.#parseBody(req, res, instanceSchema.omit({id: true}), instance => {
			this.putInstance({...instance, id});
			sendJson(res, 200, {id});
		});
	}

	async #parseBody<Value>(req: IncomingMessage, res: ServerResponse, schema: z.ZodType<Value>, handle: (value: Value) => void): Promise<void> {
		const body = await readBody(req);
		if (body.kind === 'refused') {
			sendJson(res, body.refusal.status, {message: body.refusal.message});
			return;
		}

		const parsed = schema.safeParse(body.value);
		if (parsed.success) {
			handle(parsed.data);
		} else {
			sendJson(res, 400, {message: z.prettifyError(parsed.error)});
		}
	}

	async #serveApi(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
		const call = routeCall(req.method ?? 'GET', url);
		if (call === undefined) {
			sendJson(res, 404, {message: 'no such route'});
			return;
		}

		if (this.#faults.slowMs > 0) {
			await delay(this.#faults.slowMs, undefined, {signal: this.#closed.signal});
		}

		const refusal = this.#admit(call.kind, req.headers.authorization);
		if (refusal !== undefined) {
			req.resume();
			sendJson(res, refusal.status, {message: refusal.message});
			return;
		}

		this.#calls[call.kind] += 1;
		await this.#execute(call, req, res);
	}

	#admit(kind: CallKind, authorization: string | undefined): {readonly status: number; readonly message: string} | undefined {
		if (this.#faults.down) {
			this.#calls.unavailable += 1;
			return {status: 503, message: 'the platform is down'};
		}

		if (this.#key !== undefined && authorization !== `Bearer ${this.#key}`) {
			this.#calls.unauthorized += 1;
			return {status: 401, message: 'invalid platform key'};
		}

		const bucket = kind === 'create' || kind === 'update' || kind === 'remove' ? this.#writeBucket : this.#readBucket;
		if (!bucket.take(this.#now())) {
			this.#calls.rateLimited += 1;
			return {status: 429, message: 'rate limit exceeded'};
		}

		return undefined;
	}

	async #execute({kind, name, query}: Call, req: IncomingMessage, res: ServerResponse): Promise<void> {
		switch (kind) {
			case 'read': {
				const object = this.#table.read(name);
				sendJson(res, object === undefined ? 404 : 200, object ?? {message: 'no such object'});
				break;
			}

			case 'list': {
				sendJson(res, 200, {resourceVersion: String(this.#table.revision), items: this.#table.list(query.get('prefix') ?? '')});
				break;
			}

			case 'watch': {
				const revision = query.get('resourceVersion');
				this.#watchers.open(query.get('prefix') ?? '', revision === null ? this.#table.revision : Number(revision), res);
				break;
			}

			case 'listInstances': {
				sendJson(res, 200, this.#instances.visible(this.#now()));
				break;
			}

			case 'remove': {
				this.#respondToWrite(res, 200, this.#table.remove(name, query.get('resourceVersion') ?? ''));
				break;
			}

			case 'create': {
				await this.#parseBody(req, res, createSchema, body => {
					this.#write(res, 201, body.value, () => this.#table.create(body.name, body.value));
				});
				break;
			}

			case 'update': {
				await this.#parseBody(req, res, updateSchema, body => {
					this.#write(res, 200, body.value, () => this.#table.update(name, body.resourceVersion, body.value));
				});
				break;
			}
		}
	}

	#write(res: ServerResponse, status: number, value: unknown, execute: () => TableWriteResult): void {
		if (Buffer.byteLength(JSON.stringify(value) ?? '') > MAX_VALUE_BYTES) {
			sendJson(res, 413, {message: 'the value is over 1 MB'});
		} else {
			this.#respondToWrite(res, status, execute());
		}
	}

	#respondToWrite(res: ServerResponse, status: number, result: TableWriteResult): void {
		if (this.#faults.loseAnswers === 'after-write') {
			this.#faults = changeFaults(this.#faults, {loseCount: this.#faults.loseCount - 1});
			res.destroy();
		} else if (result.kind === 'done') {
			sendJson(res, status, result.object);
		} else {
			sendJson(res, STATUS_BY_RESULT[result.kind], {message: result.kind});
		}
	}

	#skipChange(): boolean {
		if (this.#faults.watchSkip === 0) {
			return false;
		}

		this.#faults = changeFaults(this.#faults, {watchSkip: this.#faults.watchSkip - 1});
		return true;
	}
}

function routeCall(method: string, url: URL): Call | undefined {
	const path = url.pathname.slice(API_PREFIX.length);
	const query = url.searchParams;
	if (path === '/instances') {
		return method === 'GET' ? {kind: 'listInstances', name: '', query} : undefined;
	}

	if (path === '/objects') {
		const kinds: Readonly<Record<string, CallKind>> = {GET: query.get('watch') === '1' ? 'watch' : 'list', POST: 'create'};
		const kind = kinds[method];
		return kind && {kind, name: '', query};
	}

	const kinds: Readonly<Record<string, CallKind>> = {GET: 'read', PUT: 'update', DELETE: 'remove'};
	const kind = kinds[method];
	return path.startsWith('/objects/') && kind !== undefined
		? {kind, name: decodeURIComponent(path.slice('/objects/'.length)), query}
		: undefined;
}
