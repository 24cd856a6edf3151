/** Public index: real processes for tests, the demo and benchmarks. Development only. */
export {Child, type ChildOptions} from './child.js';
export {runCommand, type CommandResult} from './command.js';
export {
	keyHash, OPERATOR_KEY, PLATFORM_KEY, SHARED_KEY, TestFleet, type EndpointNode, type EngineOptions, type EntryNode, type GroupOptions, type Place, type ServiceOptions,
} from './test-fleet.js';
export {freePort} from './free-port.js';
export {waitUntil} from './wait.js';
export {
	Caller, errorOf, isWhole, type CallError, type ChatOptions, type Received,
} from './caller.js';
