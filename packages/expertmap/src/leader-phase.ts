/** Phases of a map leader, and what it derives from the engine states. */
import type {EngineState, ExpertMap} from './engine-order.js';

/** A map and its version number. */
export type VersionedMap = {
	readonly version: number;
	readonly map: ExpertMap;
};

/** Value of the platform object `groups/NAME/map`. */
export type MapRecord = {
	/** Map in use. */
	readonly installed: VersionedMap;
	/** Map of a change that was begun and whose outcome is not recorded yet. */
	readonly planned?: VersionedMap;
	/**
	 * Highest version that was ever planned. The version of a cancelled change is not reused: engines refuse
	 * a version that they have dropped, since a late order could otherwise load it again.
	 */
	readonly highest: number;
	/** Fencing token of the leader that wrote the record. */
	readonly fence: number;
};

/** Progress of a message that is repeated to the endpoints that have not acknowledged it. */
type Broadcast = {
	readonly since: number;
	readonly sentAt: number;
	/** Endpoints that have acknowledged the message. */
	readonly acknowledged: ReadonlySet<string>;
};

/** A map change in progress, and the epoch and endpoints that it applies to. */
export type MapChange = {
	readonly plan: VersionedMap;
	readonly epoch: number;
	readonly members: readonly string[];
};

/** A new epoch that endpoints outside the current one are to join. */
export type Invitation = {
	/** Members of the new epoch. */
	readonly members: readonly string[];
	/** Members of the current epoch. */
	readonly base: readonly string[];
	/** Member of the current epoch that enters the new one first. */
	readonly initiator: string;
	/** First step. */
	readonly step: number;
};

/** Endpoints that have to load the map in use, and the epoch that they then join. */
export type JoinPlan = {
	readonly joiners: readonly string[];
	readonly invitation: Invitation;
};

/** Phase of a leader. */
export type LeaderPhase
	/** Reads all engine states to determine the outcome of the last change. */
	= | {readonly kind: 'settling'}
		| {readonly kind: 'idle'}
		/** Waits until the platform has stored `value`, then begins the change `next` if there is one. */
		| {readonly kind: 'recording'; readonly id: number; readonly value: MapRecord; readonly sentAt: number; readonly next?: MapChange}
		| (MapChange & Broadcast & {readonly kind: 'preparing'})
		/** Reads the current step. */
		| (MapChange & {readonly kind: 'asking'; readonly since: number})
		| (MapChange & Broadcast & {readonly kind: 'gating' | 'going'; readonly step: number})
		| (MapChange & Broadcast & {readonly kind: 'cancelling'})
		/** Endpoints outside the epoch (`members`) load the map in use. */
		| (MapChange & Broadcast & {readonly kind: 'joining'; readonly invitation: Invitation})
		/** The current members and those that have loaded the map enter a new epoch. */
		| {readonly kind: 'inviting'; readonly invitation: Invitation; readonly version: number; readonly epoch: number; readonly since: number; readonly sentAt: number}
		/** The lease has expired; final. */
		| {readonly kind: 'lapsed'};

/** A state of the epoch that most engines are in, the highest one in case of a tie; undefined if no engine is in an epoch. */
export function mostCommonEpoch(states: ReadonlyMap<string, EngineState>): EngineState | undefined {
	const counts = new Map<number, number>();
	for (const {epoch} of states.values()) {
		counts.set(epoch, (counts.get(epoch) ?? 0) + (epoch === 0 ? 0 : 1));
	}

	const ranked = [...states.values()].toSorted((a, b) =>
		((counts.get(b.epoch) ?? 0) - (counts.get(a.epoch) ?? 0)) || (b.epoch - a.epoch));
	return ranked[0]?.epoch === 0 ? undefined : ranked[0];
}

/**
 * The map version that the epoch uses, if the states of all its members are known and none has a gate.
 * An engine in another epoch has left this one, so its map is ignored.
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
 * Plans a new epoch with the reachable endpoints outside the current one, or with all
 * endpoints if none has joined an epoch yet or the epoch does not use the installed map.
 *
 * @returns Undefined if there are none, or if a member of the current epoch is unreachable.
 */
export function planJoin(self: string, ids: readonly string[], states: ReadonlyMap<string, EngineState>, installed: number): JoinPlan | undefined {
	const main = mostCommonEpoch(states);
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
