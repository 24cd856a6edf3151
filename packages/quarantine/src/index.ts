/** Quarantine of requests that crash engines: the registry of suspects, admission at endpoints, and fingerprints. */
export {
	EndpointAdmission, type CrashedBatch, type EndpointAdmissionOutcome, type RunMode,
} from './endpoint-admission.js';
export {fingerprintOf, fingerprintOfCall, type OpaqueCall} from './fingerprint.js';
export {KnownSuspects} from './known-suspects.js';
export {ALONE_FROM_CRASHES, MAX_CRASHES} from './suspect-record.js';
export {
	suspectOwnersOf, RETENTION_MS, SuspectRegistry, type PermissionResult,
} from './suspect-registry.js';
export {
	CrashCauses, splitCause, type CauseReport, type CauseVerdict, type CrashCause, type CrashCauseKind,
} from './crash-causes.js';
export type {
	Crash, CrashReport, Permission, PermissionRequest, Permit, RunEnd, SuspectRecord,
} from './types.js';
