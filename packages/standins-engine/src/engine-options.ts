/** Options of the stand-in engine and their defaults. */
export type EngineOptions = {
	/** Names of the served models. */
	readonly models: readonly string[];
	/** Duration of one step in milliseconds; each running request generates one token per step. */
	readonly stepMs: number;
	/** Maximum number of concurrently running requests. */
	readonly maxRunning: number;
	/** Maximum number of queued requests; further ones are refused with 503. */
	readonly maxQueued: number;
	/** Prompt tokens processed per step, over all requests. */
	readonly prefillTokensPerStep: number;
	/** Capacity of the prefix cache in blocks of `PREFIX_BLOCK_CHARS` characters. */
	readonly cacheBlocks: number;
	/** Time in milliseconds for which a run without readers or a finished run can be resumed. */
	readonly holdMs: number;
	/** Number of layers, and of experts per layer, in `/v1/expert-load`. */
	readonly layers: number;
	readonly experts: number;
	/** Seed for the choice of lost cache events and of experts. */
	readonly seed: number;
	/** Id of the endpoint that runs beside this engine; identifies the rank in its group. */
	readonly rankId: string;
	/** Ids of all ranks of the group; empty for a standalone engine. */
	readonly members: readonly string[];
	/** Version of the map in use at startup. */
	readonly mapVersion: number;
	/** Load time of a prepared map in milliseconds. */
	readonly mapLoadMs: number;
};

export const DEFAULT_ENGINE_OPTIONS: EngineOptions = {
	models: ['drafting', 'mimosa-serve'],
	stepMs: 20,
	maxRunning: 32,
	maxQueued: 1000,
	prefillTokensPerStep: 2048,
	cacheBlocks: 4096,
	holdMs: 10_000,
	layers: 2,
	experts: 64,
	seed: 1,
	rankId: 'rank-0',
	members: [],
	mapVersion: 1,
	mapLoadMs: 0,
};
