/**
 * Home side of the quarantine. The home of a fingerprint and its successor each hold a registry.
 * Every change returns the changed record; the home sends it to the successor and answers the entry
 * only after the successor has merged it or is known to be dead, so that the successor can take over
 * at any moment. A successor that cannot reach the home decides alone.
 */
import {
	isQuarantined, joined, newRecord, runsAlone, runsFreely, withCrash, withEnd, withPermit,
} from './suspect-record.js';
import {
	type CrashReport, type Permission, type PermissionRequest, type RunEnd, type SuspectRecord,
} from './types.js';
import {rendezvousOrder} from '#routing';

/** Suspects are kept for this time after their last crash; a quarantine ends with it. */
export const RETENTION_MS = 3_600_000;
/** A run takes about 25 s; asking again after a second delays a suspect little and costs little. */
const WAIT_MS = 1000;
/** At 150 requests in a batch this holds 600 crashes in an hour; the fleet sees about 10 failures a day. */
const DEFAULT_MAX_RECORDS = 100_000;
/** Records looked at to find one that may be dropped when the registry is full. */
const EVICTION_SCAN = 1000;

/** An answer and the record to replicate to the other home, if it changed. */
export type PermissionResult = {readonly permission: Permission; readonly changed: SuspectRecord | undefined};

/**
 * The home of a fingerprint and its successor, in this order.
 *
 * @param entryIds - The entries not known to be dead.
 * @returns Two ids, fewer if there are fewer entries.
 */
export function suspectHomesOf(fingerprint: string, entryIds: Iterable<string>): readonly string[] {
	return rendezvousOrder(`suspect|${fingerprint}`, entryIds, 2);
}

/** Suspects of the fingerprints whose home or successor this entry is. It owns its state; drive it from one task. */
export class SuspectRegistry {
	/** @param maxRecords - Bound on suspects; the oldest with a single crash and no permission go first. */
	static create(maxRecords = DEFAULT_MAX_RECORDS): SuspectRegistry {
		return new SuspectRegistry(maxRecords);
	}

	readonly #maxRecords: number;
	/** Oldest crash first. */
	readonly #records = new Map<string, SuspectRecord>();

	private constructor(maxRecords: number) {
		this.#maxRecords = maxRecords;
	}

	/** Number of suspects. */
	get size(): number {
		return this.#records.size;
	}

	/** Takes a crash; call it for the fingerprints of the batch whose home or successor this entry is. */
	reportCrash(crash: CrashReport, isHere: (fingerprint: string) => boolean, now: number): readonly SuspectRecord[] {
		const changed: SuspectRecord[] = [];
		for (const {fingerprint, permitId} of crash.batch) {
			if (!isHere(fingerprint)) {
				continue;
			}

			const known = this.#get(fingerprint, now) ?? newRecord(fingerprint, now);
			const next = withCrash(known, {crashId: crash.crashId, alone: crash.alone}, permitId, now);
			if (next !== known) {
				this.#put(next);
				changed.push(next);
			}
		}

		return changed;
	}

	/** Answers a request for permission to run. A permission lasts until `end`, a crash report or `entryDied`. */
	requestPermission(request: PermissionRequest, now: number): PermissionResult {
		const record = this.#get(request.fingerprint, now);
		if (record === undefined || runsFreely(record)) {
			return {permission: {kind: 'run', suspect: record !== undefined}, changed: undefined};
		}

		if (isQuarantined(record)) {
			return {
				permission: {
					kind: 'refuse', reason: 'quarantined', outcome: 'not-run', untilMs: record.crashedAt + RETENTION_MS,
				},
				changed: undefined,
			};
		}

		const {permit} = record;
		const ended = record.ended.includes(request.permitId);
		if (ended || (permit !== undefined && permit.permitId !== request.permitId)) {
			return {permission: {kind: 'wait', retryAfterMs: WAIT_MS}, changed: undefined};
		}

		const alone = permit?.alone ?? runsAlone(record);
		const next = withPermit(record, {permitId: request.permitId, entryId: request.entryId, alone});
		this.#records.set(record.fingerprint, next);
		return {permission: alone ? {kind: 'run-alone'} : {kind: 'run', suspect: true}, changed: next};
	}

	/** Takes the end of a run. A finished run clears a suspect with one crash; with two it still runs alone. */
	endRun(run: RunEnd, now: number): SuspectRecord | undefined {
		const record = this.#get(run.fingerprint, now);
		if (record === undefined) {
			return undefined;
		}

		const proven = run.how === 'finished' && record.permit?.permitId === run.permitId;
		const next = withEnd(record, run.permitId, record.cleared || proven);
		this.#records.set(record.fingerprint, next);
		return next;
	}

	/**
	 * Ends the permissions of an entry that is known to be dead, not merely silent. Call it later than
	 * endpoints cancel the work of a lost entry, so that its run has stopped before the next one starts.
	 */
	revokePermitsOf(entryId: string): readonly SuspectRecord[] {
		const changed: SuspectRecord[] = [];
		for (const record of this.#records.values()) {
			if (record.permit?.entryId === entryId) {
				const next = withEnd(record, record.permit.permitId, record.cleared);
				this.#records.set(record.fingerprint, next);
				changed.push(next);
			}
		}

		return changed;
	}

	/** Takes records of the other home. */
	merge(records: Iterable<SuspectRecord>, now: number): void {
		for (const record of records) {
			const known = this.#get(record.fingerprint, now);
			this.#put(known === undefined ? record : joined(known, record));
		}
	}

	/** All records, for a new home or successor after the set of entries changed. */
	records(now: number): readonly SuspectRecord[] {
		this.sweep(now);
		return [...this.#records.values()];
	}

	/** Drops records whose retention has passed; one with a permission in use stays. Call it about once a minute. */
	sweep(now: number): void {
		for (const record of this.#records.values()) {
			if (this.#hasLapsed(record, now)) {
				this.#records.delete(record.fingerprint);
			}
		}
	}

	#hasLapsed(record: SuspectRecord, now: number): boolean {
		return record.permit === undefined && now - record.crashedAt >= RETENTION_MS;
	}

	#get(fingerprint: string, now: number): SuspectRecord | undefined {
		const record = this.#records.get(fingerprint);
		return record === undefined || this.#hasLapsed(record, now) ? undefined : record;
	}

	/** Stores a record as the latest one and keeps the bound. */
	#put(record: SuspectRecord): void {
		this.#records.delete(record.fingerprint);
		if (this.#records.size >= this.#maxRecords) {
			this.#evict();
		}

		this.#records.set(record.fingerprint, record);
	}

	#evict(): void {
		let oldest: string | undefined;
		let scanned = 0;
		for (const record of this.#records.values()) {
			oldest ??= record.fingerprint;
			scanned++;
			if (record.permit === undefined && !runsAlone(record)) {
				this.#records.delete(record.fingerprint);
				return;
			}

			if (scanned >= EVICTION_SCAN) {
				break;
			}
		}

		if (oldest !== undefined) {
			this.#records.delete(oldest);
		}
	}
}
