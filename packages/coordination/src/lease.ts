/**
 * A lease with a fencing number in one stored object. No clocks are compared: a holder counts
 * from before it sent its write, and a contender counts from after it first saw that write,
 * so clocks may be offset and may differ in rate by up to the margin.
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
	/** Name of the object, for example `groups/NAME/lease`. The object must never be deleted. */
	readonly name: string;
	/** Id of this process and its incarnation. A restarted process must use another one. */
	readonly holder: string;
	/** Returns a unique id for each write. */
	readonly createId: () => string;
	/** Time in ms without renewal after which others may take over; default 15,000. */
	readonly durationMs?: number;
	/** Time in ms by which the holder stops earlier than others may take over; default 2,000. */
	readonly marginMs?: number;
};

/** The lease as this process holds it. */
export type HeldLease = {
	/** Fencing number to send with every order. */
	readonly fence: number;
	/** Time in ms on this process's clock after which the lease counts as lapsed. */
	readonly until: number;
};

/**
 * Answer of `acquire` and `renew`.
 *
 * - `held`: this process holds the lease.
 * - `other`: another process holds it, or may; `retryAt` is the time in ms from which taking over can succeed.
 * - `lost`: (renew only) this process no longer holds it.
 * - `unavailable`: the store could not be asked. A lease held before stays held until it lapses.
 * - `invalid`: the stored object has another shape.
 */
export type LeaseResult
	= | ({readonly kind: 'held'} & HeldLease)
		| {readonly kind: 'other'; readonly holder: string; readonly retryAt: number}
		| {readonly kind: 'lost'}
		| {readonly kind: 'unavailable'; readonly failure: StoreFailure}
		| {readonly kind: 'invalid'; readonly name: string};

/** Answer of `release`: `released` also if the lease was lost before. */
export type LeaseReleaseResult = {readonly kind: 'released'} | {readonly kind: 'unavailable'; readonly failure: StoreFailure};

const DEFAULT_DURATION_MS = 15_000;
const DEFAULT_MARGIN_MS = 2000;

const leaseSchema = z.object({
	fence: z.number().int().positive(),
	/** Missing after a release. */
	holder: z.string().optional(),
	durationMs: z.number().positive(),
	writeId: z.string(),
});

type LeaseValue = z.infer<typeof leaseSchema>;
type Stored = {readonly version: string; readonly value: LeaseValue};
type Loaded
	= | {readonly kind: 'loaded'; readonly stored: Stored | undefined}
		| {readonly kind: 'invalid'; readonly name: string}
		| {readonly kind: 'unavailable'; readonly failure: StoreFailure};

/** One process's view of a lease. Calls are carried out one after the other. */
export class Lease {
	/**
	 * Creates the view; makes no call.
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
	/** Set by `release` until the next `acquire`, so that a renewal in progress does not count. */
	#released = false;
	/** Version seen last, and the time of the first call that began after it was seen. */
	#observed: {readonly version: string; readonly since: number | undefined} | undefined;
	#tail: Promise<unknown> = Promise.resolve();

	private constructor(options: LeaseOptions) {
		this.#options = options;
		this.#durationMs = options.durationMs ?? DEFAULT_DURATION_MS;
		this.#marginMs = options.marginMs ?? DEFAULT_MARGIN_MS;
		invariant(this.#marginMs >= 0 && this.#marginMs < this.#durationMs, `lease: margin of ${this.#marginMs} ms in a duration of ${this.#durationMs} ms`);
	}

	/** Highest fencing number seen in the store, 0 if none; never decreases. */
	get highestFence(): number {
		return this.#highestFence;
	}

	/** The lease if this process holds it at `now` (ms), else undefined. Needs no answer from the store. */
	held(now: number): HeldLease | undefined {
		return this.#held !== undefined && !this.#released && now < this.#held.until
			? {fence: this.#held.fence, until: this.#held.until}
			: undefined;
	}

	/**
	 * Tries to take the lease. A process that already holds it renews it. Taking over from another
	 * holder needs at least two calls, since its version must be seen unchanged for its whole duration.
	 *
	 * @param now - Time of this call in ms.
	 */
	async acquire(now: number, options?: CallOptions): Promise<LeaseResult> {
		// In the call itself, not in its turn: only then is `now` later than what was seen.
		this.#startObserving(now);
		return this.#inTurn(async () => {
			this.#released = false;
			return this.held(now) === undefined ? this.#take(now, options) : this.#renew(now, options);
		});
	}

