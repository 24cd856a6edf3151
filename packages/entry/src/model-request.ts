/**
 * One inference request from its first attempt to its response. Inference requests are
 * idempotent: a lost attempt is resumed or retried at another endpoint, within the
 * deadline and the retry budget; a silent one goes on beside the next.
 */
import {type Deadline} from './caller.js';
import {type CallerResponse} from './caller-response.js';
import {Attempt, type AttemptResult, type AttemptSink} from './attempt.js';
import {type AttemptTable} from './attempt-table.js';
import {type EndpointRouter} from './endpoint-router.js';
import {type InferenceRequest} from './inference-request.js';
import {
	checkPatience, makeAttempts, type AttemptStep, type RequestAttempt, type SilentSource,
} from './overlapping-attempts.js';
import {
	createRefusal, type Outcome, type Refusal, type RefusalReason, type RetryReason,
} from './refusal.js';
import {
	acquirePermit, reportRunEnd, type Permit, type PermitRequest,
} from './run-permit.js';
import {type Quarantine} from './quarantine.js';
import {type WorkspaceLimits} from './workspace-limits.js';
import {type GrantedRetry, type RetryBudget} from '#coordination';
import {admit} from '#limits';
import {type Peering} from '#peering';
import {type MessageOf} from '#protocol';
import {
	type CandidateSource, type PrefixCacheIndex, type Replica, type RouteRequest,
} from '#routing';
import {type WorkspaceRule} from '#rules';
import {type Logger, type Metrics} from '#telemetry';

/** An endpoint that does not accept work within this time may be dead or paused: another one is asked. */
const ACCEPT_TIMEOUT_MS = 3000;

/** Another endpoint is asked for a response without data for this time; engines generate a token at least every 67 ms. */
const STALL_TIMEOUT_MS = 10_000;

/** Maximum wait for an endpoint to resume a stream; processes are replaced within seconds. */
const RESUME_TIMEOUT_MS = 15_000;
const RESUME_RETRY_DELAY_MS = 250;

/** Further attempts would only add load. */
const MAX_ATTEMPTS = 6;

/** Retry delay of a suspect request when every endpoint is running another suspect; a run takes seconds. */
const SUSPECT_RETRY_DELAY_MS = 250;

/** For attempts that take nothing from the retry budget. */
const FREE_RETRY: GrantedRetry = {send: () => undefined, release: () => undefined};

/** Dependencies shared by all requests of one entry. */
export type RequestContext = {
	readonly peering: Peering;
	readonly router: EndpointRouter;
	readonly attempts: AttemptTable;
	readonly prefixes: PrefixCacheIndex;
	readonly retryBudget: RetryBudget;
	readonly quarantine: Quarantine;
	readonly limits: WorkspaceLimits;
	readonly metrics: Metrics;
	readonly log: Logger;
};

export type ModelRequestOptions = {
	readonly requestId: string;
	readonly workspace: WorkspaceRule;
	readonly inference: InferenceRequest;
	/** Model name with version and adapter, as replicas advertise it. */
	readonly model: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Uint8Array;
	/** For the first byte. */
	readonly deadline: Deadline;
	readonly response: CallerResponse;
	/** Aborted when the caller disconnects. */
	readonly signal: AbortSignal;
};

/** How a request ended. */
export type RequestResult
	= | {readonly kind: 'done'}
		| {readonly kind: 'abandoned'}
		| Refusal;

/** The replica chosen for one attempt, with the prompt tokens expected in its cache and the source of the candidate. */
type ChosenReplica = {
	readonly kind: 'replica';
	readonly replica: Replica;
	readonly cachedTokens: number;
	readonly source: CandidateSource;
};

/** How an attempt ended. */
type AttemptEnd
	/** Nothing was sent. */
	= | {readonly kind: 'not-begun'; readonly refusal: Refusal; readonly isFinal: boolean}
		| {readonly kind: 'result'; readonly result: AttemptResult; readonly replica: Replica; readonly permit: Permit};

/** Why another attempt is made, and whether it takes nothing from the retry budget. */
type Retry = {readonly reason: RetryReason; readonly isFree: boolean};

function notBegun(refusal: Refusal, isFinal = false): AttemptEnd {
	return {kind: 'not-begun', refusal, isFinal};
}

export class ModelRequest {
	static create(context: RequestContext, options: ModelRequestOptions): ModelRequest {
		return new ModelRequest(context, options);
	}

