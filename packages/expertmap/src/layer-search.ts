/**
 * Local search on the placement of one layer: single replacements and swaps of slots
 * that reduce a smooth maximum of the rank loads.
 */
import {
	rankLoads, skewOf, type LayerLoad, type LayerSlots,
} from './placement.js';

/** Placement reached by the search after a number of moves. */
export type SearchPoint = {
	readonly slots: LayerSlots;
	readonly moves: number;
	readonly skew: number;
};

/** Number of the most loaded ranks whose experts are considered in each step. */
const MOST_LOADED_RANK_COUNT = 2;

/** Rank `rank` replaces the expert in `slot` by `expert`. A step is one replacement, or two that form a swap. */
type Replacement = {readonly rank: number; readonly slot: number; readonly expert: number};

/** Mutable placement of one layer. */
class WorkingPlacement {
	readonly slots: number[][];
	readonly loads: number[];
	readonly #load: LayerLoad;
	readonly #mean: number;
	/** Load change by rank while a step is evaluated, and the ranks where it is set; reused to avoid allocations. */
	readonly #loadDeltas: Float64Array;
	readonly #changedRanks: number[] = [];
	/** Ranks that hold each expert, one entry per copy. */
	readonly #ranksByExpert: number[][];

	constructor(slots: LayerSlots, load: LayerLoad) {
		this.slots = slots.map(experts => [...experts]);
		this.#load = load;
		this.loads = [...rankLoads(slots, load)];
		this.#mean = this.loads.reduce((sum, value) => sum + value, 0) / this.loads.length;
		this.#loadDeltas = new Float64Array(slots.length);
		this.#ranksByExpert = load.map(() => []);
		for (const [rank, experts] of this.slots.entries()) {
			for (const expert of experts) {
				this.#ranksByExpert[expert]?.push(rank);
			}
		}
	}

	copies(expert: number): number {
		return this.#ranksByExpert[expert]?.length ?? 0;
	}

	/** Change of the cost if the replacements were applied. */
	costDelta(replacements: readonly Replacement[]): number {
		this.#addDeltas(replacements);
		let cost = 0;
		for (const rank of this.#changedRanks) {
			const before = this.loads[rank] ?? 0;
			cost += this.#penalty(before + (this.#loadDeltas[rank] ?? 0)) - this.#penalty(before);
		}

		this.#clearDeltas();
		return cost;
	}

	apply(replacements: readonly Replacement[]): void {
		this.#addDeltas(replacements);
		for (const rank of this.#changedRanks) {
			this.loads[rank] = (this.loads[rank] ?? 0) + (this.#loadDeltas[rank] ?? 0);
		}

		this.#clearDeltas();
		for (const {rank, slot, expert} of replacements) {
			const experts = this.slots[rank] ?? [];
			const ranksOfReplaced = this.#ranksByExpert[experts[slot] ?? -1];
			ranksOfReplaced?.splice(ranksOfReplaced.indexOf(rank), 1);
			this.#ranksByExpert[expert]?.push(rank);
			experts[slot] = expert;
		}
	}

	/** Term of a smooth maximum: with the eighth power, the most loaded ranks dominate, and placements with equal maximum can still be compared. */
	#penalty(load: number): number {
		const square = (load / this.#mean) ** 2;
		return (square * square) ** 2;
	}

	#addDelta(rank: number, delta: number): void {
		if (this.#loadDeltas[rank] === 0) {
			this.#changedRanks.push(rank);
		}

		this.#loadDeltas[rank] = (this.#loadDeltas[rank] ?? 0) + delta;
	}

	#clearDeltas(): void {
		for (const rank of this.#changedRanks) {
			this.#loadDeltas[rank] = 0;
		}

