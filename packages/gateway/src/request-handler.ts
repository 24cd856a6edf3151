/**
 * Handles one request: makes attempts until a response is complete, for plain responses and streams alike. Whether a request
 * may be repeated depends only on the kind of its route. Silence ends no attempt: another one is made beside it.
 */
import {Buffer} from 'node:buffer';
import {admit, maySend, type AdmissionContext} from './admission.js';
import {runAttempt, type AttemptResult} from './attempt.js';
import type {CallerResponse} from './caller-response.js';
import type {CrashGuard, CauseAdmission} from './crash-guard.js';
import type {CallerRequest, Dialect} from './dialect.js';
import type {EndpointPass} from './endpoint-gate.js';
import type {ObservedStream} from './endpoint-silence.js';
import type {
	CutAges, EntryEventLog, RequestSummary, RetryDecision,
} from './event-log.js';
import type {GroupMonitor} from './group-monitor.js';
import {recordAnswerTime, recordGap} from './pace-samples.js';
import {canReachAnother, findPlace} from './place-search.js';
import {
	loadOfService, placeRequest, type Placement, type PlacementContext,
} from './placement.js';
import {refusalOf, retryAfterSeconds, type RefusalReason} from './refusals.js';
import {relayStream, type RelayInput, type RelayResult} from './stream-relay.js';
import {StreamProgress} from './stream-progress.js';
import type {Shutdown} from './shutdown.js';
import type {BufferBudget, ConnectionPool} from '#connections';
import type {GrantedRetry, RetryBudget} from '#coordination';
import {sleep} from '#core';
import {
	effectivePriority, elapsedMs, PERMIT_LIFETIME_MS, queueLimitFor, streamPatienceMs, type AttemptOutcome, type EndpointRecord, type Instant,
	type PriorityInput, type Route, type Workspace,
} from '#dispatch';
import {fingerprintOfCall, type CrashCause} from '#quarantine';
import {
	AttemptRace, type Arrival, type RaceEvent, type RaceStop, type RacingAttempt,
} from '#requests';

/** State and services shared by all requests. */
export type RequestHandlerContext = AdmissionContext & PlacementContext & {
	readonly pool: ConnectionPool;
	readonly dialect: Dialect;
	readonly events: EntryEventLog;
	readonly groups: GroupMonitor;
	readonly crashGuard: CrashGuard;
	readonly shutdown: Shutdown;
	/** Limits what the responses of all requests hold. */
	readonly buffers: BufferBudget;
	/** Retry budget of this entry for a service. */
	readonly budgetOf: (service: string) => RetryBudget;
};

/** A request that has been read. */
export type ReceivedRequest = {readonly req: CallerRequest; readonly body: Uint8Array; readonly arrival: Arrival};

/** Maximum number of failed connections per request. They use no attempt but take time, so the caller is asked to retry after that many. */
const MAX_CONNECT_FAILURES = 3;

/** The endpoint's deadline is this much earlier than that of the entry, in ms, so that its response at the deadline still arrives. */
const DEADLINE_MARGIN_MS = 15;

/** Shortest remaining time for which an attempt is worth sending, in ms. */
const MIN_ATTEMPT_MS = 20;

/** Share of the remaining time after which another attempt is made beside that of an idempotent request. */
const FIRST_ATTEMPT_TIME_SHARE = 0.5;

/** A silent stream is sent to another endpoint this long before its caller would disconnect, in ms; a stopped group responds sooner. */
const STREAM_RETRY_MARGIN_MS = 300;

/** Share of its caller's patience after which a stream is sent to another endpoint if its own is silent while others go on; reading its prompt again takes time. */
const LONE_SILENCE_SHARE = 0.4;

/** Interval at which it is checked whether an endpoint is silent while others go on, in ms. */
const SILENCE_CHECK_INTERVAL_MS = 100;

/** Time in which a silent endpoint goes on once its group runs again, in ms; an attempt beside it is made after that. */
const GROUP_RESUME_MS = 150;

/** A failure that an endpoint answered with is passed on this long before the caller's deadline if no other attempt delivers, in ms. */
const RESPONSE_MARGIN_MS = 100;

/** A stream that has begun ends this long after its caller's time, in ms: the caller disconnects first if it counts from when it sent its request. */
const BEGUN_STREAM_MARGIN_MS = 100;

/** Longest wait for another endpoint to continue a stream that has ended without a length, in ms: it may be complete. */
const MAX_CONTINUATION_WAIT_MS = 1000;

/** Interval at which an attempt beside silent ones is asked for again, in ms. */
const ASK_AGAIN_INTERVAL_MS = 250;

/** How an attempt failed, for the log. */
type AttemptFailure = {readonly outcome: string; readonly detail: string; /** Time for which the endpoint asks for no more requests, in s. */ readonly retryAfterS?: number | undefined};

type FinalResult = {readonly kind: 'done'} | {readonly kind: 'refuse'; readonly reason: RefusalReason; readonly detail?: string};

/** An attempt from the choice of its endpoint to its end. */
type Attempt = RacingAttempt<EndpointRecord> & {
	/** Suspects that it is a probe of. */
	probedCauses: readonly CrashCause[];
	/** When its permissions were asked for; undefined if it needs none. */
	permittedAt: Instant | undefined;
	/** Retry that was granted for it, until it is sent. */
	grantedRetry: GrantedRetry | undefined;
	/** Its stream, from the time at which it is sent. */
	observed: ObservedStream | undefined;
};

/** How an attempt that was not aborted ended. */
type AttemptEnd
	/** The caller has its response. */
	= | {readonly kind: 'done'}
		/** No request was sent, and another endpoint would not help. */
		| {readonly kind: 'not-begun'; readonly reason: RefusalReason; readonly detail: string}
		/** No other attempt may be made beside a silent one. */
		| {readonly kind: 'no-retry'}
		| FailedAttempt;

