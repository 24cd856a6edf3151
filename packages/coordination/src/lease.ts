/**
 * A lease with a fencing token in one stored object. Clocks of different processes are never
 * compared: the holder measures the duration from before it sent its write, and a contender from
 * after it first read that write. Clocks may therefore have any offset, and their rates may differ
 * as long as the drift over one duration stays below the margin.
 */
import {z} from 'zod';
import {writeConditionally, type WriteResult} from './conditional-write.js';
import type {
	CallOptions, ObjectStore, StoredObject, StoreFailure,
} from './object-store.js';
import {invariant} from '#core';

/** Settings of a lease. */
export type LeaseOptions = {
	readonly store: ObjectStore;
	/** Name of the object, for example `groups/NAME/lease`. It must never be deleted. */
	readonly name: string;
	/** Id of this process and its incarnation. A restarted process must use a new one. */
	readonly holder: string;
	/** Returns a unique id for each write. */
	readonly createId: () => string;
	/** Time in ms without renewal after which others may take over; default 15,000. */
	readonly durationMs?: number;
	/** Safety margin in ms: the holder's lease expires this long before others may take over; default 2,000. */
	readonly marginMs?: number;
};

/** A lease held by this process. */
export type HeldLease = {
	/** Fencing token to send with every order. */
	readonly fence: number;
	/** Time in ms on this process's clock at which the lease expires. */
	readonly until: number;
};

/**
 * Result of `acquire` and `renew`.
 *
 * - `held`: this process holds the lease.
 * - `other`: another process holds it, or may; `retryAt` is the time in ms from which taking over can succeed.
 * - `lost`: (renew only) this process no longer holds it.
 * - `unavailable`: the store is unavailable. A lease that was held stays held until it expires.
 * - `invalid`: the stored object does not match the schema.
 */
export type LeaseResult
	= | ({readonly kind: 'held'} & HeldLease)
		| {readonly kind: 'other'; readonly holder: string; readonly retryAt: number}
		| {readonly kind: 'lost'}
		| {readonly kind: 'unavailable'; readonly failure: StoreFailure}
		| {readonly kind: 'invalid'; readonly name: string};

/** Result of `release`: `released` also if the lease was lost before. */
export type LeaseReleaseResult = {readonly kind: 'released'} | {readonly kind: 'unavailable'; readonly failure: StoreFailure};

const DEFAULT_DURATION_MS = 15_000;
const DEFAULT_MARGIN_MS = 2000;

const leaseSchema = z.object({
	fence: z.number().int().positive(),
	/** Absent after a release. */
	holder: z.string().optional(),
	durationMs: z.number().positive(),
	writeId: z.string(),
});

type LeaseValue = z.infer<typeof leaseSchema>;
type StoredLease = {readonly version: string; readonly value: LeaseValue};
type LoadedLease
	= | {readonly kind: 'loaded'; readonly stored: StoredLease | undefined}
		| {readonly kind: 'invalid'; readonly name: string}
		| {readonly kind: 'unavailable'; readonly failure: StoreFailure};

/** Access of one process to a lease. Calls are executed sequentially. */
export class Lease {
	/**
	 * Creates the access; makes no call.
	 *
	 * @throws InvariantError when the margin is negative or not below the duration.
	 */
	static create(options: LeaseOptions): Lease {
		return new Lease(options);
	}

	readonly #options: LeaseOptions;
	readonly #durationMs: number;
	readonly #marginMs: number;
	#held: (HeldLease & {readonly version: string}) | undefined;
	#highestFence = 0;
	/** Set by `release` until the next `acquire`, so that a renewal in progress does not restore the lease. */
	#isReleased = false;
	/** Version that was read last, and the time of the first call that began after that read. */
	#observed: {readonly version: string; readonly since: number | undefined} | undefined;
	#lastCall: Promise<unknown> = Promise.resolve();

	private constructor(options: LeaseOptions) {
		this.#options = options;
		this.#durationMs = options.durationMs ?? DEFAULT_DURATION_MS;
		this.#marginMs = options.marginMs ?? DEFAULT_MARGIN_MS;
		invariant(this.#marginMs >= 0 && this.#marginMs < this.#durationMs, `lease: margin of ${this.#marginMs} ms must be at least 0 and below the duration of ${this.#durationMs} ms`);
	}

	/** Highest fencing token seen in the store, 0 if none; never decreases. */
	get highestFence(): number {
		return this.#highestFence;
	}

	/** The lease if this process holds it at `now` (ms), else undefined. Makes no call to the store. */
	held(now: number): HeldLease | undefined {
		return this.#held !== undefined && !this.#isReleased && now < this.#held.until
			? {fence: this.#held.fence, until: this.#held.until}
			: undefined;
	}

	/**
	 * Tries to acquire the lease. A process that already holds it renews it. Taking over from another
	 * holder takes at least two calls, since the stored version must stay unchanged for its whole duration.
	 *
	 * @param now - Time of this call in ms.
	 */
	async acquire(now: number, options?: CallOptions): Promise<LeaseResult> {
		// Must run here rather than in the serialized part: only then is `now` certainly later than the read that recorded the version.
		this.#startObservation(now);
		return this.#runSerially(async () => {
			this.#isReleased = false;
			return this.held(now) === undefined ? this.#tryAcquire(now, options) : this.#renew(now, options);
		});
	}

	/**
	 * Extends the lease; its duration starts at `now`. Returns `lost` if it has expired or another process took it over.
	 *
	 * @param now - Time of this call in ms.
	 */
	async renew(now: number, options?: CallOptions): Promise<LeaseResult> {
		return this.#runSerially(async () => this.#renew(now, options));
	}

