/** What a soak drives and watches: a deployment of real processes, the callers' attempts and what back ends see. */
import type {IncomingHttpHeaders} from 'node:http';
import type {Random} from '#standins-engine';

/** What callers may expect of a request. */
export type RequestKind = 'idempotent' | 'at-most-once' | 'stream';

/** A request that a back end began to run. */
export type Run = {
	readonly requestId: string;
	readonly backEnd: string;
	/** Workspace that the entry named. */
	readonly workspace: string | undefined;
	readonly path: string;
};

/** Told by back ends. */
export type BackEndObserver = {
	/** A request reached the back end that it was meant for. */
	readonly received: (requestId: string) => void;
	readonly ran: (run: Run) => void;
};

/** One attempt of a caller, with an id of its own. */
export type Attempt = {
	readonly id: string;
	readonly kind: RequestKind;
	readonly entry: string;
	readonly key: CallerKey;
	/** Time that the caller waits, in ms. */
	readonly waitMs: number;
	/** Events of a stream. */
	readonly events: number;
	/** Steady ms. */
	readonly sentAt: number;
};

/** How an attempt ended for its caller. */
export type AttemptOutcome
	= | {readonly kind: 'answer'; readonly status: number; readonly body: string; readonly isSigned: boolean}
		/** A stream; `events` are the data of its whole events by id. */
		| {readonly kind: 'stream'; readonly events: ReadonlyArray<{readonly id: number; readonly data: string}>; readonly isComplete: boolean}
		| {readonly kind: 'closed'; readonly reason: string}
		/** Nothing until well after the caller's deadline. */
		| {readonly kind: 'hung'};

/** An entry that callers use. */
export type EntryView = {
	readonly name: string;
	readonly host: string;
	readonly port: number;
	/** When a signal or a fault last touched the process, in steady ms; infinite while it does. */
	readonly disturbedAt: () => number;
};

/** A kind of trouble that the deployment can make for itself. */
export type FaultKind = {
	readonly name: string;
	/** Longest time that it lasts, in ms. */
	readonly longestMs: number;
	/** Begins; returns what it struck and how it is ended. Undefined if there is nothing to strike now. */
	readonly begin: (random: Random) => Promise<{readonly detail: string; readonly end: () => Promise<void>} | undefined>;
};

/** A caller's key, and when taking it away was acknowledged, in steady ms. */
export type CallerKey = {readonly key: string; readonly workspace: string; revokedAt: number | undefined};

/** What the platform's operator promises, as far as the soak checks it. */
export type SoakBounds = {
	/** A key is dead so long after its revocation was acknowledged, in ms. */
	readonly revokeMs: number;
	/** Back ends to which one attempt may be sent. */
	readonly maxAttempts: number;
	/** Repeats in a window: a share of the requests, and so many beyond it. */
	readonly retry: {readonly fraction: number; readonly slack: number; readonly windowMs: number};
};

/** The processes under soak. */
export type SoakDeployment = {
	readonly entries: () => readonly EntryView[];
	readonly keys: () => readonly CallerKey[];
	readonly faults: readonly FaultKind[];
	/** An attempt as it goes over the wire. */
	readonly encode: (attempt: Attempt) => {readonly method: string; readonly path: string; readonly headers: Readonly<Record<string, string>>; readonly body: string | undefined};
	/** Whether an answer is a back end's own. */
	readonly isSigned: (headers: IncomingHttpHeaders) => boolean;
	/** Faults of the processes themselves so far: exits that nobody asked for, slow stops, memory. */
	readonly findings: () => readonly string[];
	readonly close: () => Promise<void>;
};
