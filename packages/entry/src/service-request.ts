/**
 * One call to a plain service. An idempotent call is retried like an inference request; a
 * non-idempotent one is sent at most once, after its key was claimed, and waited for until its deadline.
 */
import {type Deadline} from './caller.js';
import {type CallerResponse, type BufferedResponse} from './caller-response.js';
import {Attempt, type AttemptResult} from './attempt.js';
import {toRefusalReason, type RequestContext, type RequestResult} from './model-request.js';
import {
	checkPatience, makeAttempts, type AttemptStep, type RequestAttempt,
} from './overlapping-attempts.js';
import {createRefusal, type Outcome, type Refusal} from './refusal.js';
import {type WorkspaceRule} from '#rules';
import {type Replica, type RouteRequest, type TokenEstimate} from '#routing';

/** An endpoint that does not accept a call within this time may be dead or paused: another one is asked. */
const ACCEPT_TIMEOUT_MS = 3000;

/** Another endpoint is asked for a response without data for this time; services respond in milliseconds, a booking in seconds at worst. */
const CALL_TIMEOUT_MS = 30_000;

const MAX_ATTEMPTS = 4;

/** A call counts as one token of load on a service. */
const CALL_WORK: TokenEstimate = {inputTokens: 1, outputTokens: 0};

export type ServiceCall = {
	readonly requestId: string;
	readonly workspace: WorkspaceRule;
	readonly service: string;
	readonly method: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Uint8Array;
	readonly deadline: Deadline;
	/** True if the call must run at most once. */
	readonly atMostOnce: boolean;
	readonly response: CallerResponse;
	readonly signal: AbortSignal;
};

/** Result of a call: answered (the response is not sent yet), streamed (already sent), abandoned because the caller disconnected, or refused. */
export type CallResult
	= | {readonly kind: 'answered'; readonly response: BufferedResponse}
		| {readonly kind: 'streamed'}
		| {readonly kind: 'abandoned'; readonly outcome: Outcome}
		| Refusal;

/** How an attempt ended. */
type AttemptEnd
	/** Nothing was sent. */
	= | {readonly kind: 'not-begun'; readonly refusal: Refusal; readonly isFinal: boolean}
		| {readonly kind: 'abandoned'}
		| {readonly kind: 'result'; readonly result: AttemptResult; readonly replica: Replica};

export class ServiceRequest {
	static create(context: RequestContext, call: ServiceCall): ServiceRequest {
		return new ServiceRequest(context, call);
	}

	readonly #context: RequestContext;
	readonly #call: ServiceCall;
	readonly #excluded = new Set<string>();
	/** The attempt that has delivered last. */
	#attempt: Attempt | undefined;
	#attemptCount = 0;
	/** Why the next attempt is made; undefined for the first. */
	#retryReason: string | undefined;
	#outcome: Outcome = 'not-run';

	private constructor(context: RequestContext, call: ServiceCall) {
		this.#context = context;
		this.#call = call;
	}

	acknowledgeDelivery(offset: number): void {
		this.#attempt?.acknowledgeDelivery(offset);
	}

