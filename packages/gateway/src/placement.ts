/** Chooses the endpoint of one attempt, or tells why no endpoint may get it. */
import type {EndpointGate} from './endpoint-gate.js';
import type {EndpointSilence} from './endpoint-silence.js';
import type {LimitGuard} from './limit-guard.js';
import type {RefusalReason} from './refusals.js';
import {
	chooseEndpoint, isLate, LATE_LIMIT_SHARE, MAX_REQUESTS_PER_SLOT, MAX_SHARED_REQUESTS_PER_SLOT, maxInFlightFor,
	type EndpointDirectory, type EndpointHealth, type EndpointPace, type EndpointRecord, type Instant, type LoadTracker,
	type PriorityInput, type Route, type ServiceAdmission, type ServiceCapacity, type ServiceLimit, type ServiceLoad, type StreamAdmission, type StreamAdmissionRequest, type StreamLimit, type ZonedLoad,
} from '#dispatch';

/** What the choice of an endpoint depends on. */
export type PlacementContext = {
	readonly directory: EndpointDirectory;
	readonly health: EndpointHealth;
	readonly load: LoadTracker;
	readonly silence: EndpointSilence;
	readonly limitGuard: LimitGuard;
	readonly gate: EndpointGate;
	/** Capacity of a service for streams, as this entry sees it. */
	readonly capacityOf: (service: string) => ServiceCapacity;
	/** Divides the capacity of a service among its callers; undefined for a service whose callers are treated alike. */
	readonly admissionOf: (service: string) => ServiceAdmission | undefined;
	/** Pace of the endpoints of a service; undefined for a service whose endpoints count as equally fast. */
	readonly paceOf: (service: string) => EndpointPace | undefined;
	readonly now: () => Instant;
	/** Returns numbers in [0, 1). */
	readonly random: () => number;
};

/** An attempt that needs an endpoint. */
export type PlacementRequest = {
	readonly route: Route;
	readonly service: string;
	/** Name of the workspace; undefined on public routes. */
	readonly workspace: string | undefined;
	/** Endpoints that the request was sent to already. */
	readonly triedEndpoints: ReadonlySet<string>;
	/** Whether endpoints may be chosen that need a permit. */
	readonly from: 'any' | 'unlimited';
	readonly priority: PriorityInput;
	/** Whether it adds a stream to the load of the service. */
	readonly isNewStream: boolean;
	/** What was counted of the request at earlier placements: it asks again when a permit is denied or while it waits for a place. */
	readonly counted: {hasAsked: boolean; hasRun: boolean};
	/** Whether it is made beside an attempt at an endpoint that is silent. */
	readonly isBesideSilent: boolean;
};

export type Placement
	= | {readonly kind: 'chosen'; readonly endpoint: EndpointRecord}
		| {readonly kind: 'none'; readonly reason: RefusalReason; readonly detail: string};

/** Chooses an endpoint for an attempt; a new stream is refused if the service has no room for its class or workspace. */
export function placeRequest(context: PlacementContext, request: PlacementRequest): Placement {
	const {gate, health, limitGuard, random, silence} = context;
	const {service, triedEndpoints, from, isNewStream, isBesideSilent} = request;
	const now = context.now().monotonicMs;
	const endpoints = context.directory.endpointsOf(service, now);
	const untried = endpoints.filter(({id}) => !triedEndpoints.has(id));
	if (untried.length === 0) {
		return {kind: 'none', reason: endpoints.length === 0 ? 'no-endpoint' : 'unreachable', detail: ''};
	}

	const {open: usable, refusal} = gate.partition(untried);
	const open = usable.filter(({id}) => from === 'any' || !limitGuard.isLimited(id));
	if (open.length === 0) {
		return {kind: 'none', ...refusal};
	}

	const isLateRequest = isNewStream && isLate(request.priority);
	const admission = isNewStream ? context.admissionOf(service) : undefined;
	// Only new streams are limited; plain requests do without the load of the service, which takes a pass over all its endpoints.
	const load = isNewStream ? loadOfService(context, service) : undefined;
	const limit = load && limitOf(context, request, load, admission);
	const overload = load && limit && findOverload(context, request, {
		admission, limit, load: {...load.total, inFlight: limit.inFlight}, isLateRequest,
	});
	if (overload !== undefined) {
		return {kind: 'none', ...overload};
	}

	const {active, silent} = silence.endpointsOf(service);
	const isAvoided = (id: string) => !isBesideSilent || active.size === 0 ? silent.has(id) : !active.has(id);
	const paces = context.paceOf(service);
	const candidates = open.map(endpoint => {
		const inFlight = context.load.inFlight(endpoint.id, now);
		const pace = paces?.estimateOf({...endpoint, inFlight}, now);
		return {
			...endpoint,
			pace,
			isInBackoff: endpoint.isInBackoff || isAvoided(endpoint.id),
			isInFullZone: limit?.fullZones.has(endpoint.zone) === true,
			maxInFlight: isNewStream ? Math.min(maxInFlightAt(endpoint, isLateRequest, admission), pace?.limit ?? Infinity) : Infinity,
			inFlight,
			isCold: limitGuard.isCold(endpoint.id),
			failureRatio: health.failureRatio(endpoint.id),
		};
	});
	const endpoint = chooseEndpoint(candidates, random)!;
	if (endpoint.inFlight >= endpoint.maxInFlight) {
		return {kind: 'none', reason: 'overload', detail: 'all endpoints are full'};
	}

	if (admission !== undefined && !request.counted.hasRun) {
		admission.recordRun(admissionRequestOf(request, isLateRequest), now);
		request.counted.hasRun = true;
	}

	return {kind: 'chosen', endpoint};
}

