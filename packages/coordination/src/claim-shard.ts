/**
 * One shard of claims: a head that is changed by conditional updates, and sealed segments.
 * Any number of processes may write to the same shard; conditional updates serialize their writes.
 */
import {decideOperation, type OperationResponse} from './claim-rules.js';
import {ClaimSegments} from './claim-segments.js';
import {
	headSchema, type ClaimEntry, type ClaimFailure, type ClaimHead, type ClaimOperation,
} from './claim-types.js';
import type {CallOptions, ObjectStore, StoreFailure} from './object-store.js';
import {failed, ok, type Result} from '#core';

/** Settings of a shard. */
export type ClaimShardOptions = {
	readonly store: ObjectStore;
	/** Prefix of the shard's objects, for example `claims/7/`. */
	readonly prefix: string;
	/** Returns a unique id for each write. */
	readonly createId: () => string;
	/** Retention time of a claim in ms. */
	readonly retentionMs: number;
	/** Size in bytes of the entries at which a head is sealed. */
	readonly headLimitBytes: number;
};

/**
 * Result of a batch.
 *
 * - `completed`: one response per operation, in order.
 * - `postponed`: nothing was stored or will be; the batch can be retried.
 * - `failed`: `recorded` tells whether some operations may have been stored, or may still be.
 */
export type BatchResult
	= | {readonly kind: 'completed'; readonly responses: readonly OperationResponse[]}
		| {readonly kind: 'postponed'; readonly failure: ClaimFailure}
		| {readonly kind: 'failed'; readonly recorded: 'no' | 'unknown'; readonly failure: ClaimFailure};

type StoredHead = {readonly version: string | undefined; readonly head: ClaimHead};
type Batch = {
	readonly operations: readonly ClaimOperation[];
	readonly now: number;
	readonly options: CallOptions | undefined;
	/** Failure of the last write without a response; that write may still take effect on its base version. */
	unresolved: StoreFailure | undefined;
	/** Whether the head was read from the store during this batch. */
	isFresh: boolean;
	attempts: number;
};
type HeadUpdate = {readonly head: ClaimHead; readonly responses: readonly OperationResponse[]; readonly isChanged: boolean};

/** Attempts of read and write per batch before it is postponed. */
const MAX_ATTEMPTS = 6;
/** Limit on the expired segments that are deleted after one batch. */
const MAX_SEGMENT_DELETIONS_PER_BATCH = 2;
const EMPTY_HEAD: ClaimHead = {
	writeId: '', firstSegment: 0, nextSegment: 0, expired: [], entries: [],
};

/** Access of one process to a shard, with a cached head. Batches must be run sequentially. */
export class ClaimShard {
	/** Creates the access without a call to the store; the first batch reads the shard. */
	static create(options: ClaimShardOptions): ClaimShard {
		return new ClaimShard(options);
	}

	readonly #options: ClaimShardOptions;
	readonly #segments: ClaimSegments;
	#cachedHead: StoredHead | undefined;
	#headExists = false;
	readonly #deletedSegments = new Set<number>();

	private constructor(options: ClaimShardOptions) {
		this.#options = options;
		this.#segments = ClaimSegments.create(options.store, `${options.prefix}seg-`);
	}

