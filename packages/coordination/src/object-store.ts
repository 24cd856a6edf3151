/**
 * The object store that all coordination is built on: named values with versions
 * and conditional updates. The platform's object API is one implementation.
 */
import type {Result} from '#core';

/** One object as the store holds it. */
export type StoredObject = {
	/** Name, for example `config/rules`. */
	readonly name: string;
	/** Opaque decimal string; changes with every write of this object and grows over the whole store. */
	readonly resourceVersion: string;
	/** JSON value of at most 1 MB. It is not validated; readers check its shape. */
	readonly value: unknown;
};

/** Objects below a prefix, all as of one version of the store. */
export type ObjectList = {
	/** Version of the store that the list shows; a watch can start here. */
	readonly resourceVersion: string;
	/** Ordered by name. */
	readonly items: readonly StoredObject[];
};

/**
 * Why a call failed.
 *
 * - `conflict`: the object exists (create) or has another version (update, remove); nothing changed.
 * - `missing`: there is no such object; nothing changed.
 * - `unavailable`: no usable answer. With `effect: 'none'` the call certainly did nothing; with
 *   `effect: 'unknown'` a write may have taken effect, and may still take effect later.
 * - `too-large`: the value is over 1 MB; nothing changed.
 * - `over-budget`: the caller's own call budget is spent; no call was made.
 */
export type StoreFailure
	= | {readonly kind: 'conflict'}
		| {readonly kind: 'missing'}
		| {readonly kind: 'unavailable'; readonly effect: 'none' | 'unknown'; readonly reason?: string}
		| {readonly kind: 'too-large'}
		| {readonly kind: 'over-budget'};

/** Options of every call. */
export type CallOptions = {
	/** Gives the call up. A write that was already sent then fails as `unavailable` with `effect: 'unknown'`. */
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
