/** The newest configuration that an entry knows, and since when it is known to be current. */
import type {FleetConfig} from './fleet-config.js';
import {elapsedMs, type Instant} from './instant.js';

/** What became of a configuration that was read. */
export type ConfigOffer = 'adopted' | 'confirmed' | 'older';

export class ConfigHolder {
	/** Creates a holder that knows no configuration. */
	static create(): ConfigHolder {
		return new ConfigHolder();
	}

	#current: FleetConfig | undefined;
	#confirmedAt: Instant | undefined;
	#heardVersion = 0;
	#isInReach = true;

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
	offer(config: FleetConfig, asOf: Instant): ConfigOffer {
		if (this.#current !== undefined && config.version < this.#current.version) {
			return 'older';
		}

		const isNew = this.#current?.version !== config.version;
		if (isNew) {
			this.#current = config;
		}

		// The older reading of either clock is the larger age, so a confirmation counts only if it is younger on both.
		if (this.#confirmedAt === undefined || isNew || (asOf.steadyMs > this.#confirmedAt.steadyMs)) {
			this.#confirmedAt = asOf;
		}

		return isNew ? 'adopted' : 'confirmed';
	}

	/** Whether the register answered the last read. */
	get isInReach(): boolean {
		return this.#isInReach;
	}

	/** Notes whether the register answered. */
	noteReach(isInReach: boolean): void {
		this.#isInReach = isInReach;
	}

	/** Notes that a version exists, without its content. */
	noteVersion(version: number): void {
		this.#heardVersion = Math.max(this.#heardVersion, version);
	}

	/** Whether a newer version than the current one is known to exist. */
	get isBehind(): boolean {
		return this.#heardVersion > (this.#current?.version ?? 0);
	}

	/** Confirms the current version without its content, if `version` is at least as high; returns whether it did. */
	confirm(version: number, asOf: Instant): boolean {
		if (this.#current === undefined || version !== this.#current.version) {
			return false;
		}

		return this.offer(this.#current, asOf) !== 'older';
	}

	/** Time since the current version was last known to be the newest, in ms; infinite if none is known. */
	ageMs(now: Instant): number {
		return this.#confirmedAt === undefined ? Number.POSITIVE_INFINITY : elapsedMs(this.#confirmedAt, now);
	}
}
