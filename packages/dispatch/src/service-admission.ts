/**
 * Divides the capacity of a service for streams among the classes and workspaces of its callers while it is full. Each class
 * of less urgent requests leaves a reserve free for the more urgent ones, so the least urgent class is refused first. Within
 * a class, a workspace above its share gives way before the others. Only requests of this entry are known by class and
 * workspace; their mix is the estimate for all entries.
 */
import {DecayingCounts} from './decaying-counts.js';
import type {ServiceLoad, StreamLimit} from './stream-capacity.js';

/** A stream that asks for a place in a service. */
export type StreamAdmissionRequest = {
	/** Priority of its route or workspace; 0 is the most urgent. */
	readonly priority: number;
	/** Whether it can no longer meet its target. */
	readonly isLate: boolean;
	/** Name of the workspace; undefined on public routes. */
	readonly workspace: string | undefined;
	/** Whether it asked before, so that it is not counted again. */
	readonly isCounted?: boolean;
};

/** The service as this entry sees it. */
export type ServiceState = ServiceLoad & {
	/** Limit that follows from the gaps between events. */
	readonly capacity: StreamLimit;
	/** Number of entries that this entry hears from, including itself. */
	readonly entries: number;
};

/** Why a stream is refused: for want of room for any request, of room for its class, or because its workspace is above its share. */
export type StreamRefusalCause = 'full' | 'class' | 'share';

export type StreamAdmission
	= {readonly kind: 'run'}
		| {
			readonly kind: 'refuse';
			readonly cause: StreamRefusalCause;
			/** Whether requests of a more urgent class have arrived lately. */
			readonly canWait: boolean;
			/** Number of requests in flight at which it is refused. */
			readonly limit: number;
		};

/** Time constant of the counts of requests, in ms: longer than a usual stream, so admitted streams tell what runs, and shorter than a shift of demand. */
const MEMORY_MS = 4000;

/** Time constant of the counts that the reserve follows, in ms: room that urgent callers no longer ask for is free for others within a second or two. */
const RESERVE_MEMORY_MS = 1000;

/** Count from which a class is present: a single request counts for 3 s. */
const PRESENT_COUNT = 0.05;

/**
 * Time whose urgent arrivals the reserve holds, in ms. Entries learn of one another's streams with a delay of about 200 ms;
 * until then, several may take the same room.
 */
const RESERVE_MS = 250;

/** The same for arrivals of other workspaces, which a workspace above its share leaves room for; the mean of that delay, since they are as urgent, and room that they do not take stays free. */
const PEER_RESERVE_MS = 100;

/** Largest reserve, as a share of the limit: the less urgent classes use the rest even if their measured part of the demand is small. */
const MAX_RESERVE_SHARE = 0.25;

/** Multiple of the overall share of admitted requests that each class and each workspace gets at least. Callers need a quarter; the counts of one entry are small and vary. */
const MIN_RELATIVE_SHARE = 0.5;

/** Multiple of its fair share from which a workspace gives way to others: below it, a difference may be chance. */
const EXCESS_FACTOR = 1.25;

/** Number of streams that a workspace must have had lately to count as above its share. */
const MIN_EXCESS_STREAMS = 3;

/** Requests per slot while nothing suggests a lower limit. A slot becomes free about every 2.3 s, so the rest gets one within the target of 403 ms for the first event. */
export const MAX_SHARED_REQUESTS_PER_SLOT = 1.15;

/** Time for which an entry that hears from no other one uses only its part of the capacity, in ms. Later, the others count as stopped and not as cut off. */
const ISOLATION_MS = 30_000;

/** Time for which the most entries count, in ms: an entry that is cut off loses the others one after another as their last reports expire. */
const PEAK_MS = 10_000;

export class ServiceAdmission {
	/**
	 * Creates an admission that has seen no request.
	 *
	 * @param onIsolation - Called with the number of entries that share the capacity when this entry begins to use only its part, and with 1 when it uses all again.
	 */
	static create(onIsolation: (entries: number) => void = () => undefined): ServiceAdmission {
		return new ServiceAdmission(onIsolation);
	}

	readonly #onTimeByClass = DecayingCounts.create<number>(RESERVE_MEMORY_MS);
	readonly #lateByClass = DecayingCounts.create<number>(RESERVE_MEMORY_MS);
	readonly #askedByClass = DecayingCounts.create<number>(MEMORY_MS);
	readonly #askedByWorkspace = DecayingCounts.create<string | undefined>(MEMORY_MS);
	readonly #ranByClass = DecayingCounts.create<number>(MEMORY_MS);
	readonly #ranByWorkspace = DecayingCounts.create<string | undefined>(MEMORY_MS);
	/** The most entries lately, and when so many were heard last. */
	#peak = {entries: 1, at: Number.NEGATIVE_INFINITY};
	#lastHeardAt = Number.NEGATIVE_INFINITY;
	#isIsolated = false;
	readonly #onIsolation: (entries: number) => void;

	private constructor(onIsolation: (entries: number) => void) {
		this.#onIsolation = onIsolation;
	}

