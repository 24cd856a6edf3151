/** Machines, the directory, owners of keys, versioned texts and readiness. */
export {
	formatMachines, parseMachine, parseMachines, type Machine,
} from './machine.js';
export {Directory} from './directory.js';
export {
	ownersOf, isWatcher, neighboursOf, WATCHERS_PER_ZONE,
} from './owners.js';
export {
	TextHistory, type ApplyResult, type TextUpdate, type VersionedText,
} from './versioned-text.js';
export {
	readinessOf, type Readiness, type SourceState, type StartupState,
} from './readiness.js';
