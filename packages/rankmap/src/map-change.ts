/**
 * Decides the next orders in a change of a group's expert map from the states of all ranks.
 *
 * Ranks neither compare maps nor fence orders, and an unanswered order may take effect seconds later.
 * These invariants ensure that all ranks use the same map in every step:
 *
 * - Rank 0 is held at the step of the switch before any rank is armed, and released only after all
 *   ranks have been read back as armed for exactly that step.
 * - Rank 0 is held only after all ranks have been read as prepared, and gets the order to prepare another map before
 *   any other rank does, which voids an unanswered hold. So while it is held for a map, all ranks have that map, even if
 *   a lagging state does not show it yet.
 * - Once arming may have begun, the change is always completed and never rolled back: a late arm order is then
 *   either a repetition or arrives after its step has begun, when the rank refuses it.
 * - A version is never used for two maps.
 *
 * The decision is stateless: a new coordinator continues from the rank states alone, and
 * concurrent coordinators only repeat each other's orders.
 */
import type {
	GroupMap, ObservedRank, RankOrder, RankState,
} from './types.js';

/** A map to put into use. */
export type MapPlan = {
	/** Higher than every version that any rank has had; never reused. */
	readonly version: number;
	readonly map: GroupMap;
};

/** What the coordinator does next. */
export type MapChangeDecision
	/** No change is in progress; a new plan may be made. */
	= | {readonly kind: 'settled'}
		/** The states do not show one complete, open group; nothing can be decided. */
		| {readonly kind: 'blocked'; readonly reason: string}
		/** Orders are in progress. */
		| {readonly kind: 'wait'; readonly phase: MapChangePhase}
		| {
			readonly kind: 'order';
			readonly phase: MapChangePhase;
			/** The other orders are sent only after this one has been executed. */
			readonly first?: RankOrder | undefined;
			readonly orders: readonly RankOrder[];
			/** Why a hold is released. */
			readonly reason?: string;
		};

export type MapChangePhase = 'preparing' | 'holding' | 'arming' | 'releasing' | 'switching';

/** Minimum number of steps between the current step and the switch, so that the orders arrive before the group has to wait. */
const MIN_STEPS_AHEAD = 2;

/** One more step of lead time per this many ranks: reading, arming and reading back take about 4 ms per rank, and a step takes about 60 ms. */
const RANKS_PER_EXTRA_STEP = 14;

/** The rank that is held during a switch. */
const HELD_RANK = 0;

/**
 * Decides the next action of a map change.
 *
 * @param states - One state of each rank, in any order. None may be lagging unless rank 0 is held.
 * @param plan - Map to put into use; undefined to only complete a change in progress.
 */
export function decideMapChange(states: readonly ObservedRank[], plan: MapPlan | undefined): MapChangeDecision {
	const problem = findProblem(states);
	if (problem !== undefined) {
		return {kind: 'blocked', reason: problem};
	}

	const heldRank = states.find(state => state.rank === HELD_RANK)!;
	if (heldRank.heldStep !== undefined) {
		return decideWhileHeld(states, heldRank, heldRank.heldStep);
	}

	if (states.some(state => state.armed !== undefined) || states.some(state => state.map !== heldRank.map)) {
		return {kind: 'wait', phase: 'switching'};
	}

	if (plan === undefined || heldRank.map >= plan.version) {
		return {kind: 'settled'};
	}

	return advancePlan(plan, states, heldRank);
}

/** Reason why the states do not show one complete, open group in one epoch; undefined if they do. */
function findProblem(states: readonly RankState[]): string | undefined {
	const first = states[0];
	if (first === undefined) {
		return 'no rank responded';
	}

	const ranks = new Set(states.map(state => state.rank));
	if (states.length !== first.size || ranks.size !== first.size) {
		return `${ranks.size} of ${first.size} ranks responded`;
	}

	if (states.some(state => state.group !== first.group || state.epoch !== first.epoch)) {
		return 'ranks are in different epochs';
	}

	return states.every(state => state.isOpen) ? undefined : 'the group is not open';
}

/** Arms all ranks of a held group, and releases it once all are armed for the held step. */
function decideWhileHeld(states: readonly ObservedRank[], heldRank: RankState, step: number): MapChangeDecision {
	const version = heldRank.prepared;
	if (version === undefined || version <= heldRank.map) {
		return releaseHold(heldRank, step, 'rank 0 has prepared no map');
	}

	const unarmed = states.filter(state => state.armed?.version !== version || state.armed.step !== step);
	if (unarmed.length === 0) {
		return releaseHold(heldRank, step, 'all ranks are armed');
	}

	if (isSwitchImpossible(states, version, step)) {
		return releaseHold(heldRank, step, `map ${version} is prepared by ${states.filter(state => state.prepared === version).length} of ${states.length} ranks`);
	}

	return {
		kind: 'order',
		phase: 'arming',
		orders: unarmed.map(state => createOrder(state, {kind: 'arm', version, step})),
	};
}

/** Whether a rank certainly lacks the map and none is armed: the hold then comes from a coordinator of an earlier version, and no arm order was sent. */
function isSwitchImpossible(states: readonly ObservedRank[], version: number, step: number): boolean {
	return states.every(({isLagging, armed}) => !isLagging && armed?.step !== step) && states.some(({prepared}) => prepared !== version);
}

function releaseHold(heldRank: RankState, step: number, reason: string): MapChangeDecision {
	return {
		kind: 'order', phase: 'releasing', orders: [createOrder(heldRank, {kind: 'go', step})], reason,
	};
}

function advancePlan(plan: MapPlan, states: readonly RankState[], heldRank: RankState): MapChangeDecision {
	const unprepared = states.filter(state => state.prepared !== plan.version);
	if (unprepared.length === 0) {
		return {kind: 'order', phase: 'holding', orders: [createOrder(heldRank, {kind: 'hold', step: heldRank.step + MIN_STEPS_AHEAD + Math.floor(states.length / RANKS_PER_EXTRA_STEP)})]};
	}

	const idle = unprepared.filter(state => !state.isBusy);
	if (idle.length === 0) {
		return {kind: 'wait', phase: 'preparing'};
	}

	const {version, map} = plan;
	const prepare = (state: RankState) => createOrder(state, {kind: 'prepare', version, map});
	return {
		kind: 'order',
		phase: 'preparing',
		first: idle.includes(heldRank) ? prepare(heldRank) : undefined,
		orders: idle.filter(state => state !== heldRank).map(state => prepare(state)),
	};
}

function createOrder(state: RankState, action: RankOrder['action']): RankOrder {
	return {
		rank: state.rank, epoch: state.epoch, sequence: state.sequence, action,
	};
}
