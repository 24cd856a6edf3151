/** Public index: the process beside a rank. An adapter gives it the engine's calls and the members of the group. */
export {
	RankAgent, type GroupDirectory, type GroupListing, type RankAgentOptions,
} from './agent.js';
export {Coordinator, type CoordinatorParts, type GroupMember} from './coordinator.js';
export type {
	AgentRequest, OrderOutcome, RankEngine, RankHoldings,
} from './engine.js';
export {engineBehind} from './remote-engine.js';
export {AgentGroupProbe} from './group-probe.js';
