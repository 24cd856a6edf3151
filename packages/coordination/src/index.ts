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
