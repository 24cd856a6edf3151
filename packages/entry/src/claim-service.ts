/**
 * Claims of idempotency keys at this entry. Each is sent to the owner of its shard, which
 * batches them into one conditional update; if the owner does not respond, this entry
 * uses the store directly with the same claim id. Correctness depends on the store alone.
 */
import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {z} from 'zod';
import {
	ClaimStore, shardOfClaim, type ClaimResponse, type ClaimKey, type ClaimOutcome, type FinishResponse, type ObjectStore, type ReleaseClaimResponse,
} from '#coordination';
import {mergeTeardowns, type Teardown} from '#core';
import {ownersOf} from '#membership';
import {type Peering} from '#peering';
import {type Logger} from '#telemetry';

const TOPIC = 'claim';

/** The owner responds within its own timeout for the store, or not at all. */
const OWNER_TIMEOUT_MS = 3000;

/** Delay before an outcome or a release that the store did not accept is sent again; doubled after each retry. */
const FIRST_RETRY_DELAY_MS = 250;
const MAX_RETRY_DELAY_MS = 30_000;

const keySchema = z.object({workspace: z.string().max(256), service: z.string().max(256), idempotencyKey: z.string().min(1).max(256)});
const outcomeSchema = z.object({
	status: z.number().int(), body: z.string().max(4096), complete: z.boolean(), contentType: z.string().max(256).optional(),
});
const requestSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('claim'), key: keySchema, bodyHash: z.string().max(64), claimId: z.string().max(128), claimant: z.string().max(256),
	}),
	z.object({
		kind: z.literal('finish'), key: keySchema, claimId: z.string().max(128), outcome: outcomeSchema,
	}),
	z.object({kind: z.literal('release'), key: keySchema, claimId: z.string().max(128)}),
]);

type ClaimRequest = z.infer<typeof requestSchema>;
type StoreResponse = ClaimResponse | FinishResponse | ReleaseClaimResponse;

const unavailableSchema = z.object({kind: z.literal('unavailable'), recorded: z.enum(['no', 'unknown'])});
const claimResponseSchema = z.union([
	z.object({kind: z.enum(['granted', 'key-reused', 'withdrawn'])}),
	z.object({
		kind: z.literal('held'), claimId: z.string(), claimant: z.string(), at: z.number(),
	}),
	z.object({kind: z.literal('done'), outcome: outcomeSchema}),
	unavailableSchema,
]);
const settleResponseSchema = z.object({kind: z.enum(['recorded', 'not-held', 'released', 'already-done', 'unavailable'])});

/** Response to a claim; `done` carries the recorded outcome. */
export type ClaimResult = z.infer<typeof claimResponseSchema>;

/** A claim that was granted to this entry. */
export type HeldClaim = {readonly key: ClaimKey; readonly claimId: string};

export type ClaimServiceOptions = {
	readonly peering: Peering;
	readonly store: ObjectStore;
	readonly log: Logger;
	readonly signal: AbortSignal;
};

export class ClaimService {
	static create(options: ClaimServiceOptions): ClaimService {
		return new ClaimService(options);
	}

	readonly #options: ClaimServiceOptions;
	readonly #log: Logger;
	readonly #store: ClaimStore;
	readonly #teardown: Teardown;
	#flushTimer: NodeJS.Timeout | undefined;
	#pending = 0;

	private constructor(options: ClaimServiceOptions) {
		this.#options = options;
		this.#log = options.log.child('claims');
		this.#store = ClaimStore.create({store: options.store, createId: randomUUID});
		this.#teardown = mergeTeardowns(options.peering.pool.registerAskHandler(TOPIC, async (payload, peer) =>
			// Only entries claim keys; requests from endpoints are ignored.
			peer.role === 'entry' ? this.#runLocally(requestSchema.parse(payload)) : undefined));
	}

	/** Number of outcomes and releases that the store has not accepted yet. */
	get pending(): number {
		return this.#pending;
	}