	/** Executes operations in one conditional update. `now` is in ms. */
	async run(operations: readonly ClaimOperation[], now: number, options?: CallOptions): Promise<BatchResult> {
		const result = await this.#attempt({
			operations, now, options, unresolved: undefined, isFresh: false, attempts: 0,
		});
		if (result.kind === 'completed') {
			await this.#deleteExpired(options);
		}

		return result;
	}

	async #attempt(batch: Batch): Promise<BatchResult> {
		batch.attempts += 1;
		if (batch.attempts > MAX_ATTEMPTS) {
			return this.#abort(batch, {kind: 'postponed', reason: 'the head was changed by concurrent writers in every attempt'});
		}

		const loaded = await this.#load(batch);
		if (loaded.kind === 'failed') {
			return this.#abort(batch, loaded.failure);
		}

		const update = await this.#prepareUpdate(batch, loaded.value);
		if (update.kind === 'failed') {
			return this.#abort(batch, update.failure);
		}

		if (update.value.isChanged) {
			return this.#write(batch, loaded.value, update.value);
		}

		if (batch.isFresh) {
			return {kind: 'completed', responses: update.value.responses};
		}

		// The cached head may be stale: another process may have changed it.
		this.#cachedHead = undefined;
		return this.#attempt(batch);
	}

	async #load(batch: Batch): Promise<Result<StoredHead, ClaimFailure>> {
		if (this.#cachedHead !== undefined) {
			return ok(this.#cachedHead);
		}

		const found = await this.#options.store.read(this.#headName, batch.options);
		const isMissing = found.kind === 'failed' && found.failure.kind === 'missing';
		if (found.kind === 'failed' && !isMissing) {
			return found;
		}

		if (isMissing && this.#headExists) {
			return failed({kind: 'invalid', reason: `${this.#headName} no longer exists`});
		}

		const state = found.kind === 'ok' ? parseHead(found.value) : {version: undefined, head: EMPTY_HEAD};
		if (state === undefined) {
			return failed({kind: 'invalid', reason: `${this.#headName} does not match the schema`});
		}

		const indexed = await this.#segments.load(state.head, batch.options);
		if (indexed.kind === 'failed') {
			return indexed;
		}

		this.#cacheHead(state);
		batch.isFresh = true;
		return ok(state);
	}

	async #prepareUpdate({operations, now, options}: Batch, {head}: StoredHead): Promise<Result<HeadUpdate, ClaimFailure>> {
		const base = await this.#sealIfFull(head, options);
		if (base.kind === 'failed') {
			return base;
		}

		const entries = new Map(base.value.entries.map(entry => [entry.key, entry]));
		const sealed = await this.#segments.find(operations.map(operation => operation.key).filter(key => !entries.has(key)), options);
		if (sealed.kind === 'failed') {
			return sealed;
		}

		let isChanged = base.value !== head;
		const responses = operations.map(operation => {
			const found = entries.get(operation.key) ?? sealed.value.get(operation.key);
			const decision = decideOperation(operation, found !== undefined && this.#isRetained(found, now) ? found : undefined, now);
			if (decision.entry !== undefined) {
				entries.set(operation.key, decision.entry);
				isChanged = true;
			}

			return decision.response;
		});
		const retained = [...entries.values()].filter(entry => this.#isRetained(entry, now));
		return ok({head: this.#expireSegments({...base.value, entries: retained}, now), responses, isChanged});
	}

	/** Moves the entries of a full head into the next segment; returns the same head if it is not full. */
	async #sealIfFull(head: ClaimHead, options: CallOptions | undefined): Promise<Result<ClaimHead, ClaimFailure>> {
		if (JSON.stringify(head.entries).length < this.#options.headLimitBytes) {
			return ok(head);
		}

		const sealed = await this.#segments.seal(head.nextSegment, head.entries, options);
		if (sealed.kind === 'failed') {
			return sealed;
		}

		// Another process may have created the segment from an earlier head; entries that it lacks stay in the head.
		this.#segments.add(head.nextSegment, sealed.value);
		const texts = new Set(sealed.value.map(entry => canonicalText(entry)));
		const entries = head.entries.filter(entry => !texts.has(canonicalText(entry)));
		return ok({...head, nextSegment: head.nextSegment + 1, entries});
	}

	async #write(batch: Batch, state: StoredHead, update: HeadUpdate): Promise<BatchResult> {
		const {store, createId} = this.#options;
		const head: ClaimHead = {...update.head, writeId: createId()};
		const written = state.version === undefined
			? await store.create(this.#headName, head, batch.options)
			: await store.update(this.#headName, state.version, head, batch.options);
		if (written.kind === 'ok') {
			this.#cacheHead({version: written.value.resourceVersion, head});
			return {kind: 'completed', responses: update.responses};
		}

		const {failure} = written;
		this.#cachedHead = undefined;
		if (failure.kind === 'unavailable' && failure.effect === 'unknown') {
			batch.unresolved = failure;
		} else if (failure.kind !== 'conflict' && failure.kind !== 'missing') {
			return this.#abort(batch, failure);
		}

		// The next attempt reads the head again and recognizes a stored claim by its claim id.
		batch.isFresh = false;
		return this.#attempt(batch);
	}

	#abort({unresolved}: Batch, failure: ClaimFailure): BatchResult {
		this.#cachedHead = undefined;
		if (unresolved !== undefined) {
			return {kind: 'failed', recorded: 'unknown', failure: unresolved};
		}

		return failure.kind === 'over-budget' || failure.kind === 'postponed'
			? {kind: 'postponed', failure}
			: {kind: 'failed', recorded: 'no', failure};
	}

	/** Marks segments as expired once the retention time of all their claims has passed. */
	#expireSegments(head: ClaimHead, now: number): ClaimHead {
		let {firstSegment} = head;
		const expired = head.expired.filter(segment => !this.#deletedSegments.has(segment));
		while (firstSegment < head.nextSegment && (this.#segments.newestAt(firstSegment) ?? Infinity) + this.#options.retentionMs < now) {
			expired.push(firstSegment);
			firstSegment += 1;
		}

		return {...head, firstSegment, expired};
	}

	/** Deletes expired segments. The head lists them until a later write, so no segment is left over after a crash. */
	async #deleteExpired(options: CallOptions | undefined): Promise<void> {
		const deletable = this.#cachedHead?.head.expired.filter(segment => !this.#deletedSegments.has(segment)).slice(0, MAX_SEGMENT_DELETIONS_PER_BATCH) ?? [];
		await Promise.all(deletable.map(async segment => {
			if (await this.#segments.remove(segment, options)) {
				this.#deletedSegments.add(segment);
			}
		}));
	}

	#cacheHead(state: StoredHead): void {
		this.#cachedHead = state;
		this.#headExists ||= state.version !== undefined;
	}

	#isRetained({at}: ClaimEntry, now: number): boolean {
		return now - at <= this.#options.retentionMs;
	}

	get #headName(): string {
		return `${this.#options.prefix}head`;
	}
}

function parseHead({resourceVersion, value}: {readonly resourceVersion: string; readonly value: unknown}): StoredHead | undefined {
	const parsed = headSchema.safeParse(value);
	return parsed.success ? {version: resourceVersion, head: parsed.data} : undefined;
}

function canonicalText({key, body, claimId, claimant, at, state, outcome}: ClaimEntry): string {
	return JSON.stringify([key, body, claimId, claimant, at, state, outcome?.status, outcome?.body, outcome?.complete]);
}
