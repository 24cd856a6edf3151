/** Public index: a randomized soak of real processes under faults. Development only. */
export {Callers, readEvents, type CallerParts} from './callers.js';
export {
	isServed, Ledger, type LedgerCounts, type LedgerParts,
} from './ledger.js';
export {runSoak, type SoakOptions, type SoakReport} from './soak.js';
export type {
	Attempt, AttemptOutcome, BackEndObserver, CallerKey, EntryView, FaultKind, RequestKind, Run, SoakBounds, SoakDeployment,
} from './types.js';
