/** Load generator: seeded open-loop load whose responses are checked byte by byte. */
export {
	checkBookingResponse, checkChatResponse, parseRefusal, type RequestResult, type OutcomeKind, type CheckResult,
} from './item-result.js';
export {sendRequest, type SendOptions} from './load-client.js';
export {
	createPlan, DEFAULT_PLAN, type LoadWorkspace, type PlannedRequest, type PlanOptions, type ReadMode,
} from './load-plan.js';
export {
	LoadRecorder, summarize, type DurationSummary, type LoadReport,
} from './load-recorder.js';
export {formatLoadReport} from './format-report.js';
export {runLoad, type LoadOptions} from './run-load.js';
