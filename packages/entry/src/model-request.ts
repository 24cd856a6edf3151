/**
 * One inference request from its first attempt to its response. Inference requests are
 * idempotent: a lost attempt is resumed or retried at another endpoint, within the
 * deadline and the retry budget.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {type CallerResponse} from './caller-response.js';
import {Attempt, type AttemptResult} from './attempt.js';
import {type AttemptTable} from './attempt-table.js';
import {type EndpointRouter} from './endpoint-router.js';
import {type InferenceRequest} from './inference-request.js';
import {
	createRefusal, type Outcome, type Refusal, type RefusalReason, type RetryReason,
} from './refusal.js';
import {
	acquirePermit, reportRunEnd, type Permit, type PermitRequest,
} from './run-permit.js';
import {type Quarantine} from './quarantine.js';
import {type WorkspaceLimits} from './workspace-limits.js';
import {type RetryBudget} from '#coordination';
import {admit} from '#limits';
import {type Peering} from '#peering';
import {type MessageOf, type PeerLink} from '#protocol';
import {
	type CandidateSource, type PrefixCacheIndex, type Replica, type RouteRequest,
} from '#routing';
import {type WorkspaceRule} from '#rules';
import {type Logger, type Metrics} from '#telemetry';

/** An endpoint that does not accept work within this time is considered dead or paused. */
const ACCEPT_TIMEOUT_MS = 3000;

/** A stream that receives no data for this time is considered lost; engines generate a token at least every 67 ms. */
const STALL_TIMEOUT_MS = 10_000;

/** Maximum wait for an endpoint to resume a stream; processes are replaced within seconds. */
const RESUME_TIMEOUT_MS = 15_000;
const RESUME_RETRY_DELAY_MS = 250;

/** Further attempts would only add load. */
const MAX_ATTEMPTS = 6;

/** Retry delay of a suspect request when every endpoint is running another suspect; a run takes seconds. */
const SUSPECT_RETRY_DELAY_MS = 250;

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
	/** Deadline for the first byte, ms since the epoch. */
	readonly deadline: number;
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

/** The next step after an attempt that did not complete the request. */
type NextStep
	= | {readonly kind: 'retry'; readonly reason: RetryReason; readonly exclude: boolean}
		| {readonly kind: 'stop'; readonly refusal: Refusal};

export class ModelRequest {
	static create(context: RequestContext, options: ModelRequestOptions): ModelRequest {
		return new ModelRequest(context, options);
	}

	readonly #context: RequestContext;
	readonly #options: ModelRequestOptions;
	readonly #excluded = new Set<string>();
	#attempt: Attempt | undefined;
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

	/** Runs the request to completion. Does not throw. */
	async run(): Promise<RequestResult> {
		const {signal} = this.#options;
		const onDisconnect = () => {
			this.#attempt?.cancel();
		};

		signal.addEventListener('abort', onDisconnect, {once: true});
		try {
			return await this.#run();
		} finally {
			signal.removeEventListener('abort', onDisconnect);
		}
	}

	async #run(): Promise<RequestResult> {
		const {signal, response} = this.#options;
		while (!signal.aborted) {
			const choice = this.#chooseReplica();
			if (choice.kind === 'refusal') {
				if (await this.#waitForEndpoint(choice.reason)) {
					continue;
				}

				return this.#finalRefusal(choice);
			}

			const permit = await acquirePermit(this.#context.quarantine, this.#permitRequest());
			if (permit.kind === 'refusal') {
				return this.#finalRefusal(permit);
			}

			const result = await this.#runAttempt(choice, permit);
			await reportRunEnd(this.#context.quarantine, permit, result);
			if (result.kind === 'done') {
				response.finish();
				return {kind: 'done'};
			}

			const chosen = choice.replica;
			const next = this.#nextStep(result, chosen);
			if (next.kind === 'stop') {
				return this.#finalRefusal(next.refusal);
			}

			this.#context.metrics.count('retries', next.reason);
			this.#context.log.info('attempt did not finish the request', {
				requestId: this.#options.requestId, endpoint: chosen.id, reason: next.reason, attempt: this.#attemptCount,
			});
			if (next.exclude) {
				this.#excluded.add(chosen.id);
			}

			const stop = await this.#waitForIsolation(result, permit) ? this.#checkAttemptLimits(next.reason) : this.#checkRetry(next.reason, result);
			if (stop !== undefined) {
				return this.#finalRefusal(stop);
			}
		}