/** Limit for the streams of a route without a target. */
const UNLIMITED: Omit<ServiceLimit, 'inFlight'> = {
	maxInFlight: Infinity, cautiousMax: Infinity, gapMs: undefined, isSuspended: false, fullZones: new Set(),
};

/** The limit that keeps the gaps of a route's streams within its target. */
function limitOf({capacityOf, now}: PlacementContext, {route: {kind}, service}: PlacementRequest, load: ZonedLoad, admission: ServiceAdmission | undefined): ServiceLimit {
	const targetGapMs = kind.kind === 'stream' ? kind.targetGapMs : undefined;
	const maxPerSlot = admission === undefined ? MAX_REQUESTS_PER_SLOT : MAX_SHARED_REQUESTS_PER_SLOT;
	return targetGapMs === undefined ? {...UNLIMITED, inFlight: load.total.inFlight} : capacityOf(service).limitFor(targetGapMs, load, now().monotonicMs, maxPerSlot);
}

/** Number of requests in flight at which an endpoint gets no new stream. A late one uses any free slot of a service that divides its capacity: its class has been admitted. */
function maxInFlightAt({slots}: EndpointRecord, isLateRequest: boolean, admission: ServiceAdmission | undefined): number {
	return isLateRequest && admission !== undefined ? slots : maxInFlightFor(slots, isLateRequest);
}

type Overload = {readonly reason: RefusalReason; readonly detail: string};

type OverloadInput = {
	readonly admission: ServiceAdmission | undefined;
	readonly limit: ServiceLimit;
	/** Slots, and the requests in flight that count against the limit. */
	readonly load: ServiceLoad;
	readonly isLateRequest: boolean;
};

/** Why a service has no room for another stream; undefined if it has. */
function findOverload(context: PlacementContext, request: PlacementRequest, {admission, limit: capacity, load, isLateRequest}: OverloadInput): Overload | undefined {
	if (admission !== undefined) {
		const now = context.now().monotonicMs;
		const decision = admission.decide(admissionRequestOf(request, isLateRequest), {...load, capacity, entries: context.load.entryCount(now)}, now);
		request.counted.hasAsked = true;
		return overloadOf(decision, load, capacity);
	}

	const limit = capacity.maxInFlight * (isLateRequest ? LATE_LIMIT_SHARE : 1);
	return load.inFlight < limit ? undefined : {reason: 'overload', detail: describeOverload(load.inFlight, limit, capacity)};
}

function overloadOf(decision: StreamAdmission, {inFlight}: ServiceLoad, capacity: StreamLimit): Overload | undefined {
	if (decision.kind === 'run') {
		return undefined;
	}

	const {cause, canWait, limit} = decision;
	const reason = cause === 'share' ? 'overload-share' : (canWait ? 'overload-can-wait' : 'overload');
	return {reason, detail: `${cause}: ${describeOverload(inFlight, limit, capacity)}`};
}

function describeOverload(inFlight: number, limit: number, {gapMs}: StreamLimit): string {
	return `${Math.round(inFlight)} in flight of ${Math.floor(limit)}, gaps of ${Math.round(gapMs ?? 0)} ms`;
}

function admissionRequestOf({priority, workspace, counted}: PlacementRequest, isLateRequest: boolean): StreamAdmissionRequest {
	return {
		priority: priority.priority, isLate: isLateRequest, workspace, isCounted: counted.hasAsked,
	};
}

const NO_LOAD: ServiceLoad = {inFlight: 0, slots: 0};

/** Load of the endpoints that the registry lists for a service, without those of evacuated zones: neither their slots nor what still ends there count. */
export function loadOfService({directory, gate, load, now: readNow}: Pick<PlacementContext, 'directory' | 'gate' | 'load' | 'now'>, service: string): ZonedLoad {
	const now = readNow().monotonicMs;
	const zones = new Map<string, ServiceLoad>();
	let total = NO_LOAD;
	for (const {id, zone, slots} of directory.endpointsOf(service, now).filter(endpoint => !gate.isEvacuated(endpoint))) {
		const own: ServiceLoad = {inFlight: load.inFlight(id, now), slots};
		zones.set(zone, sumOf(zones.get(zone) ?? NO_LOAD, own));
		total = sumOf(total, own);
	}

	return {total, zones};
}

function sumOf(a: ServiceLoad, b: ServiceLoad): ServiceLoad {
	return {inFlight: a.inFlight + b.inFlight, slots: a.slots + b.slots};
}
