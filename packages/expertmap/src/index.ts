/** Public exports: the protocol that switches the expert map of a group atomically between two steps, and the rebalancing planner. */
export * from './engine-order.js';
export * from './messages.js';
export * from './limits.js';
export type {EngineResponse, EngineEffect} from './engine-queue.js';
export type {MemberEffect, MemberOptions} from './member-core.js';
export {MapMember, type MemberStatus} from './member.js';
export {mostCommonEpoch, type MapRecord, type VersionedMap} from './leader-phase.js';
export type * from './leader-options.js';
export {MapLeader} from './leader.js';
export * from './placement.js';
export * from './baseline-placements.js';
export {
	RebalancePlanner, type FixedHours, type PlanDecision, type PlannerOptions,
} from './planner.js';
