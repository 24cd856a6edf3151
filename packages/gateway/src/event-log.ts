/**
 * Log lines and metrics of an entry's events: each event is counted and logged as one line. Lines for routine events have a lower
 * rate limit than those for failures and state changes; the number of dropped lines is logged.
 */
import type {Disconnect} from './caller-response.js';
import type {ColdSource} from './limit-guard.js';
import type {RefusalReason} from './refusals.js';
import {splitCause, type CrashCause} from '#quarantine';
import {describeError, type ErrorListener} from '#core';
import type {ConnectionUse, ReadRefusal} from '#connections';
import type {AvailabilityChange, EvacuationChange} from '#dispatch';
import type {Metrics, Logger} from '#telemetry';

/** What the caller of a stream received so far. */
export type StreamSummary = {
	readonly events: number;
	/** Longest time between two events, in ms. */
	readonly longestGapMs: number;
	/** The route's target for it, in ms. */
	readonly targetGapMs: number | undefined;
};

/** Why another attempt is made, or is not; `not-needed` while another one of the request is open. */
export type RetryDecision = 'taken' | 'not-needed' | 'not-repeatable' | 'attempts-used' | 'no-time' | 'budget-used' | 'no-endpoint';

/** Times that tell why a stream was cut off, in ms before it. */
export type CutAges = {
	/** Since the last event was forwarded; undefined if there was none. */
	readonly sinceEventMs: number | undefined;
	/** Since the endpoint's last byte; undefined if no stream of an endpoint was read. */
	readonly sinceByteMs: number | undefined;
	/** Since the entry began to stop; undefined if it does not. */
	readonly sinceStopMs: number | undefined;
	/** Time by which the request's own time was over at least, and at most; negative if it was not. Undefined without a route. */
	readonly minOverdueMs: number | undefined;
	readonly maxOverdueMs: number | undefined;
};

/** Summary of a request, with the configuration that applied to it. */
export type RequestSummary = {
	readonly requestId: string;
	/** Equal for resends of the same call; undefined for a request that was not admitted. */
	readonly fingerprint: string | undefined;
	readonly route: string | undefined;
	readonly workspace: string | undefined;
	readonly configVersion: number | undefined;
	/** Age of the configuration's confirmation, in ms. */
	readonly configAgeMs: number | undefined;
	readonly attempts: number;
	/** Upper bound of the time for which the request waited before it was read, in ms. */
	readonly readDelayMs: number;
	readonly elapsedMs: number;
	/** Undefined before the first event, and for any other request. */
	readonly stream: StreamSummary | undefined;
};

type CallerDisconnect = Exclude<Disconnect, {readonly closedBy: 'entry'}>;

