/** The bound on retries over all entries, counted from what callers sent and endpoints received. */

export type RetryRule = {readonly fraction: number; readonly windowMs: number; readonly slack: number};

/** Times in ms, in any order. */
export type Traffic = {readonly requests: readonly number[]; /** Arrivals at endpoints beyond the first of each request. */ readonly repeats: readonly number[]};

/** Largest number of repeats in a window beyond what is allowed in it, by the requests in it, in the one before or half a window before; negative if all windows keep the bound. */
export function worstExcess({requests, repeats}: Traffic, {fraction, windowMs, slack}: RetryRule): number {
	const countIn = (times: readonly number[], start: number) => times.filter(at => at >= start && at < start + windowMs).length;
	return Math.max(...repeats.map(start => {
		const allowed = Math.max(...[0, 0.5, 1].map(shift => countIn(requests, start - (shift * windowMs))));
		return countIn(repeats, start) - (fraction * allowed) - slack;
	}), Number.NEGATIVE_INFINITY);
}
