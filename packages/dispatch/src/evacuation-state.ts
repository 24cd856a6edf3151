/**
 * The evacuated zones as of the newest reading, and whether requests may be sent on the strength of it.
 *
 * A reading certainly holds every evacuation that was acknowledged before the reading was asked for. A request may be sent on the
 * strength of a reading up to a certain age; with an older one, or with none, it waits until the reading is renewed or the store and
 * the peers have failed to renew it.
 *
 * A registry that returns from an old copy may have lost evacuations. A zone that is missing after a rise of the era stays evacuated
 * until the operator has had time to write the evacuation again.
 *
 * Pure: times are arguments.
 */
import {relaxedRefreshAgeMs} from './config-refresh.js';
import {elapsedMs, type Instant} from './instant.js';
import {isLaterReading, type Reading} from './reading.js';

/** A complete list of the evacuated zones, with the revision and the era of the store that it shows. */
export type EvacuationReading = Reading & {
	readonly zones: readonly string[];
	/** When the read was sent, or earlier. */
	readonly asOf: Instant;
};

/** Zones whose evacuation a reading shows to have begun or ended, and those that it lacks after a rise of the era, which stay evacuated. */
export type EvacuationChange = {readonly began: readonly string[]; readonly ended: readonly string[]; readonly retained: readonly string[]};

/** Why no request may be sent to a zone: it is evacuated, or it is not known whether it is. */
export type ZoneClosure = 'evacuated' | 'unconfirmed';

/** Maximum number of zones of a reading, and of retained zones; many times the zones of a region. */
export const MAX_EVACUATED_ZONES = 256;

/**
 * Time that a request may need from the last check until it reaches its endpoint, in ms: a round trip across zones and a busy process
 * need a few hundred.
 */
const SENDING_MARGIN_MS = 1000;

/** Largest part of the bound that the margin takes, for bounds that are not much longer than the margin. */
const MAX_MARGIN_SHARE = 0.5;

/** Share of the greatest age at which an entry reads the store whatever its peers do: a read that fails then leaves time for another one. */
const LATEST_READ_SHARE = 0.8;

/** Share of the greatest age from which an entry asks all its peers; above the age that a reading reaches between two exchanges of hundreds of entries. */
const ASK_ALL_SHARE = 0.6;

/** Time without an answer of the store and of the peers after which an entry goes on without one, in ms: two exchanges between entries, or a slow answer of the store. */
export const ANSWER_WAIT_MS = 400;

/** Time between two ticks from which the process counts as paused, in ms; answers may have arrived in it that are not read yet. */
const PAUSE_MS = 1000;

/** Time after a rise of the era for which a zone that is missing stays evacuated, in ms: the operator writes again within it what was lost. */
export const RETENTION_MS = 60_000;

export class EvacuationState {
	/** @param evacuateMs - Time from the acknowledgement of an evacuation to the moment from which no request reaches the zone, in ms. */
	static create(evacuateMs: number): EvacuationState {
		return new EvacuationState(evacuateMs);
	}

	/** Age of a reading from which no request is sent on the strength of it unless it cannot be renewed, in ms. */
	readonly maxAgeMs: number;

	/** Zones that the newest reading lists, then the retained ones. */
	#zones: ReadonlySet<string> = new Set();
	/** Zones that have been missing since the latest rise of the era. */
	#retained: ReadonlySet<string> = new Set();
	/** When the retained zones are no longer evacuated, by the monotonic clock. */
	#retainedUntilMs = Number.NEGATIVE_INFINITY;
	#reading: EvacuationReading | undefined;
	#lastTick: Instant | undefined;
	/** When the first of the reads was sent that have not renewed the reading; undefined after a pause. */
	#unansweredSince: Instant | undefined;
	/** Whether one of these reads has failed. */
	#hasFailed = false;

	private constructor(evacuateMs: number) {
		this.maxAgeMs = evacuateMs - Math.min(SENDING_MARGIN_MS, evacuateMs * MAX_MARGIN_SHARE);
	}

	/** The newest reading, without the retained zones: another entry that knows them retains them itself. */
	get reading(): EvacuationReading | undefined {
		return this.#reading;
	}

	/** Age of the newest reading in ms; infinite if there is none. */
	ageMs(now: Instant): number {
		return this.#reading === undefined ? Number.POSITIVE_INFINITY : elapsedMs(this.#reading.asOf, now);
	}