		this.#changedRanks.length = 0;
	}

	#loadPerCopy(expert: number, copies: number): number {
		return (this.#load[expert] ?? 0) / copies;
	}

	#addDeltas(replacements: readonly Replacement[]): void {
		const [first, second] = replacements;
		if (first === undefined) {
			return;
		}

		const previous = this.slots[first.rank]?.[first.slot] ?? 0;
		if (second !== undefined) {
			const delta = this.#loadPerCopy(first.expert, this.copies(first.expert)) - this.#loadPerCopy(previous, this.copies(previous));
			this.#addDelta(first.rank, delta);
			this.#addDelta(second.rank, -delta);
			return;
		}

		const copiesOfAdded = this.copies(first.expert);
		const copiesOfRemoved = this.copies(previous);
		for (const rank of this.#ranksByExpert[first.expert] ?? []) {
			this.#addDelta(rank, this.#loadPerCopy(first.expert, copiesOfAdded + 1) - this.#loadPerCopy(first.expert, copiesOfAdded));
		}

		for (const rank of this.#ranksByExpert[previous] ?? []) {
			this.#addDelta(rank, this.#loadPerCopy(previous, copiesOfRemoved - 1) - this.#loadPerCopy(previous, copiesOfRemoved));
		}

		this.#addDelta(first.rank, this.#loadPerCopy(first.expert, copiesOfAdded + 1) - this.#loadPerCopy(previous, copiesOfRemoved - 1));
	}
}

/** Candidate steps: copies of the most loaded ranks' experts into any slot, and swaps with their slots. */
function * candidateSteps(placement: WorkingPlacement): Generator<readonly Replacement[]> {
	const mostLoaded = placement.loads.map((load, rank) => ({load, rank})).toSorted((a, b) => b.load - a.load).slice(0, MOST_LOADED_RANK_COUNT);
	const hotExperts = new Set(mostLoaded.flatMap(({rank}) => placement.slots[rank] ?? []));
	for (const [rank, experts] of placement.slots.entries()) {
		for (const [slot, previous] of experts.entries()) {
			for (const expert of hotExperts) {
				if (expert !== previous && placement.copies(previous) > 1) {
					yield [{rank, slot, expert}];
				}
			}

			yield * swapSteps(placement, mostLoaded.map(entry => entry.rank), rank, slot);
		}
	}
}

function * swapSteps(placement: WorkingPlacement, mostLoaded: readonly number[], rank: number, slot: number): Generator<readonly Replacement[]> {
	const current = placement.slots[rank]?.[slot] ?? 0;
	for (const other of mostLoaded) {
		for (const [otherSlot, expert] of (placement.slots[other] ?? []).entries()) {
			if (other !== rank && expert !== current) {
				yield [{rank, slot, expert}, {rank: other, slot: otherSlot, expert: current}];
			}
		}
	}
}

/** The search ends after this many moves without a lower cost; it takes a few moves to relieve several equally loaded ranks. */
const MAX_MOVES_WITHOUT_GAIN = 8;

/**
 * Improves a layer step by step; each step has the largest gain per move.
 *
 * @param maxMoves - Maximum number of experts to load.
 * @param costOf - Weighted skew plus weighted moves of a point; the search ends when it no longer decreases.
 * @returns The starting point and the point after each step.
 */
export function searchLayer(slots: LayerSlots, load: LayerLoad, maxMoves: number, costOf: (point: SearchPoint) => number): readonly SearchPoint[] {
	const placement = new WorkingPlacement(slots, load);
	const points: SearchPoint[] = [{slots, moves: 0, skew: skewOf(placement.loads)}];
	let lowest = points[0];
	for (let moves = 0; lowest !== undefined && moves - lowest.moves <= MAX_MOVES_WITHOUT_GAIN;) {
		let best: readonly Replacement[] | undefined;
		let bestGain = 1e-9;
		for (const replacements of candidateSteps(placement)) {
			const gain = moves + replacements.length <= maxMoves ? -placement.costDelta(replacements) / replacements.length : 0;
			if (gain > bestGain) {
				best = replacements;
				bestGain = gain;
			}
		}

		if (best === undefined) {
			break;
		}

		placement.apply(best);
		moves += best.length;
		const point = {slots: placement.slots.map(experts => [...experts]), moves, skew: skewOf(placement.loads)};
		points.push(point);
		lowest = costOf(point) < costOf(lowest) ? point : lowest;
	}

	return points;
}
