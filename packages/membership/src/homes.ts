/** Which entries watch the platform, which are neighbours, and which is the home of a key. */
import {type Directory} from './directory.js';
import {rendezvousOrder} from '#routing';

/** Entries a zone that watch the platform; all others learn from their peers. */
export const WATCHERS_PER_ZONE = 2;

/**
 * Distances in the sorted ring of entries at which an entry keeps links to others. With
 * these four, news reaches 340 entries within 8 hops.
 */
const NEIGHBOUR_DISTANCES = [1, 5, 25, 125] as const;

/** True if this entry is one of its zone's watchers. */
export function isWatcher(directory: Directory, id: string, zone: string): boolean {
	const inZone = directory.entryIds.filter(entryId => directory.get(entryId)?.zone === zone);
	return rendezvousOrder(`watch ${zone}`, new Set([...inZone, id]), WATCHERS_PER_ZONE).includes(id);
}

/** Ids of the entries to which this entry keeps links, without itself. */
export function neighboursOf(directory: Directory, id: string): readonly string[] {
	const ring = [...new Set([...directory.entryIds, id])].toSorted();
	const place = ring.indexOf(id);
	const neighbours = NEIGHBOUR_DISTANCES.map(distance => ring[(place + distance) % ring.length] ?? id);
	return [...new Set(neighbours)].filter(neighbour => neighbour !== id);
}

/** The home entries of a key, best first: at most `count` live entries. */
export function homesOf(directory: Directory, key: string, count: number): readonly string[] {
	return rendezvousOrder(key, directory.entryIds, count);
}
