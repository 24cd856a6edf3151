/** Types of the quarantine of requests that crash engines (design page, section 6.7). */

/** A crash of one engine, as its endpoint process reports it through the entries. */
export type CrashReport = {
	/** Unique for each crash, for example `ENDPOINT/INCARNATION/NUMBER`; repeats of a report count once. */
	readonly crashId: string;
	/** All requests in the batch: fingerprint, 16 hex digits, and id of the attempt. */
	readonly batch: ReadonlyArray<{readonly fingerprint: string; readonly permitId: string}>;
	/** Whether the only request of the batch ran with a `run-alone` permission. */
	readonly alone: boolean;
};

/** A request for permission to run. */
export type PermissionRequest = {
	readonly fingerprint: string;
	/** Unique for each attempt, for example `REQUEST-ID/ATTEMPT`; repeating a request with the same id gets the same permission. */
	readonly permitId: string;
	/** The entry that will run it; the permission ends when this entry is known to be dead. */
	readonly entryId: string;
};

/** End of a run that had a permission. A crash ends the permission too, but is reported by `CrashReport`. */
export type RunEnd = {
	readonly fingerprint: string;
	readonly permitId: string;
	/** `finished`: ran without a crash. `not-run`: did not start. `cancelled`: was cancelled and has stopped. */
	readonly how: 'finished' | 'not-run' | 'cancelled';
};

/** The owner's response. Only `refuse` is final, and no response but `refuse` counts against the request. */
export type Permission
	= | {readonly kind: 'run'; /** False for a fingerprint without a crash. */ readonly suspect: boolean}
		| {readonly kind: 'run-alone'}
		/** Another run of the same suspect has the permission, or this attempt has already ended. Request it again after the delay. */
		| {readonly kind: 'wait'; readonly retryAfterMs: number}
		| {readonly kind: 'refuse'; readonly reason: 'quarantined'; readonly outcome: 'not-run'; readonly untilMs: number};

/** A crash in a record. */
export type Crash = {readonly crashId: string; readonly alone: boolean};

/** A permission in use. */
export type Permit = {readonly permitId: string; readonly entryId: string; readonly alone: boolean};

/** Record of a suspect; immutable. Owners replicate it to their successors. */
export type SuspectRecord = {
	readonly fingerprint: string;
	/** Increases with each change; the permission of the copy with the higher version is in force. */
	readonly version: number;
	/** Distinct crashes. */
	readonly crashes: readonly Crash[];
	/** Whether it finished without a crash after its only crash; it may then run without permission. */
	readonly cleared: boolean;
	readonly permit: Permit | undefined;
	/** Ids of attempts that have ended, latest last; an outdated copy of the record cannot restore their permission. */
	readonly ended: readonly string[];
	/** Time when the last crash was reported, milliseconds; the record is kept for an hour from then. */
	readonly crashedAt: number;
};
