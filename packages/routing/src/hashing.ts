/**
 * Hashing shared by routing, homes and fingerprints: xxhash64 and rendezvous hashing.
 * The WebAssembly module is loaded once; call and await `initHashing` before anything else here.
 */
import xxhash from 'xxhash-wasm';
import {invariant} from '#core';

type Hash64 = (text: string) => bigint;

let hash64: Hash64 | undefined;
let loading: Promise<void> | undefined;

async function load(): Promise<void> {
	const api = await xxhash();
	hash64 = text => api.h64(text);
}

/** Loads the hash module. All calls share one load and resolve once it is ready. */
export async function initHashing(): Promise<void> {
	loading ??= load();
	return loading;
}

/**
 * Hashes UTF-8 text with xxhash64, seed 0.
 *
 * @returns An unsigned 64-bit number.
 * @throws InvariantError before `initHashing` has resolved.
 */
export function hashOf(text: string): bigint {
	invariant(hash64 !== undefined, 'hashing: used before initHashing resolved');
	return hash64(text);
}

/**
 * Hashes UTF-8 text with xxhash64.
 *
 * @returns 16 hex digits in lower case.
 * @throws InvariantError before `initHashing` has resolved.
 */
export function hashHex(text: string): string {
	return hashOf(text).toString(16).padStart(16, '0');
}

type Scored = {readonly id: string; readonly score: bigint};

function compareScored(a: Scored, b: Scored): number {
	if (a.score === b.score) {
		return a.id < b.id ? -1 : 1;
	}

	return a.score > b.score ? -1 : 1;
}

/**
 * Rendezvous hashing: the `count` ids with the highest xxhash64 of `key + '|' + id`, highest first.
 * Equal hashes are ordered by id, so every process computes the same order.
 *
 * @returns At most `count` ids; fewer when `ids` is shorter.
 * @throws InvariantError before `initHashing` has resolved.
 */
export function rendezvousOrder(key: string, ids: Iterable<string>, count: number): readonly string[] {
	const best: Scored[] = [];
	for (const id of ids) {
		const scored = {id, score: hashOf(`${key}|${id}`)};
		const last = best.at(-1);
		if (best.length < count || (last !== undefined && compareScored(scored, last) < 0)) {
			insert(best, scored, count);
		}
	}

	return best.map(({id}) => id);
}

function insert(best: Scored[], scored: Scored, count: number): void {
	const found = best.findIndex(other => compareScored(scored, other) < 0);
	best.splice(found === -1 ? best.length : found, 0, scored);
	best.length = Math.min(best.length, count);
}
