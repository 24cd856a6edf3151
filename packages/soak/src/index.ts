/** Public index: randomized soak test of real processes with fault injection. Development only. */
export {Callers, parseEvents, type CallersOptions} from './callers.js';
export {
	isServed, InvariantChecker, type SoakCounts, type InvariantCheckerOptions,
} from './invariant-checker.js';
export {runSoak, type SoakOptions, type SoakReport} from './soak.js';
export type {
	Attempt, AttemptOutcome, BackEndObserver, CallerKey, EntryTarget, FaultKind, RequestKind, Run, SoakBounds, SoakDeployment,
} from './types.js';
