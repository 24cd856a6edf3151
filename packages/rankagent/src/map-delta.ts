/**
 * Sends a map to an agent as its differences from the last map that the agent has. A whole map takes some ten KB, and sending one to
 * each of more than a hundred ranks occupies the link of the coordinator for seconds.
 */
import {createHash} from 'node:crypto';
import {initialMap, type GroupMap} from '#rankmap';

/** The differences of a map from the one with another version. Version 0 is the map with which groups start. */
export type MapDelta = {
	readonly base: number;
	readonly ranks: number;
	readonly sets: number;
	readonly experts: number;
	/** Layer set, rank, and the experts of that rank. */
	readonly changes: ReadonlyArray<readonly [number, number, readonly number[]]>;
	/** Digest of the resulting map: versions are not compared across groups, so an agent may know another map by that of the base. */
	readonly digest: string;
};

type VersionedMap = {readonly version: number; readonly map: GroupMap};

/** Number of maps that an agent keeps as bases: the one in use and the one being prepared. */
const KEPT_MAPS = 2;

/** Differences of each map from bases, undefined for the initial one: the ranks of a group mostly have the same base, and a group has up to some hundred ranks. */
const encodedDeltas = new WeakMap<GroupMap, Map<GroupMap | undefined, MapDelta>>();

/** Encodes maps for one agent. */
export class MapEncoder {
	static create(): MapEncoder {
		return new MapEncoder();
	}

	#base: VersionedMap | undefined;

	/** Records that the agent has a map. */
	recordReceived(version: number, map: GroupMap): void {
		this.#base = {version, map};
	}

	/** Differences from the last map that the agent received. */
	encode(map: GroupMap): MapDelta {
		const deltas = encodedDeltas.get(map) ?? new Map<GroupMap | undefined, MapDelta>();
		encodedDeltas.set(map, deltas);
		const delta = deltas.get(this.#base?.map) ?? this.#encodeAnew(map);
		deltas.set(this.#base?.map, delta);
		return delta;
	}

	#encodeAnew(map: GroupMap): MapDelta {
		const shape = {ranks: map[0]?.length ?? 0, sets: map.length, experts: Math.max(-1, ...map.flatMap(set => set.flat())) + 1};
		const {version: base, map: baseMap} = this.#base ?? {version: 0, map: initialMapOf(shape)};
		const changes = map.flatMap((ranks, set) => ranks.flatMap((experts, rank) => areEqual(experts, baseMap[set]?.[rank]) ? [] : [[set, rank, experts] as const]));
		return {
			base, ...shape, changes, digest: digestOf(map),
		};
	}
}

/** Decodes maps at an agent. */
export class MapDecoder {
	static create(): MapDecoder {
		return new MapDecoder();
	}

	#maps: readonly VersionedMap[] = [];

	/** Records a map that was received whole. */
	record(version: number, map: GroupMap): void {
		this.#maps = [...this.#maps.filter(known => known.version !== version), {version, map}].slice(-KEPT_MAPS);
	}

	/** Decodes and records a map; undefined if its base is not known. */
	decode(version: number, {base, ranks, sets, experts, changes, digest}: MapDelta): GroupMap | undefined {
		const baseMap = base === 0 ? initialMapOf({ranks, sets, experts}) : this.#maps.find(known => known.version === base)?.map;
		if (baseMap?.length !== sets) {
			return undefined;
		}

		const map = baseMap.map(set => [...set]);
		for (const [set, rank, rankExperts] of changes) {
			if (map[set]?.[rank] === undefined) {
				return undefined;
			}

			map[set][rank] = rankExperts;
		}

		if (digestOf(map) !== digest) {
			return undefined;
		}

		this.record(version, map);
		return map;
	}
}

function initialMapOf(shape: Pick<MapDelta, 'ranks' | 'sets' | 'experts'>): GroupMap {
	return initialMap({...shape, places: 0, spare: 0});
}

function areEqual(a: readonly number[], b: readonly number[] | undefined): boolean {
	return a.length === b?.length && a.every((value, index) => value === b[index]);
}

function digestOf(map: GroupMap): string {
	return createHash('sha1').update(JSON.stringify(map)).digest('base64');
}
