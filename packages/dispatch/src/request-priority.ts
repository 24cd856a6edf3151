/**
 * Priorities and admission limits of requests. After an outage or a burst, a backlog of requests that are already late would
 * make every new request late too, so requests that can still meet their target come first, and late ones use the
 * remaining capacity.
 */

/** Input for the priority of a request. */
export type PriorityInput = {
	/** Priority of its route or workspace; 0 is the highest. */
	readonly priority: number;
	/** Target for the time to the first byte, in ms. */
	readonly targetMs: number;
	/** Time since the request arrived, in ms. */
	readonly elapsedMs: number;
	/** Time that the caller waits, in ms from the arrival; undefined if not given. */
	readonly waitMs: number | undefined;
	/** Timeout of the route, in ms. */
	readonly timeoutMs: number;
};

/** Share of the target after which a request counts as late: the endpoint needs the rest to process a prompt. */
const ON_TIME_SHARE = 0.6;

/** Share of the route's timeout by which a caller's own deadline may be shorter without telling that it was refused before. */
const DEADLINE_VARIATION_SHARE = 0.2;

/** Added to the priority of late requests; places them behind every priority in use. */
const LATE_PRIORITY_OFFSET = 5;

/** Whether a request can no longer meet its target. */
export function isLate({targetMs, elapsedMs, waitMs, timeoutMs}: PriorityInput): boolean {
	// A caller that retries after a refusal waits only for the rest of its time, but callers also have deadlines of their own.
	const spentBeforeMs = waitMs === undefined ? 0 : Math.max(0, (timeoutMs * (1 - DEADLINE_VARIATION_SHARE)) - waitMs);
	return elapsedMs + spentBeforeMs > targetMs * ON_TIME_SHARE;
}

/** Priority to send to the endpoint; 0 is admitted first. */
export function effectivePriority(input: PriorityInput): number {
	return isLate(input) ? input.priority + LATE_PRIORITY_OFFSET : input.priority;
}

/** Share of the capacity available to late requests; the rest is reserved for requests that can still meet their target. */
const LATE_SLOT_SHARE = 0.75;

/** Share of the limit of a service's streams up to which late ones are added. What is left keeps room for new ones; with a smaller share, callers that return after an overload find no room until long after it. */
export const LATE_LIMIT_SHARE = 0.9;

/** An endpoint is full when it has this many requests per slot; a short queue at the endpoint keeps its slots busy. */
export const MAX_REQUESTS_PER_SLOT = 2;

/** Number of requests in flight at which an endpoint is sent no more. */
export function maxInFlightFor(slots: number, isLateRequest: boolean): number {
	return slots * (isLateRequest ? LATE_SLOT_SHARE : MAX_REQUESTS_PER_SLOT);
}

/** Share of a stopped group's slots for which requests may wait: what it can absorb on top of new requests when it runs again. */
const QUEUE_LIMIT_SHARE = 0.25;

/** Number of requests that one of several entries queues for a stopped group; further ones are refused immediately. */
export function queueLimitFor(slots: number, entries: number): number {
	return Math.floor((slots * QUEUE_LIMIT_SHARE) / Math.max(1, entries));
}
