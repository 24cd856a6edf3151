/** Types of the routing package: replicas, load reports, requests and the outcome of a choice. */

/** Load that an endpoint reports about once a second, with a delay. */
export type LoadReport = {
	/** Tokens waiting to be processed. */
	readonly queuedTokens: number;
	/** Requests in the running batch. */
	readonly running: number;
	/** Tokens processed per second, prompt and output together. */
	readonly tokensPerSecond: number;
	/** Duration of the last step, milliseconds. */
	readonly stepMs: number;
	/** Number of prefixes in the cache. */
	readonly cachedPrefixes: number;
	readonly leaving: boolean;
};

/** An endpoint as described by the instance list. */
export type InstanceInfo = {
	readonly id: string;
	readonly zone: string;
	readonly region: string;
	readonly group: string;
	/** Models that it serves, each as `NAME[@VERSION][+ADAPTER]`; a plain service is `service:NAME`. */
	readonly models: readonly string[];
	/** `host:port` of the endpoint process. */
	readonly address: string;
	readonly leaving: boolean;
};

/** Tokens of a request as estimated by this entry. */
export type TokenEstimate = {
	/** Prompt tokens. */
	readonly inputTokens: number;
	/** Expected output tokens. */
	readonly outputTokens: number;
};

/** Work dispatched by this entry at `at`, milliseconds, that is not yet included in a report. */
export type UnreportedWork = {readonly at: number; /** Prompt tokens that are not expected in the cache. */ readonly prefillTokens: number};

/** State of a replica in the routing table. Times are milliseconds on the clock that the caller passes as `now`. */
export type Replica = InstanceInfo & {
	/** The latest load, from a report or a response. */
	readonly report: LoadReport | undefined;
	/** Time when `report` arrived; 0 without a report. */
	readonly reportedAt: number;
	/** Time when the last message arrived from it; initially the time when it became known. */
	readonly lastContactAt: number;
	/** Time of the first dispatch since the last message from it; undefined if there was none. */
	readonly unansweredSince: number | undefined;
	/** Whether this entry is subscribed to its reports. */
	readonly subscribed: boolean;
	/** Whether a rule closes the endpoint. */
	readonly closed: boolean;
	/** Whether it announced by message, refusal or report that it is leaving, and no later message or report withdrew this. */
	readonly announcedLeaving: boolean;
	/** Until this time it is used only as a last resort, because it refused work as full. */
	readonly fullUntil: number;
	/** Highest observed rate, decayed with each report; tokens per second. */
	readonly peakTokensPerSecond: number;
	/** Input and output tokens of this entry's unfinished requests on the replica. */
	readonly inFlightTokens: number;
	/** Number of this entry's unfinished requests on the replica. */
	readonly inFlightRequests: number;
	readonly unreported: readonly UnreportedWork[];
};

/** A prefix of a prompt; a request lists its prefixes from the shortest to the longest. */
export type PromptPrefix = {
	/** Hash of the model and the prefix, 16 hex digits. */
	readonly hash: string;
	/** Length from the start of the prompt, tokens. */
	readonly tokens: number;
};

/** A replica that is expected to have part of the prompt in its cache. */
export type CacheHint = {readonly replicaId: string; readonly cachedTokens: number};

/** Result of `PrefixCacheIndex.lookup`. */
export type PrefixLookup = {
	/** Replicas that received part of the prompt, longest prefix first. */
	readonly hints: readonly CacheHint[];
	/** Average fraction of the prompt's prefix tokens that a prefix home has cached, 0 to 1; used if there is no hint for it. */
	readonly homeHitRate: number;
};

/** A request to be routed. */
export type RouteRequest = TokenEstimate & {
	/** Requested model or service, as `NAME[@VERSION][+ADAPTER]` or `service:NAME`. */
	readonly model: string;
	/** Zone and region of this entry. */
	readonly zone: string;
	readonly region: string;
	/** Prefixes of the prompt, shortest first; empty for services. */
	readonly prefixes: readonly PromptPrefix[];
	/** Result of `PrefixCacheIndex.lookup` for `prefixes`. */
	readonly prefixLookup: PrefixLookup;
	/** Replicas that this request must not use, for example because an attempt on them failed. */
	readonly excluded: ReadonlySet<string>;
};

/** Why a replica was not considered. */
export type LeftOutReason = 'wrong-model' | 'leaving' | 'closed' | 'excluded' | 'suspected' | 'full' | 'far' | 'not-sampled';

/** How a candidate was found. */
export type CandidateSource = 'random' | 'prefix-home' | 'prefix-memory' | 'far';

/** Cost of a candidate by term, in milliseconds unless stated otherwise. */
export type CandidateCost = {
	readonly id: string;
	readonly source: CandidateSource;
	/** Reported queue divided by the token rate. */
	readonly queueMs: number;
	/** Prefill tokens that this entry dispatched since the report, divided by the token rate. */
	readonly ownMs: number;
	/** Prompt tokens not expected in the cache, divided by the token rate. */
	readonly prefillMs: number;
	readonly zoneMs: number;
	/** Step time relative to the median, a factor of at least 1. */
	readonly straggler: number;
	/** Expected wait: the sum of the terms above multiplied by the factor. */
	readonly waitMs: number;
	/** Penalty for sending a prompt to a replica other than its home or one that has it cached; not part of the wait. */
	readonly scatterMs: number;
	/** Penalty for a batch above the fleet mean, negative below it; not part of the wait. */
	readonly balanceMs: number;
	/** Wait plus penalties; the candidate with the lowest cost is chosen. */
	readonly costMs: number;
	/** Tokens expected in the cache. */
	readonly cachedTokens: number;
	/** Age of the report used; undefined if there is no report and the fleet mean is used instead. */
	readonly reportAgeMs: number | undefined;
};

/** The data that a choice is based on. */
export type ChoiceExplanation = {
	/** Candidates that were considered, cheapest first. */
	readonly candidates: readonly CandidateCost[];
	/** Replicas that were not considered; filled only by `explainChoice`. */
	readonly leftOut: ReadonlyArray<{readonly id: string; readonly reason: LeftOutReason}>;
};

/** Outcome of a choice. Nothing has been sent yet, so the outcome of a failed choice is always `not-run`. */
export type Choice
	= | {
		readonly kind: 'chosen';
		readonly replica: Replica;
		readonly expectedWaitMs: number;
		/** What the estimate of the cached tokens is based on. */
		readonly source: CandidateSource;
		/** Prompt tokens expected in the replica's cache. */
		readonly cachedTokens: number;
		readonly explanation: ChoiceExplanation;
	}
	| {readonly kind: 'none'; readonly reason: 'unknown-model' | 'unknown-service' | 'no-endpoint'; readonly outcome: 'not-run'; readonly explanation: ChoiceExplanation};
