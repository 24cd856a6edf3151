/**
 * Local search on the placement of one layer: single replacements and swaps of slots
 * that lower a smooth maximum of the rank loads.
 */
import {
	rankLoads, skewOf, type LayerLoad, type LayerSlots,
} from './placement.js';

/** State of the search after a number of moves. */
export type SearchPoint = {
	readonly slots: LayerSlots;
	readonly moves: number;
	readonly skew: number;
};

/** Number of slowest ranks whose experts are considered in each step. */
const SLOW_RANKS = 2;

/** One step: rank `rank` replaces the expert in `slot`; a swap has a second part. */
type Part = {readonly rank: number; readonly slot: number; readonly expert: number};

/** Working copy of one layer. */
class LayerState {
	readonly slots: number[][];
	readonly loads: number[];
	readonly #load: LayerLoad;
	readonly #mean: number;
	/** Load change by rank while a step is weighed, and the ranks where it is set; kept to spare allocations. */
	readonly #deltas: Float64Array;
	readonly #touched: number[] = [];
	/** Ranks that hold each expert, one entry per copy. */
	readonly #holders: number[][];

	constructor(slots: LayerSlots, load: LayerLoad) {
		this.slots = slots.map(experts => [...experts]);
		this.#load = load;
		this.loads = [...rankLoads(slots, load)];
		this.#mean = this.loads.reduce((sum, value) => sum + value, 0) / this.loads.length;
		this.#deltas = new Float64Array(slots.length);
		this.#holders = load.map(() => []);
		for (const [rank, experts] of this.slots.entries()) {
			for (const expert of experts) {
				this.#holders[expert]?.push(rank);
			}
		}
	}

	copies(expert: number): number {
		return this.#holders[expert]?.length ?? 0;
	}

	/** Change of the cost if the parts were applied. */
	costOf(parts: readonly Part[]): number {
		this.#addChanges(parts);
		let cost = 0;
		for (const rank of this.#touched) {
			const before = this.loads[rank] ?? 0;
			cost += this.#penalty(before + (this.#deltas[rank] ?? 0)) - this.#penalty(before);
		}

		this.#clearChanges();
		return cost;
	}

	apply(parts: readonly Part[]): void {
		this.#addChanges(parts);
		for (const rank of this.#touched) {
			this.loads[rank] = (this.loads[rank] ?? 0) + (this.#deltas[rank] ?? 0);
		}

		this.#clearChanges();
		for (const {rank, slot, expert} of parts) {
			const experts = this.slots[rank] ?? [];
			const former = this.#holders[experts[slot] ?? -1];
			former?.splice(former.indexOf(rank), 1);
			this.#holders[expert]?.push(rank);
			experts[slot] = expert;
		}
	}

	/** A smooth maximum: the eighth power lets the slowest ranks dominate and still ranks ties. */
	#penalty(load: number): number {
		const square = (load / this.#mean) ** 2;
		return (square * square) ** 2;
	}

	#change(rank: number, delta: number): void {
		if (this.#deltas[rank] === 0) {
			this.#touched.push(rank);
		}

		this.#deltas[rank] = (this.#deltas[rank] ?? 0) + delta;
	}

	#clearChanges(): void {
		for (const rank of this.#touched) {
			this.#deltas[rank] = 0;
		}

		this.#touched.length = 0;
	}

	#share(expert: number, copies: number): number {
		return (this.#load[expert] ?? 0) / copies;
	}

	#addChanges(parts: readonly Part[]): void {
		const [first, second] = parts;
		if (first === undefined) {
			return;
		}

		const former = this.slots[first.rank]?.[first.slot] ?? 0;
		if (second !== undefined) {
			const delta = this.#share(first.expert, this.copies(first.expert)) - this.#share(former, this.copies(former));
			this.#change(first.rank, delta);
			this.#change(second.rank, -delta);
			return;
		}

		const gained = this.copies(first.expert);
		const lost = this.copies(former);
		for (const rank of this.#holders[first.expert] ?? []) {
			this.#change(rank, this.#share(first.expert, gained + 1) - this.#share(first.expert, gained));
		}

		for (const rank of this.#holders[former] ?? []) {
			this.#change(rank, this.#share(former, lost - 1) - this.#share(former, lost));
		}

		this.#change(first.rank, this.#share(first.expert, gained + 1) - this.#share(former, lost - 1));
	}
}

/** Candidate steps: copies of the slow ranks' experts in any slot, and swaps with their slots. */
function * candidates(state: LayerState): Generator<readonly Part[]> {
	const slow = state.loads.map((load, rank) => ({load, rank})).toSorted((a, b) => b.load - a.load).slice(0, SLOW_RANKS);
	const hot = new Set(slow.flatMap(({rank}) => state.slots[rank] ?? []));
	for (const [rank, experts] of state.slots.entries()) {
		for (const [slot, former] of experts.entries()) {
			for (const expert of hot) {
				if (expert !== former && state.copies(former) > 1) {
					yield [{rank, slot, expert}];
				}
			}

			yield * swaps(state, slow.map(entry => entry.rank), rank, slot);
		}
	}
}

function * swaps(state: LayerState, slow: readonly number[], rank: number, slot: number): Generator<readonly Part[]> {
	const here = state.slots[rank]?.[slot] ?? 0;
	for (const other of slow) {
		for (const [otherSlot, expert] of (state.slots[other] ?? []).entries()) {
			if (other !== rank && expert !== here) {
				yield [{rank, slot, expert}, {rank: other, slot: otherSlot, expert: here}];
			}
		}
	}
}

/** Moves without a better net gain after which a search ends; a tie of slow ranks takes a few moves to resolve. */
const FRUITLESS_MOVES = 8;

/**
 * Improves a layer step by step; each step has the largest gain for each move.
 *
 * @param maxMoves - Experts that may be loaded at most.
 * @param costOf - Weighted skew plus weighted moves of a point; the search ends when it stops to fall.
 * @returns The starting point and the point after each step.
 */
export function searchLayer(slots: LayerSlots, load: LayerLoad, maxMoves: number, costOf: (point: SearchPoint) => number): readonly SearchPoint[] {
	const state = new LayerState(slots, load);
	const points: SearchPoint[] = [{slots, moves: 0, skew: skewOf(state.loads)}];
	let lowest = points[0];
	for (let moves = 0; lowest !== undefined && moves - lowest.moves <= FRUITLESS_MOVES;) {
		let best: readonly Part[] | undefined;
		let bestGain = 1e-9;
		for (const parts of candidates(state)) {
			const gain = moves + parts.length <= maxMoves ? -state.costOf(parts) / parts.length : 0;
			if (gain > bestGain) {
				best = parts;
				bestGain = gain;
			}
		}

		if (best === undefined) {
			break;
		}

		state.apply(best);
		moves += best.length;
		const point = {slots: state.slots.map(experts => [...experts]), moves, skew: skewOf(state.loads)};
		points.push(point);
		lowest = costOf(point) < costOf(lowest) ? point : lowest;
	}

	return points;
}
