/** The newest configuration that an entry has, and the time at which it was last confirmed to be current. */
import type {FleetConfig} from './fleet-config.js';
import {elapsedMs, type Instant} from './instant.js';
import {isRevision} from '#core';

/** Result of offering a configuration to the cache. */
export type ConfigUpdateResult = 'adopted' | 'confirmed' | 'older';

export class ConfigCache {
	/** Creates an empty cache. */
	static create(): ConfigCache {
		return new ConfigCache();
	}

	#current: FleetConfig | undefined;
	#confirmedAt: Instant | undefined;
	#highestKnownVersion = 0;
	#isRegistryReachable = true;
	#hasEras = false;
	#isRegistryBehind = false;

	/** The configuration with the highest version so far. */
	get current(): FleetConfig | undefined {
		return this.#current;
	}

	/** When the read that last confirmed the current version was sent. */
	get confirmedAt(): Instant | undefined {
		return this.#confirmedAt;
	}

	/**
	 * Updates the cache. It never reverts: a version lower than the current one is ignored and confirms nothing. If the registry has
	 * eras, this also holds for one lower than any known one: it comes from an old copy.
	 *
	 * @param asOf - A time at which the version was certainly the newest: when the read was sent, not when the response arrived.
	 */
	update(config: FleetConfig, asOf: Instant): ConfigUpdateResult {
		const isOlder = this.#current !== undefined && config.version < this.#current.version;
		if (isOlder || (this.#hasEras && config.version < this.#highestKnownVersion)) {
			return 'older';
		}

		const isNew = this.#current?.version !== config.version;
		if (isNew) {
			this.#current = config;
		}

		// Of several confirmations of one version the latest by the monotonic clock counts; ageMs() uses the larger age of both clocks.
		if (this.#confirmedAt === undefined || isNew || (asOf.monotonicMs > this.#confirmedAt.monotonicMs)) {
			this.#confirmedAt = asOf;
		}

		return isNew ? 'adopted' : 'confirmed';
	}

	/** Whether the registry responded to the last read. */
	get isRegistryReachable(): boolean {
		return this.#isRegistryReachable;
	}

	/** Records whether the registry responded. */
	setRegistryReachable(isReachable: boolean): void {
		this.#isRegistryReachable = isReachable;
	}

	/** The highest version known to exist at other entries; 0 for none. */
	get highestKnownVersion(): number {
		return this.#highestKnownVersion;
	}

	/**
	 * Records an answer of a registry with eras.
	 *
	 * @param version - Version in the answer; 0 if it has no configuration.
	 * @param knownVersion - Highest version known to exist when the read was sent. A version learned meanwhile may be newer than the answer.
	 */
	noteRegistryRead(version: number, knownVersion: number): void {
		this.#hasEras = true;
		this.#isRegistryBehind = version < knownVersion;
	}

	/** Whether the registry itself lacks a version that was known to exist, so that only peers have that one. */
	get isRegistryBehind(): boolean {
		return this.#isRegistryBehind;
	}

	/** Records that a version exists, without its content. A peer's value that cannot be a version is ignored. */
	noteKnownVersion(version: unknown): void {
		if (isRevision(version)) {
			this.#highestKnownVersion = Math.max(this.#highestKnownVersion, version);
		}
	}

	/** Whether a version newer than the current one is known to exist. */
	get isBehind(): boolean {
		return this.#highestKnownVersion > (this.#current?.version ?? 0);
	}

	/** Confirms the current version without its content, if `version` equals it; returns whether it did. */
	confirm(version: number, asOf: Instant): boolean {
		if (this.#current === undefined || version !== this.#current.version) {
			return false;
		}

		return this.update(this.#current, asOf) !== 'older';
	}

	/** Time since the current version was last known to be the newest, in ms; infinite if there is none. */
	ageMs(now: Instant): number {
		return this.#confirmedAt === undefined ? Number.POSITIVE_INFINITY : elapsedMs(this.#confirmedAt, now);
	}
}
