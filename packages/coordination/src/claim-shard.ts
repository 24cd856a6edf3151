/**
 * One shard of claims: a head that is changed by conditional updates, and sealed segments.
 * Any number of processes may work on the same shard; the conditional update decides.
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
	/** Time in ms that a claim is kept. */
	readonly retentionMs: number;
	/** Size in bytes of the entries at which a head is sealed. */
	readonly headLimitBytes: number;
};

/**
 * What became of a batch.
 *
 * - `answered`: one answer per operation, in order.
 * - `postponed`: nothing was stored and never will be; the batch can be run again.
 * - `failed`: `recorded` tells whether some of it may have been stored, or may still be.
 */
export type BatchResult
	= | {readonly kind: 'answered'; readonly answers: readonly OperationResponse[]}
		| {readonly kind: 'postponed'; readonly failure: ClaimFailure}
		| {readonly kind: 'failed'; readonly recorded: 'no' | 'unknown'; readonly failure: ClaimFailure};

type State = {readonly version: string | undefined; readonly head: ClaimHead};
type Batch = {
	readonly operations: readonly ClaimOperation[];
	readonly now: number;
	readonly options: CallOptions | undefined;
	/** Answer of the last write that was lost; it may still take effect on the version it was based on. */
	lost: StoreFailure | undefined;
	/** Whether the state was read for this batch. */
	fresh: boolean;
	rounds: number;
};
type Draft = {readonly head: ClaimHead; readonly answers: readonly OperationResponse[]; readonly changed: boolean};

/** Reads and writes that one batch may take before it is postponed. */
const MAX_ROUNDS = 6;
/** Expired segments that are deleted after one batch. */
const REMOVALS_PER_BATCH = 2;
const EMPTY_HEAD: ClaimHead = {
	writeId: '', firstSegment: 0, nextSegment: 0, expired: [], entries: [],
};

/** One process's view of a shard. Batches must be run one after the other. */
export class ClaimShard {
	/** Creates the view; the first batch reads the shard. */
	static create(options: ClaimShardOptions): ClaimShard {
		return new ClaimShard(options);
	}

	readonly #options: ClaimShardOptions;
	readonly #segments: ClaimSegments;
	#state: State | undefined;
	#headSeen = false;
	readonly #removed = new Set<number>();

	private constructor(options: ClaimShardOptions) {
		this.#options = options;
		this.#segments = ClaimSegments.create(options.store, `${options.prefix}seg-`);
	}

