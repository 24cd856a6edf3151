/** Shared types of routing: replicas, load reports, requests and the outcome of a choice. */

/** Load as an endpoint reports it, about once a second and with a lag. */
export type LoadReport = {
	/** Tokens that wait to be processed. */
	readonly queuedTokens: number;
	/** Requests in the running batch. */
	readonly running: number;
	/** Tokens processed per second, prompt and output together. */
	readonly tokensPerSecond: number;
	/** Duration of the last step, milliseconds. */
	readonly stepMs: number;
	/** Prefixes in the cache. */
	readonly cachedPrefixes: number;
	readonly leaving: boolean;
};

/** An endpoint as the instance list describes it. */
export type InstanceEntry = {
	readonly id: string;
	readonly zone: string;
	readonly region: string;
	readonly group: string;
	/** What it serves, each as `NAME[@VERSION][+ADAPTER]`; a plain service is `service:NAME`. */
	readonly models: readonly string[];
	/** `host:port` of the endpoint process. */
	readonly address: string;
	readonly leaving: boolean;
};

/** Tokens of one request as this entry estimates them. */
export type TokenEstimate = {
	/** Prompt tokens. */
	readonly inputTokens: number;
	/** Expected output tokens. */
	readonly outputTokens: number;
};

/** Work dispatched by this entry that no report covers yet. */
export type UnreportedWork = {readonly at: number; /** Prompt tokens that are not expected in the cache. */ readonly prefillTokens: number};

/** A replica as routing sees it. Times are milliseconds of the clock that the caller passes as `now`. */
export type Replica = InstanceEntry & {
	/** The latest report or load reading, if any. */
	readonly report: LoadReport | undefined;
	/** When `report` arrived; 0 without a report. */
	readonly reportedAt: number;
	/** When anything last arrived from it; at first, when it became known. */
	readonly lastContactAt: number;
	/** Set from the first dispatch after `heardAt` until the replica is heard again. */
	readonly unansweredSince: number | undefined;
	/** True while this entry is subscribed to its reports. */
	readonly subscribed: boolean;
	/** True while a rule closes the endpoint. */
	readonly closed: boolean;
	/** True from a leaving message, refusal or report until a report denies it. */
	readonly announcedLeaving: boolean;
	/** It refused work as full; it is used only as a last resort before this time. */
	readonly fullUntil: number;
	/** Highest rate seen, decayed with each report; tokens per second. */
	readonly peakTokensPerSecond: number;
	/** Input and output tokens of this entry's unfinished work there. */
	readonly inFlightTokens: number;
	/** Number of this entry's unfinished requests there. */
	readonly inFlightRequests: number;
	readonly unreported: readonly UnreportedWork[];
};

/** A prefix of the prompt; a request lists its prefixes from the shortest to the longest. */
export type PromptPrefix = {
	/** 16 hex digits over the model and the prefix. */
	readonly hash: string;
	/** Length from the start of the prompt. */
	readonly tokens: number;
};

/** A replica that is known to hold some of the prompt in its cache. */
export type CacheHint = {readonly replicaId: string; readonly cachedTokens: number};

/** What `PrefixMemory.lookup` knows about a prompt. */
export type PrefixLookup = {
	/** Replicas that received some of the prompt, the longest prefix first. */
	readonly hints: readonly CacheHint[];
	/** Learnt share of the prompt's prefix tokens that a prefix home holds when there is no hint for it, 0 to 1. */
	readonly homeHitRate: number;
};

/** A request as routing sees it. */
export type RouteRequest = TokenEstimate & {
	/** What is asked for, as `NAME[@VERSION][+ADAPTER]` or `service:NAME`. */
	readonly model: string;
	/** Zone and region of this entry. */
	readonly zone: string;
	readonly region: string;
	/** Prefixes of the prompt, shortest first; empty for services. */
	readonly prefixes: readonly PromptPrefix[];
	/** What `PrefixMemory.lookup` answered for `prefixes`. */
	readonly prefixLookup: PrefixLookup;
	/** Replicas that this request must not use, for example because an attempt failed there. */
	readonly excluded: ReadonlySet<string>;
};

/** Why a replica was not considered. */
export type LeftOutReason = 'wrong-model' | 'leaving' | 'closed' | 'excluded' | 'suspected' | 'full' | 'far' | 'not-sampled';

/** Where a candidate came from. */
export type CandidateSource = 'random' | 'prefix-home' | 'prefix-memory' | 'far';

/** The cost of one candidate, term by term, in milliseconds unless named otherwise. */
export type CandidateCost = {
	readonly id: string;
	readonly source: CandidateSource;
	/** Reported queue over rate. */
	readonly queueMs: number;
	/** Own work since the report over rate. */
	readonly ownMs: number;
	/** Prompt tokens not expected in the cache over rate. */
	readonly prefillMs: number;
	readonly zoneMs: number;
	/** Step time over the median step time, at least 1; a factor. */
	readonly straggler: number;
	/** The expected wait: the sum of the terms above times the factor. */
	readonly waitMs: number;
	/** Penalty for placing a prompt away from the replicas that hold or will hold it; it is no part of the wait. */
	readonly scatterMs: number;
	/** Penalty for running work above the mean of the fleet; it is no part of the wait. */
	readonly balanceMs: number;
	/** Wait plus penalties; the lowest wins. */
	readonly costMs: number;
	/** Tokens expected in the cache. */
	readonly cachedTokens: number;
	/** Age of the report used; undefined without a report, when the mean of the fleet stands in. */
	readonly reportAgeMs: number | undefined;
};

/** What led to a choice. */
export type ChoiceExplanation = {
	/** Considered candidates, cheapest first. */
	readonly candidates: readonly CandidateCost[];
	/** Replicas left out; complete only in the answer of `explainChoice`. */
	readonly leftOut: ReadonlyArray<{readonly id: string; readonly reason: LeftOutReason}>;
};

/** Outcome of a choice. Nothing has been sent, so a failed choice is always `not-run`. */
export type Choice
	= | {
		readonly kind: 'chosen';
		readonly replica: Replica;
		readonly expectedWaitMs: number;
		/** What the expected cached tokens rest on. */
		readonly source: CandidateSource;
		/** Prompt tokens expected in the replica's cache. */
		readonly cachedTokens: number;
		readonly explanation: ChoiceExplanation;
	}
	| {readonly kind: 'none'; readonly reason: 'unknown-model' | 'unknown-service' | 'no-endpoint'; readonly outcome: 'not-run'; readonly explanation: ChoiceExplanation};
