/**
 * Finds an endpoint that a request may be sent to: takes a permit where one is needed, and lets a stream that has begun wait for a
 * place at an endpoint that warms up, since a refusal would cut it off.
 */
import type {EndpointGate} from './endpoint-gate.js';
import type {GroupMonitor} from './group-monitor.js';
import type {LimitGuard} from './limit-guard.js';
import type {Placement, PlacementRequest} from './placement.js';
import {sleep} from '#core';
import type {EndpointRecord} from '#dispatch';

export type PlaceSearchContext = {readonly gate: EndpointGate; readonly limitGuard: LimitGuard; readonly groups: GroupMonitor};

export type PlaceSearch = {
	readonly requestId: string;
	/** Chooses an endpoint. */
	readonly pick: (from: PlacementRequest['from']) => Placement;
	/** Endpoints that the request was not sent to yet. */
	readonly untried: () => readonly EndpointRecord[];
	/** Whether it is a stream that has begun. */
	readonly isBegun: boolean;
	/** Time that it has left, in ms. */
	readonly remainingMs: () => number;
	readonly signal: AbortSignal;
};

/** Maximum number of denied permits per attempt: each one costs a round trip to another entry, so endpoints without a limit are chosen then. */
const MAX_DENIED_PERMITS = 3;

/** Shortest wait for a place, in ms: an endpoint that has one again may be closed for another reason. */
const MIN_WAIT_MS = 20;

/** Chooses an endpoint once the evacuated zones are known, and takes a permit for it if it needs one. A stream that has begun waits while the parts of endpoints are used up. */
export async function findPlace(context: PlaceSearchContext, search: PlaceSearch): Promise<Placement> {
	const {gate, limitGuard} = context;
	const {untried, isBegun, remainingMs, signal} = search;
	for (;;) {
		await gate.awaitReading(remainingMs());
		const choice = await choosePermitted(limitGuard, search);
		if (choice.kind === 'chosen' || !isBegun || !untried().some(({id}) => limitGuard.isPartUsed(id))) {
			return choice;
		}

		const waitMs = Math.max(MIN_WAIT_MS, gate.earliestMs(untried()));
		if (signal.aborted || waitMs >= remainingMs()) {
			return choice;
		}

		await sleep(waitMs, signal);
	}
}

/** Whether another endpoint is open. One may become so while a stopped group forms, or while a stream that has begun waits for a place. */
export function canReachAnother({gate, limitGuard, groups}: PlaceSearchContext, service: string, {untried, isBegun}: Pick<PlaceSearch, 'untried' | 'isBegun'>): boolean {
	return groups.isStopped(service) || gate.partition(untried()).open.length > 0 || (isBegun && untried().some(({id}) => limitGuard.isPartUsed(id)));
}

async function choosePermitted(limitGuard: LimitGuard, {requestId, pick}: PlaceSearch): Promise<Placement> {
	for (let denied = 0; ; denied += 1) {
		const choice = pick(denied < MAX_DENIED_PERMITS ? 'any' : 'unlimited');
		if (choice.kind === 'none' || await limitGuard.admit(choice.endpoint.id, requestId)) {
			return choice;
		}
	}
}
