/** Shapes of the entry's admin routes `GET /admin/status` and `POST /admin/explain`. */
import {z} from 'zod';

const count = z.number().nonnegative();

/** What a machine last reported about its work. */
export const machineLoadSchema = z.object({
	queuedTokens: count,
	/** Requests that run now. */
	running: count,
	tokensPerSecond: count,
});

/** One machine as the entry sees it. What the entry does not know is left out. */
export const machineStatusSchema = z.object({
	id: z.string(),
	zone: z.string(),
	region: z.string(),
	role: z.enum(['entry', 'endpoint']),
	/** Group of ranks of a model endpoint. */
	group: z.string().exactOptional(),
	/** `suspected`: no report or heartbeat lately. `closed`: closed by a rule. */
	state: z.enum(['live', 'suspected', 'leaving', 'closed']),
	rulesVersion: z.number().int().nonnegative().exactOptional(),
	load: machineLoadSchema.exactOptional(),
	/** Milliseconds since that report arrived. */
	reportAgeMs: count.exactOptional(),
	/** Duration of the last steps in milliseconds. */
	stepMs: count.exactOptional(),
	/** Version of the expert map in force. */
	mapVersion: z.number().int().nonnegative().exactOptional(),
	ranks: z.array(z.number().int().nonnegative()).exactOptional(),
	/** True while the entry has a link to it. */
	linked: z.boolean().exactOptional(),
});

/** Answer of `GET /admin/status`. */
export const statusResponseSchema = z.object({
	/** The entry that answers. */
	process: z.object({
		id: z.string(),
		zone: z.string(),
		region: z.string(),
		/** Version of the program. */
		version: z.string(),
		uptimeMs: count,
		/** Requests in progress at this entry. */
		running: count.exactOptional(),
		/** True while it finishes its work before it stops. */
		draining: z.boolean().exactOptional(),
	}),
	rules: z.object({
		/** 0 when there are no rules yet. */
		version: z.number().int().nonnegative(),
		/** Milliseconds since the version was confirmed as the highest; left out if it never was. */
		ageMs: count.exactOptional(),
	}),
	platform: z.object({
		reachable: z.boolean(),
		/** Milliseconds since its last answer to this process; left out without one. */
		lastAnswerAgeMs: count.exactOptional(),
	}),
	machines: z.array(machineStatusSchema),
	/** Targets that `closed` rules keep closed. */
	drains: z.array(z.object({
		target: z.object({kind: z.enum(['endpoint', 'group', 'zone']), name: z.string()}),
		author: z.string(),
		reason: z.string(),
		/** Requests in progress on the target as last reported; left out when nothing is known. */
		running: count.exactOptional(),
	})),
});

/** Body of `POST /admin/explain`. */
export const explainRequestSchema = z.object({
	workspace: z.string(),
	/** `NAME`, `NAME@VERSION`, `NAME:ADAPTER` or `NAME@VERSION:ADAPTER`. */
	model: z.string(),
	/** Prompt whose cached prefix counts; may be empty. */
	prompt: z.string(),
});

/** The cost of one endpoint that was considered, term by term as routing adds them up, in milliseconds. */
export const candidateSchema = z.object({
	id: z.string(),
	zone: z.string(),
	/** Where it came from, for example `random` or `prefix-home`. */
	source: z.string(),
	/** Reported queue over its rate. */
	queueMs: count,
	/** This entry's work since the report over its rate. */
	ownMs: count,
	/** Prompt tokens that its cache is not expected to hold, over its rate. */
	prefillMs: count,
	zoneMs: count,
	/** Step time over the median step time; a factor of at least 1. */
	straggler: count,
	/** The terms above times the factor. */
	waitMs: count,
	/** Penalty for more running work than the mean of the fleet. */
	balanceMs: count,
	/** Wait plus penalty; the lowest is chosen. */
	costMs: count,
	/** Prompt tokens that its cache is expected to hold. */
	cachedTokens: count,
	/** Age of the report that was used; left out without one. */
	reportAgeMs: count.exactOptional(),
});

/** Answer of `POST /admin/explain`: what would happen to such a request now. Nothing is run. */
export const explainResponseSchema = z.object({
	workspace: z.string(),
	/** The model as it was resolved, for example `drafting@2026-11`. */
	model: z.string(),
	rulesVersion: z.number().int().nonnegative(),
	/** Refusal reason of section 3.2 with a text for people; left out when the request would run. */
	refusal: z.object({code: z.string(), message: z.string()}).exactOptional(),
	/** 0 to 9; a higher one is served first. */
	priority: z.number().int().exactOptional(),
	/** The workspace's share now; left out without a limit. */
	grant: z.object({tokensPerSecond: count, availableTokens: z.number()}).exactOptional(),
	/** Endpoint that would get the request; left out when none would. */
	chosen: z.string().exactOptional(),
	/** Cheapest first. */
	candidates: z.array(candidateSchema),
	/** Endpoints that were not considered and why, for example `closed` or `leaving`. */
	leftOut: z.array(z.object({id: z.string(), reason: z.string()})),
	/** Further steps of the decision, one sentence each. */
	notes: z.array(z.string()),
});

export type MachineStatus = Readonly<z.infer<typeof machineStatusSchema>>;
export type StatusResponse = Readonly<z.infer<typeof statusResponseSchema>>;
export type ExplainRequest = Readonly<z.infer<typeof explainRequestSchema>>;
export type Candidate = Readonly<z.infer<typeof candidateSchema>>;
export type ExplainResponse = Readonly<z.infer<typeof explainResponseSchema>>;
