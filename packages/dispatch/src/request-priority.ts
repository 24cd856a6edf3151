/**
 * In which order endpoints admit waiting requests. Answers the load after a stop or a burst: a backlog of requests that
 * are late already would otherwise make every new one late too. Those that can still be on time go first, the late
 * ones use what is left.
 */

/** Inputs of the urgency of a request. */
export type PriorityInput = {
	/** Priority of its route or workspace; 0 is the most urgent. */
	readonly priority: number;
	/** Time of the first byte that is on time, in ms. */
	readonly targetMs: number;
	/** Time since the request arrived, in ms. */
	readonly elapsedMs: number;
	/** Time that its caller waits from the arrival on, in ms; undefined if not told. */
	readonly waitMs: number | undefined;
	/** Longest time that its route lets a request wait, in ms. */
	readonly timeoutMs: number;
};

/** Share of the target that may have passed before a request counts as late: the rest is what the endpoint needs for a prompt. */
const ON_TIME_SHARE = 0.6;

/** Levels that a late request is put back by: behind every priority in use. */
const LATE_PRIORITY_OFFSET = 5;

/** Whether a request can no longer be on time. */
export function isLate({targetMs, elapsedMs, waitMs, timeoutMs}: PriorityInput): boolean {
	// A caller that comes back after a refusal waits for the rest of its time only.
	const spentBefore = waitMs === undefined ? 0 : Math.max(0, timeoutMs - waitMs);
	return elapsedMs + spentBefore > targetMs * ON_TIME_SHARE;
}

/** Level for the endpoint; 0 is admitted first. */
export function effectivePriority(input: PriorityInput): number {
	return isLate(input) ? input.priority + LATE_PRIORITY_OFFSET : input.priority;
}

/** Share of an endpoint's slots up to which it takes late requests; the rest is kept for those that can be on time. */
const LATE_SLOT_SHARE = 0.75;

/** An endpoint is full when this many times its slots are taken; a short queue there keeps its slots busy. */
const MAX_REQUESTS_PER_SLOT = 2;

/** Requests that an endpoint may have in flight for one more to be sent. */
export function maxInFlightFor(slots: number, isLateRequest: boolean): number {
	return slots * (isLateRequest ? LATE_SLOT_SHARE : MAX_REQUESTS_PER_SLOT);
}

/** Share of the slots that requests may wait for while a group is stopped: what it can take up beside new requests when it runs again. */
const QUEUE_LIMIT_SHARE = 0.25;

/** Requests that one of several entries lets wait for a stopped group; the rest is refused at once. */
export function queueLimitFor(slots: number, entries: number): number {
	return Math.floor((slots * QUEUE_LIMIT_SHARE) / Math.max(1, entries));
}
