/**
 * The attempts of one request until an answer is complete, for plain answers and streams alike.
 * What may be sent again follows from the route alone.
 */
import {Buffer} from 'node:buffer';
import {admit, maySend, type AdmissionContext} from './admission.js';
import {runAttempt, type AttemptResult} from './attempt.js';
import type {CallerReply} from './caller-reply.js';
import type {ConnectionPool} from './connection-pool.js';
import type {CallerRequest, Dialect} from './dialect.js';
import type {EntryEventLog, RequestSummary} from './event-log.js';
import type {GroupMonitor} from './group-monitor.js';
import {refusalOf, retryAfterSeconds, type RefusalReason} from './refusals.js';
import {relayStream, type RelayResult} from './stream-relay.js';
import type {RetryBudget} from '#coordination';
import {
	queueLimitFor, chooseEndpoint, isLate, maxInFlightFor, effectivePriority, type AttemptOutcome, type EndpointDirectory, type EndpointHealth, type EndpointRecord, type Instant, type LoadTracker, type Route, type PriorityInput, type Workspace,
} from '#dispatch';

/** What the flow of all requests shares. */
export type RequestHandlerContext = AdmissionContext & {
	readonly directory: EndpointDirectory;
	readonly health: EndpointHealth;
	readonly load: LoadTracker;
	readonly pool: ConnectionPool;
	readonly dialect: Dialect;
	readonly events: EntryEventLog;
	readonly groups: GroupMonitor;
	/** Retries that this entry may send to a service. */
	readonly budgetOf: (service: string) => RetryBudget;
};

/** A failed connection costs nothing, but each takes time; after so many the caller is told to come back. */
const MAX_CONNECT_FAILURES = 3;

/** The endpoint gets this much less time than the entry has, in ms, so that its own answer at the deadline still arrives. */
const DEADLINE_MARGIN_MS = 15;

/** An attempt needs this much time to be worth sending, in ms. */
const MIN_ATTEMPT_MS = 20;

/** Share of the time left that the first attempt of an idempotent request may stay silent: the rest is for the second. */
const FIRST_ATTEMPT_TIME_SHARE = 0.5;

/** A stream without its first event after this time is sent elsewhere, in ms: callers leave after 2 s without one, and a stalled group answers after 1.5 s. */
const STREAM_INACTIVITY_TIMEOUT_MS = 1700;

/** Longest wait for a stopped group, in ms since the request arrived or its last event was passed on: callers leave 2 s after that. */
const MAX_GROUP_WAIT_MS = 1700;

type FinalResult = {readonly kind: 'done'} | {readonly kind: 'refuse'; readonly reason: RefusalReason; readonly detail?: string};

export class RequestHandler {
	static create(parts: RequestHandlerContext, req: CallerRequest, body: Uint8Array, reply: CallerReply): RequestHandler {
		return new RequestHandler(parts, req, body, reply);
	}

	readonly #startedAt: Instant;
	readonly #tried = new Set<string>();
	#route: Route | undefined;
	#workspace: Workspace | undefined;
	#service = '';
	#attempts = 0;
	#connectFailures = 0;
	#mayHaveRun = false;
	#firstByteMs = 0;
	#lastEventId: number | undefined;
	#lastEventAt: number | undefined;
	#lastEndpoint = '';
	#detail = '';
	readonly #context: RequestHandlerContext;
	readonly #req: CallerRequest;
	readonly #body: Uint8Array;
	readonly #reply: CallerReply;

	private constructor(parts: RequestHandlerContext, req: CallerRequest, body: Uint8Array, reply: CallerReply) {
		this.#context = parts;
		this.#req = req;
		this.#body = body;
		this.#reply = reply;
		this.#startedAt = parts.now();
		this.#lastEventId = req.lastEventId;
	}

	/** Serves the request. Never rejects. */
	async run(): Promise<void> {
		const end = await this.#serve();
		if (this.#reply.disconnected.aborted) {
			this.#context.events.record({kind: 'caller-left', facts: this.#summary()});
			return;
		}

		if (end.kind === 'refuse') {
			this.#refuse(end.reason, end.detail ?? this.#detail);
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
		this.#context.budgetOf(admission.service).noteRequest(this.#monotonicNow());
		return this.#attemptUntilDone(admission.route);
	}

	/** Whether the request may be sent at this very moment. */
	#maySend(): boolean {
		return maySend(this.#context, this.#req, this.#workspace);
	}

	async #attemptUntilDone(route: Route): Promise<FinalResult> {
		for (;;) {
			if (this.#reply.disconnected.aborted) {
				return {kind: 'done'};
			}

			if (this.#remainingMs(route) < MIN_ATTEMPT_MS) {
				return this.#failTimedOut();
			}

			if (!await this.#awaitRunningGroup()) {
				return this.#fail('group-stopped');
			}

			const place = this.#chooseEndpoint(route);
			if (place.kind === 'none') {
				return this.#fail(place.reason);
			}

			const end = await this.#attempt(route, place.endpoint);
			const next = await this.#handleResult(route, place.endpoint, end);
			if (next !== 'again') {
				return next;
			}
		}
	}

