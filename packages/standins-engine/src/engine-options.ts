/** Options of the stand-in engine with their defaults. */
export type EngineOptions = {
	/** Model names that are served. */
	readonly models: readonly string[];
	/** Time of one step in milliseconds; each running request makes one token in a step. */
	readonly stepMs: number;
	/** Requests that run at the same time at most. */
	readonly maxRunning: number;
	/** Requests that wait at most; further ones are refused with 503. */
	readonly maxQueued: number;
	/** Prompt tokens processed in one step over all requests. */
	readonly prefillTokensPerStep: number;
	/** Capacity of the prefix cache in blocks of `PREFIX_BLOCK_CHARS` characters. */
	readonly cacheBlocks: number;
	/** Time in milliseconds for which an unread or finished run can be resumed. */
	readonly holdMs: number;
	/** Layers and experts of a layer in `/v1/expert-load`. */
	readonly layers: number;
	readonly experts: number;
	/** Seed for lost cache events and expert choice. */
	readonly seed: number;
	/** Id of the endpoint that runs beside this engine; names the rank in its group. */
	readonly rankId: string;
	/** Ids of all ranks of the group; one engine that stands alone if there are no others. */
	readonly members: readonly string[];
	/** Map in use at the start. */
	readonly mapVersion: number;
	/** Time to load a prepared map in milliseconds. */
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
