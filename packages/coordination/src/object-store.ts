/**
 * Interface of the object store that coordination is built on: named, versioned values
 * with conditional updates. The platform's object API is one implementation.
 */
import type {Result} from '#core';

/** One object as the store holds it. */
export type StoredObject = {
	/** Name, for example `config/rules`. */
	readonly name: string;
	/** Opaque decimal string; it changes with every write of this object and increases across the whole store. */
	readonly resourceVersion: string;
	/** JSON value of at most 1 MB. It is not validated; readers check it against a schema. */
	readonly value: unknown;
};

/** Objects with a common name prefix, as a consistent snapshot at one version of the store. */
export type ObjectList = {
	/** Store version of the snapshot; a watch can start from it. */
	readonly resourceVersion: string;
	/** Sorted by name. */
	readonly items: readonly StoredObject[];
};

/**
 * Reason that a call failed.
 *
 * - `conflict`: the object exists (create) or has another version (update, remove); nothing changed.
 * - `missing`: there is no such object; nothing changed.
 * - `unavailable`: no usable response. With `effect: 'none'` the call certainly had no effect; with
 *   `effect: 'unknown'` a write may have taken effect, and may still take effect later.
 * - `too-large`: the value is over 1 MB; nothing changed.
 * - `over-budget`: the caller's own call budget is exhausted; no call was made.
 */
export type StoreFailure
	= | {readonly kind: 'conflict'}
		| {readonly kind: 'missing'}
		| {readonly kind: 'unavailable'; readonly effect: 'none' | 'unknown'; readonly reason?: string}
		| {readonly kind: 'too-large'}
		| {readonly kind: 'over-budget'};

/** Options of every call. */
export type CallOptions = {
	/** Aborts the call. A write that was already sent then fails as `unavailable` with `effect: 'unknown'`. */
	readonly signal?: AbortSignal;
};

/** Store of named values with conditional updates. No method throws for an expected failure. */
export type ObjectStore = {
	/** Reads one object. Failures: `missing`, `unavailable`, `over-budget`. */
	readonly read: (name: string, options?: CallOptions) => Promise<Result<StoredObject, StoreFailure>>;
	/** Creates an object that must not exist. Failures: all but `missing`. */
	readonly create: (name: string, value: unknown, options?: CallOptions) => Promise<Result<StoredObject, StoreFailure>>;
	/** Replaces the value if the object still has `resourceVersion`. All failures are possible. */
	readonly update: (name: string, resourceVersion: string, value: unknown, options?: CallOptions) => Promise<Result<StoredObject, StoreFailure>>;
	/** Deletes the object if it still has `resourceVersion`. Failures: all but `too-large`. */
	readonly remove: (name: string, resourceVersion: string, options?: CallOptions) => Promise<Result<undefined, StoreFailure>>;
	/** Lists all objects whose name starts with `prefix`. Failures: `unavailable`, `over-budget`. */
	readonly list: (prefix: string, options?: CallOptions) => Promise<Result<ObjectList, StoreFailure>>;
};
