/**
 * The attempts of one request until an answer is complete, for plain answers and streams alike.
 * What may be sent again follows from the route alone.
 */
import {Buffer} from 'node:buffer';
import {admit, maySend, type AdmissionParts} from './admission.js';
import {runAttempt, type AttemptEnd} from './attempt.js';
import type {CallerReply} from './caller-reply.js';
import type {ConnectionPool} from './connection-pool.js';
import type {CallerRequest, Dialect} from './dialect.js';
import type {EntryJournal, RequestFacts} from './events.js';
import type {GroupWatch} from './group-watch.js';
import {refusalOf, retryAfterSeconds, type RefusalReason} from './refusals.js';
import {relayStream, type StreamEnd} from './stream-relay.js';
import type {RetryBudget} from '#coordination';
import {
	backlogFor, choosePlace, isLate, placesFor, urgencyOf, type AttemptOutcome, type EndpointDirectory, type EndpointHealth, type EndpointRecord, type Instant, type LoadBoard, type Route, type UrgencyInput, type Workspace,
} from '#dispatch';

/** What the flow of all requests shares. */
export type FlowParts = AdmissionParts & {
	readonly directory: EndpointDirectory;
	readonly health: EndpointHealth;
	readonly load: LoadBoard;
	readonly pool: ConnectionPool;
	readonly dialect: Dialect;
	readonly journal: EntryJournal;
	readonly groups: GroupWatch;
	/** Retries that this entry may send to a service. */
	readonly budgetOf: (service: string) => RetryBudget;
};

/** A failed connection costs nothing, but each takes time; after so many the caller is told to come back. */
const MAX_CONNECT_FAILURES = 3;

/** The endpoint gets this much less time than the entry has, in ms, so that its own answer at the deadline still arrives. */
const DEADLINE_MARGIN_MS = 15;

/** An attempt needs this much time to be worth sending, in ms. */
const SHORTEST_ATTEMPT_MS = 20;

/** Share of the time left that the first attempt of an idempotent request may stay silent: the rest is for the second. */
const FIRST_SILENCE_SHARE = 0.5;

/** A stream without its first event after this time is sent elsewhere, in ms: callers leave after 2 s without one, and a stalled group answers after 1.5 s. */
const STREAM_SILENCE_MS = 1700;

/** Longest wait for a stopped group, in ms since the request arrived or its last event was passed on: callers leave 2 s after that. */
const GROUP_WAIT_MS = 1700;

type Terminal = {readonly kind: 'done'} | {readonly kind: 'refuse'; readonly reason: RefusalReason; readonly detail?: string};

export class RequestFlow {
	static create(parts: FlowParts, req: CallerRequest, body: Uint8Array, reply: CallerReply): RequestFlow {
		return new RequestFlow(parts, req, body, reply);
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
	readonly #parts: FlowParts;
	readonly #req: CallerRequest;
	readonly #body: Uint8Array;
	readonly #reply: CallerReply;

	private constructor(parts: FlowParts, req: CallerRequest, body: Uint8Array, reply: CallerReply) {
		this.#parts = parts;
		this.#req = req;
		this.#body = body;
		this.#reply = reply;
		this.#startedAt = parts.now();
		this.#lastEventId = req.lastEventId;
	}

	/** Serves the request. Never rejects. */
	async run(): Promise<void> {
		const end = await this.#serve();
		if (this.#reply.left.aborted) {
			this.#parts.journal.record({kind: 'caller-left', facts: this.#facts()});
			return;
		}

		if (end.kind === 'refuse') {
			this.#refuse(end.reason, end.detail ?? this.#detail);
		}
	}

	async #serve(): Promise<Terminal> {
		const admission = admit(this.#parts, this.#req);
		this.#route = admission.route;
		if (admission.kind === 'refused') {
			return {kind: 'refuse', reason: admission.reason, detail: admission.detail};
		}

		this.#workspace = admission.workspace;
		this.#service = admission.service;
		this.#parts.budgetOf(admission.service).recordRequest(this.#steady());
		return this.#attemptUntilDone(admission.route);
	}

	/** Whether the request may be sent at this very moment. */
	#maySend(): boolean {
		return maySend(this.#parts, this.#req, this.#workspace);
	}

	async #attemptUntilDone(route: Route): Promise<Terminal> {
		for (;;) {
			if (this.#reply.left.aborted) {
				return {kind: 'done'};
			}

			if (this.#remainingMs(route) < SHORTEST_ATTEMPT_MS) {
				return this.#outOfTime();
			}

			if (!await this.#groupsRun()) {
				return this.#cannotGoOn('group-stopped');
			}

			const place = this.#choose(route);
			if (place.kind === 'none') {
				return this.#cannotGoOn(place.reason);
			}

			const end = await this.#attempt(route, place.endpoint);
			const next = await this.#settle(route, place.endpoint, end);
			if (next !== 'again') {
				return next;
			}
		}
	}

