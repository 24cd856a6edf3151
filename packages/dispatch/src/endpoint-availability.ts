/**
 * Why an endpoint gets no new work, whoever says so: the registry, the endpoint itself in its responses, the entry that grants
 * the permits of its limit, or this entry after failures.
 *
 * Pure: times are arguments, in monotonic ms of this process.
 */
import type {EndpointDirectory, EndpointRecord, LeavingSource} from './endpoint-directory.js';
import type {EndpointHealth} from './endpoint-health.js';
import type {EndpointLimits} from './endpoint-limits.js';
import type {ZoneClosure} from './evacuation-state.js';

/** Why an endpoint gets no new work at a moment. */
export type Unavailability
	/** It is leaving, or not registered (any more). */
	= | {readonly kind: 'leaving'; readonly source: LeavingSource}
		/** Its zone is evacuated, or it is not known whether it is. */
		| {readonly kind: ZoneClosure}
		/** It asked this entry to wait. */
		| {readonly kind: 'waiting'; readonly remainingMs: number}
		/** The time that it asked for is over, and its answer to the one request sent since has not begun. */
		| {readonly kind: 'on-trial'}
		/** It has reached the limit that it names, or this entry its part of the rate of its warm-up. */
		| {readonly kind: 'limited'; readonly remainingMs: number}
		/** It failed or was full a moment ago; used if there is no other. */
		| {readonly kind: 'backoff'};

/** What the head of a response says of further requests. */
export type AvailabilityReport = {
	readonly isLeaving: boolean;
	/** Whether the request was refused, with or without a time to wait. */
	readonly isNotRun: boolean;
	/** Time for which the endpoint asks for no more requests, in s; undefined if it names none that can be read. */
	readonly retryAfterS: number | undefined;
};

/** A change that a response made to the availability of its endpoint. */
export type AvailabilityChange
	= | {readonly kind: 'leaving'}
		| {readonly kind: 'waiting'; readonly waitMs: number}
		| {readonly kind: 'reopened'};

/** Longest wait that is granted, in ms. No caller waits so long; an endpoint that named a longer time by mistake is tried again then. */
export const MAX_WAIT_MS = 600_000;

type Wait = {
	readonly startedAt: number | undefined;
	readonly until: number;
	/** Whether the one request that may be sent after the wait is on its way. */
	readonly hasTrial: boolean;
};

export type EndpointAvailabilityOptions = {
	readonly directory: EndpointDirectory;
	readonly limits: EndpointLimits;
	readonly health: EndpointHealth;
	/** Why nothing may be sent to a zone now; undefined if zones are not evacuated in this deployment. */
	readonly closureOf?: ((zone: string) => ZoneClosure | undefined) | undefined;
};

/** The process of an endpoint. */
export type EndpointProcess = Pick<EndpointRecord, 'id' | 'startedAt' | 'zone'>;

export class EndpointAvailability {
	static create(options: EndpointAvailabilityOptions): EndpointAvailability {
		return new EndpointAvailability(options);
	}

	/** By endpoint, from when it asked to wait until a request sent afterwards is not refused. */
	readonly #waits = new Map<string, Wait>();
	readonly #options: EndpointAvailabilityOptions;

	private constructor(options: EndpointAvailabilityOptions) {
		this.#options = options;
	}

	/** Why an endpoint gets no new work at `now`; the reason that lasts longest if there are several. */
	reasonAgainst(endpoint: EndpointProcess, now: number): Unavailability | undefined {
		const {directory, limits, health, closureOf} = this.#options;
		if (directory.lookUp(endpoint.id, now) === undefined) {
			return {kind: 'leaving', source: directory.leavingSource(endpoint.id)};
		}

		const closure = closureOf?.(endpoint.zone);
		if (closure !== undefined) {
			return {kind: closure};
		}

		const wait = this.#waitOf(endpoint);
		const waitMs = wait === undefined ? 0 : wait.until - now;
		const limitMs = limits.waitMs(endpoint.id, now);
		if (waitMs > 0 && waitMs >= limitMs) {
			return {kind: 'waiting', remainingMs: waitMs};
		}

		if (limitMs > 0) {
			return {kind: 'limited', remainingMs: limitMs};
		}

		if (wait?.hasTrial === true) {
			return {kind: 'on-trial'};
		}

		return health.isInBackoff(endpoint.id, now) ? {kind: 'backoff'} : undefined;
	}

