/** Points in time on two clocks, so that ages remain correct when a machine is suspended or its wall clock is stepped. */

/** Readings of both clocks at one moment, in ms. */
export type Instant = {
	/** Monotonic clock; it stops while the machine is suspended. */
	readonly monotonicMs: number;
	/** Wall clock; it continues during a suspension but may be stepped in either direction. */
	readonly wallMs: number;
};

/** Time from `from` to `to` in ms: the larger of both clocks, so that a disturbance can only make an age look older. */
export function elapsedMs(from: Instant, to: Instant): number {
	return Math.max(to.monotonicMs - from.monotonicMs, to.wallMs - from.wallMs);
}

/** Reads both clocks. */
export function readInstant(): Instant {
	return {monotonicMs: performance.now(), wallMs: Date.now()};
}
