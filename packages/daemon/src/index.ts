/** Public index: starts a daemon from its settings. */
export {startDaemon, type Daemon, type DaemonOptions} from './daemon.js';
export {
	createDaemonContainer, createMachine, type DaemonCradle,
} from './container.js';
export {loadDaemon} from './program.js';
export {readVersion} from './version.js';
