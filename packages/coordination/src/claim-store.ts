/**
 * Claims of idempotency keys: a key is granted to at most one claim within its retention time.
 * Operations are queued until `flush`, which executes those of a shard in one conditional update.
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
	/** Time in ms in which operations of a shard are collected into a batch; default 50. It doubles, up to 1,600, each time a batch is postponed. */
	readonly windowMs?: number;
	/** Time in ms after which a queued operation whose batch is postponed fails as `unavailable`; default 2,000. */
	readonly maxWaitMs?: number;
	/** Retention time of a claim in ms; default 24 h. The clocks of all processes should agree within seconds. */
	readonly retentionMs?: number;
	/** Size in bytes at which a head is sealed; default 64 KiB. */
	readonly headLimitBytes?: number;
};

type PendingOperation = {readonly operation: ClaimOperation; readonly enqueuedAt: number; readonly resolve: (response: OperationResponse) => void};
type Queue = {readonly shard: ClaimShard; pending: PendingOperation[]; windowMs: number; isFlushing: boolean};

/** Limit on the operations in one conditional update; it keeps a head with outcomes of the largest size below the store's limit of 1 MB. */
const MAX_BATCH_SIZE = 100;
const MAX_BASE64_LENGTH = 4 * Math.ceil(MAX_OUTCOME_BYTES / 3);
const DEFAULT_BATCH_WINDOW_MS = 50;
const MAX_BATCH_WINDOW_MS = 1600;
const DEFAULT_MAX_WAIT_MS = 2000;
const DEFAULT_RETENTION_MS = 24 * 3600 * 1000;
const DEFAULT_HEAD_LIMIT_BYTES = 64 * 1024;

/** Access of one process to all claims. The promises of its operations resolve only during `flush`. */
export class ClaimStore {
	/** Creates a store; it makes no call before the first `flush`. */
	static create(options: ClaimStoreOptions): ClaimStore {
		return new ClaimStore(options);
	}

	readonly #options: ClaimStoreOptions;
	readonly #windowMs: number;
	readonly #maxWaitMs: number;
	readonly #queues = new Map<number, Queue>();

	private constructor(options: ClaimStoreOptions) {
		this.#options = options;
		this.#windowMs = options.windowMs ?? DEFAULT_BATCH_WINDOW_MS;
		this.#maxWaitMs = options.maxWaitMs ?? DEFAULT_MAX_WAIT_MS;
	}

	/** Time in ms at which the next batch is due; undefined if no operation is queued. */
	get nextFlushAt(): number | undefined {
		const due = [...this.#queues.values()].filter(queue => !queue.isFlushing && queue.pending.length > 0).map(queue => dueAt(queue));
		return due.length === 0 ? undefined : Math.min(...due);
	}

	/** Claims a key at `now` (ms). The promise never rejects. */
	async claim({key, bodyHash, claimId, claimant}: ClaimRequest, now: number): Promise<ClaimResponse> {
		return this.#enqueue<ClaimResponse>({
			kind: 'claim', key: hashClaimKey(key), body: bodyHash, claimId, claimant,
		}, now);
	}

	/**
	 * Records the outcome of a granted claim at `now` (ms). The first recorded outcome is never replaced. Repeat the call while the response is `unavailable`.
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
	 * never will be. After the response `released`, no write in flight can still store the claim.
	 */
	async release(key: ClaimKey, claimId: string, now: number): Promise<ReleaseClaimResponse> {
		return this.#enqueue<ReleaseClaimResponse>({kind: 'release', key: hashClaimKey(key), claimId}, now);
	}

	/** Executes the operations that are due at `now` (ms), in one conditional update per shard. */
	async flush(now: number, options?: CallOptions): Promise<void> {
		const due = [...this.#queues.values()].filter(queue => !queue.isFlushing && queue.pending.length > 0 && dueAt(queue) <= now);
		await Promise.all(due.map(async queue => this.#flushQueue(queue, now, options)));
	}

	async #enqueue<ExpectedResponse extends OperationResponse>(operation: ClaimOperation, now: number): Promise<ExpectedResponse> {
		const queue = this.#queueOf(shardOfHash(operation.key));
		return new Promise(resolve => {
			queue.pending.push({
				operation,
				enqueuedAt: now,
				resolve(response) {
					resolve(response as ExpectedResponse);
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
			pending: [],
			windowMs: this.#windowMs,
			isFlushing: false,
		};
		this.#queues.set(number, queue);
		return queue;
	}

	async #flushQueue(queue: Queue, now: number, options: CallOptions | undefined): Promise<void> {
		const batch = queue.pending.splice(0, MAX_BATCH_SIZE);
		queue.isFlushing = true;
		try {
			const result = await queue.shard.run(batch.map(pending => pending.operation), now, options);
			this.#handleBatchResult(queue, batch, {result, now});
		} catch (error) {
			// If the store throws, it is unknown whether something was written.
			const reason = error instanceof Error ? error.message : String(error);
			this.#handleBatchResult(queue, batch, {result: {kind: 'failed', recorded: 'unknown', failure: {kind: 'invalid', reason}}, now});
		} finally {
			queue.isFlushing = false;
		}
	}

	#handleBatchResult(queue: Queue, batch: readonly PendingOperation[], {result, now}: {readonly result: BatchResult; readonly now: number}): void {
		switch (result.kind) {
			case 'completed': {
				queue.windowMs = this.#windowMs;
				for (const [index, pending] of batch.entries()) {
					pending.resolve(result.responses[index]!);
				}

				break;
			}

			case 'failed': {
				resolveAll(batch, unavailable(result.recorded, result.failure));
				break;
			}

			case 'postponed': {
				queue.windowMs = Math.min(MAX_BATCH_WINDOW_MS, queue.windowMs * 2);
				const expired = batch.filter(pending => now - pending.enqueuedAt >= this.#maxWaitMs);
				queue.pending.unshift(...batch.filter(pending => !expired.includes(pending)));
				resolveAll(expired, unavailable('no', result.failure));
				break;
			}
		}
	}
}

function dueAt({pending, windowMs}: Queue): number {
	return pending[0]!.enqueuedAt + windowMs;
}

function unavailable(recorded: ClaimUnavailable['recorded'], failure: ClaimFailure): ClaimUnavailable {
	return {kind: 'unavailable', recorded, failure};
}

function resolveAll(batch: readonly PendingOperation[], response: ClaimUnavailable): void {
	for (const pending of batch) {
		pending.resolve(response);
	}
}
