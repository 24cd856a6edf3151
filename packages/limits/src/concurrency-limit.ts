/** How many requests an endpoint runs at once, from the step times it observes. */

/** Time between tokens at the 95th percentile (design page, section 1.5). */
export const STEP_TARGET_MS = 67;
/** Weight of one sample in the smoothed step time; single steps with a long prompt say little about the batch. */
const SAMPLE_WEIGHT = 0.2;
/** Steps above the target shrink the batch by at most this factor each time. */
const MAX_SHRINK = 0.7;
/** A batch grows only while it is used, one request at a time. */
const GROWTH = 1;
/** Steps are judged once in this time, so that a change shows its effect before the next one. */
const INTERVAL_MS = 1000;

/** Concurrency limit of an endpoint; an immutable value. */
export type ConcurrencyLimit = {
	/** Requests to run at once; the whole part counts. */
	readonly limit: number;
	readonly min: number;
	readonly max: number;
	/** Longest step to aim for, milliseconds. */
	readonly targetMs: number;
	/** Smoothed step time; undefined before the first sample. */
	readonly stepMs: number | undefined;
	readonly changedAt: number;
};

/** What the engine reports. */
export type StepSample = {
	/** Duration of a step, milliseconds. */
	readonly stepMs: number;
	/** Requests in the batch. */
	readonly running: number;
};

/** A capacity that starts at `initial` and stays within the bounds. */
export function createConcurrencyLimit(initial: number, min: number, max: number, targetMs = STEP_TARGET_MS): ConcurrencyLimit {
	return {
		limit: Math.min(max, Math.max(min, initial)), min, max, targetMs, stepMs: undefined, changedAt: Number.NEGATIVE_INFINITY,
	};
}

/** Additive growth while steps are short and the limit is in use; shrinks in proportion when steps are too long. */
export function adjustConcurrencyLimit(capacity: ConcurrencyLimit, sample: StepSample, now: number): ConcurrencyLimit {
	if (sample.running === 0) {
		return capacity;
	}

	const {limit, min, max, targetMs} = capacity;
	const prev = capacity.stepMs ?? sample.stepMs;
	const stepMs = prev + (SAMPLE_WEIGHT * (sample.stepMs - prev));
	if (now - capacity.changedAt < INTERVAL_MS) {
		return {...capacity, stepMs};
	}

	if (stepMs > targetMs) {
		const shrink = Math.max(MAX_SHRINK, targetMs / stepMs);
		return {
			...capacity, stepMs, limit: Math.max(min, Math.min(limit, sample.running) * shrink), changedAt: now,
		};
	}

	return sample.running >= Math.floor(limit)
		? {
			...capacity, stepMs, limit: Math.min(max, limit + GROWTH), changedAt: now,
		}
		: {...capacity, stepMs};
}
