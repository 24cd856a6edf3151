/** HTTP server of the weight store stand-in (design page, section 9.3). */
import {Buffer} from 'node:buffer';
import type {AddressInfo} from 'node:net';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {fastify, type FastifyInstance} from 'fastify';
import {z} from 'zod';
import {TokenBucket} from './token-bucket.js';
import {InputError} from '#core';

/** Options of the weight store; each has a default. */
export type WeightsServerOptions = {
	/** Address to listen on; default `127.0.0.1`. */
	readonly host?: string;
	/** Port to listen on; 0, the default, selects a free port. */
	readonly port?: number;
	/** Sustained rate in requests per second; default 50. */
	readonly perSecond?: number;
	/** Maximum number of requests in a burst; default 10. */
	readonly burst?: number;
	/** Size of the weights of one expert in bytes; default 4096. */
	readonly expertBytes?: number;
};

/** Totals; `byExpert` holds the number of served requests by `MODEL/LAYER/EXPERT`. */
export type WeightsCounts = {
	readonly served: number;
	readonly limited: number;
	readonly byExpert: Readonly<Record<string, number>>;
};

const faultsSchema = z.strictObject({
	/** Delay of each response in milliseconds. */
	delayMs: z.number().nonnegative(),
	/** Status with which requests are refused; null serves them. */
	status: z.int().min(400).max(599).nullable(),
});

/** Active faults. */
export type WeightsFaults = Readonly<z.infer<typeof faultsSchema>>;

const pathSchema = z.object({
	model: z.string().min(1),
	layer: z.coerce.number().int().nonnegative(),
	expert: z.coerce.number().int().nonnegative(),
});

export class WeightsServer {
	/** Starts a weight store and its HTTP server. */
	static async create(options: WeightsServerOptions = {}): Promise<WeightsServer> {
		const server = new WeightsServer(options);
		await server.#app.listen({host: options.host ?? '127.0.0.1', port: options.port ?? 0});
		return server;
	}

	readonly #app: FastifyInstance = fastify({forceCloseConnections: true});
	readonly #bucket: TokenBucket;
	readonly #expertBytes: number;
	readonly #byExpert = new Map<string, number>();
	#faults: WeightsFaults = {delayMs: 0, status: null};
	#limited = 0;

	private constructor(options: WeightsServerOptions) {
		this.#bucket = TokenBucket.create(options.perSecond ?? 50, options.burst ?? 10);
		this.#expertBytes = options.expertBytes ?? 4096;
		this.#addWeightsRoute();
		this.#addControlRoutes();
		this.#app.setErrorHandler((error, _req, reply) => {
			const status = error instanceof InputError ? 400 : (error as {readonly statusCode?: number}).statusCode ?? 500;
			void reply.code(status).send({error: error instanceof Error ? error.message : String(error)});
		});
	}

	get port(): number {
		return (this.#app.server.address() as AddressInfo).port;
	}

	/** Base URL without a trailing slash. */
	get url(): string {
		return `http://${(this.#app.server.address() as AddressInfo).address}:${this.port}`;
	}

	counts(): WeightsCounts {
		const served = [...this.#byExpert.values()].reduce((sum, count) => sum + count, 0);
		return {served, limited: this.#limited, byExpert: Object.fromEntries(this.#byExpert)};
	}

	/** Changes some faults; the others keep their values. */
	inject(change: Partial<WeightsFaults>): void {
		this.#faults = {...this.#faults, ...change};
	}

	/** Closes all connections and stops the server. */
	async close(): Promise<void> {
		await this.#app.close();
	}

	#addWeightsRoute(): void {
		this.#app.get('/v1/weights/:model/experts/:layer/:expert', async (req, reply) => {
			const params = pathSchema.safeParse(req.params);
			if (!params.success) {
				throw new InputError(`weights: ${z.prettifyError(params.error)}`);
			}

			if (this.#faults.delayMs > 0) {
				await sleep(this.#faults.delayMs);
			}

			if (this.#faults.status !== null) {
				return reply.code(this.#faults.status).send({error: 'refused'});
			}

			const waitMs = this.#bucket.take(performance.now());
			if (waitMs > 0) {
				this.#limited++;
				return reply.code(429).header('retry-after', String(Math.ceil(waitMs / 1000))).send({error: 'rate limit exceeded'});
			}

			const expertName = `${params.data.model}/${params.data.layer}/${params.data.expert}`;
			this.#byExpert.set(expertName, (this.#byExpert.get(expertName) ?? 0) + 1);
			return reply.type('application/octet-stream').send(Buffer.alloc(this.#expertBytes, expertName));
		});
	}

	#addControlRoutes(): void {
		this.#app.get('/counts', async () => this.counts());
		this.#app.post('/faults', async req => {
			const parsed = faultsSchema.partial().safeParse(req.body);
			if (!parsed.success) {
				throw new InputError(`faults: ${z.prettifyError(parsed.error)}`);
			}

			this.inject(parsed.data as Partial<WeightsFaults>);
			return this.#faults;
		});
	}
}
