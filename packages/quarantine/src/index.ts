/** Public index of the quarantine: suspects at their home, admission at the endpoint, fingerprints. */
export {
	EndpointGate, type CrashedBatch, type GateOutcome, type RunMode,
} from './endpoint-gate.js';
export {fingerprintOf} from './fingerprint.js';
export {KnownSuspects} from './known-suspects.js';
export {ALONE_FROM_CRASHES, MAX_CRASHES} from './suspect-record.js';
export {
	homesOf, RETENTION_MS, SuspectRegistry, type Answer,
} from './suspect-registry.js';
export type {
	Crash, CrashReport, Permission, PermissionRequest, Permit, RunEnd, SuspectRecord,
} from './types.js';
