/** Placement of experts on ranks: loads, skew, moves, and a lower bound on the skew. */
import type {ExpertMap} from './engine-order.js';
import {InputError} from '#core';
import {countCopies} from '#rankmap';

export {countCopies, rankLoads} from '#rankmap';

/** Experts of one layer by rank: `slots[rank]` lists one expert number per slot. */
export type LayerSlots = ReadonlyArray<readonly number[]>;

/** Tokens per expert of one layer, in any common unit. */
export type LayerLoad = readonly number[];

/** Skew of a layer: highest rank load divided by the mean; 1 for a layer without load. */
export function skewOf(loads: readonly number[]): number {
	let sum = 0;
	let max = 0;
	for (const load of loads) {
		sum += load;
		max = Math.max(max, load);
	}

	return sum === 0 ? 1 : max * loads.length / sum;
}

/**
 * Lower bound on the skew of any placement of a layer: an even distribution has 1, and the
 * most loaded expert, even with the largest possible number of copies, puts its load per copy on some rank.
 */
export function skewLowerBound(load: LayerLoad, ranks: number, slotsPerRank: number): number {
	const total = load.reduce((sum, value) => sum + value, 0);
	const spare = (ranks * slotsPerRank) - load.length + 1;
	return total === 0 ? 1 : Math.max(1, Math.max(...load) * ranks / (spare * total));
}

/** Number of experts that ranks have to load to change from one placement to the other. */
export function countMoves(from: LayerSlots, to: LayerSlots): number {
	let moves = 0;
	for (const [rank, experts] of to.entries()) {
		const held = [...from[rank] ?? []];
		for (const expert of experts) {
			const index = held.indexOf(expert);
			if (index === -1) {
				moves += 1;
			} else {
				held.splice(index, 1);
			}
		}
	}

	return moves;
}

/**
 * Checks that a map and an observed load match.
 *
 * @throws InputError if sizes differ, a load is not a finite number of at least 0, or an expert has no slot.
 */
export function validateInput(map: ExpertMap, load: readonly LayerLoad[]): void {
	if (map.slots.length !== load.length) {
		throw new InputError(`expert load has ${load.length} layers, the map has ${map.slots.length}`);
	}

	for (const [layer, slots] of map.slots.entries()) {
		const loads = load[layer] ?? [];
		if (loads.some(value => !Number.isFinite(value) || value < 0)) {
			throw new InputError(`expert load of layer ${layer} has a value that is not a finite number of at least 0`);
		}

		const copies = countCopies(slots, loads.length);
		const missing = copies.indexOf(0);
		if (missing !== -1 || copies.length !== loads.length) {
			throw new InputError(`map of layer ${layer}: expected experts 0 to ${loads.length - 1} with a slot each, ${missing === -1 ? 'found a higher number' : `expert ${missing} has none`}`);
		}
	}
}
