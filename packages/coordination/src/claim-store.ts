/**
 * Claims of idempotency keys: a key is granted to at most one claim within its retention.
 * Operations wait for `flush`, which carries out those of a shard in one conditional update.
 */
import type {OperationResponse} from './claim-rules.js';
import {ClaimShard, type BatchResult} from './claim-shard.js';
import {
	hashClaimKey, MAX_OUTCOME_BYTES, shardOfHash, type ClaimResponse, type ClaimFailure, type ClaimKey, type ClaimOperation, type ClaimOutcome,
	type ClaimRequest, type ClaimUnavailable, type FinishResponse, type ReleaseClaimResponse,
} from './claim-types.js';
import type {CallOptions, ObjectStore} from './object-store.js';
import {InputError} from '#core';

/** Settings of a claim store. */
export type ClaimStoreOptions = {
	readonly store: ObjectStore;
	/** Returns a unique id for each write. */
	readonly createId: () => string;
	/** Prefix of all objects; default `claims/`. */
	readonly prefix?: string;
	/** Time in ms that operations of a shard are collected; default 50. It doubles while the call budget is spent. */
	readonly windowMs?: number;
	/** Time in ms after which a waiting operation is answered `unavailable`; default 2,000. */
	readonly maxWaitMs?: number;
	/** Time in ms that a claim is kept; default 24 h. The clocks of all processes should agree within seconds. */
	readonly retentionMs?: number;
	/** Size in bytes at which a head is sealed; default 64 KiB. */
	readonly headLimitBytes?: number;
};

type Waiting = {readonly operation: ClaimOperation; readonly since: number; readonly resolve: (answer: OperationResponse) => void};
type Queue = {readonly shard: ClaimShard; waiting: Waiting[]; windowMs: number; busy: boolean};

/** Operations that one conditional update carries, so that a head with full outcomes stays below 1 MB. */
const MAX_BATCH = 100;
const MAX_BASE64_LENGTH = 4 * Math.ceil(MAX_OUTCOME_BYTES / 3);
const DEFAULT_WINDOW_MS = 50;
const MAX_WINDOW_MS = 1600;
const DEFAULT_MAX_WAIT_MS = 2000;
const DEFAULT_RETENTION_MS = 24 * 3600 * 1000;
const DEFAULT_HEAD_LIMIT_BYTES = 64 * 1024;

/** One process's access to all claims. The promises of its operations resolve only while `flush` is called. */
export class ClaimStore {
	/** Creates the access; makes no call before the first `flush`. */
	static create(options: ClaimStoreOptions): ClaimStore {
		return new ClaimStore(options);
	}

	readonly #options: ClaimStoreOptions;
	readonly #windowMs: number;
	readonly #maxWaitMs: number;
	readonly #queues = new Map<number, Queue>();

	private constructor(options: ClaimStoreOptions) {
		this.#options = options;
		this.#windowMs = options.windowMs ?? DEFAULT_WINDOW_MS;
		this.#maxWaitMs = options.maxWaitMs ?? DEFAULT_MAX_WAIT_MS;
	}

