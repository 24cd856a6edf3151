/** Decides whether and how the reachable members of a stuck group form a new epoch. */
import {hasExecutedGo, hasVersionLoaded, type EngineState} from './engine-order.js';

/**
 * Distance between the epochs of successive rounds. The low part is drawn at random:
 * a number that is never used twice keeps two initiators, or one initiator before and
 * after a restart, from forming one epoch with different members or maps.
 */
const EPOCH_SPAN = 2 ** 32;

/** What a member knows when it considers re-forming. */
export type ReformInput = {
	readonly self: string;
	/** Own engine's state. */
	readonly state: EngineState;
	/** Members of the last epoch that made a step; a new one needs a quorum of them. */
	readonly base: readonly string[];
	/** Recent engine states of reachable peers by id. */
	readonly peers: ReadonlyMap<string, EngineState>;
	readonly random: () => number;
};

/** Content of a new epoch. */
export type ReformPlan = {
	readonly epoch: number;
	readonly version: number;
	readonly step: number;
	readonly members: readonly string[];
};

/** The epoch after all those seen. */
export function nextEpoch(seen: readonly number[], random: () => number): number {
	const round = Math.floor(Math.max(0, ...seen) / EPOCH_SPAN) + 1;
	return (round * EPOCH_SPAN) + Math.floor(random() * EPOCH_SPAN);
}

/** Peers that share a barrier with this member, or wait for it in one. */
export function barrierPeers(input: Pick<ReformInput, 'self' | 'state' | 'peers'>): ReadonlyMap<string, EngineState> {
	return new Map([...input.peers].filter(([id, state]) =>
		id !== input.self && (state.members.includes(input.self) || state.epoch === input.state.epoch)));
}

/** True if the barrier lacks a member, spans two epochs or is held by a gate; else a rank merely stalls. */
export function isBarrierBroken(input: Pick<ReformInput, 'self' | 'state' | 'peers'>): boolean {
	const peers = barrierPeers(input);
	return input.state.gate !== undefined || input.state.members.some(id => {
		const peer = id === input.self ? input.state : peers.get(id);
		return peer?.epoch !== input.state.epoch || peer.gate !== undefined;
	});
}

/** More than half of `base`, or exactly half with its lowest id, so that two parts never both re-form. */
export function isQuorum(members: readonly string[], base: readonly string[]): boolean {
	const present = base.filter(id => members.includes(id));
	const lowest = base.toSorted()[0];
	return present.length * 2 > base.length
		|| (present.length * 2 === base.length && lowest !== undefined && present.includes(lowest));
}

/**
 * True if every member of `base` either takes part or has an engine that has started anew
 * and is in no epoch. A fresh engine counts only then: two parts could both count it.
 */
function areAllAccountedFor(members: readonly string[], input: ReformInput): boolean {
	return input.base.every(id => members.includes(id) || input.peers.get(id)?.epoch === 0);
}

/** The version that all states hold: one that a rank has gone to if possible, else the highest in use. */
function commonVersion(states: readonly EngineState[]): number | undefined {
	const versions = new Set(states.flatMap(state => [state.mapVersion, ...state.prepared]));
	const common = [...versions].filter(version => version !== 0 && states.every(state => hasVersionLoaded(state, version)));
	const ranked = common.toSorted((a, b) => b - a);
	return ranked.find(version => states.some(state => hasExecutedGo(state, version))) ?? ranked[0];
}

/**
 * The epoch that the reachable members can form, or undefined without a quorum or a
 * common map. Peers of another epoch are left out if they share no map with this one.
 */
export function planReform(input: ReformInput): ReformPlan | undefined {
	const peers = barrierPeers(input);
	const sameEpoch = new Map([...peers].filter(([, state]) => state.epoch === input.state.epoch));
	return planWith(peers, input) ?? planWith(sameEpoch, input);
}

function planWith(peers: ReadonlyMap<string, EngineState>, input: ReformInput): ReformPlan | undefined {
	const members = [input.self, ...peers.keys()].toSorted();
	const states = [input.state, ...peers.values()];
	const version = commonVersion(states);
	if (version === undefined || !(isQuorum(members, input.base) || areAllAccountedFor(members, input))) {
		return undefined;
	}

	return {
		epoch: nextEpoch([...states, ...input.peers.values()].map(state => state.epoch), input.random),
		version,
		step: Math.max(...states.map(state => state.step)) + 1,
		members,
	};
}