type FailedAttempt = AttemptFailure & {
	readonly kind: 'failed';
	readonly endpoint: EndpointRecord;
	readonly finalReason: RefusalReason;
	/** Whether another attempt may follow: `free` if it takes nothing from the retry budget. */
	readonly retry: 'free' | 'budgeted' | 'none';
	/** Answers the caller if no other attempt follows; without it the request fails for `finalReason`. */
	readonly respond?: (() => FinalResult) | undefined;
};

type Race = AttemptRace<AttemptEnd, EndpointRecord>;

export class RequestHandler {
	static create(context: RequestHandlerContext, received: ReceivedRequest, callerResponse: CallerResponse): RequestHandler {
		return new RequestHandler(context, received, callerResponse);
	}

	readonly #arrival: Arrival;
	readonly #triedEndpoints = new Set<string>();
	readonly #counted = {hasAsked: false, hasRun: false};
	#route: Route | undefined;
	#workspace: Workspace | undefined;
	#service = '';
	#fingerprint = '';
	#attempts = 0;
	#connectFailures = 0;
	/** The retry that was granted for the next attempt, until it is sent. */
	#grantedRetry: GrantedRetry | undefined;
	#mayHaveRun = false;
	/** Number of attempts that were sent and whose result is not known yet. */
	#unsettledAttempts = 0;
	#firstByteMs = 0;
	readonly #progress: StreamProgress;
	/** What a crash of its endpoint may be blamed on. */
	#crashCauses: readonly CrashCause[] = [];
	/** Suspects that the next attempt may be a probe of already. */
	#grantedCauses: readonly CrashCause[] = [];
	/** Why the request fails if no other attempt can be made; undefined before the first failure. */
	#failureReason: RefusalReason | undefined;
	/** Passes on the last failure that an endpoint answered with, if no other attempt delivers. */
	#respondWithFailure: (() => FinalResult) | undefined;
	/** The endpoint whose stream without a length has ended, until another one continues it. */
	#unframedEnd: EndpointRecord | undefined;
	#lastEndpoint = '';
	/** The endpoint that was silent last. */
	#lastSilent: EndpointRecord | undefined;
	#failureDetail = '';
	readonly #context: RequestHandlerContext;
	readonly #req: CallerRequest;
	readonly #body: Uint8Array;
	readonly #callerResponse: CallerResponse;

	private constructor(context: RequestHandlerContext, {req, body, arrival}: ReceivedRequest, callerResponse: CallerResponse) {
		this.#context = context;
		this.#req = req;
		this.#body = body;
		this.#callerResponse = callerResponse;
		this.#arrival = arrival;
		this.#progress = StreamProgress.create(req.lastEventId);
	}

