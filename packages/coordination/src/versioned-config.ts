/**
 * The configuration as one process holds it: the highest version it has seen. It never
 * reverts, whatever the store or other processes answer later.
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
 * What became of an offered version.
 *
 * - `adopted`: it is higher than the one held and replaces it.
 * - `same`: it is held already.
 * - `older`: it is lower than the one held and is ignored.
 * - `contradicts`: the version is the one held, but the text differs; it is ignored.
 */
export type OfferResult = 'adopted' | 'contradicts' | 'older' | 'same';

/** Settings of a versioned configuration. */
export type VersionedConfigOptions = {
	/** Name of the object, for example `config/rules`. */
	readonly name: string;
	/** Ids of the seeds that a starting process asks. */
	readonly seeds?: readonly string[];
};

/** Holds the highest version seen and tells when a starting process knows enough to serve. */
export class VersionedConfig {
	/** Creates a holder that has seen no version yet. */
	static create(options: VersionedConfigOptions): VersionedConfig {
		return new VersionedConfig(options);
	}

	readonly #name: string;
	readonly #seeds: Map<string, 'answered' | 'unreachable' | 'waiting'>;
	readonly #listeners = new Set<(next: ConfigVersion) => void>();
	readonly #sent = new Set<string>();
	#current: ConfigVersion | undefined;
	#confirmedAt: number | undefined;
	#platformAnswered = false;

	private constructor({name, seeds = []}: VersionedConfigOptions) {
		this.#name = name;
		this.#seeds = new Map(seeds.map(id => [id, 'waiting']));
	}

	/** The version in force, undefined before any was seen. */
	get current(): ConfigVersion | undefined {
		return this.#current;
	}

	/**
	 * Whether this process knows the highest version well enough to serve: the platform has answered,
	 * or every seed has answered or is unreachable and at least one has answered.
	 */
	get isReady(): boolean {
		const states = new Set(this.#seeds.values());
		return this.#platformAnswered || (states.has('answered') && !states.has('waiting'));
	}

	/** Runs after each adopted version; returns the teardown. */
	registerListener(listener: (next: ConfigVersion) => void): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/**
	 * Takes in a version from any source.
	 *
	 * @throws InvariantError when the version number is not a whole number from 1.
	 */
	offer(candidate: ConfigVersion): OfferResult {
		invariant(Number.isSafeInteger(candidate.version) && candidate.version > 0, `versioned config: version ${candidate.version}`);
		const held = this.#current;
		if (held === undefined || candidate.version > held.version) {
			this.#current = {version: candidate.version, text: candidate.text, author: candidate.author};
			this.#confirmedAt = undefined;
			for (const listener of this.#listeners) {
				listener(this.#current);
			}

			return 'adopted';
		}

		if (candidate.version < held.version) {
			return 'older';
		}

		return candidate.text === held.text ? 'same' : 'contradicts';
	}

	/** Takes in the answer of a seed, undefined if it holds no version. A seed that is not expected only offers its version. */
	seedAnswered(id: string, held: ConfigVersion | undefined): void {
		if (held !== undefined) {
			this.offer(held);
		}

		if (this.#seeds.has(id)) {
			this.#seeds.set(id, 'answered');
		}
	}

	/** Notes that a seed cannot be reached; an answer it gave before still counts. */
	seedUnreachable(id: string): void {
		if (this.#seeds.get(id) === 'waiting') {
			this.#seeds.set(id, 'unreachable');
		}
	}

	/**
	 * Notes that a source knew `version` as the highest, with `ageMs` since the platform said so.
	 * Has no effect unless it is the version held.
	 *
	 * @param now - Time in ms at which the source's message arrived.
	 */
	confirm(version: number, ageMs: number, now: number): void {
		if (version === this.#current?.version) {
			this.#confirmedAt = Math.max(this.#confirmedAt ?? -Infinity, now - ageMs);
		}
	}

	/** Time in ms since the held version was last confirmed; `Infinity` if it never was. */
	confirmedAgeMs(now: number): number {
		return this.#confirmedAt === undefined ? Infinity : Math.max(0, now - this.#confirmedAt);
	}

	/**
	 * Reads the store and takes in its version.
	 *
	 * @param now - Time of this call in ms; the confirmed age counts from it.
	 * @returns The version held afterwards, which may be higher than the stored one.
	 */
	async refresh(store: ObjectStore, now: number, options?: CallOptions): Promise<Result<ConfigVersion | undefined, ConfigReadFailure>> {
		const loaded = await loadConfig(store, this.#name, options);
		if (loaded.kind === 'failed') {
			return failed(loaded.failure);
		}

		this.#platformAnswered = true;
		if (loaded.value !== undefined) {
			this.offer(loaded.value.config);
			this.confirm(loaded.value.config.version, 0, now);
		}

		return ok(this.#current);
	}

	/**
	 * Applies a change to the store and takes in the result. A change whose answer was `unresolved` is
	 * resolved by applying it again with the same write id, also after a restart if `isRepeat` says so.
	 */
	async apply(store: ObjectStore, change: ConfigChange, options?: CallOptions & {readonly isRepeat?: boolean}): Promise<ApplyResult> {
		const isRepeat = options?.isRepeat ?? this.#sent.has(change.writeId);
		const answer = await applyConfig({
			store, name: this.#name, isRepeat, options,
		}, change);
		this.#sent.delete(change.writeId);
		if (answer.kind === 'accepted') {
			this.offer({version: answer.version, text: change.text, author: change.author});
		} else if (answer.kind === 'conflict' && answer.current !== undefined) {
			this.offer(answer.current);
		} else if (answer.kind === 'unresolved') {
			this.#sent.add(change.writeId);
		}

		return answer;
	}

	/** Reads the last 32 writes from the store, newest last; empty if there is no configuration. */
	async history(store: ObjectStore, options?: CallOptions): Promise<Result<readonly ConfigWrite[], ConfigReadFailure>> {
		const loaded = await loadConfig(store, this.#name, options);
		return loaded.kind === 'failed' ? failed(loaded.failure) : ok(loaded.value?.config.writes ?? []);
	}
}
