/** Public index: randomized soak test of real processes with fault injection. Development only. */
export {Callers, parseEvents, type CallersOptions} from './callers.js';
export {
	isServed, InvariantChecker, type SoakCounts, type InvariantCheckerOptions,
} from './invariant-checker.js';
export {
	createLife, type Life, type LifeOptions, type LifeSignal, type LifeStep, type Restart, type StopSignal,
} from './life.js';
export {
	EventLoopDelayMonitor, runSoak, type SoakOptions, type SoakReport,
} from './soak.js';
export type {
	Attempt, AttemptOutcome, BackEndObserver, CallConnection, CallerKey, CallObserver, CallSite, CallStyle, CallTarget, EntryTarget, FaultKind, Load, LoadProfile, LossJudgement, RequestKind, Run, RunEnd, SoakBounds, SoakDeployment,
} from './types.js';
