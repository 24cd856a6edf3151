/** Adaptive concurrency limit of an endpoint, controlled by the step times of its engine (AIMD). */

/** Target for the 95th percentile of the time between tokens (design page, section 1.5). */
export const STEP_TARGET_MS = 67;
/** Weight of a sample in the moving average of the step time; a single step with a long prompt says little about the batch. */
const EWMA_WEIGHT = 0.2;
/** Lower bound of the factor by which the limit decreases at once when steps exceed the target. */
const MIN_DECREASE_FACTOR = 0.7;
/** Requests by which the limit increases; it increases only while it is in use. */
const INCREASE_STEP = 1;
/** Minimum interval between changes of the limit, so that a change takes effect before the next one. */
const ADJUST_INTERVAL_MS = 1000;

/** State of a concurrency limit; immutable. */
export type ConcurrencyLimit = {
	/** Maximum number of concurrent requests, rounded down when applied. */
	readonly limit: number;
	readonly min: number;
	readonly max: number;
	/** Target step time, milliseconds. */
	readonly targetMs: number;
	/** Moving average of the step time, milliseconds; undefined before the first sample. */
	readonly stepMs: number | undefined;
	readonly changedAt: number;
};

/** Step time and batch size reported by the engine. */
export type StepSample = {
	/** Duration of a step, milliseconds. */
	readonly stepMs: number;
	/** Requests in the batch. */
	readonly running: number;
};

/** Creates a limit that starts at `initial` and stays between `min` and `max`. */
export function createConcurrencyLimit(initial: number, min: number, max: number, targetMs = STEP_TARGET_MS): ConcurrencyLimit {
	return {
		limit: Math.min(max, Math.max(min, initial)), min, max, targetMs, stepMs: undefined, changedAt: Number.NEGATIVE_INFINITY,
	};
}

/** Increases the limit additively while steps are short and the limit is in use; decreases it in proportion when steps are too long. */
export function adjustConcurrencyLimit(current: ConcurrencyLimit, sample: StepSample, now: number): ConcurrencyLimit {
	if (sample.running === 0) {
		return current;
	}

	const {limit, min, max, targetMs} = current;
	const previousStepMs = current.stepMs ?? sample.stepMs;
	const stepMs = previousStepMs + (EWMA_WEIGHT * (sample.stepMs - previousStepMs));
	if (now - current.changedAt < ADJUST_INTERVAL_MS) {
		return {...current, stepMs};
	}

	if (stepMs > targetMs) {
		const decreaseFactor = Math.max(MIN_DECREASE_FACTOR, targetMs / stepMs);
		return {
			...current, stepMs, limit: Math.max(min, Math.min(limit, sample.running) * decreaseFactor), changedAt: now,
		};
	}

	return sample.running >= Math.floor(limit)
		? {
			...current, stepMs, limit: Math.min(max, limit + INCREASE_STEP), changedAt: now,
		}
		: {...current, stepMs};
}
