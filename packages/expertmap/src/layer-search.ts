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
	/** Ranks that hold each expert, one entry per copy. */
	readonly #holders: number[][];

	constructor(slots: LayerSlots, load: LayerLoad) {
		this.slots = slots.map(experts => [...experts]);
		this.#load = load;
		this.loads = [...rankLoads(slots, load)];
		this.#mean = this.loads.reduce((sum, value) => sum + value, 0) / this.loads.length;
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
		const changed = new Map<number, number>();
		this.#addChanges(parts, changed);
		let cost = 0;
		for (const [rank, delta] of changed) {
			const before = this.loads[rank] ?? 0;
			cost += this.#penalty(before + delta) - this.#penalty(before);
		}

		return cost;
	}

	apply(parts: readonly Part[]): void {
		const changed = new Map<number, number>();
		this.#addChanges(parts, changed);
		for (const [rank, delta] of changed) {
			this.loads[rank] = (this.loads[rank] ?? 0) + delta;
		}

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

	#addChanges(parts: readonly Part[], changed: Map<number, number>): void {
		const change = (rank: number, delta: number): void => {
			changed.set(rank, (changed.get(rank) ?? 0) + delta);
		};

		const [first, second] = parts;
		if (first === undefined) {
			return;
		}

		const former = this.slots[first.rank]?.[first.slot] ?? 0;
		const share = (expert: number, copies: number): number => (this.#load[expert] ?? 0) / copies;
		if (second !== undefined) {
			const delta = share(first.expert, this.copies(first.expert)) - share(former, this.copies(former));
			change(first.rank, delta);
			change(second.rank, -delta);
			return;
		}

		const gained = this.copies(first.expert);
		const lost = this.copies(former);
		for (const rank of this.#holders[first.expert] ?? []) {
			change(rank, share(first.expert, gained + 1) - share(first.expert, gained));
		}

		for (const rank of this.#holders[former] ?? []) {
			change(rank, share(former, lost - 1) - share(former, lost));
		}

		change(first.rank, share(first.expert, gained + 1) - share(former, lost - 1));
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

/**
 * Improves a layer step by step; each step has the largest gain for each move.
 *
 * @param maxMoves - Experts that may be loaded at most.
 * @returns The starting point and the point after each step.
 */
export function searchLayer(slots: LayerSlots, load: LayerLoad, maxMoves: number): readonly SearchPoint[] {
	const state = new LayerState(slots, load);
	const points: SearchPoint[] = [{slots, moves: 0, skew: skewOf(state.loads)}];
	for (let moves = 0; skewOf(state.loads) > 1;) {
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
		points.push({slots: state.slots.map(experts => [...experts]), moves, skew: skewOf(state.loads)});
	}

	return points;
}