	/** Time in ms at which `flush` has something to do; undefined if nothing waits. */
	get nextFlushAt(): number | undefined {
		const due = [...this.#queues.values()].filter(queue => !queue.busy && queue.waiting.length > 0).map(queue => dueAt(queue));
		return due.length === 0 ? undefined : Math.min(...due);
	}

	/** Claims a key at `now` (ms). Never rejects. */
	async claim({key, bodyHash, claimId, claimant}: ClaimRequest, now: number): Promise<ClaimResponse> {
		return this.#enqueue<ClaimResponse>({
			kind: 'claim', key: hashClaimKey(key), body: bodyHash, claimId, claimant,
		}, now);
	}

	/**
	 * Records the outcome of a granted claim at `now` (ms). The first outcome stays. Repeat it while it is `unavailable`.
	 *
	 * @throws InputError when the outcome's body is over 2 KiB.
	 */
	async finish(key: ClaimKey, claimId: string, {outcome, now}: {readonly outcome: ClaimOutcome; readonly now: number}): Promise<FinishResponse> {
		if (outcome.body.length > MAX_BASE64_LENGTH) {
			throw new InputError(`claim outcome: read a body of ${outcome.body.length} base64 characters, allowed: ${MAX_BASE64_LENGTH}`);
		}

		return this.#enqueue<FinishResponse>({
			kind: 'finish', key: hashClaimKey(key), claimId, outcome,
		}, now);
	}

	/**
	 * Releases a claim at `now` (ms). Only the claimant may do so, and only if the call was certainly never sent and
	 * never will be. After `released`, no write under way can still store the claim.
	 */
	async release(key: ClaimKey, claimId: string, now: number): Promise<ReleaseClaimResponse> {
		return this.#enqueue<ReleaseClaimResponse>({kind: 'release', key: hashClaimKey(key), claimId}, now);
	}

	/** Carries out the operations that are due at `now` (ms), in one conditional update per shard. */
	async flush(now: number, options?: CallOptions): Promise<void> {
		const due = [...this.#queues.values()].filter(queue => !queue.busy && queue.waiting.length > 0 && dueAt(queue) <= now);
		await Promise.all(due.map(async queue => this.#flushQueue(queue, now, options)));
	}

	async #enqueue<Answer extends OperationResponse>(operation: ClaimOperation, now: number): Promise<Answer> {
		const queue = this.#queueOf(shardOfHash(operation.key));
		return new Promise(resolve => {
			queue.waiting.push({
				operation,
				since: now,
				resolve(answer) {
					resolve(answer as Answer);
				},
			});
		});
	}

	#queueOf(number: number): Queue {
		const {store, createId, prefix = 'claims/', retentionMs = DEFAULT_RETENTION_MS, headLimitBytes = DEFAULT_HEAD_LIMIT_BYTES} = this.#options;
		const queue = this.#queues.get(number) ?? {
			shard: ClaimShard.create({
				store, createId, prefix: `${prefix}${number}/`, retentionMs, headLimitBytes,
			}),
			waiting: [],
			windowMs: this.#windowMs,
			busy: false,
		};
		this.#queues.set(number, queue);
		return queue;
	}

	async #flushQueue(queue: Queue, now: number, options: CallOptions | undefined): Promise<void> {
		const batch = queue.waiting.splice(0, MAX_BATCH);
		queue.busy = true;
		try {
			const answer = await queue.shard.run(batch.map(waiting => waiting.operation), now, options);
			this.#settle(queue, batch, {answer, now});
		} catch (error) {
			// A store that throws leaves it open whether something was written.
			const reason = error instanceof Error ? error.message : String(error);
			this.#settle(queue, batch, {answer: {kind: 'failed', recorded: 'unknown', failure: {kind: 'invalid', reason}}, now});
		} finally {
			queue.busy = false;
		}
	}

	#settle(queue: Queue, batch: readonly Waiting[], {answer, now}: {readonly answer: BatchResult; readonly now: number}): void {
		switch (answer.kind) {
			case 'answered': {
				queue.windowMs = this.#windowMs;
				for (const [index, waiting] of batch.entries()) {
					waiting.resolve(answer.answers[index]!);
				}

				break;
			}

			case 'failed': {
				resolveAll(batch, unavailable(answer.recorded, answer.failure));
				break;
			}

			case 'postponed': {
				queue.windowMs = Math.min(MAX_WINDOW_MS, queue.windowMs * 2);
				const late = batch.filter(waiting => now - waiting.since >= this.#maxWaitMs);
				queue.waiting.unshift(...batch.filter(waiting => !late.includes(waiting)));
				resolveAll(late, unavailable('no', answer.failure));
				break;
			}
		}
	}
}

function dueAt({waiting, windowMs}: Queue): number {
	return waiting[0]!.since + windowMs;
}

function unavailable(recorded: ClaimUnavailable['recorded'], failure: ClaimFailure): ClaimUnavailable {
	return {kind: 'unavailable', recorded, failure};
}

function resolveAll(batch: readonly Waiting[], answer: ClaimUnavailable): void {
	for (const waiting of batch) {
		waiting.resolve(answer);
	}
}