	/**
	 * Decides whether a stream may be added, and counts that it asked unless it was counted before.
	 *
	 * @param now - Monotonic ms.
	 */
	decide(request: StreamAdmissionRequest, state: ServiceState, now: number): StreamAdmission {
		const {priority, isLate, workspace} = request;
		if (request.isCounted !== true) {
			this.#askedByClass.add(priority, now);
			this.#askedByWorkspace.add(workspace, now);
			(isLate ? this.#lateByClass : this.#onTimeByClass).add(priority, now);
		}

		const full = this.#capacity(state, now);
		const canWait = this.#isMoreUrgentPresent(priority, now);
		if (state.inFlight >= full) {
			return {
				kind: 'refuse', cause: 'full', canWait, limit: full,
			};
		}

		if (!isLate && this.#isBelowMinimum(request, now)) {
			return {kind: 'run'};
		}

		const yieldingFull = Math.min(full, state.capacity.cautiousMax);
		const classLimit = (canWait ? yieldingFull : full) - this.#reserve(full, this.#moreUrgentPerSecond(request, state, now));
		if (state.inFlight >= classLimit) {
			return {
				kind: 'refuse', cause: 'class', canWait, limit: classLimit,
			};
		}

		if (this.#isAboveShare(workspace, now)) {
			const peers = this.#peersPerSecond(request, state, now) * PEER_RESERVE_MS / RESERVE_MS;
			const limit = yieldingFull - this.#reserve(full, this.#moreUrgentPerSecond(request, state, now) + peers);
			if (state.inFlight >= limit) {
				return {
					kind: 'refuse', cause: 'share', canWait, limit,
				};
			}
		}

		return {kind: 'run'};
	}

	/** Counts a stream that was admitted and has an endpoint. */
	recordRun({priority, workspace}: StreamAdmissionRequest, now: number): void {
		this.#ranByClass.add(priority, now);
		this.#ranByWorkspace.add(workspace, now);
	}

	/** Whether requests of a more urgent class arrived in the last seconds. */
	#isMoreUrgentPresent(priority: number, now: number): boolean {
		const isMoreUrgent = (other: number) => other < priority;
		return this.#onTimeByClass.sum(now, isMoreUrgent) + this.#lateByClass.sum(now, isMoreUrgent) >= PRESENT_COUNT;
	}

	/** Number of requests in flight at which no stream at all is added. */
	#capacity({slots, capacity: {maxInFlight}, entries}: ServiceState, now: number): number {
		if (entries > 1) {
			this.#lastHeardAt = now;
			if (entries >= this.#peak.entries || now - this.#peak.at > PEAK_MS) {
				this.#peak = {entries, at: now};
			}
		}

		const isIsolated = entries === 1 && now - this.#lastHeardAt < ISOLATION_MS;
		if (isIsolated !== this.#isIsolated) {
			this.#isIsolated = isIsolated;
			this.#onIsolation(isIsolated ? this.#peak.entries : 1);
		}

		// The streams of the other entries are unknown then, and they run at the same slots.
		return isIsolated ? Math.max(1, Math.min(maxInFlight, slots) / this.#peak.entries) : Math.min(maxInFlight, slots * MAX_SHARED_REQUESTS_PER_SLOT);
	}

	/** Rate of requests that go before those of this kind, from all entries: for a late one, all that are on time, since it would only make one of them late too. */
	#moreUrgentPerSecond({priority, isLate}: StreamAdmissionRequest, {entries}: ServiceState, now: number): number {
		const isMoreUrgent = (other: number) => other < priority;
		const count = isLate ? this.#onTimeByClass.sum(now) + this.#lateByClass.sum(now, isMoreUrgent) : this.#onTimeByClass.sum(now, isMoreUrgent);
		return perSecond(count) * entries;
	}

	/** Rate of requests on time of the same class from other workspaces, and from all entries; those of a late request count as more urgent already. */
	#peersPerSecond({priority, isLate, workspace}: StreamAdmissionRequest, {entries}: ServiceState, now: number): number {
		const asked = this.#askedByWorkspace.sum(now);
		const othersShare = asked > 0 ? 1 - (this.#askedByWorkspace.get(workspace, now) / asked) : 0;
		return isLate ? 0 : perSecond(this.#onTimeByClass.get(priority, now)) * entries * othersShare;
	}

	/** Number of requests that are left free for arrivals at a rate. */
	#reserve(full: number, arrivalsPerSecond: number): number {
		return Math.min(full * MAX_RESERVE_SHARE, arrivalsPerSecond * RESERVE_MS / 1000);
	}

	/** Whether the class or the workspace of a request got less than the least share, compared with all requests. */
	#isBelowMinimum({priority, workspace}: StreamAdmissionRequest, now: number): boolean {
		const minShare = MIN_RELATIVE_SHARE * Math.min(1, this.#ranByClass.sum(now) / this.#askedByClass.sum(now));
		return this.#ranByClass.get(priority, now) + 1 <= this.#askedByClass.get(priority, now) * minShare
			|| this.#ranByWorkspace.get(workspace, now) + 1 <= this.#askedByWorkspace.get(workspace, now) * minShare;
	}

	/** Whether a workspace runs far more than its fair share of what all workspaces run. What others do not ask for is part of the share. */
	#isAboveShare(workspace: string | undefined, now: number): boolean {
		const ran = this.#ranByWorkspace.get(workspace, now);
		return ran >= MIN_EXCESS_STREAMS && ran > EXCESS_FACTOR * fairShare(this.#askedByWorkspace.values(now), this.#ranByWorkspace.sum(now));
	}
}

/** Rate per second of a count that decays with RESERVE_MEMORY_MS. */
function perSecond(count: number): number {
	return count * 1000 / RESERVE_MEMORY_MS;
}

/** Share with which all of `total` is used if each demand gets at most the share; Infinity if the demands do not use it up. */
function fairShare(demands: readonly number[], total: number): number {
	let remaining = total;
	let count = demands.length;
	for (const demand of demands.toSorted((a, b) => a - b)) {
		if (demand * count >= remaining) {
			return remaining / count;
		}

		remaining -= demand;
		count -= 1;
	}

	return Infinity;
}