	/** Waits for a stopped group as long as the caller would. */
	async #awaitRunningGroup(): Promise<boolean> {
		const {groups, directory, load} = this.#context;
		if (!groups.isStopped(this.#service)) {
			return true;
		}

		const now = this.#monotonicNow();
		const slots = directory.endpointsOf(this.#service, now).reduce((sum, endpoint) => sum + endpoint.slots, 0);
		return groups.waitUntilRunning(this.#service, {ms: MAX_GROUP_WAIT_MS - this.#sinceProgressMs(), backlog: queueLimitFor(slots, load.entryCount(now)), signal: this.#reply.disconnected});
	}

	#chooseEndpoint(route: Route): {readonly kind: 'place'; readonly endpoint: EndpointRecord} | {readonly kind: 'none'; readonly reason: RefusalReason} {
		const {directory, health, load, random} = this.#context;
		const now = this.#monotonicNow();
		const endpoints = directory.endpointsOf(this.#service, now);
		const untried = endpoints.filter(({id}) => !this.#tried.has(id));
		if (untried.length === 0) {
			return {kind: 'none', reason: endpoints.length === 0 ? 'no-endpoint' : 'unreachable'};
		}

		const isNewStream = route.kind.kind === 'stream' && !this.#reply.isStarted;
		const isLateRequest = isNewStream && isLate(this.#priorityInput(route));
		const candidates = untried.map(endpoint => ({
			...endpoint,
			maxInFlight: isNewStream ? maxInFlightFor(endpoint.slots, isLateRequest) : Infinity,
			inFlight: load.inFlight(endpoint.id, now),
			failureRatio: health.failureRatio(endpoint.id),
			isInBackoff: health.isInBackoff(endpoint.id, now),
		}));
		const endpoint = chooseEndpoint(candidates, random)!;
		return endpoint.inFlight >= endpoint.maxInFlight ? {kind: 'none', reason: 'overload'} : {kind: 'place', endpoint};
	}

	async #attempt(route: Route, endpoint: EndpointRecord): Promise<AttemptResult> {
		const parts = this.#context;
		this.#tried.add(endpoint.id);
		this.#lastEndpoint = endpoint.id;
		const leave = parts.load.startRequest(endpoint.id);
		const end = await runAttempt({
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
			maySend: () => this.#maySend() && parts.directory.lookUp(endpoint.id, this.#monotonicNow()) !== undefined,
			callerDisconnected: this.#reply.disconnected,
		}, parts.pool, parts.dialect);
		if (end.kind === 'stream') {
			end.res.once('close', leave);
		} else {
			leave();
		}

		if (end.kind !== 'not-sent') {
			this.#attempts += 1;
			this.#mayHaveRun ||= end.kind !== 'not-run';
		}

		return end;
	}

	#priorityInput(route: Route): PriorityInput {
		return {
			priority: this.#workspace?.priority ?? route.priority, targetMs: route.targetMs, elapsedMs: this.#elapsedMs(), waitMs: this.#req.waitMs, timeoutMs: route.timeoutMs,
		};
	}

	#responseTimeoutMs(route: Route): number {
		const left = this.#remainingMs(route);
		if (!isRepeatable(route) || this.#attempts + 1 >= route.maxAttempts) {
			return left;
		}

		return route.kind.kind === 'stream' ? Math.min(left, STREAM_INACTIVITY_TIMEOUT_MS) : left * FIRST_ATTEMPT_TIME_SHARE;
	}

	/** Time for the first event after a head, in ms: while there is another attempt, it must begin before the caller leaves. */
	#firstEventTimeoutMs(route: Route): number {
		return this.#attempts < route.maxAttempts ? Math.max(0, STREAM_INACTIVITY_TIMEOUT_MS - this.#sinceProgressMs()) : STREAM_INACTIVITY_TIMEOUT_MS;
	}

