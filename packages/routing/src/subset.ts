/** Deterministic subsetting: the endpoints whose load reports an entry subscribes to. */
import {hashOf} from './hashing.js';

/** Lower 32 bits of xxhash64 as a signed integer, the input of the integer mixing. */
function seedOf(id: string): number {
	return Number(BigInt.asIntN(32, hashOf(id)));
}

/* eslint-disable no-bitwise -- integer mixing of two hashes scores 544,000 pairs in a few milliseconds */
function score(entrySeed: number, endpointSeed: number): number {
	let mixed = Math.imul(entrySeed ^ (endpointSeed >>> 15) ^ Math.imul(endpointSeed, 0x9E_37_79_B1), 0x85_EB_CA_6B);
	mixed = Math.imul(mixed ^ (mixed >>> 13), 0xC2_B2_AE_35);
	return (mixed ^ (mixed >>> 16)) >>> 0;
}
/* eslint-enable no-bitwise */

/** Number of entries that subscribe to an endpoint: the mean, rounded up for a fixed fraction of the endpoints and down for the others. */
function quotaOf(endpointSeed: number, mean: number): number {
	const lower = Math.floor(mean);
	const fraction = score(0x5F_35_64_95, endpointSeed) / 0x1_00_00_00_00;
	return Math.max(1, lower + (fraction < mean - lower ? 1 : 0));
}

/**
 * Returns the endpoints that an entry subscribes to. Each endpoint is assigned to the entries with the
 * highest scores, up to its quota. The numbers of subscribers of any two endpoints therefore differ by at
 * most one, and a join or leave changes only the links of that entry or endpoint and equally many that
 * replace them. The trade-off is a subset size that varies around `size` (standard deviation about its
 * square root). An entry with less than half of `size` adds the endpoints for which its own score is highest.
 *
 * @param size - Mean number of endpoints in a subset.
 * @returns Sorted endpoint ids; all of them if there are at most `size`.
 */
export function subsetOf(entryId: string, entryIds: readonly string[], endpointIds: readonly string[], size: number): readonly string[] {
	const endpoints = endpointIds.toSorted();
	if (endpoints.length <= size) {
		return endpoints;
	}

	const others = entryIds.filter(id => id !== entryId).map(id => ({id, seed: seedOf(id)}));
	const mean = (others.length + 1) * size / endpoints.length;
	const ownSeed = seedOf(entryId);
	const chosen: string[] = [];
	const unchosen: Array<{readonly id: string; readonly score: number}> = [];
	for (const id of endpoints) {
		const endpointSeed = seedOf(id);
		const ownScore = score(ownSeed, endpointSeed);
		const quota = quotaOf(endpointSeed, mean);
		let higherRanked = 0;
		for (const other of others) {
			const otherScore = score(other.seed, endpointSeed);
			higherRanked += otherScore > ownScore || (otherScore === ownScore && other.id < entryId) ? 1 : 0;
		}

		if (higherRanked < quota) {
			chosen.push(id);
		} else {
			unchosen.push({id, score: ownScore});
		}
	}

	const shortfall = Math.max(0, Math.ceil(size / 2) - chosen.length);
	const supplement = unchosen.toSorted((a, b) => b.score - a.score).slice(0, shortfall).map(({id}) => id);
	return [...chosen, ...supplement].toSorted();
}
