/** Entry side of the quarantine: which requests need their home's permission. */
import {RETENTION_MS} from './suspect-registry.js';

/** Eight crashes with 150 requests each in an hour, with room for ten times that. */
const DEFAULT_MAX_FINGERPRINTS = 12_000;

/**
 * Fingerprints that crashed an engine within the last hour, learnt from `failed` messages and from homes.
 * Owned by one entry; the oldest are dropped at the bound.
 */
export class KnownSuspects {
	/** @param maxFingerprints - Bound on remembered fingerprints. */
	static create(maxFingerprints = DEFAULT_MAX_FINGERPRINTS): KnownSuspects {
		return new KnownSuspects(maxFingerprints);
	}

	readonly #maxFingerprints: number;
	/** Time of the last crash, oldest first. */
	readonly #crashedAt = new Map<string, number>();

	private constructor(maxFingerprints: number) {
		this.#maxFingerprints = maxFingerprints;
	}

	/** Number of remembered fingerprints. */
	get size(): number {
		return this.#crashedAt.size;
	}

	/** Notes the fingerprints of a crashed batch. */
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

	/** Whether the request must not run before its home permits it. */
	needsPermission(fingerprint: string, now: number): boolean {
		const crashedAt = this.#crashedAt.get(fingerprint);
		return crashedAt !== undefined && now - crashedAt < RETENTION_MS;
	}

	/** All fingerprints within the retention, for an entry that has just started. */
	list(now: number): readonly string[] {
		return [...this.#crashedAt.keys()].filter(fingerprint => this.needsPermission(fingerprint, now));
	}
}