	/**
	 * Called right before a request is sent, for which it takes a place in the rate of the endpoint. Returns whether it may be, and
	 * whether it is the trial after a wait: its first response head is then passed to `recordHead`, or `endTrial` is called.
	 */
	admit(endpoint: EndpointProcess, now: number): 'closed' | 'open' | 'trial' {
		if (isClosed(this.reasonAgainst(endpoint, now))) {
			return 'closed';
		}

		if (!this.#options.limits.takePlace(endpoint.id, now)) {
			return 'closed';
		}

		const wait = this.#waitOf(endpoint);
		if (wait === undefined) {
			return 'open';
		}

		this.#waits.set(endpoint.id, {...wait, hasTrial: true});
		return 'trial';
	}

	/** Allows another trial after one that ended without a response. */
	endTrial(endpoint: EndpointProcess): void {
		const wait = this.#waitOf(endpoint);
		if (wait !== undefined) {
			this.#waits.set(endpoint.id, {...wait, hasTrial: false});
		}
	}

	/**
	 * Records the head of a response. A time of zero or one that cannot be read asks for no wait; one longer than `MAX_WAIT_MS` is
	 * cut to it. Of several waits the latest end counts, since each of them binds.
	 */
	recordHead(endpoint: EndpointRecord, {isLeaving, isNotRun, retryAfterS = 0}: AvailabilityReport, {isTrial, now}: {readonly isTrial: boolean; readonly now: number}): AvailabilityChange | undefined {
		const current = this.#options.directory.lookUp(endpoint.id, now);
		if (current !== undefined && current.startedAt !== endpoint.startedAt) {
			// A late answer of an earlier process says nothing of the one that has its id now.
			return undefined;
		}

		if (isTrial) {
			this.endTrial(endpoint);
		}

		const isNewlyLeaving = isLeaving && this.#options.directory.recordLeaving(endpoint);
		const known = this.#waitOf(endpoint);
		const waitMs = Math.min(retryAfterS * 1000, MAX_WAIT_MS);
		if (waitMs > 0) {
			this.#forgetEnded(now);
			this.#waits.set(endpoint.id, {startedAt: endpoint.startedAt, until: Math.max(now + waitMs, known?.until ?? 0), hasTrial: known?.hasTrial ?? false});
		} else if (isTrial && !isNotRun && known !== undefined && known.until <= now) {
			this.#waits.delete(endpoint.id);
			return isNewlyLeaving ? {kind: 'leaving'} : {kind: 'reopened'};
		}

		if (isNewlyLeaving) {
			return {kind: 'leaving'};
		}

		return waitMs > 0 && (known === undefined || known.until <= now) ? {kind: 'waiting', waitMs} : undefined;
	}

	/** Time until one of the endpoints may get work as far as known, in ms; 0 if there are none, or only evacuated ones. */
	earliestMs(endpoints: readonly EndpointProcess[], now: number): number {
		const earliestMs = Math.min(...endpoints.map(endpoint => remainingMsOf(this.reasonAgainst(endpoint, now))));
		return Number.isFinite(earliestMs) ? earliestMs : 0;
	}

	/** The wait of this process; one of an earlier process with the same id has ended with it. */
	#waitOf({id, startedAt}: EndpointProcess): Wait | undefined {
		const wait = this.#waits.get(id);
		return wait?.startedAt === startedAt ? wait : undefined;
	}

	/** Forgets the waits of endpoints that were not used for so long that they may be gone. */
	#forgetEnded(now: number): void {
		for (const [id, {until}] of this.#waits) {
			if (now - until > MAX_WAIT_MS) {
				this.#waits.delete(id);
			}
		}
	}
}

/** Whether a reason forbids sending, also if there is no other endpoint. */
export function isClosed(reason: Unavailability | undefined): reason is Exclude<Unavailability, {kind: 'backoff'}> {
	return reason !== undefined && reason.kind !== 'backoff';
}

/** Time for which a reason lasts at least, in ms; infinite for an evacuation, whose end nobody knows. */
function remainingMsOf(reason: Unavailability | undefined): number {
	switch (reason?.kind) {
		case 'waiting':
		case 'limited': {
			return reason.remainingMs;
		}

		case 'evacuated': {
			return Number.POSITIVE_INFINITY;
		}

		case 'leaving':
		case 'unconfirmed':
		case 'on-trial':
		case 'backoff':
		case undefined: {
			return 0;
		}
	}
}
