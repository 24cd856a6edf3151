/** Admission control: refuses work early if it cannot meet its deadline. */

/** Estimated wait of a request. */
export type WaitEstimate = {
	/** Expected time to first byte, milliseconds, for example `expectedWaitMs` of a routing choice. */
	readonly waitMs: number;
	/** Ratio of actual to estimated waits, at least 1; 1 if unknown. */
	readonly errorFactor: number;
};

/** Outcome of admission. A refused request has not been sent. */
export type Admission
	= | {readonly kind: 'admitted'; readonly slackMs: number}
		| {readonly kind: 'refused'; readonly reason: 'deadline' | 'overloaded'; readonly outcome: 'not-run'; readonly retryAfterMs: number};

/**
 * Decides whether a request can meet its deadline.
 *
 * @param deadline - Time when the first byte is due, milliseconds on the clock of `now`.
 * @returns A refusal with reason `deadline` if the deadline has already passed, `overloaded` if the wait is too long.
 */
export function admit(estimate: WaitEstimate, deadline: number, now: number): Admission {
	const slackMs = deadline - now - (estimate.waitMs * Math.max(1, estimate.errorFactor));
	if (slackMs >= 0 && deadline > now) {
		return {kind: 'admitted', slackMs};
	}

	return {
		kind: 'refused',
		reason: deadline > now ? 'overloaded' : 'deadline',
		outcome: 'not-run',
		retryAfterMs: Math.ceil(Math.max(0, -slackMs)),
	};
}
