/** Platform stand-in for development and tests. */
export {PlatformServer, type CallCounts, type PlatformServerOptions} from './platform-server.js';
export type {Faults} from './faults.js';
export type {InstanceRecord} from './instance-list.js';
export {
	CALL_OUTCOMES, MemoryStore, flushPromises, type CallOutcome, type PendingCall,
} from './memory-store.js';
export {storeCommands} from './store-commands.js';
