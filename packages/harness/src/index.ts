/** Public index: real processes for tests, the demo and benchmarks. Development only. */
export {Child, MEASURED_ENV, type ChildOptions} from './child.js';
export {runCommand, type CommandResult} from './command.js';
export {
	hashKey, OPERATOR_KEY, PLATFORM_KEY, SHARED_KEY, TestFleet, type DaemonLines, type EndpointNode, type EngineOptions, type EntryNode, type GroupOptions, type Location, type ServiceOptions,
} from './test-fleet.js';
export {findFreePort} from './free-port.js';
export {waitUntil} from './wait.js';
export {
	Caller, errorOf, isCompleteStream, type CallError, type ChatOptions, type CallerResponse,
} from './caller.js';
export {
	createResponses, CuttingServer, forEachCut, sendCut, type ConnectionEnd, type Cut, type CuttingServerOptions, type HttpMessage,
} from './cutting-server.js';
export {runCrowd, type CallerScript} from './caller-crowd.js';
export {
	describeCrowd, playCrowd, type CrowdPlay, type CrowdResult,
} from './crowd-play.js';
export {
	createBodyScripts, createMessageScripts, type BodyScriptOptions, type NamedScript,
} from './crowd-scripts.js';
export {requestStatus} from './request-status.js';
export {ProcessUsage, type ProcessPeak} from './process-usage.js';
export {collectGarbage, measureHeldBytes} from './collect-garbage.js';
export {countCopiedBytes, type CopiedBytes} from './copied-bytes.js';
export {ScriptedResponse} from './scripted-response.js';
