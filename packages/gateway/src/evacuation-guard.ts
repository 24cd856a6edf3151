/** Keeps requests from evacuated zones: takes over the readings of the registry and of other entries, and holds requests back until there is one that they may be sent on. */
import type {EntryEventLog} from './event-log.js';
import {sleep} from '#core';
import {
	EvacuationState, MAX_EVACUATED_ZONES, type EndpointDirectory, type EvacuationChange, type EvacuationReading, type Instant, type ZoneClosure,
} from '#dispatch';

export type EvacuationGuardOptions = {
	/** Time from the acknowledgement of an evacuation to the moment from which no request reaches the zone, in ms. */
	readonly evacuateMs: number;
	readonly directory: EndpointDirectory;
	readonly events: EntryEventLog;
	readonly now: () => Instant;
	/**
	 * Called with the known endpoints of a zone whose evacuation has ended, before any request may be sent to them: they are cold from
	 * this moment, whatever their registrations say.
	 */
	readonly onEvacuationEnd: (endpointIds: readonly string[]) => void;
};

/** Where a reading comes from. */
export type EvacuationSource = 'register' | 'peer';

/** What ends an evacuation that is missing since the registry returned from an old copy, in the log. */
const TIMEOUT_SOURCE = 'timeout';

/** Age of the own reading from which other entries are asked for theirs, in ms: a younger one needs no renewal before the next exchange. */
const ASK_AGE_MS = 500;

/** Longest time for which a request waits for a reading, in ms: a call of the registry fails within 1 s, and the wait for peers is shorter. */
const MAX_READING_WAIT_MS = 1200;

/** Interval at which a waiting request checks for a reading, in ms. */
const READING_CHECK_MS = 20;

export class EvacuationGuard {
	static create(options: EvacuationGuardOptions): EvacuationGuard {
		return new EvacuationGuard(options);
	}

	readonly state: EvacuationState;
	readonly #options: EvacuationGuardOptions;

	private constructor(options: EvacuationGuardOptions) {
		this.#options = options;
		this.state = EvacuationState.create(options.evacuateMs);
	}

	/** Why nothing may be sent to a zone now. */
	closureOf(zone: string): ZoneClosure | undefined {
		return this.state.closureOf(zone, this.#options.now());
	}

	isEvacuated(zone: string): boolean {
		return this.state.isEvacuated(zone);
	}

	/** Waits while it is not known which zones are evacuated, for `maxWaitMs` at most. */
	async awaitReading(maxWaitMs: number): Promise<void> {
		const {now} = this.#options;
		const startedAt = now().monotonicMs;
		const endsAt = startedAt + Math.min(maxWaitMs, MAX_READING_WAIT_MS);
		while (this.state.isUnconfirmed(now()) && now().monotonicMs < endsAt) {
			await sleep(READING_CHECK_MS);
		}
	}

	/** Takes over a reading, and records what it changes. Returns whether it was taken over. */
	merge(reading: EvacuationReading, source: EvacuationSource): boolean {
		const changes = this.state.merge(reading, this.#options.now());
		if (changes === undefined) {
			return false;
		}

		if (reading.zones.length > MAX_EVACUATED_ZONES && changes.began.length + changes.ended.length > 0) {
			this.#options.events.record({kind: 'skipped-input', where: 'evacuations', detail: `${reading.zones.length} zones, of which ${MAX_EVACUATED_ZONES} count`});
		}

		for (const change of ['began', 'ended', 'retained'] as const) {
			this.#record(change, changes[change], source);
		}

		return true;
	}

	/** Called regularly while the process runs; ends the evacuations whose time after a rise of the era is over. */
	tick(): void {
		this.#record('ended', this.state.tick(this.#options.now()), TIMEOUT_SOURCE);
	}

	/** Age of the own reading to ask another entry with, in ms; undefined if none is asked for. */
	askAgeMs(): number | undefined {
		const ageMs = this.state.ageMs(this.#options.now());
		return ageMs < ASK_AGE_MS ? undefined : Math.floor(ageMs);
	}

	#record(change: keyof EvacuationChange, zones: readonly string[], source: EvacuationSource | typeof TIMEOUT_SOURCE): void {
		const {directory, events, onEvacuationEnd} = this.#options;
		for (const zone of zones) {
			const endpoints = directory.records().filter(endpoint => endpoint.zone === zone).map(({id}) => id);
			events.record({
				kind: 'evacuation', change, zone, source, revision: this.state.reading?.revision ?? 0, endpoints: endpoints.length,
			});
			if (change === 'ended' && endpoints.length > 0) {
				onEvacuationEnd(endpoints);
			}
		}
	}
}
