/** Passes the times that endpoints took on to what is learned from them: the capacity of the service and the pace of the endpoint. */
import type {AttemptResult} from './attempt.js';
import {loadOfService, type PlacementContext} from './placement.js';
import type {EndpointRecord, Route} from '#dispatch';

/** Where and for which route a time was observed. */
export type ObservedAt = {readonly service: string; readonly route: Route; readonly endpoint: EndpointRecord};

/** Records the time between two events of a stream, in ms. */
export function recordGap(context: PlacementContext, {service, endpoint}: ObservedAt, gapMs: number): void {
	const now = context.now().monotonicMs;
	context.capacityOf(service).record(gapMs, endpoint.zone, () => loadOfService(context, service), now);
	// All streams of a service make their events in the same steps, whatever their route.
	recordPace(context, {
		service, endpoint, kind: 'gap', ownRequests: 0,
	}, gapMs);
}

/** Records the result of an attempt that was sent at `sentAt` (monotonic ms). Only a complete and successful answer tells a time. */
export function recordAnswerTime(context: PlacementContext, {service, route, endpoint}: ObservedAt, result: AttemptResult, sentAt: number): void {
	if (result.kind === 'response' && result.isSigned && !result.isUnframed && result.status >= 200 && result.status < 300) {
		// The request is no longer counted as in flight.
		recordPace(context, {
			service, endpoint, kind: `answer:${route.name}`, ownRequests: 1,
		}, context.now().monotonicMs - sentAt);
	}
}

type PaceOrigin = {
	readonly service: string;
	readonly endpoint: EndpointRecord;
	readonly kind: string;
	/** Requests to add to those in flight. */
	readonly ownRequests: number;
};

function recordPace(context: PlacementContext, {service, endpoint: {id, slots}, kind, ownRequests}: PaceOrigin, ms: number): void {
	const now = context.now().monotonicMs;
	context.paceOf(service)?.record({
		endpoint: id, kind, ms, slots, inFlight: context.load.inFlight(id, now) + ownRequests,
	}, now);
}
