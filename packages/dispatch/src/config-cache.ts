/** The newest configuration that an entry knows, and since when it is known to be current. */
import type {FleetConfig} from './fleet-config.js';
import {elapsedMs, type Instant} from './instant.js';

/** What became of a configuration that was read. */
export type ConfigUpdateResult = 'adopted' | 'confirmed' | 'older';

export class ConfigCache {
	/** Creates a holder that knows no configuration. */
	static create(): ConfigCache {
		return new ConfigCache();
	}

	#current: FleetConfig | undefined;
	#confirmedAt: Instant | undefined;
	#highestKnownVersion = 0;
	#isRegistryReachable = true;

	/** The highest version offered so far. */
	get current(): FleetConfig | undefined {
		return this.#current;
	}

	/** When the read that last confirmed the current version was sent. */
	get confirmedAt(): Instant | undefined {
		return this.#confirmedAt;
	}

	/**
	 * Takes a configuration. It never reverts: a lower version than the current one is ignored and confirms nothing.
	 *
	 * @param asOf - A moment at which the version was certainly the newest: when the read was sent, not when it was answered.
	 */
	update(config: FleetConfig, asOf: Instant): ConfigUpdateResult {
		if (this.#current !== undefined && config.version < this.#current.version) {
			return 'older';
		}

		const isNew = this.#current?.version !== config.version;
		if (isNew) {
			this.#current = config;
		}

		// The older reading of either clock is the larger age, so a confirmation counts only if it is younger on both.
		if (this.#confirmedAt === undefined || isNew || (asOf.monotonicMs > this.#confirmedAt.monotonicMs)) {
			this.#confirmedAt = asOf;
		}

		return isNew ? 'adopted' : 'confirmed';
	}

	/** Whether the register answered the last read. */
	get isRegistryReachable(): boolean {
		return this.#isRegistryReachable;
	}

	/** Notes whether the register answered. */
	setRegistryReachable(isInReach: boolean): void {
		this.#isRegistryReachable = isInReach;
	}

	/** Notes that a version exists, without its content. */
	noteKnownVersion(version: number): void {
		this.#highestKnownVersion = Math.max(this.#highestKnownVersion, version);
	}

	/** Whether a newer version than the current one is known to exist. */
	get isBehind(): boolean {
		return this.#highestKnownVersion > (this.#current?.version ?? 0);
	}

	/** Confirms the current version without its content, if `version` is at least as high; returns whether it did. */
	confirm(version: number, asOf: Instant): boolean {
		if (this.#current === undefined || version !== this.#current.version) {
			return false;
		}

		return this.update(this.#current, asOf) !== 'older';
	}

	/** Time since the current version was last known to be the newest, in ms; infinite if none is known. */
	ageMs(now: Instant): number {
		return this.#confirmedAt === undefined ? Number.POSITIVE_INFINITY : elapsedMs(this.#confirmedAt, now);
	}
}