	/** Claims a key with a new claim id. */
	async claim(key: ClaimKey, bodyHash: string): Promise<{readonly result: ClaimResult; readonly held: HeldClaim}> {
		const claimId = randomUUID();
		const {machine, incarnation} = this.#options.peering;
		const response = await this.#send({
			kind: 'claim', key, bodyHash, claimId, claimant: `${machine.id}/${incarnation}`,
		});
		const parsed = claimResponseSchema.safeParse(response);
		return {result: parsed.success ? parsed.data : {kind: 'unavailable', recorded: 'unknown'}, held: {key, claimId}};
	}

	/** Records the outcome of a call; retries in the background until the store has accepted it. */
	finish(held: HeldClaim, outcome: ClaimOutcome): void {
		void this.#retryUntilSettled({kind: 'finish', ...held, outcome});
	}

	/**
	 * Releases a claim whose call was definitely never sent. Resolves after the first try; retries
	 * in the background if the store did not accept it.
	 */
	async release(held: HeldClaim): Promise<void> {
		const request: ClaimRequest = {kind: 'release', ...held};
		if (!await this.#trySettle(request)) {
			void this.#retryUntilSettled(request);
		}
	}

	close(): void {
		this.#teardown();
	}

	async #trySettle(request: ClaimRequest): Promise<boolean> {
		const parsed = settleResponseSchema.safeParse(await this.#send(request));
		return parsed.success && parsed.data.kind !== 'unavailable';
	}

	async #retryUntilSettled(request: ClaimRequest): Promise<void> {
		const {signal} = this.#options;
		this.#pending += 1;
		let retryDelayMs = FIRST_RETRY_DELAY_MS;
		try {
			while (!signal.aborted && !await this.#trySettle(request)) {
				this.#log.warn('store did not accept a claim update; retrying', {kind: request.kind, claimId: request.claimId, pauseMs: retryDelayMs});
				await sleep(retryDelayMs, undefined, {signal, ref: false});
				retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, retryDelayMs * 2);
			}
		} catch {
			// Only the sleep throws, when the process shuts down.
		} finally {
			this.#pending -= 1;
		}
	}

	async #send(request: ClaimRequest): Promise<unknown> {
		const {peering} = this.#options;
		const [owner] = ownersOf(peering.kernel.snapshot.directory, `claim|${shardOfClaim(request.key)}`, 1);
		if (owner !== undefined && owner !== peering.machine.id) {
			try {
				const link = await peering.linkTo(owner);
				return await peering.pool.ask(link, TOPIC, request, OWNER_TIMEOUT_MS);
			} catch {
				this.#log.warn('shard owner did not respond; using the store directly', {home: owner});
			}
		}

		return this.#runLocally(request);
	}

	async #runLocally(request: ClaimRequest): Promise<StoreResponse> {
		const now = Date.now();
		const response = this.#enqueue(request, now);
		this.#scheduleFlush();
		return response;
	}

	async #enqueue(request: ClaimRequest, now: number): Promise<StoreResponse> {
		switch (request.kind) {
			case 'claim': {
				return this.#store.claim(request, now);
			}

			case 'finish': {
				return this.#store.finish(request.key, request.claimId, {outcome: request.outcome, now});
			}

			case 'release': {
				return this.#store.release(request.key, request.claimId, now);
			}
		}
	}

	/** Schedules a flush for when the store's next one is due. */
	#scheduleFlush(): void {
		const at = this.#store.nextFlushAt;
		if (at === undefined || this.#flushTimer !== undefined) {
			return;
		}

		this.#flushTimer = setTimeout(() => {
			this.#flushTimer = undefined;
			const flushed = this.#store.flush(Date.now(), {signal: this.#options.signal});
			void flushed.finally(() => {
				this.#scheduleFlush();
			});
			// Other shards may be due before this flush ends.
			this.#scheduleFlush();
		}, Math.max(1, at - Date.now()));
	}
}
