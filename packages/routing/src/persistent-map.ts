/** An immutable hash map that shares its buckets between versions: a change copies one bucket instead of the whole map. */

const BUCKET_COUNT = 256;

/** Modulus of the string hash: a prime distributes keys evenly, and this one keeps intermediate results exact integers. */
const HASH_PRIME = 1_000_003;

function bucketOf(key: string): number {
	let hash = 0;
	for (const char of key) {
		hash = ((hash * 31) + (char.codePointAt(0) ?? 0)) % HASH_PRIME;
	}

	return hash % BUCKET_COUNT;
}

/** With 1,600 entries a change copies 256 bucket references and about 6 entries. */
export class PersistentMap<Value> {
	static create<Value>(): PersistentMap<Value> {
		return new PersistentMap(Array.from({length: BUCKET_COUNT}, () => new Map<string, Value>()), 0);
	}

	readonly size: number;
	readonly #buckets: ReadonlyArray<ReadonlyMap<string, Value>>;

	private constructor(buckets: ReadonlyArray<ReadonlyMap<string, Value>>, size: number) {
		this.#buckets = buckets;
		this.size = size;
	}

	get(key: string): Value | undefined {
		return this.#buckets[bucketOf(key)]?.get(key);
	}

	/** Returns a new map in which the key has this value. */
	with(key: string, value: Value): PersistentMap<Value> {
		const index = bucketOf(key);
		const bucket = new Map(this.#buckets[index]);
		const added = bucket.has(key) ? 0 : 1;
		bucket.set(key, value);
		return new PersistentMap(this.#buckets.with(index, bucket), this.size + added);
	}

	/** Returns a new map without the key. */
	without(key: string): PersistentMap<Value> {
		const index = bucketOf(key);
		const bucket = new Map(this.#buckets[index]);
		const removed = bucket.delete(key) ? 1 : 0;
		return new PersistentMap(this.#buckets.with(index, bucket), this.size - removed);
	}

	* values(): Iterable<Value> {
		for (const bucket of this.#buckets) {
			yield * bucket.values();
		}
	}
}