	/** Runs the call to completion. */
	async run(): Promise<CallResult> {
		const {signal, atMostOnce, requestId} = this.#call;
		const result = await makeAttempts<AttemptEnd, CallResult>({
			attempt: async attempt => this.#makeAttempt(attempt),
			onSilent: ({replicaId, reason}) => {
				this.#outcome = 'unknown';
				this.#excluded.add(replicaId);
				this.#retryReason = reason;
				this.#context.log.info('endpoint is silent', {
					requestId, endpoint: replicaId, reason, attempt: this.#attemptCount,
				});
			},
			nextStep: end => this.#nextStep(end),
			// An at-most-once call is not cancelled, so that its outcome is known if the key is sent again.
			callerDisconnected: atMostOnce ? undefined : signal,
			onLateError: error => {
				this.#context.log.error('attempt failed', {requestId, err: error});
			},
		});
		return result ?? {kind: 'abandoned', outcome: this.#outcome};
	}

	async #makeAttempt(attempt: RequestAttempt): Promise<AttemptEnd> {
		const {signal, deadline, response, atMostOnce} = this.#call;
		if (signal.aborted && this.#attemptCount > 0 && this.#outcome === 'not-run') {
			return {kind: 'abandoned'};
		}

		const stop = checkPatience(deadline, response);
		if (stop !== undefined) {
			return {kind: 'not-begun', refusal: atMostOnce && this.#outcome === 'unknown' ? this.#outcomeUnknown() : stop.refusal, isFinal: stop.isFinal};
		}

		const obstacle = this.#checkRetry();
		if (obstacle !== undefined) {
			return {kind: 'not-begun', refusal: obstacle, isFinal: false};
		}

		const replica = this.#chooseReplica();
		if (replica.kind === 'refusal') {
			// Those that could not take the call may be able to when it asks again.
			this.#excluded.clear();
			return {kind: 'not-begun', refusal: replica.refusal, isFinal: false};
		}

		if (this.#retryReason !== undefined) {
			if (!this.#context.retryBudget.consumeRetry(Date.now())) {
				return {kind: 'not-begun', refusal: createRefusal('retry-budget', 'not-run', 'the entry\'s retry budget is spent', 1), isFinal: false};
			}

			this.#context.metrics.count('retries', this.#retryReason);
		}

		return {kind: 'result', result: await this.#runAttempt(replica.replica, attempt), replica: replica.replica};
	}

	/** Why no attempt may follow what was sent before; undefined if one may. */
	#checkRetry(): Refusal | undefined {
		if (this.#call.atMostOnce && this.#outcome === 'unknown') {
			return this.#outcomeUnknown();
		}

		// Another run need not repeat what the caller has.
		if (this.#call.response.streaming) {
			return createRefusal('stream-lost', 'unknown', `the stream was lost and cannot be continued: ${this.#retryReason ?? ''}`);
		}

		return this.#attemptCount >= MAX_ATTEMPTS
			? createRefusal(toRefusalReason(this.#retryReason ?? ''), 'not-run', `no endpoint finished the call; the last attempt ended with ${this.#retryReason ?? ''}`)
			: undefined;
	}

	#outcomeUnknown(): Refusal {
		return createRefusal('outcome-unknown', 'unknown', `the call was sent and its outcome is not known: ${this.#retryReason ?? ''}`);
	}

	#nextStep(end: AttemptEnd): AttemptStep<CallResult> {
		const {response} = this.#call;
		switch (end.kind) {
			case 'abandoned': {
				return {kind: 'end', result: {kind: 'abandoned', outcome: this.#outcome}};
			}

			case 'not-begun': {
				return {kind: end.isFinal ? 'end' : 'give-up', result: this.#finalRefusal(end.refusal)};
			}

			case 'result': {
				if (end.result.kind === 'done') {
					return {kind: 'end', result: response.streaming ? {kind: 'streamed'} : {kind: 'answered', response: response.takeBuffered()}};
				}

				this.#recordFailure(end.result, end.replica);
				return {kind: 'retry', delayMs: 0};
			}
		}
	}

	#finalRefusal(refusal: Refusal): Refusal {
		return this.#outcome === 'unknown' ? {...refusal, outcome: 'unknown'} : refusal;
	}

	#chooseReplica(): {readonly kind: 'replica'; readonly replica: Replica} | {readonly kind: 'refusal'; readonly refusal: Refusal} {
		const {service} = this.#call;
		const {machine} = this.#context.peering;
		const req: RouteRequest = {
			...CALL_WORK,
			model: `service:${service}`,
			zone: machine.zone,
			region: machine.region,
			prefixes: [],
			prefixLookup: {hints: [], homeHitRate: 0},
			excluded: this.#excluded,
		};
		const choice = this.#context.router.choose(req);
		return choice.kind === 'chosen'
			? {kind: 'replica', replica: choice.replica}
			: {kind: 'refusal', refusal: createRefusal(choice.reason, 'not-run', `no endpoint takes work for service ${service}`, 1)};
	}

	async #runAttempt(replica: Replica, racing: RequestAttempt): Promise<AttemptResult> {
		const {peering, router, attempts, metrics} = this.#context;
		const {response, requestId, workspace, deadline, atMostOnce, method, path, headers, body} = this.#call;
		this.#attemptCount += 1;
		const link = await peering.linkTo(replica.id).catch(() => undefined);
		if (link === undefined || racing.signal.aborted) {
			return {kind: link === undefined ? 'not-sent' : 'cancelled'};
		}

		const finishDispatch = router.dispatch(replica.id, CALL_WORK, 0);
		const attempt = Attempt.create({
			link,
			work: {
				kind: 'work',
				requestId,
				attempt: this.#attemptCount,
				workspace: workspace.name,
				priority: workspace.priority,
				weight: workspace.weight,
				deadlineMs: Math.max(0, deadline.sendBy - Date.now()),
				solo: 'shared',
				fingerprint: '',
				target: 'service',
				once: atMostOnce,
				method,
				path,
				headers,
				body,
				resumeOffset: 0,
				prefixHash: '',
				tokens: 1,
				prefixes: [],
			},
			sink: {
				claim: () => {
					const isWanted = racing.claim();
					if (isWanted) {
						this.#attempt = attempt;
					}

					return isWanted;
				},
				onSilent(reason) {
					racing.noteSilent({replicaId: replica.id, reason});
				},
				onAccepted() {
					racing.noteActive();
				},
				onHead(status, head) {
					response.begin({status, headers: head});
				},
				onData(data) {
					response.write(data);
				},
				onLoad(load) {
					router.recordLoad(replica.id, load);
				},
			},
			onFrameDropped(reason) {
				metrics.count('framesDropped', reason);
			},
			acceptTimeoutMs: ACCEPT_TIMEOUT_MS,
			stallTimeoutMs: CALL_TIMEOUT_MS,
		});
		const removeAttempt = attempts.add(attempt);
		attempt.start();
		racing.signal.addEventListener('abort', () => {
			attempt.cancel();
		}, {once: true});
		try {
			return await attempt.waitForResult();
		} finally {
			removeAttempt();
			finishDispatch();
		}
	}

	/** Records what an attempt that did not complete the call says about it and its endpoint. */
	#recordFailure(result: Exclude<AttemptResult, {kind: 'done'}>, replica: Replica): void {
		const notRun = result.kind === 'not-sent' || ((result.kind === 'refused' || result.kind === 'failed') && result.outcome === 'not-run');
		if (!notRun) {
			this.#outcome = 'unknown';
		}

		if (result.kind === 'refused') {
			this.#context.router.update((table, now) => table.withRefusal(replica.id, result.reason === 'leaving' || result.reason === 'endpoint-full' ? result.reason : 'other', now));
		}

		this.#excluded.add(replica.id);
		this.#retryReason = result.kind === 'refused' || result.kind === 'failed' ? result.reason : (result.kind === 'not-sent' ? 'link-down-before-send' : result.kind);
	}
}

/** Converts the result of a call to the result type that all requests share. */
export function toRequestResult(result: CallResult): RequestResult {
	switch (result.kind) {
		case 'answered':
		case 'streamed': {
			return {kind: 'done'};
		}

		case 'abandoned': {
			return {kind: 'abandoned'};
		}

		case 'refusal': {
			return result;
		}
	}
}