		return {kind: 'abandoned'};
	}

	/**
	 * Waits until the endpoint process of a started stream is replaced, or another endpoint is available.
	 *
	 * @returns False if the request should not wait (any longer).
	 */
	async #waitForEndpoint(reason: RefusalReason): Promise<boolean> {
		const {response, signal} = this.#options;
		this.#resumeWaitStartedAt ??= Date.now();
		if (!response.streaming || reason !== 'no-endpoint' || signal.aborted || Date.now() - this.#resumeWaitStartedAt > RESUME_TIMEOUT_MS) {
			return false;
		}

		this.#excluded.clear();
		await sleep(RESUME_RETRY_DELAY_MS);
		return true;
	}

	/** The refusal to report: `stream-lost` for a started stream, and `not-run` only if no attempt can have run. */
	#finalRefusal(refusal: Refusal): Refusal {
		if (this.#options.response.streaming) {
			return createRefusal('stream-lost', 'unknown', `the stream was lost and could not be continued: ${refusal.message}`);
		}

		return this.#outcome === 'unknown' ? {...refusal, outcome: 'unknown'} : refusal;
	}

	/**
	 * Delays a suspect request whose endpoint was running another suspect, and makes all endpoints eligible again.
	 *
	 * @returns False if the attempt ended for another reason.
	 */
	async #waitForIsolation(result: AttemptResult, permit: Permit): Promise<boolean> {
		if (!permit.held || result.kind !== 'refused' || result.reason !== 'endpoint-full') {
			return false;
		}

		this.#isolationRefusals += 1;
		this.#excluded.clear();
		await sleep(SUSPECT_RETRY_DELAY_MS);
		return true;
	}

	/** Undefined if the attempt limits and the retry budget allow another attempt. */
	#checkRetry(reason: RetryReason, result: AttemptResult): Refusal | undefined {
		const stop = this.#checkAttemptLimits(reason);
		// Streams and crashed requests bypass the budget. Resuming a stream costs only its remainder, and giving up
		// would waste what was generated. A crashed batch may need many times the budget; the quarantine limits its runs instead.
		const crashed = result.kind === 'failed' && result.crashId !== '';
		if (stop !== undefined || this.#options.response.streaming || crashed || this.#context.retryBudget.consumeRetry(Date.now())) {
			return stop;
		}

		return createRefusal('retry-budget', 'not-run', `the entry's retry budget is spent; the last attempt ended with ${reason}`, 1);
	}

	/** Undefined if the attempt limit and the deadline allow another attempt. */
	#checkAttemptLimits(reason: RetryReason): Refusal | undefined {
		const now = Date.now();
		if (this.#attemptCount - this.#isolationRefusals >= MAX_ATTEMPTS && !this.#options.response.streaming) {
			return createRefusal('no-endpoint', 'not-run', `no endpoint finished the request in ${MAX_ATTEMPTS} attempts; the last ended with ${reason}`);
		}

		if (now >= this.#options.deadline && !this.#options.response.streaming) {
			return createRefusal('deadline', 'not-run', 'the deadline passed before an endpoint answered');
		}

		return undefined;
	}

	/** The permit request for the next attempt. */
	#permitRequest(): PermitRequest {
		const {inference, requestId, deadline, signal} = this.#options;
		return {
			fingerprint: inference.fingerprint, permitId: `${requestId}/${this.#attemptCount + 1}`, deadline, signal,
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
			excluded: this.#excluded,
		};
	}

	#chooseReplica(): ChosenReplica | Refusal {
		const choice = this.#context.router.choose(this.#routeRequest());
		if (choice.kind === 'none') {
			return createRefusal(choice.reason, 'not-run', `no endpoint takes work for ${this.#options.model}`, 1);
		}

		const admission = admit({waitMs: choice.expectedWaitMs, errorFactor: 1}, this.#options.deadline, Date.now());
		if (admission.kind === 'refused' && !this.#options.response.streaming) {
			return createRefusal(admission.reason, 'not-run', 'the request cannot meet its deadline', admission.retryAfterMs / 1000);
		}

		return {
			kind: 'replica', replica: choice.replica, cachedTokens: choice.cachedTokens, source: choice.explanation.candidates[0]?.source ?? 'random',
		};
	}

	async #runAttempt(chosen: ChosenReplica, permit: Permit): Promise<AttemptResult> {
		const {replica} = chosen;
		const {peering, router, attempts, metrics} = this.#context;
		const {inference} = this.#options;
		this.#attemptCount += 1;
		let link: PeerLink;
		try {
			link = await peering.linkTo(replica.id);
		} catch {
			return {kind: 'not-sent'};
		}

		const startedAt = performance.now();
		const finishDispatch = router.dispatch(replica.id, inference, chosen.cachedTokens);
		const attempt = this.#createAttempt(link, chosen, permit);
		this.#attempt = attempt;
		const removeAttempt = attempts.add(attempt);
		attempt.start();
		try {
			return await attempt.waitForResult();
		} finally {
			removeAttempt();
			finishDispatch();
			metrics.recordLatency('attempt', performance.now() - startedAt);
		}
	}

	#createAttempt(link: PeerLink, chosen: ChosenReplica, permit: Permit): Attempt {
		const {replica} = chosen;
		const {router, prefixes, metrics} = this.#context;
		const {response, inference, signal} = this.#options;
		prefixes.recordDispatch(inference.prefixes, replica.id, Date.now());
		const attempt = Attempt.create({
			link,
			work: this.#workMessage(permit),
			sink: {
				onAccepted({cachedTokens}) {
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
			},
			onFrameDropped(reason) {
				metrics.count('framesDropped', reason);
			},
			acceptTimeoutMs: ACCEPT_TIMEOUT_MS,
			stallTimeoutMs: STALL_TIMEOUT_MS,
		});
		if (signal.aborted) {
			attempt.cancel();
		}

		return attempt;
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
			deadlineMs: response.streaming ? Number.MAX_SAFE_INTEGER : Math.max(0, deadline - Date.now()),
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

	#nextStep(result: Exclude<AttemptResult, {kind: 'done'}>, replica: Replica): NextStep {
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
				return this.#afterFailure(result);
			}

			case 'link-lost': {
				this.#outcome = 'unknown';
				// For a stream the endpoint stays eligible: its process may be replaced while the engine still holds the stream.
				return {kind: 'retry', reason: 'link-lost', exclude: !this.#options.response.streaming};
			}

			case 'silent': {
				this.#outcome = 'unknown';
				return {kind: 'retry', reason: result.accepted ? 'stalled' : 'no-answer', exclude: true};
			}

			case 'corrupt': {
				this.#outcome = 'unknown';
				return {kind: 'stop', refusal: createRefusal('stream-lost', 'unknown', 'the answer that arrived is not the answer that was sent')};
			}

			case 'cancelled': {
				return {kind: 'stop', refusal: createRefusal('stream-lost', 'unknown', 'the caller disconnected')};
			}
		}
	}

	#recordOutcome(outcome: Outcome): void {
		if (outcome === 'unknown') {
			this.#outcome = 'unknown';
		}
	}

	#afterFailure(result: Extract<AttemptResult, {kind: 'failed'}>): NextStep {
		if (result.reason === 'engine-refused') {
			return {kind: 'retry', reason: 'engine-refused', exclude: true};
		}

		if (result.crashId !== '' || result.reason === 'backend-error') {
			return {kind: 'retry', reason: 'engine-crashed', exclude: true};
		}

		return {kind: 'stop', refusal: createRefusal(result.reason === 'stream-lost' ? 'stream-lost' : 'backend-error', result.outcome, `the endpoint could not finish the request: ${result.reason}`)};
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
