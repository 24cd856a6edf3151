/** Entry side of the quarantine: determines which requests need the permission of their owner. */
import {RETENTION_MS} from './suspect-registry.js';

/** Ten times the fingerprints of eight crashes in an hour with 150 requests each. */
const DEFAULT_MAX_FINGERPRINTS = 12_000;

/**
 * Fingerprints of batches that crashed an engine within the last hour, received in `failed` messages and from owners.
 * Owned by one entry; the oldest are evicted when the bound is exceeded.
 */
export class KnownSuspects {
	/** @param maxFingerprints - Maximum number of fingerprints kept. */
	static create(maxFingerprints = DEFAULT_MAX_FINGERPRINTS): KnownSuspects {
		return new KnownSuspects(maxFingerprints);
	}

	readonly #maxFingerprints: number;
	/** Time of the last crash by fingerprint, oldest first. */
	readonly #crashedAt = new Map<string, number>();

	private constructor(maxFingerprints: number) {
		this.#maxFingerprints = maxFingerprints;
	}

	/** Number of fingerprints kept. */
	get size(): number {
		return this.#crashedAt.size;
	}

	/** Adds the fingerprints of a crashed batch. */
	add(fingerprints: Iterable<string>, now: number): void {
		for (const fingerprint of fingerprints) {
			this.#crashedAt.delete(fingerprint);
			this.#crashedAt.set(fingerprint, now);
		}

		for (const [fingerprint, crashedAt] of this.#crashedAt) {
			if (this.#crashedAt.size <= this.#maxFingerprints && now - crashedAt < RETENTION_MS) {
				return;
			}

			this.#crashedAt.delete(fingerprint);
		}
	}

	/** Whether the request must not run without the permission of its owner. */
	needsPermission(fingerprint: string, now: number): boolean {
		const crashedAt = this.#crashedAt.get(fingerprint);
		return crashedAt !== undefined && now - crashedAt < RETENTION_MS;
	}

	/** Lists all fingerprints within the retention time, for an entry that has just started. */
	list(now: number): readonly string[] {
		return [...this.#crashedAt.keys()].filter(fingerprint => this.needsPermission(fingerprint, now));
	}
}
