/** Machines, the directory, home entries, versioned texts and readiness. */
export {
	formatMachines, parseMachine, parseMachines, type Machine,
} from './machine.js';
export {Directory} from './directory.js';
export {
	homesOf, isWatcher, neighboursOf, WATCHERS_PER_ZONE,
} from './homes.js';
export {
	TextHistory, type ApplyResult, type TextUpdate, type VersionedText,
} from './versioned-text.js';
export {
	readinessOf, type Readiness, type SourceState, type StartupState,
} from './readiness.js';
