/** Replica selection, the routing table, the prefix cache index, subsetting and hashing. */
export {
	hashHex, hashOf, hashPartsHex, initHashing, rendezvousOrder,
} from './hashing.js';
export {type FleetStats} from './fleet-stats.js';
export {isService, servesModel} from './model-name.js';
export {PrefixCacheIndex} from './prefix-cache-index.js';
export {
	FULL_BACKOFF_MS, isLeaving, isSuspected, RoutingTable, SUSPECT_AFTER_MS, type RefusalReason, type TableOptions,
} from './table.js';
export type {
	CacheHint,
	CandidateCost,
	CandidateSource,
	Choice,
	InstanceInfo,
	LeftOutReason,
	LoadReport,
	PrefixLookup,
	PromptPrefix,
	Replica,
	RouteRequest,
	UnreportedWork,
	ChoiceExplanation,
	TokenEstimate,
} from './types.js';
export {chooseReplica, explainChoice} from './choose.js';
export {subsetOf} from './subset.js';
