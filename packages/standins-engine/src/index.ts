/** Stand-in inference engine: its server, and the expected response bodies for tests and the load generator. */
export {
	CHARS_PER_TOKEN, createResponse, expectedResponseBytes, type InferenceResponse,
} from './inference-response.js';
export {Batch, type BatchOptions} from './batch.js';
export {CacheEventLog, type CacheEvent, type CacheEventPage} from './cache-event-log.js';
export {EngineServer, type EngineServerOptions} from './engine-server.js';
export {DEFAULT_ENGINE_OPTIONS, type EngineOptions} from './engine-options.js';
export {
	Engine, type EngineLoad, type ResumeFailure, type SubmitFailure,
} from './engine.js';
export {ExpertCounter, type ExpertLoad} from './expert-load.js';
export {parseFaultChange, type EngineFaults, type FaultChange} from './faults.js';
export {hashBytes, hashText} from './hash.js';
export {parseInferenceRequest, type CompletionKind, type InferenceRequest} from './inference-request.js';
export {LaggedValue} from './lagged-value.js';
export {RequestRecorder, type EngineCounts, type RequestStats} from './request-recorder.js';
export {PREFIX_BLOCK_CHARS, PrefixCache, prefixHashes} from './prefix-cache.js';
export {createRandom, type Random} from './random.js';
export {
	Run, type RunReader, type RunState,
} from './run.js';
export {LockStepGroup, MAX_RANKS, type StepRecord} from './lock-step-group.js';
export {EngineRank, type RankKind, type RankOptions} from './rank.js';
export {GroupDriver, type DrivenEngine} from './group-driver.js';
export {EngineGroup, type EngineGroupOptions} from './engine-group.js';
export {parseOrder} from './order-schema.js';
