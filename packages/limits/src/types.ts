/** Shared types of the workspace limits. Rates are tokens per second; times are milliseconds. */

/** What the rules say about one workspace. */
export type WorkspaceLimit = {
	/** Limit over all entries, tokens per second. */
	readonly tokensPerSecond: number;
	/** Share in the fair queue relative to the other workspaces of the same priority; above 0. */
	readonly weight: number;
	/** Higher runs first. */
	readonly priority: number;
};

/** An entry's report to the home of a workspace, sent once a second while the workspace is in use. */
export type Demand = {
	readonly workspace: string;
	readonly entryId: string;
	/** Increases with each report of this entry, also across its restarts. */
	readonly sequence: number;
	/** Rate that its callers ask for, refused work included. */
	readonly tokensPerSecond: number;
	/** Rate in use, and the sequence of the demand that its grant answered; 0 without a grant. */
	readonly heldTokensPerSecond: number;
	readonly heldSequence: number;
};

/** The home's answer to a demand. */
export type Grant = {
	readonly workspace: string;
	/** Sequence of the demand that it answers. */
	readonly sequence: number;
	readonly tokensPerSecond: number;
};

/** An entry uses a grant in full for this time after the demand that it answers was sent. */
export const GRANT_FULL_MS = 3000;
/** From then the rate falls in a straight line and reaches the fallback `limit / known entries` here. */
export const GRANT_DECAY_END_MS = 5000;
/**
 * A rate below the fallback rises to it only after this silence. The home counts the fallback of a silent
 * entry from `GRANT_DECAY_END_MS` on, larger grants of others have run out as long after that, and the rest
 * covers a report that was up to 5 s under way.
 */
export const FALLBACK_RISE_MS = 15_000;
/** A bucket holds at most this long of its rate. */
export const BURST_MS = 2000;