	/**
	 * Takes over a reading unless it has a lower era, or a lower revision of the same era. Of two readings of one revision the later one
	 * counts: it confirms the zones. Returns what changed; undefined if it was not taken over.
	 */
	merge(reading: EvacuationReading, now: Instant): EvacuationChange | undefined {
		const known = this.#reading;
		if (known !== undefined && !isRenewal(reading, known, now)) {
			return undefined;
		}

		const listed = new Set(reading.zones.slice(0, MAX_EVACUATED_ZONES));
		const isRise = known !== undefined && (reading.era ?? 0) > (known.era ?? 0);
		this.#retain(listed, isRise, now.monotonicMs);
		const zones = new Set([...listed, ...this.#retained]);
		const change = {
			began: [...zones].filter(zone => !this.#zones.has(zone)),
			ended: [...this.#zones].filter(zone => !zones.has(zone)),
			retained: isRise ? [...this.#retained] : [],
		};
		this.#zones = zones;
		this.#reading = {...reading, zones: [...listed]};
		if (this.ageMs(now) < this.maxAgeMs) {
			this.#unansweredSince = undefined;
			this.#hasFailed = false;
		}

		return change;
	}

	/**
	 * Called regularly, several times within `PAUSE_MS`, so that a pause of the process is noticed. Returns the retained zones whose time
	 * is over; they are evacuated until then, so that the caller can act on the end before a request is sent to them.
	 */
	tick(now: Instant): readonly string[] {
		this.#noticePause(now);
		this.#lastTick = now;
		if (this.#retained.size === 0 || now.monotonicMs < this.#retainedUntilMs) {
			return [];
		}

		const ended = [...this.#retained];
		this.#retained = new Set();
		this.#zones = new Set(this.#reading?.zones);
		return ended;
	}

	/**
	 * Age from which an entry reads the store itself, in ms.
	 *
	 * @param polledPeers - Number of reachable entries that this one polls regularly.
	 * @param exchangeMs - Interval at which it does.
	 */
	refreshAgeMs(polledPeers: number, exchangeMs: number): number {
		return relaxedRefreshAgeMs(polledPeers, exchangeMs, this.maxAgeMs * LATEST_READ_SHARE);
	}

	/** Whether all peers have to be asked, since the store and those that are polled regularly do not renew the reading. */
	mustAskAll(now: Instant): boolean {
		return this.ageMs(now) >= this.maxAgeMs * ASK_ALL_SHARE;
	}

	/** Records that the store is asked. */
	beginRead(now: Instant): void {
		this.#noticePause(now);
		this.#unansweredSince ??= now;
	}

	/** Records that a read failed. Returns whether that counts: the answer to a read from before a pause may have been missed. */
	failRead(sentAt: Instant, now: Instant): boolean {
		this.#noticePause(now);
		const isCounted = this.#unansweredSince !== undefined && sentAt.monotonicMs >= this.#unansweredSince.monotonicMs;
		this.#hasFailed ||= isCounted;
		return isCounted;
	}

	/** Why no request may be sent to a zone at `now`. */
	closureOf(zone: string, now: Instant): ZoneClosure | undefined {
		return this.isEvacuated(zone) ? 'evacuated' : (this.isUnconfirmed(now) ? 'unconfirmed' : undefined);
	}

	/** Whether the newest reading lists a zone, however old it is, or the zone is retained. */
	isEvacuated(zone: string): boolean {
		return this.#zones.has(zone);
	}

	/** Whether the reading has to be renewed before a request is sent, and it is not known that it cannot be. */
	isUnconfirmed(now: Instant): boolean {
		return this.ageMs(now) >= this.maxAgeMs && !this.#isOutOfReach(now);
	}

	/** Whether neither the store nor a peer has answered in time. With a reading a read has to have failed as well, since the store may be slow. */
	#isOutOfReach(now: Instant): boolean {
		this.#noticePause(now);
		return this.#unansweredSince !== undefined && elapsedMs(this.#unansweredSince, now) >= ANSWER_WAIT_MS && (this.#hasFailed || this.#reading === undefined);
	}

	/** Determines the zones that stay evacuated although they are not listed. One that is listed again ends with its removal, like any other. */
	#retain(listed: ReadonlySet<string>, isRise: boolean, nowMs: number): void {
		// A further rise may have taken back what the operator had written again, so the time starts anew.
		this.#retainedUntilMs = isRise ? nowMs + RETENTION_MS : this.#retainedUntilMs;
		const zones = isRise ? this.#zones : this.#retained;
		const missing = nowMs < this.#retainedUntilMs ? [...zones].filter(zone => !listed.has(zone)) : [];
		this.#retained = new Set(missing.slice(0, MAX_EVACUATED_ZONES));
	}

	#noticePause(now: Instant): void {
		if (this.#lastTick === undefined || elapsedMs(this.#lastTick, now) >= PAUSE_MS) {
			this.#unansweredSince = undefined;
			this.#hasFailed = false;
			this.#lastTick = now;
		}
	}
}

/** Whether a reading shows a later state than the known one, or the same state at a later time. */
function isRenewal(reading: EvacuationReading, known: EvacuationReading, now: Instant): boolean {
	return isLaterReading(reading, known) || (!isLaterReading(known, reading) && elapsedMs(reading.asOf, now) < elapsedMs(known.asOf, now));
}
