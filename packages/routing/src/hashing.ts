/**
 * Xxhash64 and rendezvous hashing, used for routing, the selection of owners and fingerprints.
 * The WebAssembly module is loaded once: await `initHashing` before calling any other function of this module.
 */
import xxhash from 'xxhash-wasm';
import {invariant} from '#core';

type Hash64 = (text: string) => bigint;
type PartsHash64 = (parts: ReadonlyArray<string | Uint8Array>) => bigint;

let hash64: Hash64 | undefined;
let partsHash64: PartsHash64 | undefined;
let loading: Promise<void> | undefined;

async function load(): Promise<void> {
	const api = await xxhash();
	hash64 = text => api.h64(text);
	partsHash64 = parts => {
		const hash = api.create64();
		for (const part of parts) {
			hash.update(part);
		}

		return hash.digest();
	};
}

/** Loads the WebAssembly module. Concurrent calls share one load; all resolve when it is ready. */
export async function initHashing(): Promise<void> {
	loading ??= load();
	return loading;
}

/**
 * Hashes text as UTF-8 with xxhash64 and seed 0.
 *
 * @returns An unsigned 64-bit number.
 * @throws InvariantError before `initHashing` has resolved.
 */
export function hashOf(text: string): bigint {
	invariant(hash64 !== undefined, 'hashing: used before initHashing resolved');
	return hash64(text);
}

/**
 * Hashes text as UTF-8 with xxhash64 and seed 0.
 *
 * @returns 16 hex digits in lower case.
 * @throws InvariantError before `initHashing` has resolved.
 */
export function hashHex(text: string): string {
	return hashOf(text).toString(16).padStart(16, '0');
}

/**
 * Hashes texts, as UTF-8, and bytes one behind the other with xxhash64 and seed 0. Bytes are not decoded: text of a large body would
 * take several times its memory.
 *
 * @returns 16 hex digits in lower case.
 * @throws InvariantError before `initHashing` has resolved.
 */
export function hashPartsHex(parts: ReadonlyArray<string | Uint8Array>): string {
	invariant(partsHash64 !== undefined, 'hashing: used before initHashing resolved');
	return partsHash64(parts).toString(16).padStart(16, '0');
}

type ScoredId = {readonly id: string; readonly score: bigint};

function compareScoredIds(a: ScoredId, b: ScoredId): number {
	if (a.score === b.score) {
		return a.id < b.id ? -1 : 1;
	}

	return a.score > b.score ? -1 : 1;
}

/**
 * Rendezvous hashing: returns the `count` ids with the highest xxhash64 of `key + '|' + id`, highest first.
 * Ties are broken by id, so every process computes the same order.
 *
 * @returns At most `count` ids; fewer when `ids` is shorter.
 * @throws InvariantError before `initHashing` has resolved.
 */
export function rendezvousOrder(key: string, ids: Iterable<string>, count: number): readonly string[] {
	const best: ScoredId[] = [];
	for (const id of ids) {
		const scored = {id, score: hashOf(`${key}|${id}`)};
		const last = best.at(-1);
		if (best.length < count || (last !== undefined && compareScoredIds(scored, last) < 0)) {
			insert(best, scored, count);
		}
	}

	return best.map(({id}) => id);
}

function insert(best: ScoredId[], scored: ScoredId, count: number): void {
	const position = best.findIndex(other => compareScoredIds(scored, other) < 0);
	best.splice(position === -1 ? best.length : position, 0, scored);
	best.length = Math.min(best.length, count);
}
