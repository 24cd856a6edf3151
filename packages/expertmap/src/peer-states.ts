/** What a process knows of the engines of its group's other endpoints, from answers to rounds of queries. */
import type {EngineState} from './engine-order.js';
import {MAX_STATE_AGE_MS} from './limits.js';

type View = {
	readonly round: number;
	readonly at: number;
	/** Absent if the endpoint answers but its engine does not. */
	readonly state?: EngineState;
};

/** Views by endpoint id. */
export class PeerViews {
	/** @param firstRound - Numbers rounds from here, so that two askers in one process tell their answers apart. */
	static create(ids: readonly string[], firstRound = 0): PeerViews {
		return new PeerViews(ids, firstRound);
	}

	#ids: readonly string[];
	readonly #views = new Map<string, View>();
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

	/** Time of the last round of queries, ms. */
	get roundAt(): number {
		return this.#roundAt;
	}

	/** Number of the last round. */
	get round(): number {
		return this.#round;
	}

	/** Replaces the endpoints that are queried, as when an instance of the group is replaced. */
	setIds(ids: readonly string[]): void {
		this.#ids = ids;
		for (const id of this.#views.keys()) {
			if (!ids.includes(id)) {
				this.#views.delete(id);
			}
		}
	}

	/** Starts a round and returns its number. */
	startRound(now: number): number {
		this.#round += 1;
		this.#roundAt = now;
		return this.#round;
	}

	/** Takes an answer; answers to earlier rounds than the last one seen are ignored. */
	answered(id: string, round: number, state: EngineState | undefined, now: number): void {
		if (!this.#ids.includes(id) || round > this.#round || round < (this.#views.get(id)?.round ?? 0)) {
			return;
		}

		this.#views.set(id, {round, at: now, ...(state === undefined ? {} : {state})});
	}

	/** True once every endpoint has answered a round. */
	get haveAllAnswered(): boolean {
		return this.#ids.every(id => this.#views.has(id));
	}

	/** States that answer the current round. */
	get answers(): ReadonlyMap<string, EngineState> {
		return this.#select(view => view.round === this.#round);
	}

	/** States read within STATE_AGE_MS. */
	recent(now: number): ReadonlyMap<string, EngineState> {
		return this.#select(view => now - view.at <= MAX_STATE_AGE_MS);
	}

	#select(isWanted: (view: View) => boolean): ReadonlyMap<string, EngineState> {
		const states = new Map<string, EngineState>();
		for (const [id, view] of this.#views) {
			if (view.state !== undefined && isWanted(view)) {
				states.set(id, view.state);
			}
		}

		return states;
	}
}
