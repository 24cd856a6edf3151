/**
 * Capacity of a service for streams. Endpoints of one zone may form a group of their own, whose steps are slow while those of the
 * other groups are not. Where the steps of zones differ, each zone has a limit of its own: a slow group must neither fill the others
 * nor close them. Where they do not, the service has one limit.
 */
import {MAX_REQUESTS_PER_SLOT} from './request-priority.js';
import {StreamCapacity, type ServiceLoad, type StreamLimit} from './stream-capacity.js';
import {ZoneSteps} from './zone-steps.js';

/** Slots of a service and requests in flight at them, in total and by zone. */
export type ZonedLoad = {
	readonly total: ServiceLoad;
	readonly zones: ReadonlyMap<string, ServiceLoad>;
};

/** What a service takes now. */
export type ServiceLimit = StreamLimit & {
	/** Gap of the slower steps, in ms: of the slowest zone where zones differ, then 0 if none has seen enough gaps; else of the service. */
	readonly gapMs: number | undefined;
	/** Zones at their limit and, while another zone is below its own, those whose limit is suspended: their endpoints get a stream only if no other zone has room. Empty while one limit holds for the service. */
	readonly fullZones: ReadonlySet<string>;
	/** Requests in flight that count against `maxInFlight`. What a zone has above its limit takes no room of the other zones. */
	readonly inFlight: number;
};

export type ServiceCapacityOptions = {
	/** Called when the limit of the service, or of a zone, is suspended because it does not help; with the gap of the slower steps, in ms. */
	readonly onSuspend: (gapMs: number, zone: string | undefined) => void;
	/** Whether zones may have limits of their own; otherwise one limit holds for the service. */
	readonly limitsZones: () => boolean;
};

/** Maximum number of zones with a limit of their own. */
const MAX_ZONES = 64;

/** Time after which nothing is known of a zone without gaps, in ms: longer than a limit stays suspended. */
const FORGOTTEN_MS = 30_000;

/** Capacity of a zone of which nothing is known. */
const UNKNOWN_ZONE = StreamCapacity.create();

/** Capacity of a zone, and when a gap was last recorded for it. */
type ZoneState = {readonly capacity: StreamCapacity; recordedAt: number};

const noZones: ReadonlySet<string> = new Set();

export class ServiceCapacity {
	static create(options: ServiceCapacityOptions): ServiceCapacity {
		return new ServiceCapacity(options);
	}

	readonly #service: StreamCapacity;
	readonly #zones = new Map<string, ZoneState>();
	readonly #steps = ZoneSteps.create();
	readonly #options: ServiceCapacityOptions;

	private constructor(options: ServiceCapacityOptions) {
		this.#options = options;
		this.#service = StreamCapacity.create(gapMs => {
			options.onSuspend(gapMs, undefined);
		});
	}

	/**
	 * Records the time between two events of a stream at an endpoint of a zone.
	 *
	 * @param readLoad - Reads the load of the service.
	 * @param now - Monotonic ms.
	 */
	record(gapMs: number, zone: string, readLoad: () => ZonedLoad, now: number): void {
		this.#service.record(gapMs, () => readLoad().total, now);
		if (!this.#options.limitsZones()) {
			return;
		}

		this.#steps.record(zone, gapMs, now);
		this.#capacityOf(zone, now)?.record(gapMs, () => readLoad().zones.get(zone) ?? {inFlight: 0, slots: 0}, now);
	}

	/**
	 * The limit for the streams of a route at `now` (monotonic ms).
	 *
	 * @param targetGapMs - The route's target for the longest gap between two events.
	 * @param maxPerSlot - Requests per slot that limit each zone where zones differ, however short its gaps are.
	 */
	limitFor(targetGapMs: number, load: ZonedLoad, now: number, maxPerSlot = MAX_REQUESTS_PER_SLOT): ServiceLimit {
		if (!this.#options.limitsZones() || !this.#steps.areDifferent(now)) {
			return {...this.#service.limitFor(targetGapMs, now), fullZones: noZones, inFlight: load.total.inFlight};
		}

		const zones = [...load.zones].map(([zone, {inFlight, slots}]) => ({
			zone, inFlight, slots, ...(this.#zones.get(zone)?.capacity ?? UNKNOWN_ZONE).limitFor(targetGapMs, now),
		}));
		// A zone whose limit is suspended is late whatever it gets: it takes what the others cannot, up to its slots.
		const limits = zones.map(zone => {
			const largest = zone.slots * (zone.isSuspended ? 1 : maxPerSlot);
			return zone.isSuspended
				? {...zone, maxInFlight: largest, cautiousMax: largest}
				: {...zone, maxInFlight: Math.min(zone.maxInFlight, largest), cautiousMax: Math.min(zone.cautiousMax, largest)};
		});
		const isOpen = ({isSuspended, inFlight, maxInFlight}: (typeof limits)[number]) => !isSuspended && inFlight < maxInFlight;
		// Without an open zone, a suspended one with room goes before those at their limit, whose excess counts nowhere.
		const isAnyOpen = limits.some(zone => isOpen(zone));
		return {
			maxInFlight: limits.reduce((sum, {maxInFlight}) => sum + maxInFlight, 0),
			cautiousMax: limits.reduce((sum, {cautiousMax}) => sum + cautiousMax, 0),
			inFlight: limits.reduce((sum, {inFlight, maxInFlight}) => sum + Math.min(inFlight, maxInFlight), 0),
			gapMs: Math.max(...zones.map(({gapMs}) => gapMs ?? 0)),
			isSuspended: zones.every(({isSuspended}) => isSuspended),
			fullZones: new Set(limits.filter(zone => isAnyOpen ? !isOpen(zone) : zone.inFlight >= zone.maxInFlight).map(({zone}) => zone)),
		};
	}

	/** The capacity of a zone that a gap is recorded for; undefined if there are too many zones. */
	#capacityOf(zone: string, now: number): StreamCapacity | undefined {
		const known = this.#zones.get(zone);
		if (known !== undefined) {
			known.recordedAt = now;
			return known.capacity;
		}

		for (const [other, {recordedAt}] of this.#zones) {
			if (now - recordedAt > FORGOTTEN_MS) {
				this.#zones.delete(other);
			}
		}

		if (this.#zones.size >= MAX_ZONES) {
			return undefined;
		}

		const capacity = StreamCapacity.create(gapMs => {
			this.#options.onSuspend(gapMs, zone);
		});
		this.#zones.set(zone, {capacity, recordedAt: now});
		return capacity;
	}
}
