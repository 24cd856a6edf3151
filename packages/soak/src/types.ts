/** Types of the soak test: the deployment of real processes, the callers' attempts, and the events that back ends report. */
import type {IncomingHttpHeaders} from 'node:http';
import type {Random} from '#standins-engine';

/** Delivery guarantee of a request. */
export type RequestKind = 'idempotent' | 'at-most-once' | 'stream';

/**
 * How a caller sends its request and reads the answer; `paused` is a stream whose back end pauses once, and `unframed` one whose end
 * is that of the back end's connection.
 */
export type CallStyle = 'plain' | 'paused' | 'unframed' | 'slow-reader' | 'chunked' | 'late-chunk' | 'half-close';

/** The connection of a request: a kept one if there is one, a new one, or one that was opened some time before. */
export type CallConnection = 'kept' | 'new' | 'opened-ahead';

/** A request that a back end started to process. */
export type Run = {
	readonly requestId: string;
	readonly backEnd: string;
	/** Workspace that the entry sent with the request; undefined if it sent none. */
	readonly workspace: string | undefined;
	readonly path: string;
};

/** Receives events from back ends. */
export type BackEndObserver = {
	/** A request reached the back end that it was addressed to. */
	readonly received: (requestId: string) => void;
	readonly ran: (run: Run) => void;
	/** A run has ended: by itself, by the crash of its back end, or by the entry's close. */
	readonly runEnded?: (requestId: string, end: RunEnd) => void;
};

export type RunEnd = 'complete' | 'broken off' | 'cut';

/** One attempt of a caller, with a unique id. */
export type Attempt = {
	readonly id: string;
	readonly kind: RequestKind;
	readonly entry: string;
	readonly key: CallerKey;
	readonly style: CallStyle;
	/** Deadline of the request, in ms after it was sent. */
	readonly waitMs: number;
	/** Number of events in a stream. */
	readonly events: number;
	/** Interval between two events of a stream, in ms; the back end's own if undefined. */
	readonly eventIntervalMs?: number | undefined;
	/** Monotonic clock, in ms. */
	readonly sentAt: number;
};

/** Outcome of an attempt as its caller sees it. */
export type AttemptOutcome
	= | {readonly kind: 'answer'; readonly status: number; readonly body: string; readonly isSigned: boolean}
		/** A stream; `events` holds the id and data of each complete event. */
		| {readonly kind: 'stream'; readonly events: ReadonlyArray<{readonly id: number; readonly data: string}>; readonly isComplete: boolean}
		| {readonly kind: 'closed'; readonly reason: string}
		/** No response until well after the caller's deadline. */
		| {readonly kind: 'hung'};

/** Whether a request that was passed on to a back end may have ended without a complete answer. */
export type LossJudgement = {readonly kind: 'excused'; readonly reason: string} | {readonly kind: 'fault'; readonly detail: string};

/** Where callers send requests. */
export type CallTarget = {readonly name: string; readonly host: string; readonly port: number};

/** An entry that callers send requests to. */
export type EntryTarget = CallTarget & {
	/** When a signal or a fault last affected the process, in ms of the monotonic clock; Infinity while one does. */
	readonly disturbedAt: () => number;
	/** Judges an attempt whose connection ended at `endedAt`, in ms of the monotonic clock. */
	readonly judgeLoss: (attempt: Attempt, endedAt: number) => LossJudgement;
};

/** A kind of fault that the deployment can inject. */
export type FaultKind = {
	readonly name: string;
	/** Maximum duration, in ms. */
	readonly maxDurationMs: number;
	/** Starts the fault; returns a description of its target and a function that ends it. Undefined if there is no suitable target at present. */
	readonly inject: (random: Random) => Promise<{readonly detail: string; readonly end: () => Promise<void>} | undefined>;
};

/** A caller's API key, and when its revocation was acknowledged, in ms of the monotonic clock. */
export type CallerKey = {readonly key: string; readonly workspace: string; revokedAt: number | undefined};

/** Limits that the platform's operator guarantees and the soak test checks. */
export type SoakBounds = {
	/** Time after the acknowledgement of a revocation at which the key must no longer work, in ms. */
	readonly revokeMs: number;
	/** Maximum number of back ends to which one attempt may be sent. */
	readonly maxAttempts: number;
	/** Retry budget of a window: a fraction of the requests, plus a fixed number. */
	readonly retry: {readonly fraction: number; readonly slack: number; readonly windowMs: number};
};

/** The requests that callers choose from at random. */
export type LoadProfile = {
	/** With their deadlines in ms. */
	readonly requests: ReadonlyArray<{readonly kind: RequestKind; readonly waitMs: number}>;
	/** Maximum number of events in a stream. */
	readonly maxEvents: number;
	readonly eventIntervalMs?: number;
	/** Kind of the requests that probe the entries; any by default. */
	readonly probeKind?: RequestKind;
	readonly connections: readonly CallConnection[];
	/** Longest time between the opening of a connection and its first request, in ms. */
	readonly maxAheadMs: number;
};

/** What callers know of the processes under test. */
export type CallSite = {
	readonly entries: () => readonly CallTarget[];
	readonly keys: () => readonly CallerKey[];
	readonly callStyles: readonly CallStyle[];
	/** The HTTP request of an attempt. */
	readonly encode: (attempt: Attempt) => {readonly method: string; readonly path: string; readonly headers: Readonly<Record<string, string>>; readonly body: string | undefined};
	/** Whether a response carries a back end's signature. */
	readonly isSigned: (headers: IncomingHttpHeaders) => boolean;
};

/** Receives the attempts of callers and their outcomes. */
export type CallObserver = {
	readonly sent: (attempt: Attempt) => void;
	readonly ended: (attempt: Attempt, outcome: AttemptOutcome, endedAt: number) => void;
};

/** Callers that send requests until the signal aborts. */
export type Load = {
	/** Resolves once the last request has ended. */
	readonly run: (signal: AbortSignal) => Promise<void>;
	/** Sends one request to each entry `rounds` times; returns the number that were not served. */
	readonly probe: (rounds: number) => Promise<number>;
	readonly close: () => void;
};

/** The processes under test. */
export type SoakDeployment = Omit<CallSite, 'entries'> & {
	readonly entries: () => readonly EntryTarget[];
	readonly faults: readonly FaultKind[];
	/** Callers in processes of their own, whose events the deployment reports. */
	readonly load?: Load;
	/** Settles when the deployment ends and starts no more processes by itself, and all are ready. */
	readonly calm: () => Promise<void>;
	/** Failures of the processes so far: unexpected exits, slow shutdowns, memory use. */
	readonly findings: () => readonly string[];
	/** Totals of the processes so far, by name. */
	readonly processCounts: () => Readonly<Record<string, number>>;
	readonly close: () => Promise<void>;
};
