/** Transitions of one suspect's record. */
import {type Crash, type Permit, type SuspectRecord} from './types.js';

/** A request crashes at most this many endpoints. */
export const MAX_CRASHES = 3;
/** From this many crashes on, a suspect runs only alone. */
export const ALONE_FROM_CRASHES = 2;
/** Crashes kept in a record; an innocent request may be in more batches, and repeats must be told apart. */
const MAX_KEPT_CRASHES = 8;
/** Ended attempts kept in a record. */
const MAX_KEPT_ENDED = 8;

export function newRecord(fingerprint: string, now: number): SuspectRecord {
	return {
		fingerprint, version: 0, crashes: [], cleared: false, permit: undefined, ended: [], crashedAt: now,
	};
}

/** Only a request that crashed while alone is quarantined; any number of crashes in batches with others is no proof. */
export function isQuarantined({crashes}: SuspectRecord): boolean {
	return crashes.length >= MAX_CRASHES && crashes.some(({alone}) => alone);
}

/** Whether it may run only alone on an endpoint. */
export function runsAlone({crashes}: SuspectRecord): boolean {
	return crashes.length >= ALONE_FROM_CRASHES;
}

/** Whether it may run without a permission. */
export function runsFreely(record: SuspectRecord): boolean {
	return record.crashes.length === 0 || (record.cleared && !runsAlone(record));
}

/** Bounds the list; a crash while alone decides the quarantine and goes last. */
function keptCrashes(crashes: readonly Crash[]): readonly Crash[] {
	return crashes.toSorted((a, b) => Number(a.alone) - Number(b.alone)).slice(-MAX_KEPT_CRASHES);
}

/** Adds a crash, which ends the attempt's permission; a repeat changes nothing. */
export function withCrash(record: SuspectRecord, crash: Crash, permitId: string, now: number): SuspectRecord {
	if (record.crashes.some(({crashId}) => crashId === crash.crashId)) {
		return record;
	}

	return {
		...withEnd(record, permitId, false),
		crashes: keptCrashes([...record.crashes, crash]),
		crashedAt: now,
	};
}

/** Gives the permission. */
export function withPermit(record: SuspectRecord, permit: Permit): SuspectRecord {
	return {...record, version: record.version + 1, permit};
}

/** Notes the end of an attempt, also of one whose permission is not known here. */
export function withEnd(record: SuspectRecord, permitId: string, cleared: boolean): SuspectRecord {
	return {
		...record,
		version: record.version + 1,
		cleared,
		permit: record.permit?.permitId === permitId ? undefined : record.permit,
		ended: [...record.ended.filter(id => id !== permitId), permitId].slice(-MAX_KEPT_ENDED),
	};
}

/** The permission in force after a join: that of the later copy; of equal ones, any that neither saw end. */
function joinedPermit(a: SuspectRecord, b: SuspectRecord, ended: readonly string[]): Permit | undefined {
	if (a.version !== b.version) {
		return a.version > b.version ? a.permit : b.permit;
	}

	return [a.permit, b.permit].find(permit => permit !== undefined && !ended.includes(permit.permitId));
}

/**
 * Joins two copies of a record. Crashes add up. The rest comes from the later copy, since a former home may
 * hold a copy that is many runs old.
 */
export function joined(a: SuspectRecord, b: SuspectRecord): SuspectRecord {
	const later = a.version >= b.version ? a : b;
	const known = new Set(a.crashes.map(({crashId}) => crashId));
	const crashes = keptCrashes([...a.crashes, ...b.crashes.filter(({crashId}) => !known.has(crashId))]);
	const ended = a.version === b.version ? [...new Set([...a.ended, ...b.ended])].slice(-MAX_KEPT_ENDED) : later.ended;
	return {
		fingerprint: a.fingerprint,
		version: later.version,
		crashes,
		cleared: later.cleared && crashes.length === later.crashes.length,
		permit: joinedPermit(a, b, ended),
		ended,
		crashedAt: Math.max(a.crashedAt, b.crashedAt),
	};
}
