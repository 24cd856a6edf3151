/** State transitions of a suspect's record. */
import {type Crash, type Permit, type SuspectRecord} from './types.js';

/** Maximum number of endpoints that a request may crash. */
export const MAX_CRASHES = 3;
/** Number of crashes from which on a suspect may run only alone. */
export const ALONE_FROM_CRASHES = 2;
/** Crashes kept in a record, to recognise repeated reports. A harmless request may have been in more crashed batches than `MAX_CRASHES`. */
const MAX_RECORDED_CRASHES = 8;
/** Ids of ended attempts kept in a record. */
const MAX_RECORDED_ENDED = 8;

export function createRecord(fingerprint: string, now: number): SuspectRecord {
	return {
		fingerprint, version: 0, crashes: [], cleared: false, permit: undefined, ended: [], crashedAt: now,
	};
}

/** Whether the request is quarantined, which requires a crash while it ran alone: crashes in batches with others prove nothing about it. */
export function isQuarantined({crashes}: SuspectRecord): boolean {
	return crashes.length >= MAX_CRASHES && crashes.some(({alone}) => alone);
}

/** Whether the request may run only alone on an endpoint. */
export function mustRunAlone({crashes}: SuspectRecord): boolean {
	return crashes.length >= ALONE_FROM_CRASHES;
}

/** Whether the request may run without permission. */
export function mayRunWithoutPermit(record: SuspectRecord): boolean {
	return record.crashes.length === 0 || (record.cleared && !mustRunAlone(record));
}

/** Bounds the list. Crashes while alone are dropped last, since the quarantine depends on them. */
function boundCrashes(crashes: readonly Crash[]): readonly Crash[] {
	return crashes.toSorted((a, b) => Number(a.alone) - Number(b.alone)).slice(-MAX_RECORDED_CRASHES);
}

/** Adds a crash, which ends the permission of the attempt. A repeated report changes nothing. */
export function withCrash(record: SuspectRecord, crash: Crash, permitId: string, now: number): SuspectRecord {
	if (record.crashes.some(({crashId}) => crashId === crash.crashId)) {
		return record;
	}

	return {
		...withEnd(record, permitId, false),
		crashes: boundCrashes([...record.crashes, crash]),
		crashedAt: now,
	};
}

/** Grants a permission. */
export function withPermit(record: SuspectRecord, permit: Permit): SuspectRecord {
	return {...record, version: record.version + 1, permit};
}

/** Records the end of an attempt, even if its permission is unknown to this registry. */
export function withEnd(record: SuspectRecord, permitId: string, cleared: boolean): SuspectRecord {
	return {
		...record,
		version: record.version + 1,
		cleared,
		permit: record.permit?.permitId === permitId ? undefined : record.permit,
		ended: [...record.ended.filter(id => id !== permitId), permitId].slice(-MAX_RECORDED_ENDED),
	};
}

/** Permission after a merge: that of the later copy; for equal versions, one that has not ended according to either copy. */
function mergePermits(a: SuspectRecord, b: SuspectRecord, ended: readonly string[]): Permit | undefined {
	if (a.version !== b.version) {
		return a.version > b.version ? a.permit : b.permit;
	}

	return [a.permit, b.permit].find(permit => permit !== undefined && !ended.includes(permit.permitId));
}

/**
 * Merges two copies of a record. The result has the crashes of both; the other fields come from the later copy,
 * since the copy of a former owner may be many runs old.
 */
export function mergeRecords(a: SuspectRecord, b: SuspectRecord): SuspectRecord {
	const later = a.version >= b.version ? a : b;
	const known = new Set(a.crashes.map(({crashId}) => crashId));
	const crashes = boundCrashes([...a.crashes, ...b.crashes.filter(({crashId}) => !known.has(crashId))]);
	const ended = a.version === b.version ? [...new Set([...a.ended, ...b.ended])].slice(-MAX_RECORDED_ENDED) : later.ended;
	return {
		fingerprint: a.fingerprint,
		version: later.version,
		crashes,
		cleared: later.cleared && crashes.length === later.crashes.length,
		permit: mergePermits(a, b, ended),
		ended,
		crashedAt: Math.max(a.crashedAt, b.crashedAt),
	};
}
