/**
 * The configuration in one process: the highest version it has seen. It never reverts to
 * a lower version, whatever the store or other processes return later.
 */
import {applyConfig, type ApplyResult, type ConfigChange} from './config-apply.js';
import {
	loadConfig, type ConfigReadFailure, type ConfigVersion, type ConfigWrite,
} from './config-types.js';
import type {CallOptions, ObjectStore} from './object-store.js';
import {
	failed, invariant, ok, type Result,
} from '#core';

/**
 * Result of offering a version.
 *
 * - `adopted`: it is higher than the current version and replaces it.
 * - `same`: it is the current version.
 * - `older`: it is lower than the current version and is ignored.
 * - `contradicts`: it has the current version number but another text; it is ignored.
 */
export type OfferResult = 'adopted' | 'contradicts' | 'older' | 'same';

/** Settings of a versioned configuration. */
export type VersionedConfigOptions = {
	/** Name of the object, for example `config/rules`. */
	readonly name: string;
	/** Ids of the seed processes that a starting process queries. */
	readonly seeds?: readonly string[];
};

/** Holds the highest version seen, and tells when a starting process knows enough to serve. */
export class VersionedConfig {
	/** Creates a holder that has seen no version yet. */
	static create(options: VersionedConfigOptions): VersionedConfig {
		return new VersionedConfig(options);
	}

	readonly #name: string;
	readonly #seeds: Map<string, 'answered' | 'unreachable' | 'waiting'>;
	readonly #listeners = new Set<(next: ConfigVersion) => void>();
	readonly #unresolvedWrites = new Set<string>();
	#current: ConfigVersion | undefined;
	#confirmedAt: number | undefined;
	#hasPlatformResponded = false;

	private constructor({name, seeds = []}: VersionedConfigOptions) {
		this.#name = name;
		this.#seeds = new Map(seeds.map(id => [id, 'waiting']));
	}

	/** The current version; undefined before any was seen. */
	get current(): ConfigVersion | undefined {
		return this.#current;
	}

	/**
	 * Whether this process knows the highest version well enough to serve: the platform has responded,
	 * or every seed has responded or is unreachable and at least one has responded.
	 */
	get isReady(): boolean {
		const states = new Set(this.#seeds.values());
		return this.#hasPlatformResponded || (states.has('answered') && !states.has('waiting'));
	}

	/** Registers a listener that runs after each adopted version; returns a function that removes it. */
	registerListener(listener: (next: ConfigVersion) => void): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/**
	 * Offers a version from any source; a version higher than the current one is adopted.
	 *
	 * @throws InvariantError when the version number is not a positive integer.
	 */
	offer(candidate: ConfigVersion): OfferResult {
		invariant(Number.isSafeInteger(candidate.version) && candidate.version > 0, `versioned config: version ${candidate.version} is not a positive integer`);
		const current = this.#current;
		if (current === undefined || candidate.version > current.version) {
			this.#current = {version: candidate.version, text: candidate.text, author: candidate.author};
			this.#confirmedAt = undefined;
			for (const listener of this.#listeners) {
				listener(this.#current);
			}

			return 'adopted';
		}

		if (candidate.version < current.version) {
			return 'older';
		}

		return candidate.text === current.text ? 'same' : 'contradicts';
	}

	/** Handles the response of a seed; `current` is undefined if the seed has no version. The response of an unexpected seed only offers its version. */
	seedResponded(id: string, current: ConfigVersion | undefined): void {
		if (current !== undefined) {
			this.offer(current);
		}

		if (this.#seeds.has(id)) {
			this.#seeds.set(id, 'answered');
		}
	}

	/** Marks a seed as unreachable; a response that it gave before still counts. */
	seedUnreachable(id: string): void {
		if (this.#seeds.get(id) === 'waiting') {
			this.#seeds.set(id, 'unreachable');
		}
	}

	/**
	 * Records that a source knew `version` as the highest, `ageMs` after the platform confirmed it.
	 * Has no effect unless it is the current version.
	 *
	 * @param now - Time in ms at which the source's message arrived.
	 */
	confirm(version: number, ageMs: number, now: number): void {
		if (version === this.#current?.version) {
			this.#confirmedAt = Math.max(this.#confirmedAt ?? -Infinity, now - ageMs);
		}
	}

	/** Time in ms since the current version was last confirmed; `Infinity` if it never was. */
	confirmedAgeMs(now: number): number {
		return this.#confirmedAt === undefined ? Infinity : Math.max(0, now - this.#confirmedAt);
	}

	/**
	 * Reads the version from the store and offers it.
	 *
	 * @param now - Time of this call in ms; the age of the confirmation is measured from it.
	 * @returns The current version afterwards, which may be higher than the stored one.
	 */
	async refresh(store: ObjectStore, now: number, options?: CallOptions): Promise<Result<ConfigVersion | undefined, ConfigReadFailure>> {
		const loaded = await loadConfig(store, this.#name, options);
		if (loaded.kind === 'failed') {
			return failed(loaded.failure);
		}

		this.#hasPlatformResponded = true;
		if (loaded.value !== undefined) {
			this.offer(loaded.value.config);
			this.confirm(loaded.value.config.version, 0, now);
		}

		return ok(this.#current);
	}

	/**
	 * Applies a change to the store and adopts the resulting version. A change whose result was `unresolved`
	 * is resolved by applying it again with the same write id; after a restart, `isRepeat` must be set for this.
	 */
	async apply(store: ObjectStore, change: ConfigChange, options?: CallOptions & {readonly isRepeat?: boolean}): Promise<ApplyResult> {
		const isRepeat = options?.isRepeat ?? this.#unresolvedWrites.has(change.writeId);
		const result = await applyConfig({
			store, name: this.#name, isRepeat, options,
		}, change);
		this.#unresolvedWrites.delete(change.writeId);
		if (result.kind === 'accepted') {
			this.offer({version: result.version, text: change.text, author: change.author});
		} else if (result.kind === 'conflict' && result.current !== undefined) {
			this.offer(result.current);
		} else if (result.kind === 'unresolved') {
			this.#unresolvedWrites.add(change.writeId);
		}

		return result;
	}

	/** Reads the last 32 writes from the store, newest last; empty if there is no configuration. */
	async history(store: ObjectStore, options?: CallOptions): Promise<Result<readonly ConfigWrite[], ConfigReadFailure>> {
		const loaded = await loadConfig(store, this.#name, options);
		return loaded.kind === 'failed' ? failed(loaded.failure) : ok(loaded.value?.config.writes ?? []);
	}
}
