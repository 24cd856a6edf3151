/** Distributed rate limits for workspaces, and fair queueing, admission control and concurrency limits. */
export {admit, type Admission, type WaitEstimate} from './admission.js';
export {
	createConcurrencyLimit, adjustConcurrencyLimit, STEP_TARGET_MS, type ConcurrencyLimit, type StepSample,
} from './capacity.js';
export {
	FairQueue, type OfferResult, type QueueBounds, type QueueItem, type TakeResult,
} from './fair-queue.js';
export {GrantLimiter, type SpendResult} from './grant-limiter.js';
export {GrantAllocator} from './grant-allocator.js';
export {
	BURST_MS, FALLBACK_RISE_MS, GRANT_DECAY_END_MS, GRANT_FULL_MS, type Demand, type Grant, type WorkspaceLimit,
} from './types.js';