	readonly #context: RequestContext;
	readonly #options: ModelRequestOptions;
	readonly #excluded = new Set<string>();
	/** Replicas of the attempts in progress. */
	readonly #open = new Set<string>();
	/** The attempt that has delivered last. */
	#attempt: Attempt | undefined;
	/** Why the next attempt is made; undefined for the first. */
	#retry: Retry | undefined;
	#attemptCount = 0;
	/** Attempts that were refused because a suspect request must not share an endpoint with another suspect. */
	#isolationRefusals = 0;
	/** When a started stream first found no endpoint, ms since the epoch. */
	#resumeWaitStartedAt: number | undefined;
	/** `unknown` once any attempt may have run. */
	#outcome: Outcome = 'not-run';

	private constructor(context: RequestContext, options: ModelRequestOptions) {
		this.#context = context;
		this.#options = options;
	}

	/** Acknowledges delivery to the caller up to this offset. */
	acknowledgeDelivery(offset: number): void {
		this.#attempt?.acknowledgeDelivery(offset);
	}

	/** Runs the request to completion. */
	async run(): Promise<RequestResult> {
		const {signal, requestId} = this.#options;
		const result = await makeAttempts<AttemptEnd, RequestResult>({
			attempt: async attempt => this.#makeAttempt(attempt),
			onSilent: source => {
				this.#onSilent(source);
			},
			nextStep: end => this.#nextStep(end),
			callerDisconnected: signal,
			onLateError: error => {
				this.#context.log.error('attempt failed', {requestId, err: error});
			},
		});
		return result ?? {kind: 'abandoned'};
	}

