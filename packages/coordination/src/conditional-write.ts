/**
 * A conditional write that resolves lost responses. Retrying the same write is safe: all
 * copies carry the same condition, so at most one of them takes effect.
 */
import type {
	CallOptions, ObjectStore, StoredObject, StoreFailure,
} from './object-store.js';
import {type Result} from '#core';

/** One conditional write. */
export type ConditionalWrite = {
	readonly store: ObjectStore;
	/** Name of the object. */
	readonly name: string;
	/** Version that the object must still have; undefined if the object must not exist. */
	readonly baseVersion: string | undefined;
	/** New value; it contains a unique write id. */
	readonly value: unknown;
	/** Tells from a stored value whether this write took effect, by its write id. */
	readonly isWritten: (value: unknown) => boolean;
	readonly options?: CallOptions | undefined;
};

/**
 * Result of a conditional write.
 *
 * - `accepted`: it took effect; `current` is the object as last read, perhaps with later writes applied.
 * - `conflict`: it did not take effect and never will; `current` is the stored object, undefined if there is none.
 * - `refused`: it did not take effect and never will; the write, or the read after a conflict, failed with `failure`.
 * - `unresolved`: it may have taken effect, or may still do so while the object has `baseVersion`.
 */
export type WriteResult
	= | {readonly kind: 'accepted'; readonly current: StoredObject}
		| {readonly kind: 'conflict'; readonly current: StoredObject | undefined}
		| {readonly kind: 'refused'; readonly failure: StoreFailure}
		| {readonly kind: 'unresolved'; readonly failure: StoreFailure};

/** Times that one write is sent before it is reported as unresolved. */
const MAX_ATTEMPTS = 3;

/** Sends a conditional write and resolves lost responses by reading the object. Never throws. */
export async function writeConditionally(write: ConditionalWrite): Promise<WriteResult> {
	return attemptWrite(write, 1, undefined);
}

async function attemptWrite(write: ConditionalWrite, attempt: number, unresolved: StoreFailure | undefined): Promise<WriteResult> {
	const result = await send(write);
	if (result.kind === 'ok') {
		return {kind: 'accepted', current: result.value};
	}

	const {failure} = result;
	if (failure.kind === 'conflict' || failure.kind === 'missing') {
		return readBack(write, attempt, unresolved);
	}

	if (failure.kind === 'unavailable' && failure.effect === 'unknown') {
		return readBack(write, attempt, failure);
	}

	return unresolved === undefined ? {kind: 'refused', failure} : {kind: 'unresolved', failure: unresolved};
}

async function send({store, name, baseVersion, value, options}: ConditionalWrite): Promise<Result<StoredObject, StoreFailure>> {
	return baseVersion === undefined
		? store.create(name, value, options)
		: store.update(name, baseVersion, value, options);
}

async function readBack(write: ConditionalWrite, attempt: number, unresolved: StoreFailure | undefined): Promise<WriteResult> {
	const found = await write.store.read(write.name, write.options);
	if (found.kind === 'failed' && found.failure.kind !== 'missing') {
		return unresolved === undefined
			? {kind: 'refused', failure: found.failure}
			: {kind: 'unresolved', failure: unresolved};
	}

	const current = found.kind === 'ok' ? found.value : undefined;
	if (current !== undefined && write.isWritten(current.value)) {
		return {kind: 'accepted', current};
	}

	// While the object has the base version, a copy of the write that is in flight may still take effect.
	if (current?.resourceVersion !== write.baseVersion || unresolved === undefined) {
		return {kind: 'conflict', current};
	}

	return attempt < MAX_ATTEMPTS
		? attemptWrite(write, attempt + 1, unresolved)
		: {kind: 'unresolved', failure: unresolved};
}