export type EntryEvent
	= | {readonly kind: 'answered'; readonly facts: RequestSummary; readonly endpoint: string; readonly status: number; readonly firstByteMs: number}
		| {readonly kind: 'refused'; readonly facts: RequestSummary; readonly reason: RefusalReason; readonly status: number; readonly retryAfterS: number | undefined; readonly detail: string | undefined}
		| {readonly kind: 'cut'; readonly facts: RequestSummary; readonly endpoint: string; readonly reason: string; readonly lastEventId: number | undefined; readonly ages: CutAges}
		/** A response that goes on while the process may be killed at any moment, after which no line could follow. */
		| {readonly kind: 'still-open'; readonly facts: RequestSummary; readonly endpoint: string; readonly lastEventId: number | undefined; readonly ages: CutAges}
		| ({readonly kind: 'caller-left'; readonly facts: RequestSummary} & CallerDisconnect)
		/** This entry closed the connection before the response was complete, other than by cutting off the response. */
		| {readonly kind: 'closed'; readonly facts: RequestSummary; readonly reason: string}
		| {readonly kind: 'attempt-failed'; readonly requestId: string; readonly fingerprint: string; readonly attempt: number; readonly endpoint: string; readonly outcome: string; readonly detail: string; readonly inFlight: number; readonly retryAfterS: number | undefined; readonly retry: RetryDecision}
		| {readonly kind: 'configuration'; readonly version: number; readonly source: string; readonly routes: number; readonly workspaces: number}
		/** The registry returned from an old copy. */
		| {readonly kind: 'registry-era'; readonly era: number}
		| {readonly kind: 'endpoint'; readonly id: string; readonly service: string; readonly change: string; readonly source: string}
		/** The limit that an endpoint names, in requests per second; undefined when it no longer names one. */
		| {readonly kind: 'endpoint-limit'; readonly endpoint: string; readonly perSecond: number | undefined; readonly source: 'response' | 'peer'}
		/** What an endpoint said of further requests; `waitMs` if it asked to wait. */
		| {readonly kind: 'endpoint-availability'; readonly requestId: string; readonly endpoint: string; readonly change: AvailabilityChange['kind']; readonly waitMs: number | undefined}
		/** Endpoints that were not known to be cold; `first` names some of them, `coldMs` is the time for which the first one stays cold. */
		| {readonly kind: 'endpoints-cold'; readonly endpoints: number; readonly first: readonly string[]; readonly coldMs: number; readonly source: ColdSource}
		/** An endpoint has reached the limit that it names, in requests per second. */
		| {readonly kind: 'permit-denied'; readonly requestId: string; readonly endpoint: string; readonly perSecond: number | undefined; readonly retryAfterMs: number}
		/** What may crash endpoints. */
		| {readonly kind: 'crash-cause'; readonly cause: CrashCause; readonly change: 'suspected' | 'reported' | 'probed' | 'cleared' | 'blocked'; readonly endpoint: string | undefined}
		/** The evacuation of a zone began or ended as far as this entry knows, or goes on without its object after a rise of the era; `endpoints` is the number of its endpoints that are known. */
		| {readonly kind: 'evacuation'; readonly change: keyof EvacuationChange; readonly zone: string; readonly source: string; readonly revision: number; readonly endpoints: number}
		/** Streams of a service are not limited for a while, since fewer would not help. */
		| {readonly kind: 'limit-suspended'; readonly service: string; readonly zone: string | undefined; readonly gapMs: number}
		/** The number of requests that an endpoint handles well fell below its slots, or is back there. */
		| {readonly kind: 'endpoint-pace'; readonly endpoint: string; readonly limit: number; readonly isBelowSlots: boolean}
		/** This entry uses only its part of the capacity of a service, or all of it again if `sharedBy` is 1, since it hears from no other entry. */
		| {readonly kind: 'capacity-part'; readonly service: string; readonly sharedBy: number}
		| {readonly kind: 'dependency'; readonly dependency: string; readonly isReachable: boolean; readonly detail: string}
		/** An exception that ended one unit of work: a request, a message of another entry, or one round of a task. */
		| {readonly kind: 'internal-error'; readonly where: string; readonly requestId: string | undefined; readonly error: unknown}
		| {readonly kind: 'skipped-input'; readonly where: string; readonly detail: string; readonly requestId?: string; readonly disconnect?: Disconnect | undefined}
		/** A request that was refused while its body was read; `heldBytes` is what all requests held beyond their free bytes. */
		| {readonly kind: 'body-refused'; readonly requestId: string; readonly reason: ReadRefusal; readonly status: number; readonly retryAfterS: number | undefined; readonly heldBytes: number}
		/** A connection was closed since there were too many. */
		| {readonly kind: 'connection-displaced'; readonly use: ConnectionUse; readonly maxConnections: number}
		/** A request that was read, and gets no answer since its connection closes. */
		| {readonly kind: 'not-taken'; readonly requestId: string | undefined; readonly reason: string}
		/** A connection was closed after its last response, of which bytes could not be written. */
		| {readonly kind: 'unsent'; readonly bytes: number}
		| {readonly kind: 'lifecycle'; readonly step: string; readonly detail: Readonly<Record<string, unknown>>};

/** Rate limit for routine lines, per second; a fully loaded entry has about 30 requests a second. */
const ROUTINE_LINES_PER_S = 40;

/** Rate limit for lines on failures and state changes, per second. */
const FAILURE_LINES_PER_S = 200;

/** Limits the number of lines per second. */
class LogRateLimiter {
	dropped = 0;
	#second = 0;
	#lines = 0;
	readonly #limit: number;

	constructor(limit: number) {
		this.#limit = limit;
	}

	tryTake(now: number): boolean {
		const second = Math.floor(now / 1000);
		if (second !== this.#second) {
			this.#second = second;
			this.#lines = 0;
		}

		this.#lines += 1;
		if (this.#lines > this.#limit) {
			this.dropped += 1;
			return false;
		}

		return true;
	}
}

export class EntryEventLog {
	/** @param now - Monotonic clock in ms. */
	static create(logger: Logger, metrics: Metrics, now: () => number): EntryEventLog {
		return new EntryEventLog(logger, metrics, now);
	}

	readonly #routineLimiter = new LogRateLimiter(ROUTINE_LINES_PER_S);
	readonly #failureLimiter = new LogRateLimiter(FAILURE_LINES_PER_S);
	#reportedDropped = 0;
	readonly #logger: Logger;
	readonly #metrics: Metrics;
	readonly #now: () => number;

