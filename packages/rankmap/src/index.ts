/** Public index: decisions about the expert maps of groups whose ranks switch at a given step without comparing maps. Pure functions and classes. */
export type {
	ExpertShape, GroupMap, ObservedRank, RankExperts, RankOrder, RankState,
} from './types.js';
export {
	decideMapChange, type MapChangeDecision, type MapChangePhase, type MapPlan,
} from './map-change.js';
export {
	initialMap, planMap, skewOfMap, type ExpertLoad, type MapProposal, type PlannerOptions,
} from './set-planner.js';
export {LoadWindow, type RankCounts} from './load-window.js';
export {OrderMonitor} from './order-monitor.js';
export {countCopies, rankLoads} from './expert-loads.js';
