/** The bound on retries over all entries, counted from what callers sent and endpoints received. */

export type RetryRule = {readonly fraction: number; readonly windowMs: number; readonly slack: number};

/** Times in ms, in any order. */
export type Traffic = {readonly requests: readonly number[]; /** Arrivals at endpoints beyond the first of each request. */ readonly repeats: readonly number[]};

/** Largest number of repeats in a window beyond what is allowed in it, by the requests in it, in the one before or half a window before; negative if all windows keep the bound. */
export function worstExcess({requests, repeats}: Traffic, {fraction, windowMs, slack}: RetryRule): number {
	const [requestTimes, repeatTimes] = [Float64Array.from(requests).toSorted(), Float64Array.from(repeats).toSorted()];
	const countIn = (times: Float64Array, start: number) => countBefore(times, start + windowMs) - countBefore(times, start);
	let worst = Number.NEGATIVE_INFINITY;
	for (const start of new Set(repeatTimes)) {
		const allowed = Math.max(...[0, 0.5, 1].map(shift => countIn(requestTimes, start - (shift * windowMs))));
		worst = Math.max(worst, countIn(repeatTimes, start) - (fraction * allowed) - slack);
	}

	return worst;
}

/** Number of sorted times before `end`. */
function countBefore(times: Float64Array, end: number): number {
	let [low, high] = [0, times.length];
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		[low, high] = times[middle]! < end ? [middle + 1, high] : [low, middle];
	}

	return low;
}
