/** Public index: expert maps of groups whose ranks switch at a step and compare nothing. Pure decisions. */
export type {
	ExpertShape, GroupMap, RankExperts, RankOrder, RankState,
} from './types.js';
export {
	nextMapStep, type MapPhase, type MapPlan, type MapStep,
} from './map-change.js';
export {
	initialMap, planMap, skewOfMap, type ExpertLoad, type MapProposal, type PlannerOptions,
} from './set-planner.js';
export {LoadWindow, type RankCounts} from './load-window.js';
export {OrderWatch} from './order-watch.js';
export {countCopies, rankLoads} from './expert-loads.js';
