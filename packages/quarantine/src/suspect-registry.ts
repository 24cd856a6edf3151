/**
 * Owner side of the quarantine. The owner of a fingerprint and its successor, the first two entries in its rendezvous
 * order, each have a registry. Every change returns the changed record. The owner replicates it to the successor and
 * responds to the entry only after the successor has merged it or is known to be dead, so that the successor can take
 * over at any time. A successor that cannot reach the owner decides alone.
 */
import {
	isQuarantined, mergeRecords, createRecord, mustRunAlone, mayRunWithoutPermit, withCrash, withEnd, withPermit,
} from './suspect-record.js';
import {
	type CrashReport, type Permission, type PermissionRequest, type RunEnd, type SuspectRecord,
} from './types.js';
import {rendezvousOrder} from '#routing';

/** Retention time of a suspect after its last crash; a quarantine ends with it. */
export const RETENTION_MS = 3_600_000;
/** Delay before a permission is requested again: a run takes about 25 s, so a second delays a suspect little and costs little. */
const RETRY_AFTER_MS = 1000;
/** Enough for 600 crashes in an hour with 150 requests in each batch; the fleet has about 10 failures a day. */
const DEFAULT_MAX_RECORDS = 100_000;
/** Maximum number of records examined to find one to evict when the registry is full. */
const MAX_EVICTION_SCAN = 1000;

/** Response to a request for permission, and the record to replicate to the other owner if it changed. */
export type PermissionResult = {readonly permission: Permission; readonly changed: SuspectRecord | undefined};

/**
 * Returns the owner of a fingerprint and its successor, in this order.
 *
 * @param entryIds - Ids of the entries not known to be dead.
 * @returns Two ids; fewer if there are fewer entries.
 */
export function suspectOwnersOf(fingerprint: string, entryIds: Iterable<string>): readonly string[] {
	return rendezvousOrder(`suspect|${fingerprint}`, entryIds, 2);
}

/** Suspects whose owner or successor is this entry. It is stateful; call it from one task only. */
export class SuspectRegistry {
	/** @param maxRecords - Maximum number of suspects; the oldest with a single crash and no permission are evicted first. */
	static create(maxRecords = DEFAULT_MAX_RECORDS): SuspectRegistry {
		return new SuspectRegistry(maxRecords);
	}

	readonly #maxRecords: number;
	/** Records by fingerprint, oldest crash first. */
	readonly #records = new Map<string, SuspectRecord>();

	private constructor(maxRecords: number) {
		this.#maxRecords = maxRecords;
	}

	/** Number of suspects. */
	get size(): number {
		return this.#records.size;
	}

	/** Records a crash for the fingerprints of the batch for which `isLocal` returns true: those whose owner or successor is this entry. */
	reportCrash(crash: CrashReport, isLocal: (fingerprint: string) => boolean, now: number): readonly SuspectRecord[] {
		const changed: SuspectRecord[] = [];
		for (const {fingerprint, permitId} of crash.batch) {
			if (!isLocal(fingerprint)) {
				continue;
			}

			const previous = this.#get(fingerprint, now) ?? createRecord(fingerprint, now);
			const next = withCrash(previous, {crashId: crash.crashId, alone: crash.alone}, permitId, now);
			if (next !== previous) {
				this.#store(next);
				changed.push(next);
			}
		}

		return changed;
	}

	/** Responds to a request for permission to run. A permission lasts until `endRun`, `reportCrash` or `revokePermitsOf`. */
	requestPermission(request: PermissionRequest, now: number): PermissionResult {
		const record = this.#get(request.fingerprint, now);
		if (record === undefined || mayRunWithoutPermit(record)) {
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
		const hasEnded = record.ended.includes(request.permitId);
		if (hasEnded || (permit !== undefined && permit.permitId !== request.permitId)) {
			return {permission: {kind: 'wait', retryAfterMs: RETRY_AFTER_MS}, changed: undefined};
		}

		const alone = permit?.alone ?? mustRunAlone(record);
		const next = withPermit(record, {permitId: request.permitId, entryId: request.entryId, alone});
		this.#records.set(record.fingerprint, next);
		return {permission: alone ? {kind: 'run-alone'} : {kind: 'run', suspect: true}, changed: next};
	}

	/** Records the end of a run. A finished run clears a suspect with one crash; with two crashes it still has to run alone. */
	endRun(run: RunEnd, now: number): SuspectRecord | undefined {
		const record = this.#get(run.fingerprint, now);
		if (record === undefined) {
			return undefined;
		}

		const ranWithPermit = run.how === 'finished' && record.permit?.permitId === run.permitId;
		const next = withEnd(record, run.permitId, record.cleared || ranWithPermit);
		this.#records.set(record.fingerprint, next);
		return next;
	}

	/**
	 * Ends the permissions of an entry that is known to be dead, not only suspected. Call it after endpoints
	 * have cancelled the work of the lost entry, so that its run has stopped before the next one starts.
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

	/** Merges records of the other owner. */
	merge(records: Iterable<SuspectRecord>, now: number): void {
		for (const record of records) {
			const own = this.#get(record.fingerprint, now);
			this.#store(own === undefined ? record : mergeRecords(own, record));
		}
	}

	/** Returns all records, for a new owner or successor after the set of entries changed. */
	records(now: number): readonly SuspectRecord[] {
		this.sweep(now);
		return [...this.#records.values()];
	}

	/** Removes records after the retention time, except those with a permission in use. Call it about once a minute. */
	sweep(now: number): void {
		for (const record of this.#records.values()) {
			if (this.#isExpired(record, now)) {
				this.#records.delete(record.fingerprint);
			}
		}
	}

	#isExpired(record: SuspectRecord, now: number): boolean {
		return record.permit === undefined && now - record.crashedAt >= RETENTION_MS;
	}

	#get(fingerprint: string, now: number): SuspectRecord | undefined {
		const record = this.#records.get(fingerprint);
		return record === undefined || this.#isExpired(record, now) ? undefined : record;
	}

	/** Stores a record as the latest one; evicts another if the registry is full. */
	#store(record: SuspectRecord): void {
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
			if (record.permit === undefined && !mustRunAlone(record)) {
				this.#records.delete(record.fingerprint);
				return;
			}

			if (scanned >= MAX_EVICTION_SCAN) {
				break;
			}
		}

		if (oldest !== undefined) {
			this.#records.delete(oldest);
		}
	}
}
