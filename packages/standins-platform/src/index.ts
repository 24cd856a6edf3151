/** Public index of the platform stand-in. Development only. */
export {PlatformServer, type CallCounts, type PlatformServerOptions} from './platform-server.js';
export type {Faults} from './faults.js';
export type {InstanceRecord} from './instance-list.js';
export {
	CALL_FATES, MemoryStore, settle, type CallFate, type WaitingCall,
} from './memory-store.js';
export {storeSteps} from './store-steps.js';
