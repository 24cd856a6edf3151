/**
 * One call to a plain service. An idempotent call is retried like an inference request; a
 * non-idempotent one is sent at most once, after its key was claimed.
 */
import {type CallerResponse, type BufferedResponse} from './caller-response.js';
import {Attempt, type AttemptResult} from './attempt.js';
import {toRefusalReason, type RequestContext, type RequestResult} from './model-request.js';
import {createRefusal, type Outcome, type Refusal} from './refusal.js';
import {type WorkspaceRule} from '#rules';
import {type Replica, type RouteRequest, type TokenEstimate} from '#routing';
import {type RetryBudget} from '#coordination';

/** An endpoint that does not accept a call within this time is considered dead or paused. */
const ACCEPT_TIMEOUT_MS = 3000;

/** Maximum time without data; services respond in milliseconds, a booking in seconds at worst. */
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
	readonly deadline: number;
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

export class ServiceRequest {
	static create(context: RequestContext, call: ServiceCall): ServiceRequest {
		return new ServiceRequest(context, call);
	}

	readonly #context: RequestContext;
	readonly #call: ServiceCall;
	readonly #excluded = new Set<string>();
	#attempt: Attempt | undefined;
	#attemptCount = 0;
	#outcome: Outcome = 'not-run';

	private constructor(context: RequestContext, call: ServiceCall) {
		this.#context = context;
		this.#call = call;
	}

	acknowledgeDelivery(offset: number): void {
		this.#attempt?.acknowledgeDelivery(offset);
	}

	/** Runs the call to completion. Does not throw. */
	async run(): Promise<CallResult> {
		const {signal, atMostOnce} = this.#call;
		const onDisconnect = () => {
			// An at-most-once call is not cancelled, so that its outcome is known if the key is sent again.
			if (!atMostOnce) {
				this.#attempt?.cancel();
			}
		};

		signal.addEventListener('abort', onDisconnect, {once: true});
		try {
			return await this.#run();
		} finally {
			signal.removeEventListener('abort', onDisconnect);
		}
	}

	async #run(): Promise<CallResult> {
		const {response, signal, atMostOnce} = this.#call;
		while (!signal.aborted || (atMostOnce && this.#attemptCount === 0)) {
			const replica = this.#chooseReplica();
			if (replica.kind === 'refusal') {
				return this.#finalRefusal(replica.refusal);
			}

			const result = await this.#runAttempt(replica.replica);
			if (result.kind === 'done') {
				return response.streaming ? {kind: 'streamed'} : {kind: 'answered', response: response.buffered()};
			}

			const stop = this.#handleFailure(result, replica.replica);
			if (stop !== undefined) {
				return this.#finalRefusal(stop);
			}
		}

		return {kind: 'abandoned', outcome: this.#outcome};
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

	async #runAttempt(replica: Replica): Promise<AttemptResult> {
		const {peering, router, attempts, metrics} = this.#context;
		const {response, requestId, workspace, deadline, atMostOnce, method, path, headers, body} = this.#call;
		this.#attemptCount += 1;
		const link = await peering.linkTo(replica.id).catch(() => undefined);
		if (link === undefined) {
			return {kind: 'not-sent'};
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
				deadlineMs: Math.max(0, deadline - Date.now()),
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
				onAccepted() {
					// Services have no prompt cache.
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
		this.#attempt = attempt;
		const removeAttempt = attempts.add(attempt);
		attempt.start();
		try {
			return await attempt.waitForResult();
		} finally {
			removeAttempt();
			finishDispatch();
		}
	}

	/** Handles an attempt that did not complete the call. @returns A refusal, or undefined to make another attempt. */
	#handleFailure(result: Exclude<AttemptResult, {kind: 'done'}>, replica: Replica): Refusal | undefined {
		const {router, metrics, retryBudget} = this.#context;
		const notRun = result.kind === 'not-sent' || ((result.kind === 'refused' || result.kind === 'failed') && result.outcome === 'not-run');
		const reason = result.kind === 'refused' || result.kind === 'failed' ? result.reason : result.kind;
		if (!notRun) {
			this.#outcome = 'unknown';
		}

		if (result.kind === 'refused') {
			router.update((table, now) => table.withRefusal(replica.id, result.reason === 'leaving' || result.reason === 'endpoint-full' ? result.reason : 'other', now));
		}

		if (!notRun && this.#call.atMostOnce) {
			return createRefusal('outcome-unknown', 'unknown', `the call was sent and its outcome is not known: ${reason}`);
		}

		this.#excluded.add(replica.id);
		metrics.count('retries', result.kind === 'not-sent' ? 'link-down-before-send' : reason);
		if (this.#attemptCount >= MAX_ATTEMPTS || Date.now() >= this.#call.deadline) {
			return createRefusal(toRefusalReason(reason), 'not-run', `no endpoint finished the call; the last attempt ended with ${reason}`);
		}

		return takeRetry(retryBudget) ? undefined : createRefusal('retry-budget', 'not-run', 'the entry\'s retry budget is spent', 1);
	}
}

function takeRetry(retryBudget: RetryBudget): boolean {
	return retryBudget.consumeRetry(Date.now());
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
