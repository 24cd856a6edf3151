/**
 * Handles one request: makes attempts until a response is complete, for plain responses and streams alike. Whether a request
 * may be repeated depends only on the kind of its route.
 */
import {Buffer} from 'node:buffer';
import {admit, maySend, type AdmissionContext} from './admission.js';
import {runAttempt, type AttemptResult} from './attempt.js';
import type {BufferBudget} from './buffer-budget.js';
import type {CallerResponse} from './caller-response.js';
import type {ConnectionPool} from './connection-pool.js';
import type {CrashGuard, CauseAdmission} from './crash-guard.js';
import type {CallerRequest, Dialect} from './dialect.js';
import type {
	CutAges, EntryEventLog, RequestSummary, RetryDecision, StreamSummary,
} from './event-log.js';
import type {GroupMonitor} from './group-monitor.js';
import type {LimitGuard} from './limit-guard.js';
import {refusalOf, retryAfterSeconds, type RefusalReason} from './refusals.js';
import {relayStream, type RelayInput, type RelayResult} from './stream-relay.js';
import type {Shutdown} from './shutdown.js';
import type {GrantedRetry, RetryBudget} from '#coordination';
import {
	chooseEndpoint, effectivePriority, elapsedMs, isLate, LATE_SLOT_SHARE, maxInFlightFor, queueLimitFor, streamPatienceMs, type AttemptOutcome, type EndpointDirectory, type EndpointHealth, type EndpointRecord, type Instant, type LoadTracker,
	type PriorityInput, type Route, type ServiceLoad, type StreamCapacity, type Workspace,
} from '#dispatch';
import {fingerprintOfCall, type CrashCause} from '#quarantine';

/** State and services shared by all requests. */
export type RequestHandlerContext = AdmissionContext & {
	readonly directory: EndpointDirectory;
	readonly health: EndpointHealth;
	readonly load: LoadTracker;
	readonly limitGuard: LimitGuard;
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
	/** Capacity of a service for streams, as this entry sees it. */
	readonly capacityOf: (service: string) => StreamCapacity;
};

/** Maximum number of failed connections per request. They use no attempt but take time, so the caller is asked to retry after that many. */
const MAX_CONNECT_FAILURES = 3;

/** The endpoint's deadline is this much earlier than that of the entry, in ms, so that its response at the deadline still arrives. */
const DEADLINE_MARGIN_MS = 15;

/** Shortest remaining time for which an attempt is worth sending, in ms. */
const MIN_ATTEMPT_MS = 20;

/** Share of the remaining time that the first attempt of an idempotent request may take; the rest is for the second. */
const FIRST_ATTEMPT_TIME_SHARE = 0.5;

/** A silent stream is sent to another endpoint this long before its caller would disconnect, in ms; a stopped group responds sooner. */
const STREAM_RETRY_MARGIN_MS = 300;

/** A stream for which no other endpoint remains is given up this long after its caller should have disconnected, in ms. */
const STREAM_GIVE_UP_MARGIN_MS = 500;

/** Maximum number of denied permits per attempt: each one costs a round trip to another entry, so endpoints without a limit are chosen then. */
const MAX_DENIED_PERMITS = 3;

/** Time for which a permit of an endpoint or a probe is valid, in ms: others are granted after it. */
const PERMISSION_LIFETIME_MS = 1000;

type EndpointChoice
	= | {readonly kind: 'chosen'; readonly endpoint: EndpointRecord}
		| {readonly kind: 'none'; readonly reason: RefusalReason; readonly detail: string};

/** How an attempt failed, for the log. */
type AttemptFailure = {readonly outcome: string; readonly detail: string; /** Time for which the endpoint asks for no more requests, in s. */ readonly retryAfterS?: number | undefined};

type FinalResult = {readonly kind: 'done'} | {readonly kind: 'refuse'; readonly reason: RefusalReason; readonly detail?: string};

export class RequestHandler {
	static create(context: RequestHandlerContext, req: CallerRequest, body: Uint8Array, callerResponse: CallerResponse): RequestHandler {
		return new RequestHandler(context, req, body, callerResponse);
	}

