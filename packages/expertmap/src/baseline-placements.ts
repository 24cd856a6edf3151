/** Baselines for the planner: a static even placement and a greedy placement computed from scratch. */
import type {LayerLoad, LayerSlots} from './placement.js';
import {InputError} from '#core';

/**
 * Static even placement: the expert in slot `k` of rank `r` is offset by an even fraction
 * of the ranks, so that all experts have nearly the same number of copies.
 *
 * @throws InputError if there are fewer slots than experts.
 */
export function createEvenPlacement(experts: number, ranks: number, slotsPerRank: number): LayerSlots {
	if (ranks * slotsPerRank < experts) {
		throw new InputError(`${experts} experts need more than ${ranks} ranks with ${slotsPerRank} slots`);
	}

	return Array.from({length: ranks}, (_, rank) => Array.from({length: slotsPerRank}, (__, slot) => {
		const rankOffset = Math.floor(slot * ranks / slotsPerRank);
		return (((rank + rankOffset) % ranks) + (slot * ranks)) % experts;
	}));
}

/** Number of copies of each expert: each spare slot goes to the expert with the largest load per copy. */
function allocateCopies(load: LayerLoad, slots: number): readonly number[] {
	const copies = load.map(() => 1);
	for (let spare = slots - load.length; spare > 0; spare--) {
		let best = 0;
		for (const [expert, value] of load.entries()) {
			const share = value / (copies[expert] ?? 1);
			best = share > (load[best] ?? 0) / (copies[best] ?? 1) ? expert : best;
		}

		copies[best] = (copies[best] ?? 1) + 1;
	}

	return copies;
}

/**
 * Plans one layer from scratch: allocates copies by load per copy, then assigns them in
 * descending order to the least loaded rank with a free slot.
 *
 * @throws InputError if there are fewer slots than experts.
 */
export function greedyPlan(load: LayerLoad, ranks: number, slotsPerRank: number): LayerSlots {
	if (ranks * slotsPerRank < load.length) {
		throw new InputError(`${load.length} experts need more than ${ranks} ranks with ${slotsPerRank} slots`);
	}

	const copies = allocateCopies(load, ranks * slotsPerRank);
	const shares = load.flatMap((value, expert) => Array.from({length: copies[expert] ?? 1}, () => ({expert, share: value / (copies[expert] ?? 1)})));
	const slots: number[][] = Array.from({length: ranks}, () => []);
	const sums = slots.map(() => 0);
	for (const {expert, share} of shares.toSorted((a, b) => b.share - a.share)) {
		let best = -1;
		for (const [rank, experts] of slots.entries()) {
			if (experts.length < slotsPerRank && (best === -1 || (sums[rank] ?? 0) < (sums[best] ?? 0))) {
				best = rank;
			}
		}

		slots[best]?.push(expert);
		sums[best] = (sums[best] ?? 0) + share;
	}

	return slots;
}

/** Greedily relabels the ranks of a placement so that ranks keep many of the experts they hold. */
export function relabelRanks(from: LayerSlots, to: LayerSlots): LayerSlots {
	const pairs = to.flatMap((experts, source) => from.map((held, rank) =>
		({source, rank, kept: experts.filter(expert => held.includes(expert)).length})));
	const matched: Array<readonly number[] | undefined> = to.map(() => undefined);
	const used = new Set<number>();
	for (const {source, rank} of pairs.toSorted((a, b) => b.kept - a.kept)) {
		if (!used.has(source) && matched[rank] === undefined) {
			used.add(source);
			matched[rank] = to[source] ?? [];
		}
	}

	return matched.map(experts => experts ?? []);
}