	private constructor(logger: Logger, metrics: Metrics, now: () => number) {
		this.#logger = logger;
		this.#metrics = metrics;
		this.#now = now;
	}

	/** Records the exceptions of one kind of work. */
	errorListener(where: string): ErrorListener {
		return error => {
			this.record({
				kind: 'internal-error', where, requestId: undefined, error,
			});
		};
	}

	/** Counts an event and logs it unless the rate limit is exceeded. */
	record(event: EntryEvent): void {
		this.#count(event);
		const limiter = event.kind === 'answered' || event.kind === 'caller-left' || event.kind === 'permit-denied' ? this.#routineLimiter : this.#failureLimiter;
		if (!limiter.tryTake(this.#now())) {
			return;
		}

		this.#write(event);
		const totalDropped = this.#routineLimiter.dropped + this.#failureLimiter.dropped;
		if (totalDropped > this.#reportedDropped) {
			this.#logger.warn('lines were left out by the rate limit', {lines: totalDropped - this.#reportedDropped});
			this.#reportedDropped = totalDropped;
		}
	}

	#count(event: EntryEvent): void {
		if ('facts' in event && event.kind !== 'still-open') {
			this.#metrics.recordLatency('readDelay', event.facts.readDelayMs);
		}

		switch (event.kind) {
			case 'answered': {
				this.#metrics.count('answers', `${Math.floor(event.status / 100)}xx`);
				this.#metrics.recordLatency('firstByte', event.firstByteMs);
				this.#metrics.recordLatency('total', event.facts.elapsedMs);
				this.#countStream(event.facts.stream);
				return;
			}

			case 'refused': {
				this.#metrics.count('refusals', event.reason);
				this.#metrics.count('answers', `${Math.floor(event.status / 100)}xx`);
				return;
			}

			case 'body-refused': {
				this.#metrics.count('refusals', event.reason);
				this.#metrics.count('answers', `${Math.floor(event.status / 100)}xx`);
				return;
			}

			case 'connection-displaced': {
				this.#metrics.count('refusals', `${event.kind}-${event.use}`);
				return;
			}

			case 'cut': {
				this.#metrics.count('refusals', `cut-${event.reason}`);
				return;
			}

			case 'caller-left':
			case 'closed':
			case 'not-taken':
			case 'unsent': {
				this.#metrics.count('refusals', event.kind);
				return;
			}

			case 'attempt-failed': {
				if (event.retry === 'taken') {
					this.#metrics.count('retries', event.outcome);
				} else {
					this.#metrics.count('crashes', event.outcome);
					if (event.retry !== 'not-needed') {
						this.#metrics.count('retriesDenied', event.retry);
					}
				}

				if (event.retryAfterS !== undefined) {
					this.#metrics.count('retryAfters', 'received');
				}

				return;
			}

			case 'configuration': {
				this.#metrics.count('configChanges', event.source);
				return;
			}

			case 'registry-era': {
				this.#metrics.count('platformFailures', 'era-rise');
				break;
			}

			case 'dependency': {
				this.#metrics.count('platformFailures', `${event.dependency}-${event.isReachable ? 'regained' : 'lost'}`);
				break;
			}

			case 'crash-cause': {
				this.#metrics.count('crashes', `${splitCause(event.cause).kind}-${event.change}`);
				break;
			}

			case 'permit-denied': {
				this.#metrics.count('retries', 'permit-denied');
				break;
			}

			case 'endpoint-availability': {
				this.#metrics.count('endpointAvailability', event.change);
				break;
			}

			case 'capacity-part': {
				this.#metrics.count('platformFailures', event.sharedBy > 1 ? 'capacity-part' : 'capacity-whole');
				break;
			}

			case 'endpoint-pace': {
				this.#metrics.count('endpointAvailability', event.isBelowSlots ? 'pace-limited' : 'pace-regained');
				break;
			}

			case 'endpoints-cold': {
				this.#metrics.count('endpointAvailability', `cold-${event.source}`);
				break;
			}

			case 'evacuation': {
				this.#metrics.count('evacuations', event.change);
				break;
			}

			case 'internal-error': {
				this.#metrics.count('internalErrors', event.where);
				break;
			}

			case 'still-open':
			case 'limit-suspended':
			case 'endpoint-limit':
			case 'endpoint':
			case 'skipped-input':
			case 'lifecycle':
		}
	}