	/** Waits for a stopped group as long as the caller would. */
	async #groupsRun(): Promise<boolean> {
		const {groups, directory, load} = this.#parts;
		if (!groups.isStopped(this.#service)) {
			return true;
		}

		const now = this.#steady();
		const slots = directory.endpointsOf(this.#service, now).reduce((sum, endpoint) => sum + endpoint.slots, 0);
		return groups.waitUntilRunning(this.#service, {ms: GROUP_WAIT_MS - this.#sinceProgressMs(), backlog: backlogFor(slots, load.entries(now)), signal: this.#reply.left});
	}

	#choose(route: Route): {readonly kind: 'place'; readonly endpoint: EndpointRecord} | {readonly kind: 'none'; readonly reason: RefusalReason} {
		const {directory, health, load, random} = this.#parts;
		const now = this.#steady();
		const endpoints = directory.endpointsOf(this.#service, now);
		const untried = endpoints.filter(({id}) => !this.#tried.has(id));
		if (untried.length === 0) {
			return {kind: 'none', reason: endpoints.length === 0 ? 'no-endpoint' : 'unreachable'};
		}

		const isNewStream = route.kind.kind === 'stream' && !this.#reply.isStarted;
		const isLateRequest = isNewStream && isLate(this.#urgencyInput(route));
		const candidates = untried.map(endpoint => ({
			...endpoint,
			places: isNewStream ? placesFor(endpoint.slots, isLateRequest) : Infinity,
			inFlight: load.inFlight(endpoint.id, now),
			failureRatio: health.failureRatio(endpoint.id),
			isAvoided: health.isAvoided(endpoint.id, now),
		}));
		const endpoint = choosePlace(candidates, random)!;
		return endpoint.inFlight >= endpoint.places ? {kind: 'none', reason: 'overload'} : {kind: 'place', endpoint};
	}

	async #attempt(route: Route, endpoint: EndpointRecord): Promise<AttemptEnd> {
		const parts = this.#parts;
		this.#tried.add(endpoint.id);
		this.#lastEndpoint = endpoint.id;
		const leave = parts.load.enter(endpoint.id);
		const end = await runAttempt({
			req: this.#req,
			body: this.#body,
			endpoint,
			passedOn: {
				endpointId: endpoint.id, workspace: this.#workspace?.name, priority: urgencyOf(this.#urgencyInput(route)), lastEventId: this.#lastEventId,
			},
			isStream: route.kind.kind === 'stream',
			mayReuse: mayRepeat(route),
			remainingMs: () => Math.floor(this.#remainingMs(route) - DEADLINE_MARGIN_MS),
			silenceMs: this.#silenceMs(route),
			maySend: () => this.#maySend() && parts.directory.lookUp(endpoint.id, this.#steady()) !== undefined,
			callerLeft: this.#reply.left,
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

	#urgencyInput(route: Route): UrgencyInput {
		return {
			priority: this.#workspace?.priority ?? route.priority, targetMs: route.targetMs, elapsedMs: this.#elapsedMs(), waitMs: this.#req.waitMs, timeoutMs: route.timeoutMs,
		};
	}

	#silenceMs(route: Route): number {
		const left = this.#remainingMs(route);
		if (!mayRepeat(route) || this.#attempts + 1 >= route.maxAttempts) {
			return left;
		}

		return route.kind.kind === 'stream' ? Math.min(left, STREAM_SILENCE_MS) : left * FIRST_SILENCE_SHARE;
	}

	/** Time for the first event after a head, in ms: while there is another attempt, it must begin before the caller leaves. */
	#firstEventMs(route: Route): number {
		return this.#attempts < route.maxAttempts ? Math.max(0, STREAM_SILENCE_MS - this.#sinceProgressMs()) : STREAM_SILENCE_MS;
	}

	async #settle(route: Route, endpoint: EndpointRecord, end: AttemptEnd): Promise<Terminal | 'again'> {
		switch (end.kind) {
			case 'caller-left': {
				return {kind: 'done'};
			}

			case 'not-sent': {
				return this.#afterNotSent(endpoint, end.reason);
			}

			case 'not-run': {
				this.#noteOutcome(end.atFault ?? endpoint.id, end.isMisdirected ? 'misdirected' : 'full');
				await this.#parts.groups.check(this.#service);
				return this.#afterFailure(route, endpoint, {
					outcome: 'not-run', detail: String(end.status), otherwise: 'not-run', mayAgain: true,
				});
			}

			case 'silent': {
				this.#noteOutcome(endpoint.id, 'silent');
				return this.#afterFailure(route, endpoint, {
					outcome: 'silent', detail: '', otherwise: 'timeout', mayAgain: mayRepeat(route),
				});
			}

			case 'unknown': {
				this.#noteOutcome(endpoint.id, 'broken');
				return this.#afterFailure(route, endpoint, {
					outcome: 'unknown', detail: end.reason, otherwise: 'unknown-outcome', mayAgain: mayRepeat(route),
				});
			}

			case 'answer': {
				return this.#afterAnswer(route, endpoint, end);
			}

			case 'stream': {
				return this.#relay(route, endpoint, end);
			}
		}
	}

	#afterNotSent(endpoint: EndpointRecord, reason: string): Terminal | 'again' {
		this.#noteOutcome(endpoint.id, 'unreachable');
		this.#connectFailures += 1;
		const willRetry = this.#connectFailures < MAX_CONNECT_FAILURES;
		this.#tellFailure(endpoint, 'not-sent', reason, willRetry);
		if (willRetry && this.#maySend()) {
			return 'again';
		}

		return this.#cannotGoOn(this.#maySend() ? 'unreachable' : 'stale-keys');
	}

	#afterFailure(route: Route, endpoint: EndpointRecord, {outcome, detail, otherwise, mayAgain}: {readonly outcome: string; readonly detail: string; readonly otherwise: RefusalReason; readonly mayAgain: boolean}): Terminal | 'again' {
		this.#detail = `${outcome} ${detail} at ${endpoint.id}`;
		const willRetry = mayAgain && this.#mayTryAgain(route);
		this.#tellFailure(endpoint, outcome, detail, willRetry);
		return willRetry ? 'again' : this.#cannotGoOn(otherwise);
	}

	/** Takes one retry from the budget if the route, the time left and the budget permit it. */
	#mayTryAgain(route: Route): boolean {
		return this.#attempts < route.maxAttempts
			&& this.#remainingMs(route) >= SHORTEST_ATTEMPT_MS
			&& this.#parts.budgetOf(this.#service).consumeRetry(this.#steady());
	}

	#afterAnswer(route: Route, endpoint: EndpointRecord, end: Extract<AttemptEnd, {kind: 'answer'}>): Terminal | 'again' {
		const isSuccess = end.status >= 200 && end.status < 300;
		if (isSuccess && !end.isSigned) {
			this.#noteOutcome(endpoint.id, 'broken');
			return this.#afterFailure(route, endpoint, {
				outcome: 'unsigned', detail: String(end.status), otherwise: 'unknown-outcome', mayAgain: mayRepeat(route),
			});
		}

		this.#noteOutcome(endpoint.id, end.status >= 500 ? 'failed' : 'answered');
		const doubt = end.status >= 500 ? 'failed' : (end.isUnframed ? 'unframed' : undefined);
		if (doubt !== undefined && mayRepeat(route) && this.#mayTryAgain(route)) {
			this.#tellFailure(endpoint, doubt, String(end.status), true);
			return 'again';
		}

		// Once part of a stream is with the caller, a failure can only end the connection.
		if (this.#reply.isStarted) {
			return this.#cutOff(endpoint, `answer ${end.status} on resuming`);
		}

		this.#firstByteMs = this.#elapsedMs();
		const headers = this.#parts.dialect.headersToCaller(end.rawHeaders);
		if (end.isUnframed) {
			this.#reply.sendUnframed(end.status, headers, end.body);
		} else {
			this.#reply.sendWhole(end.status, headers, end.body);
		}

		this.#tellAnswered(endpoint, end.status);
		return {kind: 'done'};
	}

	async #relay(route: Route, endpoint: EndpointRecord, {res, exchange}: Extract<AttemptEnd, {kind: 'stream'}>): Promise<Terminal | 'again'> {
		const isFirst = !this.#reply.isStarted;
		if (isFirst) {
			this.#firstByteMs = this.#elapsedMs();
		}

		const end: StreamEnd = await relayStream({
			res,
			exchange,
			reply: this.#reply,
			head: isFirst ? this.#parts.dialect.headersToCaller(res.rawHeaders) : undefined,
			lastEventId: this.#lastEventId,
			silenceMs: {first: this.#firstEventMs(route), later: STREAM_SILENCE_MS},
			endAfterMs: this.#remainingMs(route),
		});
		this.#lastEventId = end.lastEventId;
		this.#lastEventAt = end.lastEventAt;
		if (end.kind !== 'complete') {
			exchange.abort();
		}

		switch (end.kind) {
			case 'complete': {
				this.#noteOutcome(endpoint.id, 'answered');
				this.#reply.endStream();
				this.#tellAnswered(endpoint, 200);
				return {kind: 'done'};
			}

			case 'caller-left': {
				return {kind: 'done'};
			}

			case 'out-of-time': {
				return this.#cutOff(endpoint, 'timeout');
			}

			case 'broken': {
				this.#noteOutcome(endpoint.id, 'broken');
				await this.#parts.groups.check(this.#service);
				return this.#afterFailure(route, endpoint, {
					outcome: 'stream broke', detail: end.reason, otherwise: 'unknown-outcome', mayAgain: mayRepeat(route),
				});
			}
		}
	}

	/** Ends the request when no further attempt can be made. */
	#cannotGoOn(reason: RefusalReason): Terminal {
		if (this.#reply.isStarted) {
			return this.#cutOff(undefined, reason);
		}

		// Inviting the caller back promises that nothing ran, which is not known after an attempt with an unknown outcome.
		return {kind: 'refuse', reason: this.#mayHaveRun && refusalOf(reason).mayReturn ? 'unknown-outcome' : reason};
	}

	#outOfTime(): Terminal {
		return this.#cannotGoOn(this.#attempts === 0 ? 'timeout-before-sent' : 'timeout');
	}

	#cutOff(endpoint: EndpointRecord | undefined, reason: string): Terminal {
		this.#reply.breakOff();
		this.#parts.journal.record({
			kind: 'cut', facts: this.#facts(), endpoint: endpoint?.id ?? this.#lastEndpoint, reason, lastEventId: this.#lastEventId,
		});
		return {kind: 'done'};
	}

	#refuse(reason: RefusalReason, detail: string): void {
		const {status, mayReturn} = refusalOf(reason);
		const retryAfterS = mayReturn ? retryAfterSeconds(reason, this.#callerLeftMs(), this.#parts.random()) : undefined;
		const headers = [...this.#parts.dialect.ownHeaders(this.#req), ...(retryAfterS === undefined ? [] : ['Retry-After', String(retryAfterS)])];
		this.#reply.sendWhole(status, headers, Buffer.from(`${reason}\n`));
		this.#parts.journal.record({
			kind: 'refused', facts: this.#facts(), reason, status, retryAfterS, detail: detail === '' ? undefined : detail,
		});
	}

	#noteOutcome(id: string, outcome: AttemptOutcome): void {
		this.#parts.health.note(id, outcome, this.#steady());
	}

	#tellFailure(endpoint: EndpointRecord, outcome: string, detail: string, willRetry: boolean): void {
		this.#parts.journal.record({
			kind: 'attempt-failed', requestId: this.#req.id, attempt: this.#attempts, endpoint: endpoint.id, outcome, detail, inFlight: this.#parts.load.inFlight(endpoint.id, this.#steady()), willRetry,
		});
	}

	#tellAnswered(endpoint: EndpointRecord, status: number): void {
		this.#parts.journal.record({
			kind: 'answered', facts: this.#facts(), endpoint: endpoint.id, status, firstByteMs: this.#firstByteMs,
		});
	}

	#facts(): RequestFacts {
		const {config} = this.#parts;
		const age = config.ageMs(this.#parts.now());
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

	#steady(): number {
		return this.#parts.now().steadyMs;
	}

	#elapsedMs(): number {
		return this.#steady() - this.#startedAt.steadyMs;
	}

	/** Time since the caller last got something, or sent its request, in ms. */
	#sinceProgressMs(): number {
		return this.#steady() - (this.#lastEventAt ?? this.#startedAt.steadyMs);
	}

	#callerLeftMs(): number {
		return (this.#req.waitMs ?? this.#route?.timeoutMs ?? 0) - this.#elapsedMs();
	}

	/** Time until the caller's deadline or the route's timeout, whichever is sooner, in ms. */
	#remainingMs(route: Route): number {
		return Math.min(this.#req.waitMs ?? route.timeoutMs, route.timeoutMs) - this.#elapsedMs();
	}
}

/** Whether a request whose outcome is unknown may be sent again. */
function mayRepeat({kind}: Route): boolean {
	return kind.kind === 'idempotent' || (kind.kind === 'stream' && kind.resumable);
}
