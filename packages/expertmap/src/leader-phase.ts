/** Phases of a map leader and what it reads from the engines' states. */
import type {EngineState, ExpertMap} from './engine-order.js';

/** A map under its version number. */
export type VersionedMap = {
	readonly version: number;
	readonly map: ExpertMap;
};

/** Value of the platform object `groups/NAME/map`. */
export type MapRecord = {
	/** Map in force. */
	readonly installed: VersionedMap;
	/** Change that was begun and whose result is not recorded yet. */
	readonly planned?: VersionedMap;
	/**
	 * Highest version that was ever planned. An undone version is not used again: engines refuse
	 * a version that they have dropped, since a late order could otherwise bring it back.
	 */
	readonly highest: number;
	/** Fence of the leader that wrote the record. */
	readonly fence: number;
};

/** Messages that are repeated to the endpoints that have not answered. */
type Tally = {
	readonly since: number;
	readonly sentAt: number;
	/** Endpoints that have answered. */
	readonly done: ReadonlySet<string>;
};

/** A change in progress: the endpoints of one epoch that make it. */
export type Round = {
	readonly plan: VersionedMap;
	readonly epoch: number;
	readonly members: readonly string[];
};

/** A new epoch that endpoints outside the present one are to join. */
export type Invitation = {
	/** Members of the new epoch. */
	readonly members: readonly string[];
	/** Members of the present epoch. */
	readonly base: readonly string[];
	/** Member of the present epoch that enters the new one first. */
	readonly initiator: string;
	/** First step. */
	readonly step: number;
};

/** Endpoints that have to load the map in force, and the epoch they then join. */
export type JoinPlan = {
	readonly joiners: readonly string[];
	readonly invitation: Invitation;
};

/** Phase of a leader. */
export type LeaderPhase
	/** Reads all states to find out how the last change ended. */
	= | {readonly kind: 'settling'}
		| {readonly kind: 'idle'}
		/** Waits for the platform to take `value`, then begins the change `next` if there is one. */
		| {readonly kind: 'recording'; readonly id: number; readonly value: MapRecord; readonly sentAt: number; readonly next?: Round}
		| (Round & Tally & {readonly kind: 'preparing'})
		/** Reads the current step. */
		| (Round & {readonly kind: 'asking'; readonly since: number})
		| (Round & Tally & {readonly kind: 'gating' | 'going'; readonly step: number})
		| (Round & Tally & {readonly kind: 'cancelling'})
		/** Endpoints outside the epoch (`members`) load the map in force. */
		| (Round & Tally & {readonly kind: 'joining'; readonly invitation: Invitation})
		/** The old members and those that have loaded the map enter a new epoch. */
		| {readonly kind: 'inviting'; readonly invitation: Invitation; readonly version: number; readonly epoch: number; readonly since: number; readonly sentAt: number}
		/** The lease has ended; final. */
		| {readonly kind: 'lapsed'};

/** The epoch that most states are in, the highest among equals; undefined without any. */
export function mainEpoch(states: ReadonlyMap<string, EngineState>): EngineState | undefined {
	const counts = new Map<number, number>();
	for (const {epoch} of states.values()) {
		counts.set(epoch, (counts.get(epoch) ?? 0) + (epoch === 0 ? 0 : 1));
	}

	const ranked = [...states.values()].toSorted((a, b) =>
		((counts.get(b.epoch) ?? 0) - (counts.get(a.epoch) ?? 0)) || (b.epoch - a.epoch));
	return ranked[0]?.epoch === 0 ? undefined : ranked[0];
}

/**
 * The version that the epoch uses, if all its members have answered and none has a gate.
 * An engine in another epoch has left this one, so its map does not count.
 */
export function settledVersion(main: EngineState, states: ReadonlyMap<string, EngineState>): number | undefined {
	const isSettled = main.members.every(id => {
		const state = states.get(id);
		const isSame = state?.gate === undefined && state?.mapVersion === main.mapVersion;
		return state !== undefined && (state.epoch !== main.epoch || isSame);
	});
	return isSettled ? main.mapVersion : undefined;
}

/**
 * Plans a new epoch with the reachable endpoints outside the present one, or with all
 * endpoints if none has joined an epoch yet or the epoch does not use the installed map.
 *
 * @returns Undefined if there are none, or if a member of the present epoch cannot be reached.
 */
export function planJoin(self: string, ids: readonly string[], states: ReadonlyMap<string, EngineState>, installed: number): JoinPlan | undefined {
	const main = mainEpoch(states);
	const joiners = [...states.keys()].filter(id => states.get(id)?.epoch !== main?.epoch || main?.mapVersion !== installed);
	const needed = main?.members ?? ids;
	if (joiners.length === 0 || !needed.every(id => states.has(id))) {
		return undefined;
	}

	const members = [...new Set([...needed, ...joiners])].toSorted();
	const initiator = main === undefined ? self : members.find(id => states.get(id)?.epoch === main.epoch) ?? self;
	const step = Math.max(...[...states.values()].map(state => state.step)) + 1;
	return {
		joiners, invitation: {
			members, base: main?.members ?? members, initiator, step,
		},
	};
}
