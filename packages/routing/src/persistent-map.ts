/** An immutable map that copies one bucket per change instead of the whole map. */

const BUCKETS = 256;

/** Prime, so that the running remainder stays an exact integer and spreads evenly. */
const HASH_PRIME = 1_000_003;

function bucketOf(key: string): number {
	let hash = 0;
	for (const char of key) {
		hash = ((hash * 31) + (char.codePointAt(0) ?? 0)) % HASH_PRIME;
	}

	return hash % BUCKETS;
}

/** At 1,600 entries a change copies 256 references and about 6 entries. */
export class BucketMap<Value> {
	static create<Value>(): BucketMap<Value> {
		return new BucketMap(Array.from({length: BUCKETS}, () => new Map<string, Value>()), 0);
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

	/** Returns a map with the value set. */
	with(key: string, value: Value): BucketMap<Value> {
		const index = bucketOf(key);
		const bucket = new Map(this.#buckets[index]);
		const grown = bucket.has(key) ? 0 : 1;
		bucket.set(key, value);
		return new BucketMap(this.#buckets.with(index, bucket), this.size + grown);
	}

	/** Returns a map without the key. */
	without(key: string): BucketMap<Value> {
		const index = bucketOf(key);
		const bucket = new Map(this.#buckets[index]);
		const shrunk = bucket.delete(key) ? 1 : 0;
		return new BucketMap(this.#buckets.with(index, bucket), this.size - shrunk);
	}

	* values(): Iterable<Value> {
		for (const bucket of this.#buckets) {
			yield * bucket.values();
		}
	}
}
