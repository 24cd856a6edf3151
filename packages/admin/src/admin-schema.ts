/** Schemas of the entry's admin routes `GET /admin/status` and `POST /admin/explain`. */
import {z} from 'zod';

const nonNegative = z.number().nonnegative();

/** Load that a machine last reported. */
export const machineLoadSchema = z.object({
	queuedTokens: nonNegative,
	/** Requests in progress. */
	running: nonNegative,
	tokensPerSecond: nonNegative,
});

/** One machine as the entry sees it. Fields that the entry does not know are omitted. */
export const machineStatusSchema = z.object({
	id: z.string(),
	zone: z.string(),
	region: z.string(),
	role: z.enum(['entry', 'endpoint']),
	/** Group that the ranks of a model endpoint belong to. */
	group: z.string().exactOptional(),
	/** `suspected`: no recent report or heartbeat. `closed`: closed by a rule. */
	state: z.enum(['live', 'suspected', 'leaving', 'closed']),
	rulesVersion: z.number().int().nonnegative().exactOptional(),
	load: machineLoadSchema.exactOptional(),
	/** Milliseconds since the last report was received. */
	reportAgeMs: nonNegative.exactOptional(),
	/** Duration of recent steps in milliseconds. */
	stepMs: nonNegative.exactOptional(),
	/** Version of the expert map in force. */
	mapVersion: z.number().int().nonnegative().exactOptional(),
	ranks: z.array(z.number().int().nonnegative()).exactOptional(),
	/** True while the entry has a link to it. */
	linked: z.boolean().exactOptional(),
});

/** Response of `GET /admin/status`. */
export const statusResponseSchema = z.object({
	/** The entry that responds. */
	process: z.object({
		id: z.string(),
		zone: z.string(),
		region: z.string(),
		/** Version of the program. */
		version: z.string(),
		uptimeMs: nonNegative,
		/** Requests in progress at this entry. */
		running: nonNegative.exactOptional(),
		/** True while it completes requests in progress before it stops. */
		draining: z.boolean().exactOptional(),
	}),
	rules: z.object({
		/** 0 when there are no rules yet. */
		version: z.number().int().nonnegative(),
		/** Milliseconds since the version was last confirmed as the highest; omitted if it never was. */
		ageMs: nonNegative.exactOptional(),
	}),
	platform: z.object({
		reachable: z.boolean(),
		/** Milliseconds since its last response to this process; omitted without one. */
		lastAnswerAgeMs: nonNegative.exactOptional(),
	}),
	machines: z.array(machineStatusSchema),
	/** Targets that are closed by a rule. */
	drains: z.array(z.object({
		target: z.object({kind: z.enum(['endpoint', 'group', 'zone']), name: z.string()}),
		author: z.string(),
		reason: z.string(),
		/** Requests in progress on the target as last reported; omitted when unknown. */
		running: nonNegative.exactOptional(),
	})),
});

/** Body of `POST /admin/explain`. */
export const explainRequestSchema = z.object({
	workspace: z.string(),
	/** `NAME`, `NAME@VERSION`, `NAME:ADAPTER` or `NAME@VERSION:ADAPTER`. */
	model: z.string(),
	/** Prompt whose cached prefix is taken into account; may be empty. */
	prompt: z.string(),
});

/** Terms of the routing cost of one candidate endpoint, in milliseconds. */
export const candidateSchema = z.object({
	id: z.string(),
	zone: z.string(),
	/** Why it was considered, for example `random` or `prefix-home`. */
	source: z.string(),
	/** Reported queue divided by the token rate. */
	queueMs: nonNegative,
	/** Work that this entry dispatched since the report, divided by the token rate. */
	ownMs: nonNegative,
	/** Prompt tokens not expected in the cache, divided by the token rate. */
	prefillMs: nonNegative,
	zoneMs: nonNegative,
	/** Ratio of the step time to the median step time; at least 1. */
	straggler: nonNegative,
	/** Sum of the terms above, multiplied by this factor. */
	waitMs: nonNegative,
	/** Penalty for more work in progress than the mean of all endpoints. */
	balanceMs: nonNegative,
	/** `waitMs` plus penalties; the candidate with the lowest cost is chosen. */
	costMs: nonNegative,
	/** Prompt tokens expected in the cache. */
	cachedTokens: nonNegative,
	/** Age of the report that was used; omitted without one. */
	reportAgeMs: nonNegative.exactOptional(),
});

/** Response of `POST /admin/explain`: how such a request would be routed now. No request is run. */
export const explainResponseSchema = z.object({
	workspace: z.string(),
	/** The resolved model, for example `drafting@2026-11`. */
	model: z.string(),
	rulesVersion: z.number().int().nonnegative(),
	/** Refusal reason (design page, section 3.2) and a readable message; omitted when the request would run. */
	refusal: z.object({code: z.string(), message: z.string()}).exactOptional(),
	/** 0 to 9; higher priorities are served first. */
	priority: z.number().int().exactOptional(),
	/** The workspace's current share of its limit; omitted without a limit. */
	grant: z.object({tokensPerSecond: nonNegative, availableTokens: z.number()}).exactOptional(),
	/** Endpoint that would receive the request; omitted when there is none. */
	chosen: z.string().exactOptional(),
	/** Lowest cost first. */
	candidates: z.array(candidateSchema),
	/** Endpoints that were excluded and the reason, for example `closed` or `leaving`. */
	leftOut: z.array(z.object({id: z.string(), reason: z.string()})),
	/** Further steps of the decision, one sentence each. */
	notes: z.array(z.string()),
});

export type MachineStatus = Readonly<z.infer<typeof machineStatusSchema>>;
export type StatusResponse = Readonly<z.infer<typeof statusResponseSchema>>;
export type ExplainRequest = Readonly<z.infer<typeof explainRequestSchema>>;
export type Candidate = Readonly<z.infer<typeof candidateSchema>>;
export type ExplainResponse = Readonly<z.infer<typeof explainResponseSchema>>;