	/** Carries out operations in one conditional update. `now` is in ms. */
	async run(operations: readonly ClaimOperation[], now: number, options?: CallOptions): Promise<BatchResult> {
		const answer = await this.#round({
			operations, now, options, lost: undefined, fresh: false, rounds: 0,
		});
		if (answer.kind === 'answered') {
			await this.#removeExpired(options);
		}

		return answer;
	}

	async #round(batch: Batch): Promise<BatchResult> {
		batch.rounds += 1;
		if (batch.rounds > MAX_ROUNDS) {
			return this.#giveUp(batch, {kind: 'postponed', reason: 'other writers were faster'});
		}

		const loaded = await this.#load(batch);
		if (loaded.kind === 'failed') {
			return this.#giveUp(batch, loaded.failure);
		}

		const draft = await this.#draft(batch, loaded.value);
		if (draft.kind === 'failed') {
			return this.#giveUp(batch, draft.failure);
		}

		if (draft.value.changed) {
			return this.#write(batch, loaded.value, draft.value);
		}

		if (batch.fresh) {
			return {kind: 'answered', answers: draft.value.answers};
		}

		// Another process may have changed the head since it was read.
		this.#state = undefined;
		return this.#round(batch);
	}

	async #load(batch: Batch): Promise<Result<State, ClaimFailure>> {
		if (this.#state !== undefined) {
			return ok(this.#state);
		}

		const found = await this.#options.store.read(this.#headName, batch.options);
		const missing = found.kind === 'failed' && found.failure.kind === 'missing';
		if (found.kind === 'failed' && !missing) {
			return found;
		}

		if (missing && this.#headSeen) {
			return failed({kind: 'invalid', reason: `${this.#headName} has vanished`});
		}

		const state = found.kind === 'ok' ? parseHead(found.value) : {version: undefined, head: EMPTY_HEAD};
		if (state === undefined) {
			return failed({kind: 'invalid', reason: `${this.#headName} has another shape`});
		}

		const indexed = await this.#segments.load(state.head, batch.options);
		if (indexed.kind === 'failed') {
			return indexed;
		}

		this.#remember(state);
		batch.fresh = true;
		return ok(state);
	}

	async #draft({operations, now, options}: Batch, {head}: State): Promise<Result<Draft, ClaimFailure>> {
		const base = await this.#sealIfFull(head, options);
		if (base.kind === 'failed') {
			return base;
		}

		const entries = new Map(base.value.entries.map(entry => [entry.key, entry]));
		const sealed = await this.#segments.find(operations.map(operation => operation.key).filter(key => !entries.has(key)), options);
		if (sealed.kind === 'failed') {
			return sealed;
		}

		let changed = base.value !== head;
		const answers = operations.map(operation => {
			const found = entries.get(operation.key) ?? sealed.value.get(operation.key);
			const decision = decideOperation(operation, found !== undefined && this.#isKept(found, now) ? found : undefined, now);
			if (decision.entry !== undefined) {
				entries.set(operation.key, decision.entry);
				changed = true;
			}

			return decision.answer;
		});
		const kept = [...entries.values()].filter(entry => this.#isKept(entry, now));
		return ok({head: this.#expireSegments({...base.value, entries: kept}, now), answers, changed});
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

		// Another process may have created the segment from an earlier head; newer entries stay in the head.
		this.#segments.add(head.nextSegment, sealed.value);
		const texts = new Set(sealed.value.map(entry => canonicalText(entry)));
		const entries = head.entries.filter(entry => !texts.has(canonicalText(entry)));
		return ok({...head, nextSegment: head.nextSegment + 1, entries});
	}

	async #write(batch: Batch, state: State, draft: Draft): Promise<BatchResult> {
		const {store, createId} = this.#options;
		const head: ClaimHead = {...draft.head, writeId: createId()};
		const written = state.version === undefined
			? await store.create(this.#headName, head, batch.options)
			: await store.update(this.#headName, state.version, head, batch.options);
		if (written.kind === 'ok') {
			this.#remember({version: written.value.resourceVersion, head});
			return {kind: 'answered', answers: draft.answers};
		}

		const {failure} = written;
		this.#state = undefined;
		if (failure.kind === 'unavailable' && failure.effect === 'unknown') {
			batch.lost = failure;
		} else if (failure.kind !== 'conflict' && failure.kind !== 'missing') {
			return this.#giveUp(batch, failure);
		}

		// The next round reads back: a claim that was stored is found by its claim id.
		batch.fresh = false;
		return this.#round(batch);
	}

	#giveUp({lost}: Batch, failure: ClaimFailure): BatchResult {
		this.#state = undefined;
		if (lost !== undefined) {
			return {kind: 'failed', recorded: 'unknown', failure: lost};
		}

		return failure.kind === 'over-budget' || failure.kind === 'postponed'
			? {kind: 'postponed', failure}
			: {kind: 'failed', recorded: 'no', failure};
	}

	/** Takes segments whose claims are all past their retention out of the head. */
	#expireSegments(head: ClaimHead, now: number): ClaimHead {
		let {firstSegment} = head;
		const expired = head.expired.filter(segment => !this.#removed.has(segment));
		while (firstSegment < head.nextSegment && (this.#segments.newestAt(firstSegment) ?? Infinity) + this.#options.retentionMs < now) {
			expired.push(firstSegment);
			firstSegment += 1;
		}

		return {...head, firstSegment, expired};
	}

	/** Deletes expired segments; the head lists them until a later write, so a crash leaves none behind. */
	async #removeExpired(options: CallOptions | undefined): Promise<void> {
		const due = this.#state?.head.expired.filter(segment => !this.#removed.has(segment)).slice(0, REMOVALS_PER_BATCH) ?? [];
		await Promise.all(due.map(async segment => {
			if (await this.#segments.remove(segment, options)) {
				this.#removed.add(segment);
			}
		}));
	}

	#remember(state: State): void {
		this.#state = state;
		this.#headSeen ||= state.version !== undefined;
	}

	#isKept({at}: ClaimEntry, now: number): boolean {
		return now - at <= this.#options.retentionMs;
	}

	get #headName(): string {
		return `${this.#options.prefix}head`;
	}
}

function parseHead({resourceVersion, value}: {readonly resourceVersion: string; readonly value: unknown}): State | undefined {
	const parsed = headSchema.safeParse(value);
	return parsed.success ? {version: resourceVersion, head: parsed.data} : undefined;
}

function canonicalText({key, body, claimId, claimant, at, state, outcome}: ClaimEntry): string {
	return JSON.stringify([key, body, claimId, claimant, at, state, outcome?.status, outcome?.body, outcome?.complete]);
}
