/** Public index: the decisions of an entry that connects directly to endpoints. No sockets or timers; clocks are read only by readInstant(). */
export {elapsedMs, readInstant, type Instant} from './instant.js';
export {
	FleetConfig, pickService, streamPatienceMs, type CallerLimits, type FleetConfigData, type Route, type RouteKind, type ServiceConfig, type ServiceExperts, type ServiceShare, type Workspace,
} from './fleet-config.js';
export {ConfigCache, type ConfigUpdateResult} from './config-cache.js';
export {
	EndpointDirectory, EXPIRY_GRACE_MS, MAX_TOMBSTONES, TOMBSTONE_SHARE_MS, type DirectoryChange, type EndpointRecord, type EndpointTombstone, type LeavingSource, type TombstoneScope,
} from './endpoint-directory.js';
export {
	EndpointAvailability, isClosed, MAX_WAIT_MS, type AvailabilityChange, type AvailabilityReport, type Unavailability,
} from './endpoint-availability.js';
export {
	MIN_SHARING_ENTRIES, PERMIT_LIFETIME_MS, SPARE_SHARING_ENTRIES_SHARE, WarmupRate, type EntryCount, type ServiceWarmup, type WarmupBounds,
} from './warmup-rate.js';
export {
	ANSWER_WAIT_MS, EvacuationState, MAX_EVACUATED_ZONES, RETENTION_MS, type EvacuationChange, type EvacuationReading, type ZoneClosure,
} from './evacuation-state.js';
export type {Reading} from './reading.js';
export {EndpointLimits, type EndpointLimitReport, type LimitPermit} from './endpoint-limits.js';
export {EndpointHealth, type AttemptOutcome} from './endpoint-health.js';
export {EndpointPace, type EndpointPaceEstimate, type PaceSample} from './endpoint-pace.js';
export {chooseEndpoint, type Candidate} from './endpoint-choice.js';
export {refreshAgeMs, relaxedRefreshAgeMs} from './config-refresh.js';
export {EventSplitter, type SplitEvents} from './event-splitter.js';
export {
	MAX_SHARED_REQUESTS_PER_SLOT, ServiceAdmission, type ServiceState, type StreamAdmission, type StreamAdmissionRequest, type StreamRefusalCause,
} from './service-admission.js';
export {StreamCapacity, type ServiceLoad, type StreamLimit} from './stream-capacity.js';
export {ServiceCapacity, type ServiceLimit, type ZonedLoad} from './service-capacity.js';
export {LoadTracker, PEER_LOAD_TTL_MS, type InFlightCounts} from './load-tracker.js';
export {
	MAX_REQUESTS_PER_SLOT, effectivePriority, isLate, LATE_LIMIT_SHARE, maxInFlightFor, queueLimitFor, type PriorityInput,
} from './request-priority.js';
