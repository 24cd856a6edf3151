/**
 * Limits the concurrent streams of a service so that the gaps between their events stay within the target of their route.
 * Endpoints process their batch in steps, and one step makes one event of each stream, so a step that exceeds the target
 * makes every stream of the batch late. Steps take longer the more requests run: beyond the limit, more streams at once
 * complete no more streams per second.
 */

/** A limit, and what it follows from. */
export type StreamLimit = {
	/** Number of requests in flight at the service at which no stream is added; Infinity if nothing suggests a limit. */
	readonly maxInFlight: number;
	/** Gap between events that the slower steps of the window had, in ms; undefined if too few were seen. */
	readonly gapMs: number | undefined;
	/** Whether nothing is limited because even the lowest limit leaves streams late. */
	readonly isSuspended: boolean;
	/**
	 * Number of requests in flight that would bring the gaps to their goal if they grew in proportion to the requests. It is too low far from
	 * the goal, since part of a step does not depend on the requests, and approaches the real number; Infinity if nothing tells.
	 */
	readonly cautiousMax: number;
};

/** Length of the window whose steps count, in ms: longer than a usual stream and than the time between two shifts of demand, each of which makes steps slow for a while. */
const WINDOW_MS = 3000;

/** Length of a part of the window, in ms: within it, the number of requests in flight changes little. */
const SLICE_MS = 250;

/** Quantile of the steps in the window that decides. The slowest ones are stalls of the group or of a connection, which have nothing to do with the number of requests. */
const QUANTILE = 0.9;

/** Share of the target that this quantile may reach: a stream with many events meets slower steps too. */
const TARGET_SHARE = 0.85;

/** Share of the target below which nothing is limited: far from the target, the limit is underestimated, since part of a step does not depend on the requests. */
const UNLIMITED_SHARE = 0.75;

/** Minimum number of gaps in the window for a limit. */
const MIN_GAPS = 50;

/** Lowest limit, as a share of the slots: with fewer requests, the part of a step that does not depend on them prevails. */
const MIN_LIMIT_SHARE = 0.5;

/** Share of the slots from which steps tell how their time grows with the requests; below the lowest limit, since requests in flight vary around a limit. */
const MIN_OBSERVED_SHARE = 0.4;

/** Multiple of the lowest limit up to which the requests in flight count as limited to it; they vary around a limit. */
const LIMITED_SHARE = 1.15;

/** Time for which nothing is limited after gaps exceeded the target at the lowest limit, in ms: something else slows the steps then, and refusals would not help. It passes within seconds. */
const SUSPENSION_MS = 5000;

/** Load of a service. */
export type ServiceLoad = {
	/** Requests in flight from all entries. */
	readonly inFlight: number;
	/** Number of requests that its endpoints run concurrently. */
	readonly slots: number;
};

/** Gaps between events in one part of the window, and the load at its start. */
type Slice = ServiceLoad & {readonly startedAt: number; readonly gaps: number[]};

export class StreamCapacity {
	/**
	 * Creates an estimate without observations, which limits nothing.
	 *
	 * @param onSuspend - Called with the gap of the slower steps, in ms, when the limit is suspended because it does not help.
	 */
	static create(onSuspend: (gapMs: number) => void = () => undefined): StreamCapacity {
		return new StreamCapacity(onSuspend);
	}

	#slices: readonly Slice[] = [];
	#estimate: Estimate = {gapMs: undefined, gapPerRequestMs: 0, lowestLimitGapMs: undefined};
	#suspendedUntil = Number.NEGATIVE_INFINITY;
	readonly #onSuspend: (gapMs: number) => void;

	private constructor(onSuspend: (gapMs: number) => void) {
		this.#onSuspend = onSuspend;
	}

	/**
	 * Records the time between two events of one stream.
	 *
	 * @param readLoad - Reads the load of the service.
	 * @param now - Monotonic ms.
	 */
	record(gapMs: number, readLoad: () => ServiceLoad, now: number): void {
		let current = this.#slices.at(-1);
		if (current === undefined || now - current.startedAt >= SLICE_MS) {
			current = {...readLoad(), startedAt: now, gaps: []};
			this.#slices = [...this.#slices.filter(({startedAt}) => now - startedAt < WINDOW_MS), current];
			this.#estimate = estimateFrom(this.#slices);
		}

		current.gaps.push(gapMs);
	}

	/**
	 * The limit for the streams of a route at `now` (monotonic ms). Suspends it if even the lowest limit did not bring the gaps within the target.
	 *
	 * @param targetGapMs - The route's target for the longest gap between two events.
	 */
	limitFor(targetGapMs: number, now: number): StreamLimit {
		const {gapMs, gapPerRequestMs, lowestLimitGapMs} = this.#estimate;
		const newest = this.#slices.at(-1);
		if (gapMs === undefined || newest === undefined || now - newest.startedAt > WINDOW_MS) {
			return {
				maxInFlight: Infinity, gapMs, cautiousMax: Infinity, isSuspended: false,
			};
		}

		const goalMs = targetGapMs * TARGET_SHARE;
		const lowest = newest.slots * MIN_LIMIT_SHARE;
		const limit = goalMs / gapPerRequestMs;
		if (gapMs < targetGapMs * UNLIMITED_SHARE) {
			return {
				maxInFlight: Infinity, gapMs, cautiousMax: Math.max(lowest, limit), isSuspended: false,
			};
		}

		// The gaps were seen with up to this multiple of the lowest limit. Below the target, most streams are on time with it.
		if (limit < lowest && lowestLimitGapMs !== undefined && lowestLimitGapMs > targetGapMs * LIMITED_SHARE) {
			if (now >= this.#suspendedUntil) {
				this.#onSuspend(gapMs);
			}

			this.#suspendedUntil = now + SUSPENSION_MS;
		}

		const isSuspended = now < this.#suspendedUntil;
		const maxInFlight = isSuspended ? Infinity : Math.max(lowest, limit);
		return {
			maxInFlight, gapMs, cautiousMax: maxInFlight, isSuspended,
		};
	}
}

/** What the slower steps of a window took: in total, per request in flight, and while about as many requests ran as with the lowest limit. */
type Estimate = {readonly gapMs: number | undefined; readonly gapPerRequestMs: number; readonly lowestLimitGapMs: number | undefined};

function estimateFrom(allSlices: readonly Slice[]): Estimate {
	const slices = allSlices.filter(({inFlight, slots}) => inFlight > 0 && inFlight >= slots * MIN_OBSERVED_SHARE);
	const gaps = slices.flatMap(slice => slice.gaps);
	const limitedGaps = slices.filter(({inFlight, slots}) => inFlight <= slots * MIN_LIMIT_SHARE * LIMITED_SHARE).flatMap(slice => slice.gaps);
	return {
		gapMs: gaps.length < MIN_GAPS ? undefined : quantileOf(gaps),
		gapPerRequestMs: gaps.length < MIN_GAPS ? 0 : quantileOf(slices.flatMap(({gaps, inFlight}) => gaps.map(gapMs => gapMs / inFlight))),
		lowestLimitGapMs: limitedGaps.length < MIN_GAPS ? undefined : quantileOf(limitedGaps),
	};
}

function quantileOf(values: readonly number[]): number {
	return values.toSorted((a, b) => a - b)[Math.floor((values.length - 1) * QUANTILE)]!;
}