	async #handleResult(route: Route, endpoint: EndpointRecord, end: AttemptResult): Promise<FinalResult | 'again'> {
		switch (end.kind) {
			case 'caller-left': {
				return {kind: 'done'};
			}

			case 'not-sent': {
				return this.#handleNotSent(endpoint, end.reason);
			}

			case 'not-run': {
				this.#recordOutcome(end.faultyEndpointId ?? endpoint.id, end.isMisdirected ? 'misdirected' : 'full');
				await this.#context.groups.check(this.#service);
				return this.#handleFailure(route, endpoint, {
					outcome: 'not-run', detail: String(end.status), otherwise: 'not-run', mayAgain: true,
				});
			}

			case 'silent': {
				this.#recordOutcome(endpoint.id, 'silent');
				return this.#handleFailure(route, endpoint, {
					outcome: 'silent', detail: '', otherwise: 'timeout', mayAgain: isRepeatable(route),
				});
			}

			case 'unknown': {
				this.#recordOutcome(endpoint.id, 'broken');
				return this.#handleFailure(route, endpoint, {
					outcome: 'unknown', detail: end.reason, otherwise: 'unknown-outcome', mayAgain: isRepeatable(route),
				});
			}

			case 'answer': {
				return this.#handleResponse(route, endpoint, end);
			}

			case 'stream': {
				return this.#relayStream(route, endpoint, end);
			}
		}
	}

	#handleNotSent(endpoint: EndpointRecord, reason: string): FinalResult | 'again' {
		this.#recordOutcome(endpoint.id, 'unreachable');
		this.#connectFailures += 1;
		const willRetry = this.#connectFailures < MAX_CONNECT_FAILURES;
		this.#recordAttemptFailure(endpoint, 'not-sent', reason, willRetry);
		if (willRetry && this.#maySend()) {
			return 'again';
		}

		return this.#fail(this.#maySend() ? 'unreachable' : 'stale-keys');
	}

	#handleFailure(route: Route, endpoint: EndpointRecord, {outcome, detail, otherwise: finalReason, mayAgain: mayRetry}: {readonly outcome: string; readonly detail: string; readonly otherwise: RefusalReason; readonly mayAgain: boolean}): FinalResult | 'again' {
		this.#detail = `${outcome} ${detail} at ${endpoint.id}`;
		const willRetry = mayRetry && this.#tryTakeRetry(route);
		this.#recordAttemptFailure(endpoint, outcome, detail, willRetry);
		return willRetry ? 'again' : this.#fail(finalReason);
	}

	/** Takes one retry from the budget if the route, the time left and the budget permit it. */
	#tryTakeRetry(route: Route): boolean {
		return this.#attempts < route.maxAttempts
			&& this.#remainingMs(route) >= MIN_ATTEMPT_MS
			&& this.#context.budgetOf(this.#service).takeRetry(this.#monotonicNow());
	}

	#handleResponse(route: Route, endpoint: EndpointRecord, end: Extract<AttemptResult, {kind: 'answer'}>): FinalResult | 'again' {
		const isSuccess = end.status >= 200 && end.status < 300;
		if (isSuccess && !end.isSigned) {
			this.#recordOutcome(endpoint.id, 'broken');
			return this.#handleFailure(route, endpoint, {
				outcome: 'unsigned', detail: String(end.status), otherwise: 'unknown-outcome', mayAgain: isRepeatable(route),
			});
		}

		this.#recordOutcome(endpoint.id, end.status >= 500 ? 'failed' : 'answered');
		const doubt = end.status >= 500 ? 'failed' : (end.isUnframed ? 'unframed' : undefined);
		if (doubt !== undefined && isRepeatable(route) && this.#tryTakeRetry(route)) {
			this.#recordAttemptFailure(endpoint, doubt, String(end.status), true);
			return 'again';
		}

		// Once part of a stream is with the caller, a failure can only end the connection.
		if (this.#reply.isStarted) {
			return this.#cutOffReply(endpoint, `answer ${end.status} on resuming`);
		}

		this.#firstByteMs = this.#elapsedMs();
		const headers = this.#context.dialect.headersToCaller(end.rawHeaders);
		if (end.isUnframed) {
			this.#reply.sendUnframed(end.status, headers, end.body);
		} else {
			this.#reply.sendComplete(end.status, headers, end.body);
		}

		this.#recordAnswered(endpoint, end.status);
		return {kind: 'done'};
	}

	async #relayStream(route: Route, endpoint: EndpointRecord, {res, exchange}: Extract<AttemptResult, {kind: 'stream'}>): Promise<FinalResult | 'again'> {
		const isFirst = !this.#reply.isStarted;
		if (isFirst) {
			this.#firstByteMs = this.#elapsedMs();
		}

		const end: RelayResult = await relayStream({
			res,
			exchange,
			reply: this.#reply,
			head: isFirst ? this.#context.dialect.headersToCaller(res.rawHeaders) : undefined,
			lastEventId: this.#lastEventId,
			inactivityTimeoutMs: {first: this.#firstEventTimeoutMs(route), later: STREAM_INACTIVITY_TIMEOUT_MS},
			remainingMs: this.#remainingMs(route),
		});
		this.#lastEventId = end.lastEventId;
		this.#lastEventAt = end.lastEventAt;
		if (end.kind !== 'complete') {
			exchange.abort();
		}

		switch (end.kind) {
			case 'complete': {
				this.#recordOutcome(endpoint.id, 'answered');
				this.#reply.endStream();
				this.#recordAnswered(endpoint, 200);
				return {kind: 'done'};
			}

			case 'caller-left': {
				return {kind: 'done'};
			}

			case 'out-of-time': {
				return this.#cutOffReply(endpoint, 'timeout');
			}

			case 'broken': {
				this.#recordOutcome(endpoint.id, 'broken');
				await this.#context.groups.check(this.#service);
				return this.#handleFailure(route, endpoint, {
					outcome: 'stream broke', detail: end.reason, otherwise: 'unknown-outcome', mayAgain: isRepeatable(route),
				});
			}
		}
	}

	/** Ends the request when no further attempt can be made. */
	#fail(reason: RefusalReason): FinalResult {
		if (this.#reply.isStarted) {
			return this.#cutOffReply(undefined, reason);
		}

		// Inviting the caller back promises that nothing ran, which is not known after an attempt with an unknown outcome.
		return {kind: 'refuse', reason: this.#mayHaveRun && refusalOf(reason).mayRetry ? 'unknown-outcome' : reason};
	}

	#failTimedOut(): FinalResult {
		return this.#fail(this.#attempts === 0 ? 'timeout-before-sent' : 'timeout');
	}

	#cutOffReply(endpoint: EndpointRecord | undefined, reason: string): FinalResult {
		this.#reply.destroy();
		this.#context.events.record({
			kind: 'cut', facts: this.#summary(), endpoint: endpoint?.id ?? this.#lastEndpoint, reason, lastEventId: this.#lastEventId,
		});
		return {kind: 'done'};
	}

	#refuse(reason: RefusalReason, detail: string): void {
		const {status, mayRetry: mayReturn} = refusalOf(reason);
		const retryAfterS = mayReturn ? retryAfterSeconds(reason, this.#callerRemainingMs(), this.#context.random()) : undefined;
		const headers = [...this.#context.dialect.refusalHeaders(this.#req), ...(retryAfterS === undefined ? [] : ['Retry-After', String(retryAfterS)])];
		this.#reply.sendComplete(status, headers, Buffer.from(`${reason}\n`));
		this.#context.events.record({
			kind: 'refused', facts: this.#summary(), reason, status, retryAfterS, detail: detail === '' ? undefined : detail,
		});
	}

	#recordOutcome(id: string, outcome: AttemptOutcome): void {
		this.#context.health.record(id, outcome, this.#monotonicNow());
	}

	#recordAttemptFailure(endpoint: EndpointRecord, outcome: string, detail: string, willRetry: boolean): void {
		this.#context.events.record({
			kind: 'attempt-failed', requestId: this.#req.id, attempt: this.#attempts, endpoint: endpoint.id, outcome, detail, inFlight: this.#context.load.inFlight(endpoint.id, this.#monotonicNow()), willRetry,
		});
	}

	#recordAnswered(endpoint: EndpointRecord, status: number): void {
		this.#context.events.record({
			kind: 'answered', facts: this.#summary(), endpoint: endpoint.id, status, firstByteMs: this.#firstByteMs,
		});
	}

	#summary(): RequestSummary {
		const {config} = this.#context;
		const age = config.ageMs(this.#context.now());
		return {
			requestId: this.#req.id,
			route: this.#route?.name,
			workspace: this.#workspace?.name,
			configVersion: config.current?.version,
			configAgeMs: Number.isFinite(age) ? Math.round(age) : undefined,
			attempts: this.#attempts,
			elapsedMs: Math.round(this.#elapsedMs()),
		};
	}

	#monotonicNow(): number {
		return this.#context.now().monotonicMs;
	}

	#elapsedMs(): number {
		return this.#monotonicNow() - this.#startedAt.monotonicMs;
	}

	/** Time since the caller last got something, or sent its request, in ms. */
	#sinceProgressMs(): number {
		return this.#monotonicNow() - (this.#lastEventAt ?? this.#startedAt.monotonicMs);
	}

	#callerRemainingMs(): number {
		return (this.#req.waitMs ?? this.#route?.timeoutMs ?? 0) - this.#elapsedMs();
	}

	/** Time until the caller's deadline or the route's timeout, whichever is sooner, in ms. */
	#remainingMs(route: Route): number {
		return Math.min(this.#req.waitMs ?? route.timeoutMs, route.timeoutMs) - this.#elapsedMs();
	}
}

/** Whether a request whose outcome is unknown may be sent again. */
function isRepeatable({kind}: Route): boolean {
	return kind.kind === 'idempotent' || (kind.kind === 'stream' && kind.resumable);
}
