/** Types of the distributed rate limits. Rates are in tokens per second, times in milliseconds. */

/** Rate limit and scheduling parameters of a workspace. */
export type WorkspaceLimit = {
	/** Limit for all entries together, tokens per second. */
	readonly tokensPerSecond: number;
	/** Share in the fair queue relative to other workspaces of the same priority; greater than 0. */
	readonly weight: number;
	/** Requests with a higher priority run first. */
	readonly priority: number;
};

/** Demand report of an entry to the owner of a workspace, sent once a second while the workspace is in use. */
export type Demand = {
	readonly workspace: string;
	readonly entryId: string;
	/** Increases with each report of this entry, also across restarts. */
	readonly sequence: number;
	/** Rate requested by its callers, refused requests included. */
	readonly tokensPerSecond: number;
	/** Rate in use and the sequence of the demand that the grant responded to; `heldSequence` is 0 without a grant. */
	readonly heldTokensPerSecond: number;
	readonly heldSequence: number;
};

/** Response of the owner to a demand report. */
export type Grant = {
	readonly workspace: string;
	/** Sequence of the demand that it responds to. */
	readonly sequence: number;
	readonly tokensPerSecond: number;
};

/** A grant applies in full for this time after the demand that it responds to was sent. */
export const GRANT_FULL_MS = 3000;
/** After `GRANT_FULL_MS` the rate decreases linearly and reaches the fallback rate `limit / known entries` at this time. */
export const GRANT_DECAY_END_MS = 5000;
/**
 * A rate below the fallback rate rises to it only after this time without a response. The owner reserves the fallback
 * rate of a silent entry from `GRANT_DECAY_END_MS` on, larger grants of other entries expire after the same time again,
 * and the remaining 5 s cover the transit time of a report.
 */
export const FALLBACK_RISE_MS = 15_000;
/** A bucket holds at most the tokens of this time at its rate. */
export const BURST_MS = 2000;
