/** Sealed segments of one claim shard: an index from key to segment, and lookup of entries. */
import {
	segmentSchema, type ClaimEntry, type ClaimFailure, type ClaimHead,
} from './claim-types.js';
import type {CallOptions, ObjectStore} from './object-store.js';
import {failed, ok, type Result} from '#core';

/** Limit on concurrent reads while a shard is loaded. */
const MAX_PARALLEL_READS = 8;

/** Segments of one shard. Only keys and times are kept in memory; entries are read on lookup. */
export class ClaimSegments {
	/** @param prefix - Name of a segment without its number, for example `claims/7/seg-`. */
	static create(store: ObjectStore, prefix: string): ClaimSegments {
		return new ClaimSegments(store, prefix);
	}

	readonly #store: ObjectStore;
	readonly #prefix: string;
	/** Number of the newest segment that holds a key. */
	readonly #index = new Map<string, number>();
	/** Time in ms of the newest claim of each indexed segment. */
	readonly #newestAt = new Map<number, number>();

	private constructor(store: ObjectStore, prefix: string) {
		this.#store = store;
		this.#prefix = prefix;
	}

	/** Time in ms of the newest claim of an indexed segment. */
	newestAt(segment: number): number | undefined {
		return this.#newestAt.get(segment);
	}

	/** Indexes the segments of a head that are not indexed yet, and removes those before `firstSegment` from the index. */
	async load({firstSegment, nextSegment}: ClaimHead, options?: CallOptions): Promise<Result<undefined, ClaimFailure>> {
		this.#dropBefore(firstSegment);
		const missing = Array.from({length: nextSegment - firstSegment}, (_, index) => firstSegment + index)
			.filter(segment => !this.#newestAt.has(segment));
		return this.#loadInBatches(missing, options);
	}

	/** Indexes a segment with the given entries. */
	add(segment: number, entries: readonly ClaimEntry[]): void {
		this.#newestAt.set(segment, Math.max(-Infinity, ...entries.map(entry => entry.at)));
		for (const {key} of entries) {
			this.#index.set(key, Math.max(segment, this.#index.get(key) ?? 0));
		}
	}

	/** Reads the entries of the given keys that are in sealed segments. */
	async find(keys: readonly string[], options?: CallOptions): Promise<Result<ReadonlyMap<string, ClaimEntry>, ClaimFailure>> {
		const segments = new Set(keys.map(key => this.#index.get(key)).filter(segment => segment !== undefined));
		const found = new Map<string, ClaimEntry>();
		const results = await Promise.all([...segments].map(async segment => ({segment, result: await this.read(segment, options)})));
		for (const {segment, result} of results) {
			if (result.kind === 'failed') {
				return result;
			}

			for (const entry of result.value) {
				if (this.#index.get(entry.key) === segment) {
					found.set(entry.key, entry);
				}
			}
		}

		return ok(found);
	}

	/** Reads one segment. */
	async read(segment: number, options?: CallOptions): Promise<Result<readonly ClaimEntry[], ClaimFailure>> {
		const found = await this.#store.read(this.name(segment), options);
		if (found.kind === 'failed') {
			return failed(found.failure);
		}

		const parsed = segmentSchema.safeParse(found.value.value);
		return parsed.success ? ok(parsed.data.entries) : failed({kind: 'invalid', reason: `${this.name(segment)} does not match the schema`});
	}

	/** Creates a segment. Segments are immutable, so an existing one is kept and its entries are returned instead. */
	async seal(segment: number, entries: readonly ClaimEntry[], options?: CallOptions): Promise<Result<readonly ClaimEntry[], ClaimFailure>> {
		const created = await this.#store.create(this.name(segment), {entries}, options);
		if (created.kind === 'ok') {
			return ok(entries);
		}

		const {failure} = created;
		return failure.kind === 'conflict' || (failure.kind === 'unavailable' && failure.effect === 'unknown')
			? this.read(segment, options)
			: failed(failure);
	}

	/** Deletes a segment; true if it no longer exists. */
	async remove(segment: number, options?: CallOptions): Promise<boolean> {
		const found = await this.#store.read(this.name(segment), options);
		if (found.kind === 'failed') {
			return found.failure.kind === 'missing';
		}

		const removed = await this.#store.remove(this.name(segment), found.value.resourceVersion, options);
		return removed.kind === 'ok' || removed.failure.kind === 'missing';
	}

	/** Name of a segment's object. */
	name(segment: number): string {
		return `${this.#prefix}${segment}`;
	}

	async #loadInBatches(missing: readonly number[], options: CallOptions | undefined): Promise<Result<undefined, ClaimFailure>> {
		const batch = missing.slice(0, MAX_PARALLEL_READS);
		if (batch.length === 0) {
			return ok(undefined);
		}

		const results = await Promise.all(batch.map(async segment => ({segment, result: await this.read(segment, options)})));
		for (const {segment, result} of results) {
			if (result.kind === 'failed') {
				return result;
			}

			this.add(segment, result.value);
		}

		return this.#loadInBatches(missing.slice(MAX_PARALLEL_READS), options);
	}

	#dropBefore(firstSegment: number): void {
		const dropped = [...this.#newestAt.keys()].filter(segment => segment < firstSegment);
		if (dropped.length === 0) {
			return;
		}

		for (const segment of dropped) {
			this.#newestAt.delete(segment);
		}

		for (const [key, segment] of this.#index) {
			if (segment < firstSegment) {
				this.#index.delete(key);
			}
		}
	}
}