	#countStream(stream: StreamSummary | undefined): void {
		if (stream !== undefined) {
			this.#metrics.recordLatency('longestGap', stream.longestGapMs);
			this.#metrics.count('streams', stream.longestGapMs > (stream.targetGapMs ?? Infinity) ? 'gap-over-target' : 'gap-within-target');
		}
	}

	#write(event: EntryEvent): void {
		switch (event.kind) {
			case 'answered': {
				this.#logger.info('request answered', {
					...event.facts, endpoint: event.endpoint, status: event.status, firstByteMs: Math.round(event.firstByteMs),
				});
				return;
			}

			case 'refused': {
				this.#logger.info('request refused', {
					...event.facts, reason: event.reason, status: event.status, retryAfterS: event.retryAfterS, detail: event.detail,
				});
				return;
			}

			case 'cut': {
				this.#logger.warn('answer cut off', {
					...event.facts, endpoint: event.endpoint, reason: event.reason, lastEventId: event.lastEventId, ...event.ages,
				});
				return;
			}

			case 'still-open': {
				this.#logger.warn('answer still open', {
					...event.facts, endpoint: event.endpoint, lastEventId: event.lastEventId, ...event.ages,
				});
				return;
			}

			case 'caller-left': {
				const {kind, facts, ...disconnect} = event;
				this.#logger.info('caller left', {...facts, ...disconnect});
				return;
			}

			case 'closed': {
				this.#logger.warn('connection closed', {...event.facts, reason: event.reason});
				return;
			}

			case 'attempt-failed': {
				const {kind, ...fields} = event;
				this.#logger.info('attempt failed', {...fields, willRetry: event.retry === 'taken'});
				return;
			}

			case 'configuration': {
				const {kind, ...fields} = event;
				this.#logger.info('configuration in force', fields);
				return;
			}

			case 'registry-era': {
				this.#logger.warn('registry returned from an old copy', {era: event.era});
				return;
			}

			case 'endpoint': {
				const {kind, ...fields} = event;
				this.#logger.info(`endpoint ${event.change}`, fields);
				return;
			}

			case 'endpoint-limit': {
				const {kind, ...fields} = event;
				this.#logger.warn('endpoint limit', {...fields, perSecond: event.perSecond ?? null});
				return;
			}

			case 'endpoint-availability': {
				const {kind, ...fields} = event;
				this.#logger.warn('endpoint availability', fields);
				return;
			}

			case 'endpoints-cold': {
				const {kind, ...fields} = event;
				this.#logger.info('endpoints cold', fields);
				return;
			}

			case 'permit-denied': {
				const {kind, ...fields} = event;
				this.#logger.info('permit denied', fields);
				return;
			}

			case 'evacuation': {
				const {kind, ...fields} = event;
				this.#logger.warn(`evacuation ${event.change}`, fields);
				return;
			}

			case 'limit-suspended': {
				this.#logger.warn('stream limit suspended', {service: event.service, zone: event.zone, gapMs: Math.round(event.gapMs)});
				return;
			}

			case 'capacity-part': {
				this.#logger.warn('capacity part', {service: event.service, sharedBy: event.sharedBy});
				return;
			}

			case 'endpoint-pace': {
				this.#logger.warn(event.isBelowSlots ? 'endpoint pace limited' : 'endpoint pace regained', {endpoint: event.endpoint, limit: event.limit});
				return;
			}

			case 'crash-cause': {
				const {kind, id} = splitCause(event.cause);
				this.#logger.warn(`${kind} ${event.change}`, {[kind === 'part' ? 'part' : 'fingerprint']: id, endpoint: event.endpoint});
				return;
			}

			case 'dependency': {
				const {kind, ...fields} = event;
				this.#logger.warn(event.isReachable ? 'dependency regained' : 'dependency lost', fields);
				return;
			}

			case 'internal-error': {
				this.#logger.error('internal error', {where: event.where, requestId: event.requestId, detail: describeError(event.error)});
				return;
			}

			case 'skipped-input': {
				const {where, detail, requestId, disconnect} = event;
				this.#logger.warn('input skipped', {
					where, detail, requestId, ...disconnect,
				});
				return;
			}

			case 'body-refused': {
				const {kind, ...fields} = event;
				this.#logger.warn('body refused', fields);
				return;
			}

			case 'connection-displaced': {
				const {kind, ...fields} = event;
				this.#logger.warn('connection displaced', fields);
				return;
			}

			case 'not-taken': {
				this.#logger.warn('request not taken', {requestId: event.requestId, reason: event.reason});
				return;
			}

			case 'unsent': {
				this.#logger.warn('bytes not sent', {bytes: event.bytes});
				return;
			}

			case 'lifecycle': {
				this.#logger.info(event.step, event.detail);
			}
		}
	}
}
