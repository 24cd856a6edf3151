/** Subsets of endpoints whose load reports an entry subscribes to. */
import {hashOf} from './hashing.js';

/** Lower 32 bits of xxhash64, as a signed number for integer mixing. */
function seedOf(id: string): number {
	return Number(BigInt.asIntN(32, hashOf(id)));
}

/* eslint-disable no-bitwise -- integer mixing of two hashes; 544,000 pairs are scored in a few milliseconds this way */
function score(entrySeed: number, endpointSeed: number): number {
	let mixed = Math.imul(entrySeed ^ (endpointSeed >>> 15) ^ Math.imul(endpointSeed, 0x9E_37_79_B1), 0x85_EB_CA_6B);
	mixed = Math.imul(mixed ^ (mixed >>> 13), 0xC2_B2_AE_35);
	return (mixed ^ (mixed >>> 16)) >>> 0;
}
/* eslint-enable no-bitwise */

/** How many entries subscribe to an endpoint: the mean, rounded up for a fixed share of the endpoints. */
function quotaOf(endpointSeed: number, mean: number): number {
	const whole = Math.floor(mean);
	const share = score(0x5F_35_64_95, endpointSeed) / 0x1_00_00_00_00;
	return Math.max(1, whole + (share < mean - whole ? 1 : 0));
}

/**
 * The endpoints that an entry subscribes to. Each endpoint takes the entries with the highest
 * scores, as many as its quota, so all endpoints have the same number of subscribers to within
 * one and each join or leave changes only the links of that entry or endpoint and as many that
 * replace them. The price is a subset size that varies around `size` (standard deviation
 * about its square root). An entry with less than half of `size` fills up by its own scores.
 *
 * @param size - Mean number of endpoints in a subset.
 * @returns Endpoint ids, sorted; all of them when there are at most `size`.
 */
export function subsetOf(entryId: string, entryIds: readonly string[], endpointIds: readonly string[], size: number): readonly string[] {
	const endpoints = endpointIds.toSorted();
	if (endpoints.length <= size) {
		return endpoints;
	}

	const others = entryIds.filter(id => id !== entryId).map(id => ({id, seed: seedOf(id)}));
	const mean = (others.length + 1) * size / endpoints.length;
	const own = seedOf(entryId);
	const chosen: string[] = [];
	const rest: Array<{readonly id: string; readonly score: number}> = [];
	for (const id of endpoints) {
		const endpoint = seedOf(id);
		const ownScore = score(own, endpoint);
		const quota = quotaOf(endpoint, mean);
		let above = 0;
		for (const other of others) {
			const otherScore = score(other.seed, endpoint);
			above += otherScore > ownScore || (otherScore === ownScore && other.id < entryId) ? 1 : 0;
		}

		if (above < quota) {
			chosen.push(id);
		} else {
			rest.push({id, score: ownScore});
		}
	}

	const missing = Math.max(0, Math.ceil(size / 2) - chosen.length);
	const filler = rest.toSorted((a, b) => b.score - a.score).slice(0, missing).map(({id}) => id);
	return [...chosen, ...filler].toSorted();
}
