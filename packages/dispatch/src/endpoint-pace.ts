/**
 * Learns how fast the endpoints of a service answer and how many requests each handles well. Times are relative to the median
 * of the service, so that a change that meets all endpoints alike, as in a group that runs in lockstep, limits none of them.
 * The limit of an endpoint grows by one while its times stay near their floor and shrinks by a factor when they rise above it.
 * Only complete answers and the gaps of streams count, so an endpoint that fails quickly does not seem fast.
 */

/** What was learned of an endpoint. */
export type EndpointPaceEstimate = {
	/** Time of an answer or between events relative to the median of the service; 1 if nothing is known. */
	readonly relativeTime: number;
	/** Number of requests in flight that it handles well. */
	readonly limit: number;
};

/** A time that an endpoint took. */
export type PaceSample = {
	readonly endpoint: string;
	/** What the time is compared with: times of other kinds have other medians. */
	readonly kind: string;
	readonly ms: number;
	readonly slots: number;
	/** Requests in flight at the endpoint from all entries. */
	readonly inFlight: number;
};

/** Length of a window whose median counts once, in ms: a change is followed within a few windows. */
const WINDOW_MS = 400;

/** Number of samples without which a window stays open. */
const MIN_SAMPLES = 5;

/** Length of a window with fewer samples, in ms. It tells the speed of an endpoint, with less weight, but not its limit. */
const MAX_WINDOW_MS = 2000;

/** Samples kept of a window; more do not change its median much. */
const MAX_SAMPLES = 64;

/** Number of samples with which a window has the same weight as the windows before it, unless those are old. */
const EQUAL_WEIGHT_SAMPLES = 6;

/** Largest weight of a window: one window may hold the gaps of only one stream. */
const MAX_WEIGHT = 0.6;

/** Bounds of a relative time: beyond them, a difference does not change the choice. */
const MIN_RELATIVE_TIME = 0.1;
const MAX_RELATIVE_TIME = 10;

/** Time constant with which an estimate without further samples returns to the median, in ms, so that an endpoint that is no longer chosen is tried again within seconds. */
const FORGET_MS = 3000;

/** Multiple of the floor up to which times count as near it; steps and prompts vary, and so do the medians of small windows. */
const NEAR_FLOOR = 1.5;

/** Weight of a window below the floor. The lowest of many windows would be far below what the endpoint usually takes, and every usual window would seem slow. */
const FLOOR_WEIGHT = 0.1;

/** Weight of a window with a single request in flight. */
const PROBE_WEIGHT = 0.5;

/** Smallest factor of one reduction: a stall of one window is no reason to give up more. */
const MIN_REDUCTION = 0.5;

/** Number of windows in a row above the floor that reduce the limit: a stall or a shift of the median passes within one. */
const RISEN_WINDOWS = 2;

/** Rate at which the floor rises, per second: an endpoint that became slower for good gets a new floor within half a minute even if it is never idle. */
const FLOOR_RISE_PER_S = 0.05;

/** Share of the limit that has to be used for it to grow: an unused limit proves nothing. */
const USED_SHARE = 0.5;

/** Rate at which a limit below the slots returns to them, per second, once it is older than FORGET_MS. */
const LIMIT_RISE_PER_S = 1;

/** An endpoint takes at least one request, which tells whether it has recovered. */
const MIN_LIMIT = 1;

/** Largest limit, per slot. */
const MAX_LIMIT_PER_SLOT = 2;

/** Step of the running median of a kind, relative to it. */
const MEDIAN_STEP = 0.02;

/** Maximum number of kinds; a service has a few routes. */
const MAX_KINDS = 64;

/** Maximum number of endpoints; an endpoint without samples for FORGOTTEN_MS is removed before. */
const MAX_ENDPOINTS = 4096;

/** Time after which nothing is known of an endpoint without samples, in ms. */
const FORGOTTEN_MS = 30_000;

/** Samples since the last update, and the most requests that were in flight meanwhile. */
type Window = {maxInFlight: number; readonly samples: number[]};