	async #makeAttempt(attempt: RequestAttempt): Promise<AttemptEnd> {
		const stop = checkPatience(this.#options.deadline, this.#options.response);
		if (stop !== undefined) {
			return notBegun(stop.refusal, stop.isFinal);
		}

		if (this.#attemptCount - this.#isolationRefusals >= MAX_ATTEMPTS && !this.#options.response.streaming) {
			return notBegun(createRefusal('no-endpoint', 'not-run', `no endpoint finished the request in ${MAX_ATTEMPTS} attempts; the last ended with ${this.#retry?.reason ?? ''}`));
		}

		const choice = this.#chooseReplica();
		if (choice.kind === 'refusal') {
			// Those that could not take the request may be able to when it asks again.
			this.#excluded.clear();
			return notBegun(choice);
		}

		const retry = this.#reserveRetry();
		if (retry === undefined) {
			return notBegun(createRefusal('retry-budget', 'not-run', `the entry's retry budget is spent; the last attempt ended with ${this.#retry?.reason ?? ''}`, 1));
		}

		const permit = await acquirePermit(this.#context.quarantine, this.#permitRequest(attempt.signal));
		if (permit.kind === 'refusal') {
			retry.release();
			return notBegun(permit);
		}

		const result = await this.#runAttempt(choice, permit, {attempt, retry});
		await reportRunEnd(this.#context.quarantine, permit, result);
		return {
			kind: 'result', result, replica: choice.replica, permit,
		};
	}

	#onSilent({replicaId, reason}: SilentSource): void {
		this.#outcome = 'unknown';
		this.#excluded.add(replicaId);
		this.#retry = {reason, isFree: this.#options.response.streaming};
		this.#context.log.info('endpoint is silent', {
			requestId: this.#options.requestId, endpoint: replicaId, reason, attempt: this.#attemptCount,
		});
	}

	#nextStep(end: AttemptEnd): AttemptStep<RequestResult> {
		const {response} = this.#options;
		if (end.kind === 'not-begun') {
			const result = this.#finalRefusal(end.refusal);
			return end.isFinal ? {kind: 'end', result} : (this.#mayWaitForEndpoint(end.refusal.reason) ? {kind: 'retry', delayMs: RESUME_RETRY_DELAY_MS} : {kind: 'give-up', result});
		}

		if (end.result.kind === 'done') {
			response.finish();
			return {kind: 'end', result: {kind: 'done'}};
		}

		const failure = this.#handleFailure(end.result, end.replica);
		if (failure.kind === 'refusal') {
			return {kind: 'end', result: this.#finalRefusal(failure)};
		}

		const {result, replica, permit} = end;
		this.#context.log.info('attempt did not finish the request', {
			requestId: this.#options.requestId, endpoint: replica.id, reason: failure.reason, attempt: this.#attemptCount,
		});
		if (failure.exclude) {
			this.#excluded.add(replica.id);
		}

		// A suspect request must not share an endpoint with another suspect.
		const isIsolated = permit.held && result.kind === 'refused' && result.reason === 'endpoint-full';
		if (isIsolated) {
			this.#isolationRefusals += 1;
			this.#excluded.clear();
		}

		// Streams and crashed requests bypass the budget. Resuming a stream costs only its remainder, and giving up
		// would waste what was generated. A crashed batch may need many times the budget; the quarantine limits its runs instead.
		const hasCrashed = result.kind === 'failed' && result.crashId !== '';
		this.#retry = {reason: failure.reason, isFree: response.streaming || hasCrashed || isIsolated};
		return {kind: 'retry', delayMs: isIsolated ? SUSPECT_RETRY_DELAY_MS : 0};
	}

	/** Whether a started stream waits until its endpoint process is replaced, or another endpoint is available. */
	#mayWaitForEndpoint(reason: RefusalReason): boolean {
		this.#resumeWaitStartedAt ??= Date.now();
		return this.#options.response.streaming && reason === 'no-endpoint' && Date.now() - this.#resumeWaitStartedAt <= RESUME_TIMEOUT_MS;
	}

	/** The refusal to report: `stream-lost` for a started stream, and `not-run` only if no attempt can have run. */
	#finalRefusal(refusal: Refusal): Refusal {
		if (this.#options.response.streaming) {
			return createRefusal('stream-lost', 'unknown', `the stream was lost and could not be continued: ${refusal.message}`);
		}

		return this.#outcome === 'unknown' ? {...refusal, outcome: 'unknown'} : refusal;
	}

	/** Takes a retry from the budget if the next attempt needs one; undefined if it is spent. */
	#reserveRetry(): GrantedRetry | undefined {
		return this.#retry === undefined || this.#retry.isFree ? FREE_RETRY : this.#context.retryBudget.reserveRetry(Date.now());
	}

	/** The permit request for the next attempt. */
	#permitRequest(signal: AbortSignal): PermitRequest {
		const {inference, requestId, deadline} = this.#options;
		return {
			fingerprint: inference.fingerprint, permitId: `${requestId}/${this.#attemptCount + 1}`, deadline: deadline.sendBy, signal,
		};
	}

	#routeRequest(): RouteRequest {
		const {inference, model} = this.#options;
		const {machine} = this.#context.peering;
		return {
			model,
			zone: machine.zone,
			region: machine.region,
			inputTokens: inference.inputTokens,
			outputTokens: inference.outputTokens,
			prefixes: inference.prefixes,
			prefixLookup: this.#context.prefixes.lookup(inference.prefixes, Date.now()),
			excluded: new Set([...this.#excluded, ...this.#open]),
		};
	}

	#chooseReplica(): ChosenReplica | Refusal {
		const choice = this.#context.router.choose(this.#routeRequest());
		if (choice.kind === 'none') {
			return createRefusal(choice.reason, 'not-run', `no endpoint takes work for ${this.#options.model}`, 1);
		}

		const admission = admit({waitMs: choice.expectedWaitMs, errorFactor: 1}, this.#options.deadline.sendBy, Date.now());
		if (admission.kind === 'refused' && !this.#options.response.streaming) {
			return createRefusal(admission.reason, 'not-run', 'the request cannot meet its deadline', admission.retryAfterMs / 1000);
		}

		return {
			kind: 'replica', replica: choice.replica, cachedTokens: choice.cachedTokens, source: choice.explanation.candidates[0]?.source ?? 'random',
		};
	}

	async #runAttempt(chosen: ChosenReplica, permit: Permit, {attempt: racing, retry}: {readonly attempt: RequestAttempt; readonly retry: GrantedRetry}): Promise<AttemptResult> {
		const {replica} = chosen;
		const {peering, router, attempts, metrics} = this.#context;
		const {inference} = this.#options;
		this.#attemptCount += 1;
		const link = await peering.linkTo(replica.id).catch(() => undefined);
		if (link === undefined || racing.signal.aborted) {
			retry.release();
			return {kind: link === undefined ? 'not-sent' : 'cancelled'};
		}

		retry.send(Date.now());
		if (this.#retry !== undefined) {
			metrics.count('retries', this.#retry.reason);
		}

		const startedAt = performance.now();
		const finishDispatch = router.dispatch(replica.id, inference, chosen.cachedTokens);
		const attempt = Attempt.create({
			link,
			work: this.#workMessage(permit),
			sink: this.#createSink(chosen, racing, () => {
				this.#attempt = attempt;
			}),
			onFrameDropped(reason) {
				metrics.count('framesDropped', reason);
			},
			acceptTimeoutMs: ACCEPT_TIMEOUT_MS,
			stallTimeoutMs: STALL_TIMEOUT_MS,
		});
		const removeAttempt = attempts.add(attempt);
		this.#open.add(replica.id);
		attempt.start();
		racing.signal.addEventListener('abort', () => {
			attempt.cancel();
		}, {once: true});
		try {
			return await attempt.waitForResult();
		} finally {
			removeAttempt();
			this.#open.delete(replica.id);
			finishDispatch();
			metrics.recordLatency('attempt', performance.now() - startedAt);
		}
	}

	#createSink(chosen: ChosenReplica, racing: RequestAttempt, onClaimed: () => void): AttemptSink {
		const {replica} = chosen;
		const {router, prefixes} = this.#context;
		const {response, inference} = this.#options;
		prefixes.recordDispatch(inference.prefixes, replica.id, Date.now());
		return {
			claim: () => {
				const isWanted = racing.claim();
				if (isWanted) {
					this.#resumeWaitStartedAt = undefined;
					onClaimed();
				}

				return isWanted;
			},
			onSilent(reason) {
				racing.noteSilent({replicaId: replica.id, reason});
			},
			onAccepted({cachedTokens}) {
				racing.noteActive();
				prefixes.recordAccepted(inference.prefixes, chosen, cachedTokens);
			},
			onHead(status, headers) {
				response.begin({status, headers});
			},
			onData(data) {
				response.write(data);
			},
			onLoad(load) {
				router.recordLoad(replica.id, load);
			},
		};
	}

	#workMessage(permit: Permit): MessageOf<'work'> {
		const {requestId, workspace, inference, path, headers, body, deadline, response} = this.#options;
		return {
			kind: 'work',
			requestId,
			attempt: this.#attemptCount,
			workspace: workspace.name,
			priority: workspace.priority,
			weight: workspace.weight,
			deadlineMs: response.streaming ? Number.MAX_SAFE_INTEGER : Math.max(0, deadline.sendBy - Date.now()),
			solo: permit.solo,
			fingerprint: inference.fingerprint,
			target: 'model',
			once: false,
			method: 'POST',
			path,
			headers,
			body,
			resumeOffset: response.committedBytes,
			prefixHash: response.committedHash,
			tokens: inference.inputTokens + inference.outputTokens,
			prefixes: inference.prefixes.map(({hash, tokens}) => [hash, tokens] as const),
		};
	}

	/** The reason for another attempt, and whether it must be made at another replica; or the refusal that ends the request. */
	#handleFailure(result: Exclude<AttemptResult, {kind: 'done'}>, replica: Replica): Refusal | {readonly kind: 'retry'; readonly reason: RetryReason; readonly exclude: boolean} {
		const {router, prefixes} = this.#context;
		const {inference} = this.#options;
		switch (result.kind) {
			case 'refused': {
				this.#recordOutcome(result.outcome);
				router.update((table, now) => table.withRefusal(replica.id, result.reason === 'leaving' || result.reason === 'endpoint-full' ? result.reason : 'other', now));
				prefixes.recordNotRun(inference.prefixes, replica.id);
				return {kind: 'retry', reason: toRetryReason(result.reason), exclude: true};
			}

			case 'not-sent': {
				return {kind: 'retry', reason: 'link-down-before-send', exclude: true};
			}

			case 'failed': {
				this.#recordOutcome(result.outcome);
				if (result.reason === 'engine-refused') {
					return {kind: 'retry', reason: 'engine-refused', exclude: true};
				}

				return result.crashId !== '' || result.reason === 'backend-error'
					? {kind: 'retry', reason: 'engine-crashed', exclude: true}
					: createRefusal(result.reason === 'stream-lost' ? 'stream-lost' : 'backend-error', result.outcome, `the endpoint could not finish the request: ${result.reason}`);
			}

			case 'link-lost': {
				this.#outcome = 'unknown';
				// For a stream the endpoint stays eligible: its process may be replaced while the engine still holds the stream.
				return {kind: 'retry', reason: 'link-lost', exclude: !this.#options.response.streaming};
			}

			case 'corrupt': {
				this.#outcome = 'unknown';
				return createRefusal('stream-lost', 'unknown', 'the answer that arrived is not the answer that was sent');
			}

			case 'cancelled': {
				return createRefusal('stream-lost', 'unknown', 'the caller disconnected');
			}
		}
	}

	#recordOutcome(outcome: Outcome): void {
		if (outcome === 'unknown') {
			this.#outcome = 'unknown';
		}
	}
}

function toRetryReason(reason: string): RetryReason {
	return reason === 'leaving' || reason === 'endpoint-full' ? reason : 'engine-refused';
}

/** Maps the reason of an endpoint to a refusal reason. */
export function toRefusalReason(reason: string): RefusalReason {
	switch (reason) {
		case 'leaving':
		case 'deadline':
		case 'no-endpoint':
		case 'quarantined': {
			return reason;
		}

		case 'endpoint-full': {
			return 'overloaded';
		}

		default: {
			return 'backend-error';
		}
	}
}
