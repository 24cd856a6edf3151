/** Public index of the coordination library; also published as `mimosamount/coordination`. */
export type {
	CallOptions, ObjectList, ObjectStore, StoredObject, StoreFailure,
} from './object-store.js';
export {
	writeConditionally, type ConditionalWrite, type WriteAnswer,
} from './conditional-write.js';
export {FenceGate, type FenceSource, type FenceVerdict} from './fence-gate.js';
export {
	Lease, type HeldLease, type LeaseAnswer, type LeaseOptions, type ReleaseAnswer,
} from './lease.js';
export {RetryBudget, type RetryBudgetOptions} from './retry-budget.js';
export type {ApplyAnswer, ConfigChange} from './config-apply.js';
export type {
	ConfigReadFailure, ConfigVersion, ConfigWrite,
} from './config-types.js';
export {VersionedConfig, type OfferAnswer, type VersionedConfigOptions} from './versioned-config.js';
export {ClaimStore, type ClaimStoreOptions} from './claim-store.js';
export {
	CLAIM_SHARDS, createClaimOutcome, hashClaimBody, hashClaimKey, MAX_OUTCOME_BYTES, shardOfClaim,
	type ClaimAnswer, type ClaimFailure, type ClaimKey, type ClaimOutcome, type ClaimRequest, type ClaimUnavailable, type FinishAnswer, type ReleaseClaimAnswer,
} from './claim-types.js';
export {
	RequestCorrelation, type AnswerFrame, type AttemptStart, type Delivered, type DropReason, type FrameTag, type FrameVerdict,
} from './request-correlation.js';
export type {StreamVerdict} from './answer-stream.js';
