/** Types of the quarantine of requests that crash engines (design page, section 6.7). */

/** A crash of one engine, as its endpoint process reports it through the entries. */
export type CrashReport = {
	/** Unique for each crash, for example `ENDPOINT/INCARNATION/NUMBER`; repeats of a report count once. */
	readonly crashId: string;
	/** All requests in the batch: fingerprint, 16 hex digits, and the attempt that ran. */
	readonly batch: ReadonlyArray<{readonly fingerprint: string; readonly permitId: string}>;
	/** True if the only request of the batch ran under a `run-alone` permission. */
	readonly alone: boolean;
};

/** A request for permission to run. */
export type PermissionRequest = {
	readonly fingerprint: string;
	/** Unique for each attempt, for example `REQUEST-ID/ATTEMPT`; repeating a request with the same id gets the same permission. */
	readonly permitId: string;
	/** The entry that will run it; the permission ends with this entry's known death. */
	readonly entryId: string;
};

/** How a permission ended. A crash ends it as well; report that with the crash. */
export type RunEnd = {
	readonly fingerprint: string;
	readonly permitId: string;
	/** `finished`: ran without a crash. `not-run`: did not start. `cancelled`: was stopped and has stopped. */
	readonly how: 'finished' | 'not-run' | 'cancelled';
};

/** The home's answer. Only `refuse` is final, and no answer but `refuse` counts against the request. */
export type Permission
	= | {readonly kind: 'run'; /** False for a fingerprint without a crash. */ readonly suspect: boolean}
		| {readonly kind: 'run-alone'}
		/** Another run of the same suspect holds the permission, or the registry is full. Ask again. */
		| {readonly kind: 'wait'; readonly retryAfterMs: number}
		| {readonly kind: 'refuse'; readonly reason: 'quarantined'; readonly outcome: 'not-run'; readonly untilMs: number};

/** One crash as a record keeps it. */
export type Crash = {readonly crashId: string; readonly alone: boolean};

/** A permission in use. */
export type Permit = {readonly permitId: string; readonly entryId: string; readonly alone: boolean};

/** What is known about a fingerprint; an immutable value that homes send to their successors. */
export type SuspectRecord = {
	readonly fingerprint: string;
	/** Increases with each change; the later of two copies decides about the permission. */
	readonly version: number;
	/** Distinct crashes. */
	readonly crashes: readonly Crash[];
	/** True if it finished without a crash after its only crash; it then runs without permission. */
	readonly cleared: boolean;
	readonly permit: Permit | undefined;
	/** Attempts that have ended, latest last; a late copy of the record cannot bring their permission back. */
	readonly ended: readonly string[];
	/** When the last crash was reported, milliseconds; the record is kept for an hour from then. */
	readonly crashedAt: number;
};
