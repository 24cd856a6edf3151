/** HTTP server of the plain service stand-in (design page, section 9.3). */
import type {AddressInfo} from 'node:net';
import {Readable} from 'node:stream';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	fastify, type FastifyInstance, type FastifyReply, type FastifyRequest,
} from 'fastify';
import {z} from 'zod';
import {Ledger, type Booking, type LedgerCounts} from './ledger.js';
import {InputError} from '#core';

const faultsSchema = z.strictObject({
	/** Delay between the arrival of a call and its run, in milliseconds. */
	delayMs: z.number().nonnegative(),
	/** Number of subsequent calls that run and whose connection is then reset without a response. */
	dropAfterRun: z.int().nonnegative(),
	/** Status with which calls are refused without a run; null runs them. */
	status: z.int().min(400).max(599).nullable(),
});

/** Number of events of a stream, and the time between them in milliseconds. */
const EVENTS = 80;
const EVENT_INTERVAL_MS = 50;

async function * createEvents(): AsyncGenerator<string> {
	for (let number = 1; number <= EVENTS; number += 1) {
		yield `data: ${number}\n\n`;
		await sleep(EVENT_INTERVAL_MS);
	}
}

/** Active faults. */
export type ServiceFaults = Readonly<z.infer<typeof faultsSchema>>;

/** Options of the service; each has a default. */
export type ServiceServerOptions = {
	/** Address to listen on; default `127.0.0.1`. */
	readonly host?: string;
	/** Port to listen on; 0, the default, selects a free port. */
	readonly port?: number;
	/** Name of the collection, which is its path; default `bookings`. */
	readonly collection?: string;
};

/** Response to a call that ran. */
export type BookingResponse = {readonly run: number; readonly key: string | undefined; readonly state: 'booked'};

export class ServiceServer {
	/** Starts a service and its HTTP server. */
	static async create(options: ServiceServerOptions = {}): Promise<ServiceServer> {
		const server = new ServiceServer(options.collection ?? 'bookings');
		await server.#app.listen({host: options.host ?? '127.0.0.1', port: options.port ?? 0});
		return server;
	}

	readonly ledger = Ledger.create();
	#faults: ServiceFaults = {delayMs: 0, dropAfterRun: 0, status: null};
	readonly #app: FastifyInstance = fastify({forceCloseConnections: true});

	private constructor(collection: string) {
		this.#addBookingRoutes(`/${collection}`);
		this.#addControlRoutes();
		this.#app.setErrorHandler((error, _req, reply) => {
			const status = error instanceof InputError ? 400 : (error as {readonly statusCode?: number}).statusCode ?? 500;
			void reply.code(status).send({error: error instanceof Error ? error.message : String(error)});
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

	counts(): LedgerCounts {
		return this.ledger.counts();
	}

	/** Changes some faults; the others keep their values. */
	inject(change: Partial<ServiceFaults>): void {
		this.#faults = {...this.#faults, ...change};
	}

	/** Closes all connections and stops the server. */
	async close(): Promise<void> {
		await this.#app.close();
	}

	#addBookingRoutes(path: string): void {
		this.#app.post(path, async (req, reply) => this.#book(req, reply));
		this.#app.get(path, async () => ({items: this.ledger.bookings}));
		this.#app.get(`${path}/events`, async (_req, reply) => reply.type('text/event-stream').send(Readable.from(createEvents())));
		this.#app.get<{Params: {run: string}}>(`${path}/:run`, async (req, reply) => {
			const booking = this.ledger.bookings[Number(req.params.run) - 1];
			return booking ?? reply.code(404).send({error: `no run ${req.params.run}`});
		});
		this.#app.get<{Params: {key: string}}>(`${path}/by-key/:key`, async (req, reply) => {
			this.ledger.lookups++;
			const runs = this.ledger.byKey(req.params.key);
			const [first] = runs;
			return first === undefined
				? reply.code(404).send({error: `key ${req.params.key} has not run`})
				: {
					key: req.params.key, ran: true, runs: runs.length, status: 201, answer: createBookingResponse(first),
				};
		});
	}

	async #book(req: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
		this.ledger.calls++;
		if (this.#faults.delayMs > 0) {
			await sleep(this.#faults.delayMs);
		}

		if (this.#faults.status !== null) {
			this.ledger.refused++;
			return reply.code(this.#faults.status).send({error: 'refused; the call did not run'});
		}

		const key = req.headers['idempotency-key'];
		const booking = this.ledger.run(typeof key === 'string' ? key : undefined, req.body);
		if (this.#faults.dropAfterRun > 0) {
			this.inject({dropAfterRun: this.#faults.dropAfterRun - 1});
			this.ledger.dropped++;
			void reply.hijack();
			req.raw.socket.resetAndDestroy();
			return reply;
		}

		return reply.code(201).send(createBookingResponse(booking));
	}

	#addControlRoutes(): void {
		this.#app.get('/counts', async () => this.counts());
		this.#app.get('/faults', async () => this.#faults);
		this.#app.post('/faults', async req => {
			const parsed = faultsSchema.partial().safeParse(req.body);
			if (!parsed.success) {
				throw new InputError(`faults: ${z.prettifyError(parsed.error)}`);
			}

			this.inject(parsed.data as Partial<ServiceFaults>);
			return this.#faults;
		});
	}
}

function createBookingResponse(booking: Booking): BookingResponse {
	return {run: booking.run, key: booking.key, state: 'booked'};
}