type EndpointState = {
	logTime: number;
	limit: number;
	/** When the limit was last updated. */
	limitedAt: number;
	/** Relative time that its faster windows had, which rises slowly; undefined before the first window with enough samples. */
	floor: number | undefined;
	/** Number of windows in a row whose times were above the floor. */
	risenWindows: number;
	updatedAt: number;
	window: Window;
};

export class EndpointPace {
	/**
	 * Creates an estimate without samples, which treats all endpoints alike.
	 *
	 * @param onLimit - Called when the limit of an endpoint falls below its slots, and when it is back there.
	 */
	static create(onLimit: (endpoint: string, limit: number, isBelowSlots: boolean) => void = () => undefined): EndpointPace {
		return new EndpointPace(onLimit);
	}

	readonly #endpoints = new Map<string, EndpointState>();
	readonly #medians = new Map<string, number>();
	readonly #onLimit: (endpoint: string, limit: number, isBelowSlots: boolean) => void;

	private constructor(onLimit: (endpoint: string, limit: number, isBelowSlots: boolean) => void) {
		this.#onLimit = onLimit;
	}

	/**
	 * Records the time of a complete answer, or between two events of a stream.
	 *
	 * @param now - Monotonic ms.
	 */
	record(sample: PaceSample, now: number): void {
		const relative = this.#relativeTime(sample);
		if (relative === undefined) {
			return;
		}

		const state = this.#stateOf(sample, now);
		if (state === undefined) {
			return;
		}

		const {window} = state;
		window.maxInFlight = Math.max(window.maxInFlight, sample.inFlight);
		if (window.samples.length < MAX_SAMPLES) {
			window.samples.push(relative);
		}

		const age = now - state.updatedAt;
		if (age >= MAX_WINDOW_MS || (age >= WINDOW_MS && window.samples.length >= MIN_SAMPLES)) {
			this.#closeWindow(sample, state, now);
		}
	}

	/**
	 * What is known of an endpoint at `now` (monotonic ms). A slow endpoint is forgotten only while it has no request in flight:
	 * otherwise some entry tries it already, and the others would do so at the same time. Its limit returns to the slots in any case.
	 *
	 * @param inFlight - Requests in flight at the endpoint from all entries.
	 */
	estimateOf({id, slots, inFlight}: {readonly id: string; readonly slots: number; readonly inFlight: number}, now: number): EndpointPaceEstimate {
		const state = this.#endpoints.get(id);
		const largest = slots * MAX_LIMIT_PER_SLOT;
		if (state === undefined) {
			return {relativeTime: 1, limit: largest};
		}

		const isTried = inFlight > 0 && state.logTime > 0;
		const known = isTried ? state.logTime : state.logTime * Math.exp(-Math.max(0, now - state.updatedAt) / FORGET_MS);
		return {relativeTime: Math.exp(known), limit: Math.min(largest, Math.floor(recoveredLimit(state, slots, now)))};
	}

	/** Forgets an endpoint that has restarted. */
	forget(endpoint: string): void {
		this.#endpoints.delete(endpoint);
	}

	/** The time of a sample relative to the running median of its kind; undefined if it cannot be compared. */
	#relativeTime({kind, ms}: PaceSample): number | undefined {
		const median = this.#medians.get(kind);
		if (!Number.isFinite(ms) || ms <= 0 || (median === undefined && this.#medians.size >= MAX_KINDS)) {
			return undefined;
		}

		this.#medians.set(kind, median === undefined ? ms : median * (ms > median ? 1 + MEDIAN_STEP : 1 / (1 + MEDIAN_STEP)));
		return Math.min(MAX_RELATIVE_TIME, Math.max(MIN_RELATIVE_TIME, ms / (median ?? ms)));
	}

	#stateOf({endpoint, slots}: PaceSample, now: number): EndpointState | undefined {
		const known = this.#endpoints.get(endpoint);
		if (known !== undefined) {
			return known;
		}

		if (this.#endpoints.size >= MAX_ENDPOINTS) {
			this.#removeForgotten(now);
		}

