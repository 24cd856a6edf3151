/** A point in time on two clocks, so that an age survives a suspended machine and a stepped time of day. */

/** Readings of both clocks at one moment, in ms. */
export type Instant = {
	/** Monotonic clock; it stands still while the machine is suspended. */
	readonly monotonicMs: number;
	/** Time of day; it goes on during a suspension but may be stepped either way. */
	readonly wallMs: number;
};

/** Time from `from` to `to` in ms: the larger of both clocks, so a disturbance can only make an age look older. */
export function elapsedMs(from: Instant, to: Instant): number {
	return Math.max(to.monotonicMs - from.monotonicMs, to.wallMs - from.wallMs);
}

/** Reads both clocks. */
export function readInstant(): Instant {
	return {monotonicMs: performance.now(), wallMs: Date.now()};
}
