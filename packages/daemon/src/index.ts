/** Public index: starts a daemon from its settings. */
export {registerSignals, startDaemon, type Daemon} from './daemon.js';
export {
	createDaemonContainer, createMachine, type DaemonCradle,
} from './container.js';
export {readVersion} from './version.js';