		if (this.#endpoints.size >= MAX_ENDPOINTS) {
			return undefined;
		}

		const state: EndpointState = {
			logTime: 0, limit: slots * MAX_LIMIT_PER_SLOT, limitedAt: now, floor: undefined, risenWindows: 0, updatedAt: now, window: {maxInFlight: 0, samples: []},
		};
		this.#endpoints.set(endpoint, state);
		return state;
	}

	#removeForgotten(now: number): void {
		for (const [endpoint, {updatedAt}] of this.#endpoints) {
			if (now - updatedAt > FORGOTTEN_MS) {
				this.#endpoints.delete(endpoint);
			}
		}
	}

	#closeWindow({endpoint, slots}: PaceSample, state: EndpointState, now: number): void {
		const {samples, maxInFlight: inFlight} = state.window;
		const elapsedMs = now - state.updatedAt;
		state.window = {maxInFlight: 0, samples: []};
		const time = medianOf(samples);
		const weight = Math.min(MAX_WEIGHT, samples.length / (samples.length + (EQUAL_WEIGHT_SAMPLES * Math.exp(-elapsedMs / FORGET_MS))));
		state.logTime += weight * (Math.log(time) - state.logTime);
		state.updatedAt = now;
		if (samples.length >= MIN_SAMPLES) {
			const wasBelow = state.limit < slots;
			state.limit = recoveredLimit(state, slots, now);
			state.limitedAt = now;
			updateLimit(state, {
				time, smoothed: Math.exp(state.logTime), inFlight, slots, elapsedMs,
			});
			const isBelow = state.limit < slots;
			if (isBelow !== wasBelow) {
				this.#onLimit(endpoint, Math.floor(state.limit), isBelow);
			}
		}
	}
}

/** The limit of an endpoint at `now`: one below the slots returns to them while nothing confirms it. */
function recoveredLimit({limit, limitedAt}: EndpointState, slots: number, now: number): number {
	const riseMs = Math.max(0, now - limitedAt - FORGET_MS);
	return limit >= slots ? limit : Math.min(slots, limit + (riseMs * LIMIT_RISE_PER_S / 1000));
}

type ClosedWindow = {
	/** Median relative time. */
	readonly time: number;
	/** The same, averaged with the windows before. */
	readonly smoothed: number;
	readonly inFlight: number;
	readonly slots: number;
	/** Time since the window before, in ms. */
	readonly elapsedMs: number;
};

/** Follows the times of a window: with the limit, and with the floor that they are compared with. */
function updateLimit(state: EndpointState, {
	time, smoothed, inFlight, slots, elapsedMs,
}: ClosedWindow): void {
	// A slowdown after a quiet time would go unnoticed if the floor had risen all the while.
	const risen = (state.floor ?? time) * (1 + (FLOOR_RISE_PER_S * Math.min(elapsedMs, FORGET_MS) / 1000));
	// With a single request, no load makes it slow: its time is the floor, also if it is higher.
	const weight = inFlight <= MIN_LIMIT ? PROBE_WEIGHT : (time < risen ? FLOOR_WEIGHT : 0);
	state.floor = risen + (weight * (time - risen));
	const largest = slots * MAX_LIMIT_PER_SLOT;
	const gradient = state.floor * NEAR_FLOOR / smoothed;
	state.risenWindows = gradient < 1 ? state.risenWindows + 1 : 0;
	if (state.risenWindows >= RISEN_WINDOWS) {
		// A limit far above the requests in flight would take many reductions to matter.
		state.limit = Math.max(MIN_LIMIT, Math.min(state.limit, Math.max(MIN_LIMIT, inFlight)) * Math.max(MIN_REDUCTION, gradient));
	} else if (gradient >= 1 && inFlight >= state.limit * USED_SHARE) {
		state.limit = Math.min(largest, state.limit + 1);
	}
}

function medianOf(values: readonly number[]): number {
	return values.toSorted((a, b) => a - b)[Math.floor((values.length - 1) / 2)]!;
}