	/** Releases the lease. This process stops holding it before the call is sent, whatever the result. */
	async release(options?: CallOptions): Promise<LeaseReleaseResult> {
		this.#isReleased = true;
		return this.#runSerially(async () => this.#release(options));
	}

	async #runSerially<Value>(run: () => Promise<Value>): Promise<Value> {
		const call = this.#lastCall.then(run);
		this.#lastCall = call.catch(() => undefined);
		return call;
	}

	async #tryAcquire(now: number, options: CallOptions | undefined): Promise<LeaseResult> {
		this.#held = undefined;
		const loaded = await this.#load(options);
		if (loaded.kind !== 'loaded') {
			return loaded;
		}

		const {stored} = loaded;
		const other = this.#otherHolder(stored, now);
		if (other !== undefined) {
			return other;
		}

		const fence = Math.max(this.#highestFence, stored?.value.fence ?? 0) + 1;
		return this.#writeAsHolder(fence, stored?.version, now, options);
	}

	async #renew(now: number, options: CallOptions | undefined): Promise<LeaseResult> {
		if (this.held(now) === undefined) {
			return {kind: 'lost'};
		}

		const held = this.#held!;
		const result = await this.#writeAsHolder(held.fence, held.version, now, options);
		if (result.kind !== 'other') {
			return result;
		}

		this.#held = undefined;
		return {kind: 'lost'};
	}

	async #release(options: CallOptions | undefined): Promise<LeaseReleaseResult> {
		const held = this.#held;
		this.#held = undefined;
		if (held === undefined) {
			return {kind: 'released'};
		}

		const result = await this.#write(held.fence, undefined, held.version, options);
		return result.kind === 'accepted' || result.kind === 'conflict'
			? {kind: 'released'}
			: {kind: 'unavailable', failure: result.failure};
	}

	/** Writes this process as the holder; the duration starts at `now`, which is before the write is sent. */
	async #writeAsHolder(fence: number, baseVersion: string | undefined, now: number, options: CallOptions | undefined): Promise<LeaseResult> {
		const result = await this.#write(fence, this.#options.holder, baseVersion, options);
		switch (result.kind) {
			case 'accepted': {
				this.#highestFence = Math.max(this.#highestFence, fence);
				const until = now + this.#durationMs - this.#marginMs;
				this.#held = {fence, until, version: result.current.resourceVersion};
				return {kind: 'held', fence, until};
			}

			case 'conflict': {
				const stored = parseLease(result.current);
				this.#recordObserved(stored);
				return {kind: 'other', holder: stored?.value.holder ?? '', retryAt: now};
			}

			case 'refused':
			case 'unresolved': {
				return {kind: 'unavailable', failure: result.failure};
			}
		}
	}

	/** Writes the lease. If an earlier renewal of this process took effect in the meantime, writes again on that version. */
	async #write(fence: number, holder: string | undefined, baseVersion: string | undefined, options: CallOptions | undefined): Promise<WriteResult> {
		const result = await this.#send(this.#createValue(fence, holder), baseVersion, options);
		const stored = result.kind === 'conflict' ? parseLease(result.current) : undefined;
		return stored?.value.holder === this.#options.holder && stored.value.fence === fence
			? this.#send(this.#createValue(fence, holder), stored.version, options)
			: result;
	}

	#createValue(fence: number, holder: string | undefined): LeaseValue {
		return {
			fence, holder, durationMs: this.#durationMs, writeId: this.#options.createId(),
		};
	}

	async #send(value: LeaseValue, baseVersion: string | undefined, options: CallOptions | undefined): Promise<WriteResult> {
		return writeConditionally({
			store: this.#options.store,
			name: this.#options.name,
			baseVersion,
			value,
			isWritten: stored => leaseSchema.safeParse(stored).data?.writeId === value.writeId,
			options,
		});
	}

	async #load(options: CallOptions | undefined): Promise<LoadedLease> {
		const found = await this.#options.store.read(this.#options.name, options);
		if (found.kind === 'failed') {
			return found.failure.kind === 'missing'
				? {kind: 'loaded', stored: undefined}
				: {kind: 'unavailable', failure: found.failure};
		}

		const stored = parseLease(found.value);
		if (stored === undefined) {
			return {kind: 'invalid', name: this.#options.name};
		}

		this.#recordObserved(stored);
		return {kind: 'loaded', stored};
	}

	/** Records a version that was just read. Its observation starts with the next call, which is certainly later than the read. */
	#recordObserved(stored: StoredLease | undefined): void {
		if (stored === undefined) {
			return;
		}

		this.#highestFence = Math.max(this.#highestFence, stored.value.fence);
		if (this.#observed?.version !== stored.version) {
			this.#observed = {version: stored.version, since: undefined};
		}
	}

	#startObservation(now: number): void {
		if (this.#observed !== undefined && this.#observed.since === undefined) {
			this.#observed = {version: this.#observed.version, since: now};
		}
	}

	#otherHolder(stored: StoredLease | undefined, now: number): LeaseResult | undefined {
		const holder = stored?.value.holder;
		if (stored === undefined || holder === undefined || holder === this.#options.holder) {
			return undefined;
		}

		const since = this.#observed?.since;
		const retryAt = (since ?? now) + stored.value.durationMs;
		return since !== undefined && now >= retryAt ? undefined : {kind: 'other', holder, retryAt};
	}
}

function parseLease(object: StoredObject | undefined): StoredLease | undefined {
	const parsed = leaseSchema.safeParse(object?.value);
	return object !== undefined && parsed.success ? {version: object.resourceVersion, value: parsed.data} : undefined;
}
