/** Engine states of the group's other endpoints, collected in query rounds. */
import type {EngineState} from './engine-order.js';
import {MAX_STATE_AGE_MS} from './limits.js';

type PeerState = {
	readonly round: number;
	readonly at: number;
	/** Absent if the endpoint responds but its engine does not. */
	readonly state?: EngineState;
};

/** Last known engine states by endpoint id. */
export class PeerStates {
	/** @param firstRound - First round number; two instances in one process use disjoint ranges to tell their responses apart. */
	static create(ids: readonly string[], firstRound = 0): PeerStates {
		return new PeerStates(ids, firstRound);
	}

	#ids: readonly string[];
	readonly #states = new Map<string, PeerState>();
	#round: number;
	#roundAt = -Infinity;

	private constructor(ids: readonly string[], firstRound: number) {
		this.#ids = ids;
		this.#round = firstRound;
	}

	/** Endpoints that are queried. */
	get ids(): readonly string[] {
		return this.#ids;
	}

	/** Time of the last query round, ms. */
	get roundAt(): number {
		return this.#roundAt;
	}

	/** Number of the last round. */
	get round(): number {
		return this.#round;
	}

	/** Replaces the endpoints that are queried, for example when an instance of the group is replaced. */
	setIds(ids: readonly string[]): void {
		this.#ids = ids;
		for (const id of this.#states.keys()) {
			if (!ids.includes(id)) {
				this.#states.delete(id);
			}
		}
	}

	/** Starts a query round and returns its number. */
	startRound(now: number): number {
		this.#round += 1;
		this.#roundAt = now;
		return this.#round;
	}

	/** Records the response of an endpoint; a response to an earlier round than its last recorded one is ignored. */
	recordState(id: string, round: number, state: EngineState | undefined, now: number): void {
		if (!this.#ids.includes(id) || round > this.#round || round < (this.#states.get(id)?.round ?? 0)) {
			return;
		}

		this.#states.set(id, {round, at: now, ...(state === undefined ? {} : {state})});
	}

	/** True once every endpoint has responded to any round. */
	get haveAllResponded(): boolean {
		return this.#ids.every(id => this.#states.has(id));
	}

	/** States received in the current round. */
	get currentRoundStates(): ReadonlyMap<string, EngineState> {
		return this.#select(peer => peer.round === this.#round);
	}

	/** States received within MAX_STATE_AGE_MS. */
	recentStates(now: number): ReadonlyMap<string, EngineState> {
		return this.#select(peer => now - peer.at <= MAX_STATE_AGE_MS);
	}

	#select(isWanted: (peer: PeerState) => boolean): ReadonlyMap<string, EngineState> {
		const states = new Map<string, EngineState>();
		for (const [id, peer] of this.#states) {
			if (peer.state !== undefined && isWanted(peer)) {
				states.set(id, peer.state);
			}
		}

		return states;
	}
}
