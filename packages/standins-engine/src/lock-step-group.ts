/**
 * A group of ranks that advance in lock-step. A step of an epoch runs when every member
 * of the epoch is in that epoch and at that step, and none is held at a gate or stalled.
 */
import type {EngineRank} from './rank.js';
import {invariant} from '#core';

/** Maximum number of ranks in a group. */
export const MAX_RANKS = 64;

/** Minimum number of completed steps kept for inspection. */
const KEPT_STEPS = 1000;

/** A completed step and the map that each rank used in it. */
export type StepRecord = {
	readonly epoch: number;
	readonly step: number;
	/** Time of completion in ms. */
	readonly at: number;
	/** Map version by rank id. */
	readonly maps: ReadonlyMap<string, number>;
};

/** Ranks of one group by id; the rank of a crashed engine is absent until the engine restarts. */
export class LockStepGroup {
	/**
	 * @throws InvariantError for more than 64 ranks or a duplicate id.
	 */
	static create(ranks: readonly EngineRank[]): LockStepGroup {
		invariant(ranks.length <= MAX_RANKS, `lock-step group: ${ranks.length} ranks, at most ${MAX_RANKS}`);
		const group = new LockStepGroup();
		for (const rank of ranks) {
			invariant(!group.#ranks.has(rank.id), `lock-step group: rank ${rank.id} is duplicated`);
			group.#ranks.set(rank.id, rank);
		}

		return group;
	}

	/** Steps in which two ranks used different maps; always empty unless invariant 1 is violated. */
	readonly mixedSteps: StepRecord[] = [];
	readonly #ranks = new Map<string, EngineRank>();
	readonly #stalledUntil = new Map<string, number>();
	#steps: StepRecord[] = [];
	#completed = 0;

	/** The most recent completed steps, oldest first. */
	get steps(): readonly StepRecord[] {
		return this.#steps;
	}

	/** Number of steps completed since startup. */
	get completed(): number {
		return this.#completed;
	}

	/** The rank with this id; undefined while it is absent. */
	rank(id: string): EngineRank | undefined {
		return this.#ranks.get(id);
	}

	/** Keeps a rank from arriving at the barrier until `untilMs`; it still executes orders. */
	stall(id: string, untilMs: number): void {
		this.#stalledUntil.set(id, untilMs);
	}

	/** Removes a rank when its engine crashes or stops. */
	remove(id: string): void {
		this.#ranks.delete(id);
	}

	/** Adds a rank when its engine starts; a restarted engine has lost its state. */
	add(rank: EngineRank): void {
		invariant(!this.#ranks.has(rank.id), `lock-step group: rank ${rank.id} already exists`);
		invariant(this.#ranks.size < MAX_RANKS, `lock-step group: at most ${MAX_RANKS} ranks`);
		this.#ranks.set(rank.id, rank);
		this.#stalledUntil.delete(rank.id);
	}

	/**
	 * Runs one step of every epoch whose ranks have all arrived.
	 *
	 * @returns The completed steps.
	 */
	tick(now: number): readonly StepRecord[] {
		const completed: StepRecord[] = [];
		const rankByEpoch = new Map<number, EngineRank>();
		for (const rank of this.#ranks.values()) {
			rankByEpoch.set(rank.epoch, rank);
		}

		for (const reference of rankByEpoch.values()) {
			const ranks = this.#arrivedRanks(reference, now);
			if (ranks !== undefined) {
				completed.push(this.#runStep(ranks, now));
			}
		}

		return completed;
	}

	/** Ranks in the barrier of `reference`; undefined unless all have arrived. */
	#arrivedRanks(reference: EngineRank, now: number): readonly EngineRank[] | undefined {
		if (reference.epoch === 0) {
			return undefined;
		}

		const ranks: EngineRank[] = [];
		for (const id of reference.members) {
			const rank = this.#ranks.get(id);
			if (rank === undefined || !this.#hasArrived(rank, reference, now)) {
				return undefined;
			}

			ranks.push(rank);
		}

		return ranks;
	}

	#hasArrived(rank: EngineRank, reference: EngineRank, now: number): boolean {
		const isStalled = (this.#stalledUntil.get(rank.id) ?? 0) > now;
		return rank.epoch === reference.epoch && rank.step === reference.step && !rank.isHeldAtGate && !isStalled;
	}

	#runStep(ranks: readonly EngineRank[], now: number): StepRecord {
		const epoch = ranks[0]?.epoch ?? 0;
		const step = ranks[0]?.step ?? 0;
		const maps = new Map(ranks.map(rank => [rank.id, rank.advance()] as const));
		const record = {
			epoch, step, at: now, maps,
		};
		this.#completed += 1;
		this.#steps.push(record);
		if (this.#steps.length > 2 * KEPT_STEPS) {
			this.#steps = this.#steps.slice(-KEPT_STEPS);
		}

		if (new Set(maps.values()).size > 1) {
			this.mixedSteps.push(record);
		}

		return record;
	}
}
