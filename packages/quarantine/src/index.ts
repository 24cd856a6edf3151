/** Public index of the quarantine: suspects at their home, admission at the endpoint, fingerprints. */
export {
	EndpointAdmission, type CrashedBatch, type EndpointAdmissionOutcome, type RunMode,
} from './endpoint-admission.js';
export {fingerprintOf} from './fingerprint.js';
export {KnownSuspects} from './known-suspects.js';
export {ALONE_FROM_CRASHES, MAX_CRASHES} from './suspect-record.js';
export {
	suspectHomesOf, RETENTION_MS, SuspectRegistry, type PermissionResult,
} from './suspect-registry.js';
export type {
	Crash, CrashReport, Permission, PermissionRequest, Permit, RunEnd, SuspectRecord,
} from './types.js';
