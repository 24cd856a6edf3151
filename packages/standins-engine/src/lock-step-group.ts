/**
 * A group of ranks that advance only together. A step of an epoch runs when every
 * member of the epoch has arrived at it in the same epoch and none is held or stalled.
 */
import type {EngineRank} from './rank.js';
import {invariant} from '#core';

/** Largest group the engine supports. */
export const MAX_RANKS = 64;

/** Number of completed steps that are kept for inspection. */
const KEPT_STEPS = 1000;

/** A completed step and the map that each rank used in it. */
export type StepRecord = {
	readonly epoch: number;
	readonly step: number;
	/** Time of completion, ms. */
	readonly at: number;
	/** Map version by rank id. */
	readonly maps: ReadonlyMap<string, number>;
};

/** Ranks of one group by id; a rank that has died is absent until it returns. */
export class LockStepGroup {
	/**
	 * @throws InvariantError for more than 64 ranks or a repeated id.
	 */
	static create(ranks: readonly EngineRank[]): LockStepGroup {
		invariant(ranks.length <= MAX_RANKS, `lock-step group: ${ranks.length} ranks, at most ${MAX_RANKS}`);
		const group = new LockStepGroup();
		for (const rank of ranks) {
			invariant(!group.#ranks.has(rank.id), `lock-step group: rank ${rank.id} appears twice`);
			group.#ranks.set(rank.id, rank);
		}

		return group;
	}

	/** Steps in which two ranks used different maps; always empty unless invariant 1 is broken. */
	readonly mixedSteps: StepRecord[] = [];
	readonly #ranks = new Map<string, EngineRank>();
	readonly #stalledUntil = new Map<string, number>();
	#steps: StepRecord[] = [];
	#completed = 0;

	/** The most recent completed steps, oldest first. */
	get steps(): readonly StepRecord[] {
		return this.#steps;
	}

	/** Number of steps completed since the start. */
	get completed(): number {
		return this.#completed;
	}

	/** The rank with this id, or undefined while it is dead. */
	rank(id: string): EngineRank | undefined {
		return this.#ranks.get(id);
	}

	/** Keeps a rank from arriving at the barrier until the given time (ms); it still answers orders. */
	stall(id: string, untilMs: number): void {
		this.#stalledUntil.set(id, untilMs);
	}

	/** Removes a rank, as when its engine process dies. */
	remove(id: string): void {
		this.#ranks.delete(id);
	}

	/** Adds a rank, as when an engine starts again; it has lost its state. */
	add(rank: EngineRank): void {
		invariant(!this.#ranks.has(rank.id), `lock-step group: rank ${rank.id} is present`);
		invariant(this.#ranks.size < MAX_RANKS, `lock-step group: at most ${MAX_RANKS} ranks`);
		this.#ranks.set(rank.id, rank);
		this.#stalledUntil.delete(rank.id);
	}

	/**
	 * Runs one step of every epoch whose ranks have all arrived.
	 *
	 * @returns The steps completed at this time.
	 */
	tick(now: number): readonly StepRecord[] {
		const done: StepRecord[] = [];
		const epochs = new Map<number, EngineRank>();
		for (const rank of this.#ranks.values()) {
			epochs.set(rank.epoch, rank);
		}

		for (const sample of epochs.values()) {
			const ranks = this.#arrivedRanks(sample, now);
			if (ranks !== undefined) {
				done.push(this.#runStep(ranks, now));
			}
		}

		return done;
	}

	/** The ranks of the barrier of `sample` if all have arrived. */
	#arrivedRanks(sample: EngineRank, now: number): readonly EngineRank[] | undefined {
		if (sample.epoch === 0) {
			return undefined;
		}

		const ranks: EngineRank[] = [];
		for (const id of sample.members) {
			const rank = this.#ranks.get(id);
			if (rank === undefined || !this.#hasArrived(rank, sample, now)) {
				return undefined;
			}

			ranks.push(rank);
		}

		return ranks;
	}

	#hasArrived(rank: EngineRank, sample: EngineRank, now: number): boolean {
		const stalled = (this.#stalledUntil.get(rank.id) ?? 0) > now;
		return rank.epoch === sample.epoch && rank.step === sample.step && !rank.isHeldAtGate && !stalled;
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
