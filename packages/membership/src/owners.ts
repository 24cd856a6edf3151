/** Selects the entries that watch the platform, the neighbours of an entry and the owner of a key. */
import {type Directory} from './directory.js';
import {rendezvousOrder} from '#routing';

/** Number of entries in each zone that watch the platform; all others receive updates from their peers. */
export const WATCHERS_PER_ZONE = 2;

/**
 * Distances in the sorted ring of entries at which an entry keeps links to others. With
 * these four distances an update reaches 340 entries within 8 hops.
 */
const NEIGHBOUR_DISTANCES = [1, 5, 25, 125] as const;

/** Whether the entry is one of the watchers of its zone. */
export function isWatcher(directory: Directory, id: string, zone: string): boolean {
	const inZone = directory.entryIds.filter(entryId => directory.get(entryId)?.zone === zone);
	return rendezvousOrder(`watch ${zone}`, new Set([...inZone, id]), WATCHERS_PER_ZONE).includes(id);
}

/** Ids of the entries to which the entry keeps links, not including itself. */
export function neighboursOf(directory: Directory, id: string): readonly string[] {
	const ring = [...new Set([...directory.entryIds, id])].toSorted();
	const position = ring.indexOf(id);
	const neighbours = NEIGHBOUR_DISTANCES.map(distance => ring[(position + distance) % ring.length] ?? id);
	return [...new Set(neighbours)].filter(neighbour => neighbour !== id);
}

/** The owners of a key in rendezvous order: at most `count` ids of live entries. */
export function ownersOf(directory: Directory, key: string, count: number): readonly string[] {
	return rendezvousOrder(key, directory.entryIds, count);
}
