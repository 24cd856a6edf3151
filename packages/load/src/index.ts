/** Load generator: seeded open-loop load whose answers are checked byte by byte. */
export {
	judgeBooking, judgeChat, judgeRefusal, type ItemResult, type OutcomeKind, type Verdict,
} from './item-result.js';
export {sendItem, type SendOptions} from './load-client.js';
export {
	createPlan, DEFAULT_PLAN, type LoadWorkspace, type PlanItem, type PlanOptions, type Reading,
} from './load-plan.js';
export {
	LoadRecorder, summarize, type DurationSummary, type LoadReport,
} from './load-recorder.js';
export {formatLoadReport} from './format-report.js';
export {runLoad, type LoadOptions} from './run-load.js';