	/**
	 * Extends the lease; it counts from `now`. Answers `lost` if it has lapsed or another process took it.
	 *
	 * @param now - Time of this call in ms.
	 */
	async renew(now: number, options?: CallOptions): Promise<LeaseResult> {
		return this.#inTurn(async () => this.#renew(now, options));
	}

	/** Gives the lease up. This process stops holding it before the call is sent, whatever the answer. */
	async release(options?: CallOptions): Promise<LeaseReleaseResult> {
		this.#released = true;
		return this.#inTurn(async () => this.#release(options));
	}

	async #inTurn<Answer>(run: () => Promise<Answer>): Promise<Answer> {
		const turn = this.#tail.then(run);
		this.#tail = turn.catch(() => undefined);
		return turn;
	}

	async #take(now: number, options: CallOptions | undefined): Promise<LeaseResult> {
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
		return this.#hold(fence, stored?.version, now, options);
	}

	async #renew(now: number, options: CallOptions | undefined): Promise<LeaseResult> {
		if (this.held(now) === undefined) {
			return {kind: 'lost'};
		}

		const held = this.#held!;
		const answer = await this.#hold(held.fence, held.version, now, options);
		if (answer.kind !== 'other') {
			return answer;
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

		const answer = await this.#write(held.fence, undefined, held.version, options);
		return answer.kind === 'accepted' || answer.kind === 'conflict'
			? {kind: 'released'}
			: {kind: 'unavailable', failure: answer.failure};
	}

	/** Writes this process as the holder; validity counts from `now`, which is before the write is sent. */
	async #hold(fence: number, baseVersion: string | undefined, now: number, options: CallOptions | undefined): Promise<LeaseResult> {
		const answer = await this.#write(fence, this.#options.holder, baseVersion, options);
		switch (answer.kind) {
			case 'accepted': {
				this.#highestFence = Math.max(this.#highestFence, fence);
				const until = now + this.#durationMs - this.#marginMs;
				this.#held = {fence, until, version: answer.current.resourceVersion};
				return {kind: 'held', fence, until};
			}

			case 'conflict': {
				const stored = parseLease(answer.current);
				this.#observe(stored);
				return {kind: 'other', holder: stored?.value.holder ?? '', retryAt: now};
			}

			case 'refused':
			case 'unresolved': {
				return {kind: 'unavailable', failure: answer.failure};
			}
		}
	}

	/** Writes the lease. If an earlier renewal of this process took effect late, writes on top of that. */
	async #write(fence: number, holder: string | undefined, baseVersion: string | undefined, options: CallOptions | undefined): Promise<WriteResult> {
		const answer = await this.#send(this.#createValue(fence, holder), baseVersion, options);
		const stored = answer.kind === 'conflict' ? parseLease(answer.current) : undefined;
		return stored?.value.holder === this.#options.holder && stored.value.fence === fence
			? this.#send(this.#createValue(fence, holder), stored.version, options)
			: answer;
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

	async #load(options: CallOptions | undefined): Promise<Loaded> {
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

		this.#observe(stored);
		return {kind: 'loaded', stored};
	}

	/** Records a version that was just read. Its time starts with the next call, which is certainly later. */
	#observe(stored: Stored | undefined): void {
		if (stored === undefined) {
			return;
		}

		this.#highestFence = Math.max(this.#highestFence, stored.value.fence);
		if (this.#observed?.version !== stored.version) {
			this.#observed = {version: stored.version, since: undefined};
		}
	}

	#startObserving(now: number): void {
		if (this.#observed !== undefined && this.#observed.since === undefined) {
			this.#observed = {version: this.#observed.version, since: now};
		}
	}

	#otherHolder(stored: Stored | undefined, now: number): LeaseResult | undefined {
		const holder = stored?.value.holder;
		if (stored === undefined || holder === undefined || holder === this.#options.holder) {
			return undefined;
		}

		const since = this.#observed?.since;
		const retryAt = (since ?? now) + stored.value.durationMs;
		return since !== undefined && now >= retryAt ? undefined : {kind: 'other', holder, retryAt};
	}
}

function parseLease(object: StoredObject | undefined): Stored | undefined {
	const parsed = leaseSchema.safeParse(object?.value);
	return object !== undefined && parsed.success ? {version: object.resourceVersion, value: parsed.data} : undefined;
}
