/** Early refusal of work that cannot meet its deadline. */

/** What is known about the time a request will take. */
export type WaitEstimate = {
	/** Expected time until the first byte, milliseconds; `expectedWaitMs` of a routing choice or of a queue. */
	readonly waitMs: number;
	/** How far estimates have been below the outcome, as a factor of at least 1; 1 if unknown. */
	readonly errorFactor: number;
};

/** Outcome of admission. A refusal happens before anything is sent. */
export type Admission
	= | {readonly kind: 'admitted'; readonly slackMs: number}
		| {readonly kind: 'refused'; readonly reason: 'deadline' | 'overloaded'; readonly outcome: 'not-run'; readonly retryAfterMs: number};

/**
 * Decides whether a request can meet its deadline.
 *
 * @param deadline - When the first byte is due.
 * @returns `deadline` when the deadline has passed already, `overloaded` when the wait is too long.
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
