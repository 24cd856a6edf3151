/** Public index: the agent process that runs beside each rank. An adapter supplies the calls to the engine and the members of the group. */
export {
	RankAgent, type GroupDirectory, type GroupListing, type RankAgentOptions,
} from './agent.js';
export {Coordinator, type CoordinatorOptions, type GroupMember} from './coordinator.js';
export type {
	AgentRequest, OrderResult, PrepareDeltaResponse, RankEngine, RankHoldings,
} from './engine.js';
export {MapDecoder, MapEncoder, type MapDelta} from './map-delta.js';
export {PaceLog, type GroupView} from './pace-log.js';
export {createRemoteEngine} from './remote-engine.js';
export {AgentGroupProbe} from './group-probe.js';
