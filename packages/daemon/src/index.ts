/** Public index: start a daemon from its settings. */
export {registerSignals, startDaemon, type Daemon} from './daemon.js';
export {
	createDaemonContainer, describeMachine, type Cradle,
} from './container.js';
export {readVersion} from './version.js';
