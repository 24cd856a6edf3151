/** Public exports of the coordination library; also published as `mimosamount/coordination`. */
export type {
	CallOptions, ObjectList, ObjectStore, StoredObject, StoreFailure,
} from './object-store.js';
export {
	writeConditionally, type ConditionalWrite, type WriteResult,
} from './conditional-write.js';
export {FenceChecker, type FenceSource, type FenceCheckResult} from './fence-checker.js';
export {
	Lease, type HeldLease, type LeaseResult, type LeaseOptions, type LeaseReleaseResult,
} from './lease.js';
export {RetryBudget, type GrantedRetry, type RetryBudgetOptions} from './retry-budget.js';
export type {ApplyResult, ConfigChange} from './config-apply.js';
export type {
	ConfigReadFailure, ConfigVersion, ConfigWrite,
} from './config-types.js';
export {VersionedConfig, type OfferResult, type VersionedConfigOptions} from './versioned-config.js';
export {ClaimStore, type ClaimStoreOptions} from './claim-store.js';
export {
	CLAIM_SHARDS, createClaimOutcome, hashClaimBody, hashClaimKey, MAX_OUTCOME_BYTES, shardOfClaim,
	type ClaimResponse, type ClaimFailure, type ClaimKey, type ClaimOutcome, type ClaimRequest, type ClaimUnavailable, type FinishResponse, type ReleaseClaimResponse,
} from './claim-types.js';
export {
	RequestCorrelation, type ResponseFrame, type AttemptStart, type DeliveryProgress, type DropReason, type FrameHeader, type FrameResult,
} from './request-correlation.js';
export type {StreamResult} from './response-stream.js';
