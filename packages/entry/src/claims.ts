/**
 * Claims of idempotency keys at this entry. Each goes to the home of its shard, which
 * collects many into one conditional update; when the home does not answer, this entry
 * asks the store itself with the same claim id. Correctness rests on the store alone.
 */
import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {z} from 'zod';
import {
	ClaimStore, shardOfClaim, type ClaimResponse, type ClaimKey, type ClaimOutcome, type FinishResponse, type ObjectStore, type ReleaseClaimResponse,
} from '#coordination';
import {mergeTeardowns, type Teardown} from '#core';
import {homesOf} from '#membership';
import {type Peering} from '#peering';
import {type Logger} from '#telemetry';

const TOPIC = 'claim';

/** The home answers within its own wait for the store, or not at all. */
const HOME_LIMIT_MS = 3000;

/** Pause before an outcome or a release that the store did not take is sent again; doubled each time. */
const FIRST_PAUSE_MS = 250;
const LONGEST_PAUSE_MS = 30_000;

const keySchema = z.object({workspace: z.string().max(256), service: z.string().max(256), idempotencyKey: z.string().min(1).max(256)});
const outcomeSchema = z.object({
	status: z.number().int(), body: z.string().max(4096), complete: z.boolean(), contentType: z.string().max(256).optional(),
});
const questionSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('claim'), key: keySchema, bodyHash: z.string().max(64), claimId: z.string().max(128), claimant: z.string().max(256),
	}),
	z.object({
		kind: z.literal('finish'), key: keySchema, claimId: z.string().max(128), outcome: outcomeSchema,
	}),
	z.object({kind: z.literal('release'), key: keySchema, claimId: z.string().max(128)}),
]);

type Question = z.infer<typeof questionSchema>;
type AnyAnswer = ClaimResponse | FinishResponse | ReleaseClaimResponse;

const unavailableSchema = z.object({kind: z.literal('unavailable'), recorded: z.enum(['no', 'unknown'])});
const claimAnswerSchema = z.union([
	z.object({kind: z.enum(['granted', 'key-reused', 'withdrawn'])}),
	z.object({
		kind: z.literal('held'), claimId: z.string(), claimant: z.string(), at: z.number(),
	}),
	z.object({kind: z.literal('done'), outcome: outcomeSchema}),
	unavailableSchema,
]);
const otherAnswerSchema = z.object({kind: z.enum(['recorded', 'not-held', 'released', 'already-done', 'unavailable'])});

/** Answer to a claim as this entry uses it; `done` carries the first outcome. */
export type ClaimResult = z.infer<typeof claimAnswerSchema>;

/** A claim that was granted to this entry. */
export type HeldClaim = {readonly key: ClaimKey; readonly claimId: string};

export type ClaimsOptions = {
	readonly peering: Peering;
	readonly store: ObjectStore;
	readonly log: Logger;
	readonly signal: AbortSignal;
};

export class Claims {
	static create(options: ClaimsOptions): Claims {
		return new Claims(options);
	}

	readonly #options: ClaimsOptions;
	readonly #log: Logger;
	readonly #store: ClaimStore;
	readonly #teardown: Teardown;
	#flushTimer: NodeJS.Timeout | undefined;
	#pending = 0;

	private constructor(options: ClaimsOptions) {
		this.#options = options;
		this.#log = options.log.part('claims');
		this.#store = ClaimStore.create({store: options.store, createId: randomUUID});
		this.#teardown = mergeTeardowns(options.peering.pool.registerTopic(TOPIC, async (payload, peer) =>
			// Only entries claim; an endpoint has no reason to ask.
			peer.role === 'entry' ? this.#runHere(questionSchema.parse(payload)) : undefined));
	}

	/** Outcomes and releases that the store has not taken yet. */
	get pending(): number {
		return this.#pending;
	}

	/** Claims a key with a new claim id. */
	async claim(key: ClaimKey, bodyHash: string): Promise<{readonly result: ClaimResult; readonly held: HeldClaim}> {
		const claimId = randomUUID();
		const {machine, incarnation} = this.#options.peering;
		const answer = await this.#ask({
			kind: 'claim', key, bodyHash, claimId, claimant: `${machine.id}/${incarnation}`,
		});
		const parsed = claimAnswerSchema.safeParse(answer);
		return {result: parsed.success ? parsed.data : {kind: 'unavailable', recorded: 'unknown'}, held: {key, claimId}};
	}

	/** Records the outcome of a call; goes on in the background until the store has taken it. */
	finish(held: HeldClaim, outcome: ClaimOutcome): void {
		void this.#repeat({kind: 'finish', ...held, outcome});
	}

	/**
	 * Releases a claim whose call was certainly never sent. Resolves after the first try; goes on
	 * in the background if the store did not take it.
	 */
	async release(held: HeldClaim): Promise<void> {
		const question: Question = {kind: 'release', ...held};
		if (!await this.#settled(question)) {
			void this.#repeat(question);
		}
	}

	close(): void {
		this.#teardown();
	}

	async #settled(question: Question): Promise<boolean> {
		const parsed = otherAnswerSchema.safeParse(await this.#ask(question));
		return parsed.success && parsed.data.kind !== 'unavailable';
	}

	async #repeat(question: Question): Promise<void> {
		const {signal} = this.#options;
		this.#pending += 1;
		let pauseMs = FIRST_PAUSE_MS;
		try {
			while (!signal.aborted && !await this.#settled(question)) {
				this.#log.warn('store did not take the outcome of a claim; trying again', {kind: question.kind, claimId: question.claimId, pauseMs});
				await sleep(pauseMs, undefined, {signal, ref: false});
				pauseMs = Math.min(LONGEST_PAUSE_MS, pauseMs * 2);
			}
		} catch {
			// Only the sleep throws, when the process stops.
		} finally {
			this.#pending -= 1;
		}
	}

	async #ask(question: Question): Promise<unknown> {
		const {peering} = this.#options;
		const [home] = homesOf(peering.kernel.snapshot.directory, `claim|${shardOfClaim(question.key)}`, 1);
		if (home !== undefined && home !== peering.machine.id) {
			try {
				const link = await peering.linkTo(home);
				return await peering.pool.ask(link, TOPIC, question, HOME_LIMIT_MS);
			} catch {
				this.#log.warn('home of a shard does not answer; asking the store directly', {home});
			}
		}

		return this.#runHere(question);
	}

	async #runHere(question: Question): Promise<AnyAnswer> {
		const now = Date.now();
		const answer = this.#enqueue(question, now);
		this.#planFlush();
		return answer;
	}

	async #enqueue(question: Question, now: number): Promise<AnyAnswer> {
		switch (question.kind) {
			case 'claim': {
				return this.#store.claim(question, now);
			}

			case 'finish': {
				return this.#store.finish(question.key, question.claimId, {outcome: question.outcome, now});
			}

			case 'release': {
				return this.#store.release(question.key, question.claimId, now);
			}
		}
	}

	/** Flushes when the store says that something is due. */
	#planFlush(): void {
		const at = this.#store.nextFlushAt;
		if (at === undefined || this.#flushTimer !== undefined) {
			return;
		}

		this.#flushTimer = setTimeout(() => {
			this.#flushTimer = undefined;
			const flushed = this.#store.flush(Date.now(), {signal: this.#options.signal});
			void flushed.finally(() => {
				this.#planFlush();
			});
			// Other shards may be due before this flush ends.
			this.#planFlush();
		}, Math.max(1, at - Date.now()));
	}
}
