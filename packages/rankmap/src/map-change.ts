/**
 * Decides the next orders of a change of a group's map, from fresh states of all ranks.
 *
 * Ranks neither compare maps nor fence orders, and an order without an answer may act seconds later.
 * Three rules keep all ranks on one map in every step:
 *
 * - Rank 0 is held at the step of the switch before any rank is armed, and released only after all
 *   ranks were read back as armed for exactly that step.
 * - A change that has begun to arm is always completed, never undone: a late arming order then either
 *   repeats what was done or comes after its step has begun, where the rank refuses it.
 * - A version is never used for two maps.
 *
 * The decision needs no memory of what was ordered before, so a new coordinator goes on from
 * the states alone, and two coordinators at a time only repeat one another's orders.
 */
import type {GroupMap, RankOrder, RankState} from './types.js';

/** A map to bring into force. */
export type MapPlan = {
	/** Higher than all versions that any rank has had, and never used before. */
	readonly version: number;
	readonly map: GroupMap;
};

/** What to do next. */
export type MapStep
	/** Nothing is under way; a new plan may be made. */
	= | {readonly kind: 'settled'}
		/** The states do not show one whole group; nothing can be decided. */
		| {readonly kind: 'unclear'; readonly reason: string}
		/** Wait for what was ordered. */
		| {readonly kind: 'wait'; readonly phase: MapPhase}
		| {readonly kind: 'order'; readonly phase: MapPhase; readonly orders: readonly RankOrder[]};

export type MapPhase = 'preparing' | 'holding' | 'arming' | 'releasing' | 'switching';

/** The switch happens at least this many steps after the one in progress, so that the orders arrive before the group has to wait. */
const LEAST_STEPS_AHEAD = 2;

/** For each so many ranks it happens one step later: reading, arming and reading back takes the coordinator about 4 ms a rank, a step about 60. */
const RANKS_PER_STEP_AHEAD = 14;

/** The rank that is held during a switch. */
const HELD_RANK = 0;

/**
 * Decides the next step.
 *
 * @param states - One fresh state of each rank, in any order.
 * @param plan - Map to bring into force; undefined to complete only what is under way.
 */
export function nextMapStep(states: readonly RankState[], plan: MapPlan | undefined): MapStep {
	const problem = findProblem(states);
	if (problem !== undefined) {
		return {kind: 'unclear', reason: problem};
	}

	const holder = states.find(state => state.rank === HELD_RANK)!;
	if (holder.heldStep !== undefined) {
		return whileHeld(states, holder, holder.heldStep);
	}

	if (states.some(state => state.armed !== undefined) || states.some(state => state.map !== holder.map)) {
		return {kind: 'wait', phase: 'switching'};
	}

	if (plan === undefined || holder.map >= plan.version) {
		return {kind: 'settled'};
	}

	return towards(plan, states, holder);
}

/** Why the states do not show one open group in one epoch; undefined if they do. */
function findProblem(states: readonly RankState[]): string | undefined {
	const first = states[0];
	if (first === undefined) {
		return 'no rank answered';
	}

	const ranks = new Set(states.map(state => state.rank));
	if (states.length !== first.size || ranks.size !== first.size) {
		return `${ranks.size} of ${first.size} ranks answered`;
	}

	if (states.some(state => state.group !== first.group || state.epoch !== first.epoch)) {
		return 'ranks are in different epochs';
	}

	return states.every(state => state.isOpen) ? undefined : 'the group is not open';
}

/** A held group goes on only on one map: all ranks armed for the held step, or none able to be. */
function whileHeld(states: readonly RankState[], holder: RankState, step: number): MapStep {
	const version = holder.prepared;
	const canSwitch = version !== undefined && version > holder.map && states.every(state => state.prepared === version);
	if (!canSwitch) {
		// Ranks are armed only when all have prepared one version, so no order to arm can be on its way.
		return release(holder, step);
	}

	const unarmed = states.filter(state => state.armed?.version !== version || state.armed.step !== step);
	if (unarmed.length === 0) {
		return release(holder, step);
	}

	return {
		kind: 'order',
		phase: 'arming',
		orders: unarmed.map(state => orderTo(state, {kind: 'arm', version, step})),
	};
}

function release(holder: RankState, step: number): MapStep {
	return {kind: 'order', phase: 'releasing', orders: [orderTo(holder, {kind: 'go', step})]};
}

function towards(plan: MapPlan, states: readonly RankState[], holder: RankState): MapStep {
	const unprepared = states.filter(state => state.prepared !== plan.version);
	if (unprepared.length === 0) {
		return {kind: 'order', phase: 'holding', orders: [orderTo(holder, {kind: 'hold', step: holder.step + LEAST_STEPS_AHEAD + Math.floor(states.length / RANKS_PER_STEP_AHEAD)})]};
	}

	const free = unprepared.filter(state => !state.isBusy);
	if (free.length === 0) {
		return {kind: 'wait', phase: 'preparing'};
	}

	const {version, map} = plan;
	return {kind: 'order', phase: 'preparing', orders: free.map(state => orderTo(state, {kind: 'prepare', version, map}))};
}

function orderTo(state: RankState, action: RankOrder['action']): RankOrder {
	return {
		rank: state.rank, epoch: state.epoch, sequence: state.sequence, action,
	};
}