	readonly #startedAt: Instant;
	readonly #triedEndpoints = new Set<string>();
	#route: Route | undefined;
	#workspace: Workspace | undefined;
	#service = '';
	#fingerprint = '';
	#attempts = 0;
	#connectFailures = 0;
	/** The retry that was granted for the next attempt, until it is sent. */
	#grantedRetry: GrantedRetry | undefined;
	#mayHaveRun = false;
	/** Whether a request is being sent whose result is not known yet. */
	#hasUnsettledAttempt = false;
	#firstByteMs = 0;
	#lastEventId: number | undefined;
	#lastEventAt: number | undefined;
	/** When an endpoint last sent a byte of the stream, in monotonic ms. */
	#lastByteAt: number | undefined;
	#stream: StreamSummary | undefined;
	/** What a crash of its endpoint may be blamed on. */
	#crashCauses: readonly CrashCause[] = [];
	/** Suspects that the current attempt is a probe of. */
	#probedCauses: readonly CrashCause[] = [];
	/** When the permissions of the current attempt were asked for; undefined if it needs none. */
	#permittedAt: Instant | undefined;
	/** Time until an endpoint accepts another request, in ms, if all have reached their limits. */
	#limitWaitMs = 0;
	#lastEndpoint = '';
	#failureDetail = '';
	readonly #context: RequestHandlerContext;
	readonly #req: CallerRequest;
	readonly #body: Uint8Array;
	readonly #callerResponse: CallerResponse;

	private constructor(context: RequestHandlerContext, req: CallerRequest, body: Uint8Array, callerResponse: CallerResponse) {
		this.#context = context;
		this.#req = req;
		this.#body = body;
		this.#callerResponse = callerResponse;
		this.#startedAt = context.now();
		this.#lastEventId = req.lastEventId;
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
			this.#grantedRetry?.release();
			this.#grantedRetry = undefined;
		}

		if (this.#callerResponse.disconnected.aborted) {
			this.#context.events.record({kind: 'caller-left', facts: this.#summary()});
			return;
		}

		if (result.kind === 'refuse') {
			this.#refuse(result.reason, result.detail ?? this.#failureDetail);
		}
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