	/** Handles the request. Never rejects: an exception ends this request alone. */
	async run(): Promise<void> {
		let result: FinalResult;
		try {
			result = await this.#serve();
		} catch (error) {
			this.#context.events.record({
				kind: 'internal-error', where: 'request', requestId: this.#req.id, error,
			});
			result = this.#fail('internal-error');
		} finally {
			this.#releaseRetry();
		}

		if (this.#callerResponse.disconnected.aborted) {
			this.#recordDisconnect();
			return;
		}

		if (result.kind === 'refuse') {
			this.#refuse(result.reason, result.detail ?? this.#failureDetail);
		}
	}

	/** Describes the request as it is now, for the log. */
	describe(): RequestSummary {
		return this.#summary();
	}

	/** Records, as this entry stops, that its response is not complete and goes on until the process ends. */
	recordStillOpen(): void {
		this.#context.events.record({
			kind: 'still-open', facts: this.#summary(), endpoint: this.#lastEndpoint, lastEventId: this.#progress.lastEventId, ages: this.#cutAges(),
		});
	}

	/** Records that its response is cut, since the process ends. */
	recordCutByEnd(): void {
		this.#recordCut(this.#lastEndpoint, 'stopping');
	}

	/** Records that its response is cut, since the caller has not read it. */
	cutUnread(): void {
		this.#recordCut(this.#lastEndpoint, 'not-read');
	}

	async #serve(): Promise<FinalResult> {
		const admission = admit(this.#context, this.#req);
		this.#route = admission.route;
		if (admission.kind === 'refused') {
			return {kind: 'refuse', reason: admission.reason, detail: admission.detail};
		}

		this.#workspace = admission.workspace;
		this.#service = admission.service;
		this.#fingerprint = fingerprintOfCall({workspace: admission.workspace?.name, ...this.#req, body: this.#body});
		this.#crashCauses = [...this.#req.sharedParts.map((part): CrashCause => `part:${part}`), `request:${this.#fingerprint}`];
		this.#context.budgetOf(admission.service).recordRequest(this.#monotonicNow());
		return this.#attemptUntilDone(admission.route);
	}

	/** Whether the request may be sent now. */
	#maySend(): boolean {
		return maySend(this.#context, this.#req, this.#workspace);
	}

	/** Whether what was granted for an attempt, a permit of its endpoint or a probe, still holds. */
	#isPermissionFresh({permittedAt}: Attempt): boolean {
		return permittedAt === undefined || elapsedMs(permittedAt, this.#context.now()) <= PERMIT_LIFETIME_MS;
	}

	async #attemptUntilDone(route: Route): Promise<FinalResult> {
		const race: Race = AttemptRace.create({
			callerDisconnected: this.#callerResponse.disconnected,
			answersDue: this.#context.shutdown.answersDue,
			// Without a length, what was sent would look complete after a kill.
			mayOutlast: () => this.#callerResponse.isStarted && !this.#callerResponse.isUnframed,
			requestsEnded: this.#context.shutdown.requestsEnded,
			timeoutMs: this.#callTimeMs(route),
			onLateError: this.#context.events.errorListener('request'),
		});
		try {
			this.#start(route, race, async attempt => this.#attempt(route, attempt));
			for (;;) {
				const final = this.#handleEvent(route, race, await race.next());
				if (final !== undefined) {
					return final;
				}
			}
		} finally {
			race.close();
		}
	}

	#start(route: Route, race: Race, run: (attempt: Attempt) => Promise<AttemptEnd>): void {
		race.start(async racing => {
			const attempt: Attempt = {
				...racing, claim: () => this.#claim(route, race, racing), probedCauses: this.#grantedCauses, permittedAt: undefined, grantedRetry: this.#grantedRetry, observed: undefined,
			};
			this.#grantedCauses = [];
			this.#grantedRetry = undefined;
			try {
				const end = await run(attempt);
				if (!attempt.signal.aborted) {
					this.#grantedCauses = attempt.probedCauses;
					// Another attempt may follow without a retry of its own if this one was not sent.
					this.#grantedRetry = attempt.grantedRetry;
					attempt.grantedRetry = undefined;
				}

				return end;
			} finally {
				attempt.grantedRetry?.release();
				attempt.observed?.close();
			}
		});
	}

	/** Claims the caller for an attempt. From then on the request ends only when its caller's time is surely over. */
	#claim(route: Route, race: Race, racing: RacingAttempt<EndpointRecord>): boolean {
		const isClaimed = racing.claim();
		if (isClaimed && (!this.#callerResponse.isStarted || this.#unframedEnd !== undefined)) {
			this.#unframedEnd = undefined;
			race.stopWithin(this.#callTimeMs(route) + BEGUN_STREAM_MARGIN_MS);
		}

		return isClaimed;
	}

	/** Returns the final result, or undefined while attempts are open. */
	#handleEvent(route: Route, race: Race, event: RaceEvent<AttemptEnd, EndpointRecord>): FinalResult | undefined {
		switch (event.kind) {
			case 'silent': {
				this.#lastSilent = event.source;
				this.#recordOutcome(event.source.id, 'silent');
				if (!race.isAnyActive && this.#isCallerPatient(route)) {
					this.#start(route, race, async attempt => this.#attemptBeside(route, {silent: event.source, isRepeated: false}, attempt));
				}

				return undefined;
			}

			case 'stopped': {
				return this.#handleStop(event.stop);
			}

			case 'threw': {
				if (!race.isAnyOpen) {
					throw event.error;
				}

				this.#context.events.errorListener('request')(event.error);
				return undefined;
			}

			case 'ended': {
				return this.#handleEnd(route, race, event.end);
			}
		}
	}

	#handleStop(stop: RaceStop): FinalResult {
		switch (stop) {
			case 'caller-left': {
				return {kind: 'done'};
			}

			case 'deadline': {
				return this.#failTimedOut();
			}

			case 'stopping': {
				return this.#callerResponse.isStarted ? this.#endUnframed() ?? this.#cutOffResponse(undefined, 'stopping') : this.#failTimedOut();
			}
		}
	}

	#handleEnd(route: Route, race: Race, end: AttemptEnd): FinalResult | undefined {
		switch (end.kind) {
			case 'done': {
				return end;
			}

			case 'failed': {
				return this.#handleFailure(route, race, end);
			}

			case 'not-begun': {
				this.#releaseRetry();
				if (this.#isLast(route, race)) {
					return this.#end(end.reason, end.detail);
				}

				this.#askAgain(route, race);
				return undefined;
			}

			case 'no-retry': {
				this.#releaseRetry();
				if (this.#isLast(route, race)) {
					return this.#end(this.#failureReason ?? 'timeout');
				}

				this.#askAgain(route, race);
				return undefined;
			}
		}
	}

	/** Makes another attempt if that is possible; the request fails only when no other one is open. */
	#handleFailure(route: Route, race: Race, failure: FailedAttempt): FinalResult | undefined {
		this.#failureDetail = `${failure.outcome} ${failure.detail} at ${failure.endpoint.id}`;
		this.#respondWithFailure = failure.respond ?? this.#respondWithFailure;
		const retry = race.isAnyActive ? 'not-needed' : this.#decideRetry(route, failure);
		this.#failureReason = retry === 'no-endpoint' && failure.retryAfterS !== undefined ? 'endpoint-wait' : failure.finalReason;
		if (retry === 'taken') {
			this.#start(route, race, async attempt => this.#attempt(route, attempt));
			if (this.#unframedEnd !== undefined) {
				race.stopWithin(Math.min(MAX_CONTINUATION_WAIT_MS, this.#forwardedMs(route) - RESPONSE_MARGIN_MS));
			}
		} else {
			this.#releaseRetry();
		}

		const isLast = this.#isLast(route, race);
		if (!isLast && failure.respond !== undefined && !this.#callerResponse.isStarted) {
			race.stopWithin(this.#forwardedMs(route) - RESPONSE_MARGIN_MS);
		}

		if (!isLast || failure.respond === undefined) {
			this.#recordAttemptFailure({...failure, retry});
		}

		return isLast ? (failure.respond?.() ?? this.#end(this.#failureReason)) : undefined;
	}

	/**
	 * Whether the request ends as an attempt has ended. A begun stream whose endpoint stops at the time that it was handed goes on without one
	 * until the race ends it: that time is over before the caller's.
	 */
	#isLast(route: Route, race: Race): boolean {
		return !race.isAnyOpen && (!this.#callerResponse.isStarted || this.#unframedEnd !== undefined || this.#endpointTimeMs(route) >= MIN_ATTEMPT_MS);
	}

	#decideRetry(route: Route, {retry}: FailedAttempt): RetryDecision {
		switch (retry) {
			case 'free': {
				return this.#connectFailures < MAX_CONNECT_FAILURES && this.#maySend() ? (this.#isCallerPatient(route) ? 'taken' : 'no-time') : 'attempts-used';
			}

			case 'budgeted': {
				return this.#takeRetry(route);
			}

			case 'none': {
				return 'not-repeatable';
			}
		}
	}

	/** Asks again for an attempt beside silent ones after a while: the budget, the endpoints and the groups may allow it then. */
	#askAgain(route: Route, race: Race): void {
		const silent = this.#lastSilent;
		if (silent === undefined || race.isAnyActive || this.#attempts >= route.maxAttempts || !this.#isCallerPatient(route)) {
			return;
		}

		this.#start(route, race, async attempt => {
			await sleep(ASK_AGAIN_INTERVAL_MS, attempt.signal);
			return this.#attemptBeside(route, {silent, isRepeated: true}, attempt);
		});
	}

	/** Makes an attempt beside a silent one, which goes on. A group that pauses as a whole is waited for instead. */
	async #attemptBeside(route: Route, {silent, isRepeated}: {readonly silent: EndpointRecord; readonly isRepeated: boolean}, attempt: Attempt): Promise<AttemptEnd> {
		const {groups} = this.#context;
		await groups.check(this.#service);
		if (groups.isStopped(this.#service)) {
			const patienceMs = route.kind.kind === 'stream' && !this.#callerResponse.isStarted ? streamPatienceMs(route) - this.#sinceProgressMs() : Infinity;
			const isRunning = await groups.waitUntilRunning(this.#service, {timeoutMs: Math.min(this.#untilEndMs(route), patienceMs), queueLimit: undefined, signal: attempt.signal});
			if (!isRunning) {
				return {kind: 'no-retry'};
			}

			await sleep(GROUP_RESUME_MS, attempt.signal);
		}

		if (attempt.signal.aborted) {
			return {kind: 'no-retry'};
		}

		const retry = this.#takeRetry(route);
		if (!isRepeated || retry === 'taken') {
			this.#recordAttemptFailure({
				endpoint: silent, outcome: 'silent', detail: '', retry,
			});
		}

		if (retry !== 'taken') {
			return {kind: 'no-retry'};
		}

		attempt.grantedRetry = this.#grantedRetry;
		this.#grantedRetry = undefined;
		return this.#attempt(route, attempt);
	}

	/** Makes one attempt. */
	async #attempt(route: Route, attempt: Attempt): Promise<AttemptEnd> {
		if (this.#forwardedMs(route) < MIN_ATTEMPT_MS) {
			return notBegun(this.#attempts === 0 ? 'timeout-before-sent' : 'timeout');
		}

		if (this.#attempts === 0 && !this.#context.shutdown.mayTake(this.#endpointTimeMs(route))) {
			return notBegun('stopping');
		}

		if (!await this.#awaitRunningGroup(route, attempt)) {
			return notBegun('group-stopped');
		}

		const choosingAt = this.#context.now();
		const choice = await this.#findPlace(route, attempt);
		if (choice.kind === 'none') {
			return notBegun(choice.reason, choice.detail);
		}

		if (attempt.signal.aborted) {
			return {kind: 'no-retry'};
		}

		const admission = await this.#admitCauses(attempt);
		if (admission.kind === 'refused') {
			return notBegun(admission.reason, admission.detail);
		}

		attempt.probedCauses = admission.probed;
		// Counted from when it was asked for: this process may have been paused since it was granted.
		attempt.permittedAt = admission.probed.length > 0 || this.#context.limitGuard.isLimited(choice.endpoint.id) ? choosingAt : undefined;
		const result = await this.#sendTo(route, choice.endpoint, attempt);
		return this.#handleResult(route, choice.endpoint, attempt, result);
	}

	/** Waits for a stopped group: until the caller has to be told, or to the end of a stream that has begun. Returns whether it runs. */
	async #awaitRunningGroup(route: Route, {signal}: Attempt): Promise<boolean> {
		const {groups, load} = this.#context;
		if (!groups.isStopped(this.#service)) {
			return true;
		}

		const {isStarted} = this.#callerResponse;
		const {slots} = loadOfService(this.#context, this.#service).total;
		return groups.waitUntilRunning(this.#service, {
			timeoutMs: isStarted ? this.#untilEndMs(route) : Math.min(this.#retryTimeoutMs(route) - this.#elapsedMs(), this.#remainingMs(route)),
			queueLimit: isStarted ? undefined : queueLimitFor(slots, load.entryCount(this.#monotonicNow())),
			signal,
		});
	}

	async #findPlace(route: Route, {signal}: Attempt): Promise<Placement> {
		return findPlace(this.#context, {
			requestId: this.#req.id, pick: from => this.#pickEndpoint(route, from), untried: () => this.#untried(), isBegun: this.#callerResponse.isStarted, remainingMs: () => this.#forwardedMs(route), signal,
		});
	}

	#pickEndpoint(route: Route, from: 'any' | 'unlimited'): Placement {
		return placeRequest(this.#context, {
			route,
			service: this.#service,
			workspace: this.#workspace?.name,
			triedEndpoints: this.#triedEndpoints,
			from,
			priority: this.#priorityInput(route),
			// A stream whose endpoint is silent was admitted, and has its place in the load of the service.
			isNewStream: route.kind.kind === 'stream' && !this.#callerResponse.isStarted && this.#lastSilent === undefined,
			counted: this.#counted,
			isBesideSilent: this.#lastSilent !== undefined,
		});
	}

	/** The endpoints of the service that the registry lists. */
	#endpoints(): readonly EndpointRecord[] {
		return this.#context.directory.endpointsOf(this.#service, this.#monotonicNow());
	}

	async #sendTo(route: Route, endpoint: EndpointRecord, attempt: Attempt): Promise<AttemptResult> {
		this.#triedEndpoints.add(endpoint.id);
		this.#lastEndpoint = endpoint.id;
		const endRequest = this.#context.load.startRequest(endpoint.id);
		const pass = this.#context.gate.passTo(endpoint, this.#req.id);
		try {
			return await this.#runAttempt(route, endpoint, {attempt, endRequest, pass});
		} catch (error) {
			endRequest();
			throw error;
		} finally {
			pass.end();
		}
	}

	async #runAttempt(route: Route, endpoint: EndpointRecord, {attempt, endRequest, pass}: {readonly attempt: Attempt; readonly endRequest: () => void; readonly pass: EndpointPass}): Promise<AttemptResult> {
		const context = this.#context;
		let sentAt: number | undefined;
		let isSilent = false;
		const result = await runAttempt({
			req: this.#req,
			body: this.#body,
			endpoint,
			forwarding: {
				endpointId: endpoint.id, workspace: this.#workspace?.name, priority: effectivePriority(this.#priorityInput(route)), lastEventId: this.#progress.lastEventId,
			},
			isStream: route.kind.kind === 'stream',
			mayReuseConnection: isRepeatable(route),
			remainingMs: () => Math.floor(this.#forwardedMs(route) - DEADLINE_MARGIN_MS),
			silenceMs: this.#silenceMs(route),
			maySend: () => this.#maySend() && this.#isPermissionFresh(attempt) && this.#forwardedMs(route) >= MIN_ATTEMPT_MS && this.#isCallerPatient(route) && pass.maySend(),
			signal: attempt.signal,
			buffers: context.buffers,
			onSending: () => {
				sentAt = this.#monotonicNow();
				this.#attempts += 1;
				this.#unsettledAttempts += 1;
				attempt.observed = this.#observe(route, endpoint);
				attempt.grantedRetry?.send(this.#monotonicNow());
				attempt.grantedRetry = undefined;
			},
			onSilent: () => {
				const askAgainMs = this.#silenceLeftMs(route, endpoint);
				if (askAgainMs === undefined) {
					isSilent = true;
					pass.end();
					attempt.noteSilent(endpoint);
				}

				return askAgainMs;
			},
			onHead(head) {
				pass.recordHead(head);
			},
			onResponse(response) {
				context.limitGuard.record(endpoint.id, response);
			},
		}, context.pool, context.dialect);
		if (result.kind === 'stream' && !attempt.signal.aborted) {
			result.res.once('close', endRequest);
		} else {
			endRequest();
		}

		if (result.kind === 'aborted' && attempt.signal.reason === 'lost') {
			// It is not to blame, and may continue the stream if the winner breaks.
			this.#triedEndpoints.delete(endpoint.id);
		}

		if (sentAt !== undefined) {
			recordAnswerTime(context, {service: this.#service, route, endpoint}, result, sentAt);
			this.#unsettledAttempts -= 1;
			this.#mayHaveRun ||= result.kind !== 'not-run';
			if (result.kind === 'aborted' && attempt.signal.reason === 'deadline' && !isSilent) {
				this.#recordOutcome(endpoint.id, 'silent');
				this.#recordAttemptFailure({
					endpoint, outcome: 'silent', detail: '', retry: 'no-time',
				});
				await context.groups.check(this.#service);
			}
		}

		return result;
	}

	#priorityInput(route: Route): PriorityInput {
		return {
			priority: this.#workspace?.priority ?? route.priority, targetMs: route.targetMs, elapsedMs: this.#elapsedMs(), waitMs: this.#req.waitMs, timeoutMs: route.timeoutMs,
		};
	}

	/** Time without a response after which another attempt is made beside the next one, in ms; undefined if none may be. */
	#silenceMs(route: Route): number | undefined {
		if (!isRepeatable(route) || this.#attempts + 1 >= route.maxAttempts) {
			return undefined;
		}

		return route.kind.kind === 'stream' ? LONE_SILENCE_SHARE * streamPatienceMs(route) : this.#remainingMs(route) * FIRST_ATTEMPT_TIME_SHARE;
	}

	/** Time without an event after which another attempt must begin to reach the caller before it disconnects, in ms. */
	#retryTimeoutMs(route: Route): number {
		return streamPatienceMs(route) - STREAM_RETRY_MARGIN_MS;
	}

	/** Times without an event after which another attempt is made beside a stream, in ms; undefined if none may be. */
	#streamSilenceMs(route: Route): RelayInput['silenceMs'] {
		if (!isRepeatable(route) || this.#attempts >= route.maxAttempts) {
			return undefined;
		}

		const later = LONE_SILENCE_SHARE * streamPatienceMs(route);
		return {first: Math.max(0, later - this.#sinceProgressMs()), later};
	}

	/** Time until an endpoint without a response or an event counts as silent, in ms; undefined if it does. */
	#silenceLeftMs(route: Route, endpoint: EndpointRecord): number | undefined {
		const leftMs = route.kind.kind === 'stream' ? this.#retryTimeoutMs(route) - this.#sinceProgressMs() : 0;
		return leftMs <= 0 || this.#context.silence.endpointsOf(this.#service).silent.has(endpoint.id) ? undefined : Math.min(leftMs, SILENCE_CHECK_INTERVAL_MS);
	}

	/**
	 * Whether the caller should still be there: that of a stream disconnects after a time without an event. Once the answer has begun, only
	 * its connection tells, since it may read what was written much later.
	 */
	#isCallerPatient(route: Route): boolean {
		return route.kind.kind !== 'stream' || this.#callerResponse.isStarted || this.#sinceProgressMs() < streamPatienceMs(route);
	}

	async #handleResult(route: Route, endpoint: EndpointRecord, attempt: Attempt, result: AttemptResult): Promise<AttemptEnd> {
		switch (result.kind) {
			case 'aborted': {
				return {kind: 'no-retry'};
			}

			case 'not-sent': {
				return this.#handleNotSent(endpoint, result);
			}

			case 'not-run': {
				this.#recordOutcome(result.faultyEndpointId ?? endpoint.id, result.isMisdirected ? 'misdirected' : 'full');
				await this.#context.groups.check(this.#service);
				return {
					kind: 'failed', endpoint, outcome: 'not-run', detail: String(result.status), retryAfterS: result.retryAfterS, finalReason: 'not-run', retry: 'budgeted',
				};
			}

			case 'unknown': {
				this.#recordOutcome(endpoint.id, 'broken');
				await this.#checkCrash(endpoint, attempt);
				return {
					kind: 'failed', endpoint, outcome: 'unknown', detail: result.reason, finalReason: 'unknown-outcome', retry: repeatOf(route),
				};
			}

			case 'response': {
				return this.#handleResponse(route, endpoint, attempt, result);
			}

			case 'stream': {
				return this.#relayStream(route, endpoint, attempt, result);
			}
		}
	}

	/** Admits the request by what may crash endpoints. A stream that has begun anywhere crashes no endpoint. */
	async #admitCauses({probedCauses}: Attempt): Promise<CauseAdmission> {
		return this.#progress.hasBegun ? {kind: 'admitted', probed: []} : this.#context.crashGuard.admit(this.#crashCauses, probedCauses);
	}

	/** Checks an endpoint that broke off. A stream that has begun anywhere did not crash it. */
	async #checkCrash(endpoint: EndpointRecord, attempt: Attempt): Promise<void> {
		if (!this.#progress.hasBegun) {
			await this.#context.crashGuard.checkCrash(endpoint, this.#crashCauses, attempt.probedCauses);
			attempt.probedCauses = [];
		}
	}

	#handleNotSent(endpoint: EndpointRecord, {reason, isForbidden}: Extract<AttemptResult, {kind: 'not-sent'}>): FailedAttempt {
		if (isForbidden) {
			// The endpoint got nothing and is not to blame; with a new permission it may be tried again.
			this.#triedEndpoints.delete(endpoint.id);
		} else {
			this.#recordOutcome(endpoint.id, 'unreachable');
		}

		// Others have used up the endpoint's rate since it was chosen; the next choice takes another one, or tells when one is free.
		this.#connectFailures += isForbidden && this.#context.limitGuard.isPartUsed(endpoint.id) ? 0 : 1;
		return {
			kind: 'failed', endpoint, outcome: 'not-sent', detail: reason, finalReason: this.#maySend() ? 'unreachable' : 'stale-keys', retry: 'free',
		};
	}

	/** Takes one retry from the retry budget if the route, the remaining time and the budget permit it. */
	#takeRetry(route: Route): RetryDecision {
		if (this.#attempts >= route.maxAttempts) {
			return 'attempts-used';
		}

		if (this.#forwardedMs(route) < MIN_ATTEMPT_MS || !this.#isCallerPatient(route)) {
			return 'no-time';
		}

		if (!this.#canReachAnother()) {
			return 'no-endpoint';
		}

		this.#grantedRetry ??= this.#context.budgetOf(this.#service).reserveRetry(this.#monotonicNow());
		return this.#grantedRetry === undefined ? 'budget-used' : 'taken';
	}

	/** Returns the retry that was granted for an attempt that is not sent. */
	#releaseRetry(): void {
		this.#grantedRetry?.release();
		this.#grantedRetry = undefined;
	}

	#canReachAnother(): boolean {
		return canReachAnother(this.#context, this.#service, {untried: () => this.#untried(), isBegun: this.#callerResponse.isStarted});
	}

	#untried(): readonly EndpointRecord[] {
		return this.#endpoints().filter(({id}) => !this.#triedEndpoints.has(id));
	}

	#handleResponse(route: Route, endpoint: EndpointRecord, attempt: Attempt, response: Extract<AttemptResult, {kind: 'response'}>): AttemptEnd {
		if (response.isSigned) {
			this.#context.crashGuard.recordBegun(this.#crashCauses, attempt.probedCauses);
		}

		const isSuccess = response.status >= 200 && response.status < 300;
		if (isSuccess && !response.isSigned) {
			this.#recordOutcome(endpoint.id, 'broken');
			return {
				kind: 'failed', endpoint, outcome: 'unsigned', detail: String(response.status), finalReason: 'unknown-outcome', retry: repeatOf(route),
			};
		}

		this.#recordOutcome(endpoint.id, response.status >= 500 ? 'failed' : 'answered');
		const retryReason = response.status >= 500 ? 'failed' : (response.isUnframed ? 'unframed' : undefined);
		if (retryReason !== undefined || this.#callerResponse.isStarted) {
			return {
				kind: 'failed',
				endpoint,
				outcome: retryReason ?? 'answered on resuming',
				detail: String(response.status),
				finalReason: 'unknown-outcome',
				retry: retryReason === undefined ? 'none' : repeatOf(route),
				// Once part of a stream has been sent to the caller, a failure can only close the connection.
				respond: () => this.#callerResponse.isStarted ? this.#endUnframed() ?? this.#cutOffResponse(endpoint, `answer ${response.status} on resuming`) : this.#respond(endpoint, response),
			};
		}

		return attempt.claim() ? this.#respond(endpoint, response) : {kind: 'no-retry'};
	}

	#respond(endpoint: EndpointRecord, response: Extract<AttemptResult, {kind: 'response'}>): {readonly kind: 'done'} {
		this.#firstByteMs = this.#elapsedMs();
		const headers = this.#context.dialect.headersToCaller(response.rawHeaders);
		if (response.isUnframed) {
			this.#callerResponse.sendUnframed(response.status, headers, response.body);
		} else {
			this.#callerResponse.sendComplete(response.status, headers, response.body);
		}

		this.#recordResponse(endpoint, response.status);
		return {kind: 'done'};
	}

	async #relayStream(route: Route, endpoint: EndpointRecord, attempt: Attempt, {res, exchange}: Extract<AttemptResult, {kind: 'stream'}>): Promise<AttemptEnd> {
		const result: RelayResult = await this.#relay({
			res,
			exchange,
			callerResponse: this.#callerResponse,
			head: this.#context.dialect.headersToCaller(res.rawHeaders),
			progress: this.#progress,
			isResumable: isRepeatable(route),
			silenceMs: this.#streamSilenceMs(route),
			signal: attempt.signal,
			buffers: this.#context.buffers,
			claim: () => {
				this.#firstByteMs = this.#callerResponse.isStarted ? this.#firstByteMs : this.#elapsedMs();
				return attempt.claim();
			},
			onSilent: () => {
				const askAgainMs = this.#silenceLeftMs(route, endpoint);
				if (askAgainMs === undefined) {
					attempt.noteSilent(endpoint);
				}

				return askAgainMs;
			},
			onPaused() {
				attempt.observed?.close();
			},
			onFirstEvent: () => {
				attempt.observed?.recordEvent();
				this.#context.crashGuard.recordBegun(this.#crashCauses, attempt.probedCauses);
			},
			onGap: gapMs => {
				attempt.observed?.recordEvent();
				recordGap(this.#context, {service: this.#service, route, endpoint}, gapMs);
			},
		});
		if (result.kind !== 'complete') {
			exchange.abort();
		}

		switch (result.kind) {
			case 'complete': {
				this.#recordOutcome(endpoint.id, 'answered');
				this.#callerResponse.endStream();
				this.#recordResponse(endpoint, 200);
				return {kind: 'done'};
			}

			case 'aborted': {
				return {kind: 'no-retry'};
			}

			case 'unframed-end': {
				this.#recordOutcome(endpoint.id, 'answered');
				this.#unframedEnd = endpoint;
				return {
					kind: 'failed', endpoint, outcome: 'unframed', detail: 'stream', finalReason: 'unknown-outcome', retry: repeatOf(route),
				};
			}

			case 'broken': {
				this.#recordOutcome(endpoint.id, 'broken');
				await this.#checkCrash(endpoint, attempt);
				await this.#context.groups.check(this.#service);
				return {
					kind: 'failed', endpoint, outcome: 'stream broke', detail: result.reason, finalReason: 'unknown-outcome', retry: repeatOf(route),
				};
			}
		}
	}

	/** Observes a stream that is sent to an endpoint, if its route tells how long it may be silent. */
	#observe(route: Route, endpoint: EndpointRecord): ObservedStream | undefined {
		const laterMs = route.kind.kind === 'stream' ? route.kind.targetGapMs : undefined;
		return laterMs === undefined ? undefined : this.#context.silence.openStream(this.#service, endpoint.id, {firstMs: LONE_SILENCE_SHARE * streamPatienceMs(route), laterMs});
	}

	/** Relays a stream; an exception closes the connection to its endpoint. */
	async #relay(input: RelayInput): Promise<RelayResult> {
		try {
			return await relayStream(input);
		} catch (error) {
			input.exchange.abort();
			throw error;
		}
	}

	/** Ends the request when no attempt is open and none can be made. */
	#end(reason: RefusalReason, detail = ''): FinalResult {
		const response = this.#callerResponse.isStarted ? undefined : this.#respondWithFailure?.();
		return response ?? this.#fail(reason, detail);
	}

	/** Ends the request without an endpoint's answer. */
	#fail(reason: RefusalReason, detail = ''): FinalResult {
		if (this.#callerResponse.isStarted) {
			return this.#endUnframed() ?? this.#cutOffResponse(undefined, reason);
		}

		// The refusal would promise that the request did not run, which is not known after an attempt with an unknown outcome.
		return {kind: 'refuse', reason: (this.#mayHaveRun || this.#unsettledAttempts > 0) && refusalOf(reason).isNotRun ? 'unknown-outcome' : reason, detail: this.#failureDetail === '' ? detail : this.#failureDetail};
	}

	/** Ends a response as its endpoint did that sent no length. */
	#endUnframed(): FinalResult | undefined {
		if (this.#unframedEnd === undefined) {
			return undefined;
		}

		this.#callerResponse.endStream();
		this.#recordResponse(this.#unframedEnd, 200);
		return {kind: 'done'};
	}

	#failTimedOut(): FinalResult {
		return this.#attempts === 0 ? this.#end('timeout-before-sent') : this.#end('timeout', `silent at ${this.#lastEndpoint}`);
	}

	#cutOffResponse(endpoint: EndpointRecord | undefined, reason: string): FinalResult {
		this.#callerResponse.destroy();
		this.#recordCut(endpoint?.id ?? this.#lastEndpoint, reason);
		return {kind: 'done'};
	}

	#recordCut(endpoint: string, reason: string): void {
		this.#context.events.record({
			kind: 'cut', facts: this.#summary(), endpoint, reason, lastEventId: this.#progress.lastEventId, ages: this.#cutAges(),
		});
	}

	#cutAges(): CutAges {
		const now = this.#monotonicNow();
		const ageOf = (at: number | undefined) => at === undefined ? undefined : Math.round(now - at);
		const stopAgeMs = this.#context.shutdown.ageMs;
		const timeMs = this.#route === undefined ? undefined : callTimeOf(this.#route, this.#req);
		const overdueFrom = ({monotonicMs}: Instant) => timeMs === undefined ? undefined : Math.round(now - monotonicMs - timeMs);
		return {
			sinceEventMs: ageOf(this.#progress.lastEventAt),
			sinceByteMs: ageOf(this.#progress.lastByteAt),
			sinceStopMs: stopAgeMs === undefined ? undefined : Math.round(stopAgeMs),
			minOverdueMs: overdueFrom(this.#arrival.latest),
			maxOverdueMs: overdueFrom(this.#arrival.earliest),
		};
	}

	#refuse(reason: RefusalReason, detail: string): void {
		const {status, mayRetry} = refusalOf(reason);
		const retryInput = {
			reason, remainingMs: this.#callerRemainingMs(), earliestMs: this.#context.gate.earliestMs(this.#endpoints()), random: this.#context.random(),
		};
		const retryAfterS = mayRetry ? retryAfterSeconds(retryInput) : undefined;
		const headers = [...this.#context.dialect.refusalHeaders(this.#req), ...(retryAfterS === undefined ? [] : ['Retry-After', String(retryAfterS)])];
		this.#callerResponse.sendComplete(status, headers, Buffer.from(`${reason}\n`));
		this.#context.events.record({
			kind: 'refused', facts: this.#summary(), reason, status, retryAfterS, detail: detail === '' ? undefined : detail,
		});
	}

	/** Tells who closed the connection, unless it was cut off, which has a line of its own. */
	#recordDisconnect(): void {
		const {disconnect} = this.#callerResponse;
		if (disconnect?.closedBy === 'entry') {
			this.#context.events.record({kind: 'closed', facts: this.#summary(), reason: disconnect.reason});
		} else if (disconnect !== undefined) {
			this.#context.events.record({kind: 'caller-left', facts: this.#summary(), ...disconnect});
		}
	}

	#recordOutcome(id: string, outcome: AttemptOutcome): void {
		this.#context.health.record(id, outcome, this.#monotonicNow());
	}

	#recordAttemptFailure({endpoint, outcome, detail, retryAfterS, retry}: AttemptFailure & {readonly endpoint: EndpointRecord; readonly retry: RetryDecision}): void {
		this.#context.events.record({
			kind: 'attempt-failed', requestId: this.#req.id, fingerprint: this.#fingerprint, attempt: this.#attempts, endpoint: endpoint.id, outcome, detail, inFlight: this.#context.load.inFlight(endpoint.id, this.#monotonicNow()), retryAfterS, retry,
		});
	}

	#recordResponse(endpoint: EndpointRecord, status: number): void {
		this.#context.events.record({
			kind: 'answered', facts: this.#summary(), endpoint: endpoint.id, status, firstByteMs: this.#firstByteMs,
		});
	}

	#summary(): RequestSummary {
		const {config} = this.#context;
		const age = config.ageMs(this.#context.now());
		return {
			requestId: this.#req.id,
			fingerprint: this.#fingerprint === '' ? undefined : this.#fingerprint,
			route: this.#route?.name,
			workspace: this.#workspace?.name,
			configVersion: config.current?.version,
			configAgeMs: Number.isFinite(age) ? Math.round(age) : undefined,
			attempts: this.#attempts,
			readDelayMs: Math.round(this.#arrival.readDelayMs),
			elapsedMs: Math.round(this.#elapsedMs()),
			stream: this.#progress.summary(this.#route?.kind.kind === 'stream' ? this.#route.kind.targetGapMs : undefined),
		};
	}

	#monotonicNow(): number {
		return this.#context.now().monotonicMs;
	}

	/** Time since the request arrived, in ms, at most. */
	#elapsedMs(): number {
		return this.#monotonicNow() - this.#arrival.earliest.monotonicMs;
	}

	/** Time since the last event was forwarded to the caller, or since the request was read, in ms. */
	#sinceProgressMs(): number {
		return this.#monotonicNow() - (this.#progress.lastEventAt ?? this.#arrival.latest.monotonicMs);
	}

	#callerRemainingMs(): number {
		return (this.#req.waitMs ?? this.#route?.timeoutMs ?? 0) - this.#elapsedMs();
	}

	/** Time until the request has to end, in ms: that of the call, or until this entry stops. */
	#remainingMs(route: Route): number {
		return Math.min(this.#callTimeMs(route), this.#context.shutdown.remainingMs(this.#callerResponse.isStarted ? 'begun' : 'not-begun'));
	}

	/** Time until the race ends by itself, in ms. */
	#untilEndMs(route: Route): number {
		return this.#callTimeMs(route) + (this.#callerResponse.isStarted ? BEGUN_STREAM_MARGIN_MS : 0);
	}

	/** Time that is left for an endpoint, in ms, at least. */
	#forwardedMs(route: Route): number {
		return Math.min(this.#endpointTimeMs(route), this.#context.shutdown.remainingMs(route.kind.kind === 'stream' ? 'begun' : 'not-begun'));
	}

	/** Time for which an endpoint may be at work, unless this entry stops, in ms. */
	#endpointTimeMs(route: Route): number {
		return callTimeOf(route, this.#req) - this.#elapsedMs();
	}

	/** Time until the caller's deadline or the route's timeout, whichever is sooner, in ms. */
	#callTimeMs(route: Route): number {
		return callTimeOf(route, this.#req) - (this.#monotonicNow() - this.#arrival.latest.monotonicMs);
	}
}

/** Time for which a request may be kept waiting, in ms: that of the caller or the route, whichever is shorter. */
function callTimeOf({timeoutMs}: Route, {waitMs}: CallerRequest): number {
	return Math.min(waitMs ?? timeoutMs, timeoutMs);
}

function notBegun(reason: RefusalReason, detail = ''): AttemptEnd {
	return {kind: 'not-begun', reason, detail};
}

function repeatOf(route: Route): FailedAttempt['retry'] {
	return isRepeatable(route) ? 'budgeted' : 'none';
}

/** Whether a request with an unknown outcome may be sent again. */
function isRepeatable({kind}: Route): boolean {
	return kind.kind === 'idempotent' || (kind.kind === 'stream' && kind.resumable);
}
