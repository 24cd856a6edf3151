/** Decides whether and how the reachable members of a stalled group form a new epoch. */
import {hasExecutedGo, hasVersionLoaded, type EngineState} from './engine-order.js';

/**
 * Distance between the epochs of successive re-forms. The low 32 bits are random, so that
 * epoch numbers are not reused: two initiators, or one initiator before and after a restart,
 * must not form the same epoch with different members or maps.
 */
const EPOCH_SPAN = 2 ** 32;

/** State of a member on which a re-form is decided. */
export type ReformInput = {
	readonly self: string;
	/** Own engine's state. */
	readonly state: EngineState;
	/** Members of the last epoch that made a step; a new epoch needs a quorum of them. */
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

/** Creates an epoch number higher than all given ones. */
export function nextEpoch(seen: readonly number[], random: () => number): number {
	const round = Math.floor(Math.max(0, ...seen) / EPOCH_SPAN) + 1;
	return (round * EPOCH_SPAN) + Math.floor(random() * EPOCH_SPAN);
}

/** Peers in the same epoch as this member, or in an epoch whose barrier waits for it. */
export function barrierPeers(input: Pick<ReformInput, 'self' | 'state' | 'peers'>): ReadonlyMap<string, EngineState> {
	return new Map([...input.peers].filter(([id, state]) =>
		id !== input.self && (state.members.includes(input.self) || state.epoch === input.state.epoch)));
}

/** True if the barrier lacks a member, spans two epochs or waits for a gate; otherwise a rank is only slow. */
export function isBarrierBroken(input: Pick<ReformInput, 'self' | 'state' | 'peers'>): boolean {
	const peers = barrierPeers(input);
	return input.state.gate !== undefined || input.state.members.some(id => {
		const peer = id === input.self ? input.state : peers.get(id);
		return peer?.epoch !== input.state.epoch || peer.gate !== undefined;
	});
}

/** More than half of `base`, or exactly half including its lowest id, so that two partitions never both re-form. */
export function isQuorum(members: readonly string[], base: readonly string[]): boolean {
	const present = base.filter(id => members.includes(id));
	const lowest = base.toSorted()[0];
	return present.length * 2 > base.length
		|| (present.length * 2 === base.length && lowest !== undefined && present.includes(lowest));
}

/**
 * True if every member of `base` either takes part or has a restarted engine that is in
 * no epoch. A restarted engine counts towards this condition only, not towards a quorum,
 * since two partitions could both count it.
 */
function isBaseAccountedFor(members: readonly string[], input: ReformInput): boolean {
	return input.base.every(id => members.includes(id) || input.peers.get(id)?.epoch === 0);
}

/** The map version that all engines have loaded: preferably one for which a rank has executed `go`, else the highest. */
function commonVersion(states: readonly EngineState[]): number | undefined {
	const versions = new Set(states.flatMap(state => [state.mapVersion, ...state.prepared]));
	const common = [...versions].filter(version => version !== 0 && states.every(state => hasVersionLoaded(state, version)));
	const ranked = common.toSorted((a, b) => b - a);
	return ranked.find(version => states.some(state => hasExecutedGo(state, version))) ?? ranked[0];
}

/**
 * Plans the epoch that the reachable members can form; undefined without a quorum or a
 * common map. Peers of other epochs are left out if a plan that includes them is not possible.
 */
export function planReform(input: ReformInput): ReformPlan | undefined {
	const peers = barrierPeers(input);
	const sameEpoch = new Map([...peers].filter(([, state]) => state.epoch === input.state.epoch));
	return planWithPeers(peers, input) ?? planWithPeers(sameEpoch, input);
}

function planWithPeers(peers: ReadonlyMap<string, EngineState>, input: ReformInput): ReformPlan | undefined {
	const members = [input.self, ...peers.keys()].toSorted();
	const states = [input.state, ...peers.values()];
	const version = commonVersion(states);
	if (version === undefined || !(isQuorum(members, input.base) || isBaseAccountedFor(members, input))) {
		return undefined;
	}

	return {
		epoch: nextEpoch([...states, ...input.peers.values()].map(state => state.epoch), input.random),
		version,
		step: Math.max(...states.map(state => state.step)) + 1,
		members,
	};
}