	/** Whether what was granted for the current attempt, a permit of its endpoint or a probe, still holds. */
	#isPermissionFresh(): boolean {
		return this.#permittedAt === undefined || elapsedMs(this.#permittedAt, this.#context.now()) <= PERMISSION_LIFETIME_MS;
	}

	async #attemptUntilDone(route: Route): Promise<FinalResult> {
		for (;;) {
			if (this.#callerResponse.disconnected.aborted) {
				return {kind: 'done'};
			}

			if (this.#remainingMs(route) < MIN_ATTEMPT_MS) {
				return this.#failTimedOut();
			}

			if (this.#attempts === 0 && !this.#context.shutdown.mayTake(this.#callTimeMs(route))) {
				return this.#fail('stopping');
			}

			if (!await this.#awaitRunningGroup(route)) {
				return this.#fail('group-stopped');
			}

			const choosingAt = this.#context.now();
			const choice = await this.#chooseEndpoint(route);
			if (choice.kind === 'none') {
				return this.#fail(choice.reason, choice.detail);
			}

			const admission = await this.#admitCauses();
			if (admission.kind === 'refused') {
				return this.#fail(admission.reason, admission.detail);
			}

			this.#probedCauses = admission.probed;
			// Counted from when it was asked for: this process may have been paused since it was granted.
			this.#permittedAt = admission.probed.length > 0 || this.#context.limitGuard.isLimited(choice.endpoint.id) ? choosingAt : undefined;
			const result = await this.#attempt(route, choice.endpoint);
			const next = await this.#handleResult(route, choice.endpoint, result);
			if (next !== 'retry') {
				return next;
			}
		}
	}

	/** Waits for a stopped group, but no longer than the caller would. Returns whether it runs. */
	async #awaitRunningGroup(route: Route): Promise<boolean> {
		const {groups, load, shutdown} = this.#context;
		if (!groups.isStopped(this.#service)) {
			return true;
		}

		const now = this.#monotonicNow();
		const {slots} = this.#serviceLoad();
		return groups.waitUntilRunning(this.#service, {
			timeoutMs: this.#retryTimeoutMs(route) - this.#sinceProgressMs(), queueLimit: queueLimitFor(slots, load.entryCount(now)), signal: AbortSignal.any([this.#callerResponse.disconnected, shutdown.requestsEnded]),
		});
	}

	/** Chooses an endpoint, and takes a permit for it if it names a limit. */
	async #chooseEndpoint(route: Route): Promise<EndpointChoice> {
		const {limitGuard} = this.#context;
		for (let denied = 0; ; denied += 1) {
			const choice = this.#pickEndpoint(route, denied < MAX_DENIED_PERMITS ? 'any' : 'unlimited');
			if (choice.kind === 'none' || await limitGuard.admit(choice.endpoint.id, this.#req.id)) {
				return choice;
			}
		}
	}

	#pickEndpoint(route: Route, from: 'any' | 'unlimited'): EndpointChoice {
		const {directory, health, load, limitGuard, random} = this.#context;
		const now = this.#monotonicNow();
		const endpoints = directory.endpointsOf(this.#service, now);
		const untried = endpoints.filter(({id}) => !this.#triedEndpoints.has(id));
		if (untried.length === 0) {
			return {kind: 'none', reason: endpoints.length === 0 ? 'no-endpoint' : 'unreachable', detail: ''};
		}

		const open = untried.filter(({id}) => limitGuard.waitMs(id) === 0 && (from === 'any' || !limitGuard.isLimited(id)));
		if (open.length === 0) {
			this.#limitWaitMs = Math.min(...untried.map(({id}) => limitGuard.waitMs(id)));
			return {kind: 'none', reason: 'endpoint-limit', detail: `${untried.length} endpoints have reached their limits`};
		}

		const isNewStream = route.kind.kind === 'stream' && !this.#callerResponse.isStarted;
		const isLateRequest = isNewStream && isLate(this.#priorityInput(route));
		const overload = isNewStream ? this.#findOverload(route, isLateRequest) : undefined;
		if (overload !== undefined) {
			return {kind: 'none', reason: 'overload', detail: overload};
		}

		const candidates = open.map(endpoint => ({
			...endpoint,
			maxInFlight: isNewStream ? maxInFlightFor(endpoint.slots, isLateRequest) : Infinity,
			inFlight: load.inFlight(endpoint.id, now),
			failureRatio: health.failureRatio(endpoint.id),
			isInBackoff: health.isInBackoff(endpoint.id, now),
		}));
		const endpoint = chooseEndpoint(candidates, random)!;
		return endpoint.inFlight >= endpoint.maxInFlight ? {kind: 'none', reason: 'overload', detail: 'all endpoints are full'} : {kind: 'chosen', endpoint};
	}

	/** Why another stream would make the gaps of all streams of the service too long; undefined if it would not. */
	#findOverload({kind}: Route, isLateRequest: boolean): string | undefined {
		const targetGapMs = kind.kind === 'stream' ? kind.targetGapMs : undefined;
		if (targetGapMs === undefined) {
			return undefined;
		}

		const {maxInFlight, gapMs} = this.#context.capacityOf(this.#service).limitFor(targetGapMs, this.#monotonicNow());
		const limit = maxInFlight * (isLateRequest ? LATE_SLOT_SHARE : 1);
		const {inFlight} = this.#serviceLoad();
		return inFlight < limit ? undefined : `${inFlight} in flight of ${Math.floor(limit)}, gaps of ${Math.round(gapMs ?? 0)} ms`;
	}

	#serviceLoad(): ServiceLoad {
		const {directory, load} = this.#context;
		const now = this.#monotonicNow();
		const endpoints = directory.endpointsOf(this.#service, now);
		return {
			inFlight: endpoints.reduce((sum, {id}) => sum + load.inFlight(id, now), 0),
			slots: endpoints.reduce((sum, {slots}) => sum + slots, 0),
		};
	}

	async #attempt(route: Route, endpoint: EndpointRecord): Promise<AttemptResult> {
		const context = this.#context;
		this.#triedEndpoints.add(endpoint.id);
		this.#lastEndpoint = endpoint.id;
		const endRequest = context.load.startRequest(endpoint.id);
		try {
			return await this.#runAttempt(route, endpoint, endRequest);
		} catch (error) {
			endRequest();
			throw error;
		}
	}

	async #runAttempt(route: Route, endpoint: EndpointRecord, endRequest: () => void): Promise<AttemptResult> {
		const context = this.#context;
		const result = await runAttempt({
			req: this.#req,
			body: this.#body,
			endpoint,
			forwarding: {
				endpointId: endpoint.id, workspace: this.#workspace?.name, priority: effectivePriority(this.#priorityInput(route)), lastEventId: this.#lastEventId,
			},
			isStream: route.kind.kind === 'stream',
			mayReuseConnection: isRepeatable(route),
			remainingMs: () => Math.floor(this.#remainingMs(route) - DEADLINE_MARGIN_MS),
			responseTimeoutMs: this.#responseTimeoutMs(route),
			maySend: () => this.#maySend() && this.#isPermissionFresh() && context.directory.lookUp(endpoint.id, this.#monotonicNow()) !== undefined,
			callerDisconnected: this.#callerResponse.disconnected,
			requestsEnded: context.shutdown.requestsEnded,
			buffers: context.buffers,
			onSending: () => {
				this.#hasUnsettledAttempt = true;
				this.#grantedRetry?.send(this.#monotonicNow());
				this.#grantedRetry = undefined;
			},
			onResponse(response) {
				context.limitGuard.record(endpoint.id, response);
			},
		}, context.pool, context.dialect);
		if (result.kind === 'stream') {
			result.res.once('close', endRequest);
		} else {
			endRequest();
		}

		this.#hasUnsettledAttempt = false;
		if (result.kind !== 'not-sent') {
			this.#attempts += 1;
			this.#mayHaveRun ||= result.kind !== 'not-run';
		}

		return result;
	}

	#priorityInput(route: Route): PriorityInput {
		return {
			priority: this.#workspace?.priority ?? route.priority, targetMs: route.targetMs, elapsedMs: this.#elapsedMs(), waitMs: this.#req.waitMs, timeoutMs: route.timeoutMs,
		};
	}

	#responseTimeoutMs(route: Route): number {
		const remaining = this.#remainingMs(route);
		if (!isRepeatable(route) || this.#attempts + 1 >= route.maxAttempts) {
			return remaining;
		}

		return route.kind.kind === 'stream' ? Math.min(remaining, this.#retryTimeoutMs(route)) : remaining * FIRST_ATTEMPT_TIME_SHARE;
	}

	/** Time without an event after which another attempt must begin to reach the caller before it disconnects, in ms. */
	#retryTimeoutMs(route: Route): number {
		return streamPatienceMs(route) - STREAM_RETRY_MARGIN_MS;
	}

	/** Times without an event after which the current attempt is given up, in ms; a slow stream goes on while no other attempt remains. */
	#inactivityTimeoutMs(route: Route): RelayInput['inactivityTimeoutMs'] {
		if (!isRepeatable(route) || this.#attempts >= route.maxAttempts) {
			const timeoutMs = streamPatienceMs(route) + STREAM_GIVE_UP_MARGIN_MS;
			return {first: timeoutMs, later: timeoutMs};
		}

		const later = this.#retryTimeoutMs(route);
		return {first: Math.max(0, later - this.#sinceProgressMs()), later};
	}

	async #handleResult(route: Route, endpoint: EndpointRecord, result: AttemptResult): Promise<FinalResult | 'retry'> {
		switch (result.kind) {
			case 'caller-left': {
				return {kind: 'done'};
			}

			case 'not-sent': {
				return this.#handleNotSent(endpoint, result);
			}

			case 'not-run': {
				this.#recordOutcome(result.faultyEndpointId ?? endpoint.id, result.isMisdirected ? 'misdirected' : 'full');
				await this.#context.groups.check(this.#service);
				return this.#handleFailure(route, endpoint, {
					outcome: 'not-run', detail: String(result.status), retryAfterS: result.retryAfterS, finalReason: 'not-run', mayRetry: true,
				});
			}

			case 'silent': {
				if (this.#context.shutdown.requestsEnded.aborted) {
					// The endpoint is not to blame, and there is no time left to ask for its group.
					return this.#failTimedOut();
				}

				this.#recordOutcome(endpoint.id, 'silent');
				await this.#context.groups.check(this.#service);
				return this.#handleFailure(route, endpoint, {
					outcome: 'silent', detail: '', finalReason: 'timeout', mayRetry: isRepeatable(route),
				});
			}

			case 'unknown': {
				this.#recordOutcome(endpoint.id, 'broken');
				await this.#checkCrash(endpoint);
				return this.#handleFailure(route, endpoint, {
					outcome: 'unknown', detail: result.reason, finalReason: 'unknown-outcome', mayRetry: isRepeatable(route),
				});
			}

			case 'response': {
				return this.#handleResponse(route, endpoint, result);
			}

			case 'stream': {
				return this.#relayStream(route, endpoint, result);
			}
		}
	}

	/** Admits the request by what may crash endpoints. A stream that has begun anywhere crashes no endpoint. */
	async #admitCauses(): Promise<CauseAdmission> {
		return this.#stream === undefined ? this.#context.crashGuard.admit(this.#crashCauses, this.#probedCauses) : {kind: 'admitted', probed: []};
	}

	/** Checks an endpoint that broke off. A stream that has begun anywhere did not crash it. */
	async #checkCrash(endpoint: EndpointRecord): Promise<void> {
		if (this.#stream === undefined) {
			await this.#context.crashGuard.checkCrash(endpoint, this.#crashCauses, this.#probedCauses);
			this.#probedCauses = [];
		}
	}

	#handleNotSent(endpoint: EndpointRecord, {reason, isForbidden}: Extract<AttemptResult, {kind: 'not-sent'}>): FinalResult | 'retry' {
		if (isForbidden) {
			// The endpoint got nothing and is not to blame; with a new permission it may be tried again.
			this.#triedEndpoints.delete(endpoint.id);
		} else {
			this.#recordOutcome(endpoint.id, 'unreachable');
		}

		this.#connectFailures += 1;
		const retry = this.#connectFailures < MAX_CONNECT_FAILURES ? 'taken' : 'attempts-used';
		this.#recordAttemptFailure(endpoint, {outcome: 'not-sent', detail: reason, retry});
		if (retry === 'taken' && this.#maySend()) {
			return 'retry';
		}

		return this.#fail(this.#maySend() ? 'unreachable' : 'stale-keys');
	}

	#handleFailure(route: Route, endpoint: EndpointRecord, {finalReason, mayRetry, ...failure}: AttemptFailure & {readonly finalReason: RefusalReason; readonly mayRetry: boolean}): FinalResult | 'retry' {
		this.#failureDetail = `${failure.outcome} ${failure.detail} at ${endpoint.id}`;
		const retry = mayRetry ? this.#takeRetry(route) : 'not-repeatable';
		this.#recordAttemptFailure(endpoint, {...failure, retry});
		return retry === 'taken' ? 'retry' : this.#fail(finalReason);
	}

	/** Takes one retry from the retry budget if the route, the remaining time and the budget permit it. */
	#takeRetry(route: Route): RetryDecision {
		if (this.#attempts >= route.maxAttempts) {
			return 'attempts-used';
		}

		if (this.#remainingMs(route) < MIN_ATTEMPT_MS) {
			return 'no-time';
		}

		this.#grantedRetry = this.#context.budgetOf(this.#service).reserveRetry(this.#monotonicNow());
		return this.#grantedRetry === undefined ? 'budget-used' : 'taken';
	}

	#handleResponse(route: Route, endpoint: EndpointRecord, response: Extract<AttemptResult, {kind: 'response'}>): FinalResult | 'retry' {
		if (response.isSigned) {
			this.#context.crashGuard.recordBegun(this.#crashCauses, this.#probedCauses);
		}

		const isSuccess = response.status >= 200 && response.status < 300;
		if (isSuccess && !response.isSigned) {
			this.#recordOutcome(endpoint.id, 'broken');
			return this.#handleFailure(route, endpoint, {
				outcome: 'unsigned', detail: String(response.status), finalReason: 'unknown-outcome', mayRetry: isRepeatable(route),
			});
		}

		this.#recordOutcome(endpoint.id, response.status >= 500 ? 'failed' : 'answered');
		const retryReason = response.status >= 500 ? 'failed' : (response.isUnframed ? 'unframed' : undefined);
		if (retryReason !== undefined && isRepeatable(route) && this.#takeRetry(route) === 'taken') {
			this.#recordAttemptFailure(endpoint, {outcome: retryReason, detail: String(response.status), retry: 'taken'});
			return 'retry';
		}

		// Once part of a stream has been sent to the caller, a failure can only close the connection.
		if (this.#callerResponse.isStarted) {
			return this.#cutOffResponse(endpoint, `answer ${response.status} on resuming`);
		}

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

	async #relayStream(route: Route, endpoint: EndpointRecord, {res, exchange}: Extract<AttemptResult, {kind: 'stream'}>): Promise<FinalResult | 'retry'> {
		const isFirst = !this.#callerResponse.isStarted;
		if (isFirst) {
			this.#firstByteMs = this.#elapsedMs();
		}

		const result: RelayResult = await this.#relay({
			res,
			exchange,
			callerResponse: this.#callerResponse,
			head: isFirst ? this.#context.dialect.headersToCaller(res.rawHeaders) : undefined,
			lastEventId: this.#lastEventId,
			isResumable: isRepeatable(route),
			previousEventAt: this.#stream === undefined ? undefined : this.#lastEventAt,
			inactivityTimeoutMs: this.#inactivityTimeoutMs(route),
			remainingMs: this.#remainingMs(route),
			requestsEnded: this.#context.shutdown.requestsEnded,
			buffers: this.#context.buffers,
			onFirstEvent: () => {
				this.#context.crashGuard.recordBegun(this.#crashCauses, this.#probedCauses);
			},
			onGap: gapMs => {
				this.#context.capacityOf(this.#service).record(gapMs, () => this.#serviceLoad(), this.#monotonicNow());
			},
		});
		this.#lastEventId = result.lastEventId;
		this.#lastEventAt = result.lastEventAt;
		this.#lastByteAt = result.lastByteAt;
		this.#addToStreamSummary(route, result);
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

			case 'caller-left': {
				return {kind: 'done'};
			}

			case 'out-of-time': {
				return this.#failTimedOut();
			}

			case 'broken': {
				this.#recordOutcome(endpoint.id, 'broken');
				await this.#checkCrash(endpoint);
				await this.#context.groups.check(this.#service);
				return this.#handleFailure(route, endpoint, {
					outcome: 'stream broke', detail: result.reason, finalReason: 'unknown-outcome', mayRetry: isRepeatable(route),
				});
			}
		}
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

	#addToStreamSummary({kind}: Route, {events, longestGapMs}: RelayResult): void {
		if (events > 0) {
			this.#stream = {
				events: (this.#stream?.events ?? 0) + events,
				longestGapMs: Math.max(this.#stream?.longestGapMs ?? 0, Math.round(longestGapMs)),
				targetGapMs: kind.kind === 'stream' ? kind.targetGapMs : undefined,
			};
		}
	}

	/** Ends the request when no further attempt can be made. */
	#fail(reason: RefusalReason, detail = ''): FinalResult {
		if (this.#callerResponse.isStarted) {
			return this.#cutOffResponse(undefined, reason);
		}

		// The refusal would promise that the request did not run, which is not known after an attempt with an unknown outcome.
		return {kind: 'refuse', reason: (this.#mayHaveRun || this.#hasUnsettledAttempt) && refusalOf(reason).isNotRun ? 'unknown-outcome' : reason, detail: this.#failureDetail === '' ? detail : this.#failureDetail};
	}

	#failTimedOut(): FinalResult {
		return this.#fail(this.#attempts === 0 ? 'timeout-before-sent' : 'timeout');
	}

	#cutOffResponse(endpoint: EndpointRecord | undefined, reason: string): FinalResult {
		this.#callerResponse.destroy();
		this.#context.events.record({
			kind: 'cut', facts: this.#summary(), endpoint: endpoint?.id ?? this.#lastEndpoint, reason, lastEventId: this.#lastEventId, ages: this.#cutAges(),
		});
		return {kind: 'done'};
	}

	#cutAges(): CutAges {
		const now = this.#monotonicNow();
		const ageOf = (at: number | undefined) => at === undefined ? undefined : Math.round(now - at);
		const stopAgeMs = this.#context.shutdown.ageMs;
		return {sinceEventMs: ageOf(this.#lastEventAt), sinceByteMs: ageOf(this.#lastByteAt), sinceStopMs: stopAgeMs === undefined ? undefined : Math.round(stopAgeMs)};
	}

	#refuse(reason: RefusalReason, detail: string): void {
		const {status, mayRetry} = refusalOf(reason);
		const retryInput = {
			reason, remainingMs: this.#callerRemainingMs(), earliestMs: this.#limitWaitMs, random: this.#context.random(),
		};
		const retryAfterS = mayRetry ? retryAfterSeconds(retryInput) : undefined;
		const headers = [...this.#context.dialect.refusalHeaders(this.#req), ...(retryAfterS === undefined ? [] : ['Retry-After', String(retryAfterS)])];
		this.#callerResponse.sendComplete(status, headers, Buffer.from(`${reason}\n`));
		this.#context.events.record({
			kind: 'refused', facts: this.#summary(), reason, status, retryAfterS, detail: detail === '' ? undefined : detail,
		});
	}

	#recordOutcome(id: string, outcome: AttemptOutcome): void {
		this.#context.health.record(id, outcome, this.#monotonicNow());
	}

	#recordAttemptFailure(endpoint: EndpointRecord, {outcome, detail, retryAfterS, retry}: AttemptFailure & {readonly retry: RetryDecision}): void {
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
			elapsedMs: Math.round(this.#elapsedMs()),
			stream: this.#stream,
		};
	}

	#monotonicNow(): number {
		return this.#context.now().monotonicMs;
	}

	#elapsedMs(): number {
		return this.#monotonicNow() - this.#startedAt.monotonicMs;
	}

	/** Time since the last event was forwarded to the caller, or since the request arrived, in ms. */
	#sinceProgressMs(): number {
		return this.#monotonicNow() - (this.#lastEventAt ?? this.#startedAt.monotonicMs);
	}

	#callerRemainingMs(): number {
		return (this.#req.waitMs ?? this.#route?.timeoutMs ?? 0) - this.#elapsedMs();
	}

	/** Time until the request has to end, in ms: that of the call, or until this entry stops. */
	#remainingMs(route: Route): number {
		return Math.min(this.#callTimeMs(route), this.#context.shutdown.remainingMs());
	}

	/** Time until the caller's deadline or the route's timeout, whichever is sooner, in ms. */
	#callTimeMs(route: Route): number {
		return Math.min(this.#req.waitMs ?? route.timeoutMs, route.timeoutMs) - this.#elapsedMs();
	}
}

/** Whether a request with an unknown outcome may be sent again. */
function isRepeatable({kind}: Route): boolean {
	return kind.kind === 'idempotent' || (kind.kind === 'stream' && kind.resumable);
}
