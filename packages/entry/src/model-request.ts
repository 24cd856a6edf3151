/**
 * One inference request from its first attempt to its answer. Requests to a model are
 * idempotent: an attempt that was lost is resumed or run again elsewhere, within the
 * deadline and the retry budget.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {type Answer} from './answer.js';
import {Attempt, type AttemptEnd} from './attempt.js';
import {type AttemptTable} from './attempt-table.js';
import {type Fleet} from './fleet.js';
import {type Inference} from './inference.js';
import {
	refuse, type Outcome, type Refusal, type RefusalReason, type RetryReason,
} from './refusal.js';
import {
	askPermit, reportRunEnd, type Permit, type SuspectRun,
} from './suspect-run.js';
import {type Suspects} from './suspects.js';
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

/** An endpoint that has not accepted work within this time is taken for dead or paused. */
const ACCEPT_LIMIT_MS = 3000;

/** A stream without a byte for this time is taken for lost; engines make a token each 67 ms or less. */
const STALL_LIMIT_MS = 10_000;

/** A stream that was begun waits this long for an endpoint; a process is replaced within seconds. */
const RESUME_LIMIT_MS = 15_000;
const RESUME_PAUSE_MS = 250;

/** More attempts than this only add load. */
const MAX_ATTEMPTS = 6;

/** A suspect that finds no endpoint without another suspect tries again after this time; a run takes seconds. */
const SUSPECT_PAUSE_MS = 250;

/** What all requests of one entry share. */
export type RequestContext = {
	readonly peering: Peering;
	readonly fleet: Fleet;
	readonly attempts: AttemptTable;
	readonly prefixes: PrefixCacheIndex;
	readonly budget: RetryBudget;
	readonly suspects: Suspects;
	readonly limits: WorkspaceLimits;
	readonly metrics: Metrics;
	readonly log: Logger;
};

export type ModelRequestOptions = {
	readonly requestId: string;
	readonly workspace: WorkspaceRule;
	readonly inference: Inference;
	/** Model with version and adapter as replicas offer it. */
	readonly model: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Uint8Array;
	/** When the first byte is due, ms since the epoch. */
	readonly deadline: number;
	readonly answer: Answer;
	/** Aborted when the caller hangs up. */
	readonly signal: AbortSignal;
};

/** How a request ended. */
export type RequestEnd
	= | {readonly kind: 'done'}
		| {readonly kind: 'abandoned'}
		| Refusal;

/** The replica chosen for one attempt, and what the choice expects of it. */
type Chosen = {
	readonly kind: 'replica';
	readonly replica: Replica;
	readonly cachedTokens: number;
	readonly source: CandidateSource;
};

/** What follows an attempt that did not finish the request. */
type Next
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
	#attempts = 0;
	/** Attempts of a suspect that were refused because it must run apart from others. */
	#keptApart = 0;
	/** When a stream that was begun first found no endpoint. */
	#lostAt: number | undefined;
	/** `unknown` once any attempt may have run. */
	#outcome: Outcome = 'not-run';

	private constructor(context: RequestContext, options: ModelRequestOptions) {
		this.#context = context;
		this.#options = options;
	}

	/** Notes that bytes up to an offset left for the caller. */
	delivered(offset: number): void {
		this.#attempt?.delivered(offset);
	}

	/** Runs the request to its end. Does not throw. */
	async run(): Promise<RequestEnd> {
		const {signal} = this.#options;
		const onHangUp = () => {
			this.#attempt?.cancel();
		};

		signal.addEventListener('abort', onHangUp, {once: true});
		try {
			return await this.#run();
		} finally {
			signal.removeEventListener('abort', onHangUp);
		}
	}

	async #run(): Promise<RequestEnd> {
		const {signal, answer} = this.#options;
		while (!signal.aborted) {
			const choice = this.#choose();
			if (choice.kind === 'refusal') {
				if (await this.#waitForEndpoint(choice.reason)) {
					continue;
				}

				return this.#settle(choice);
			}

			const permit = await askPermit(this.#context.suspects, this.#suspectRun());
			if (permit.kind === 'refusal') {
				return this.#settle(permit);
			}

			const end = await this.#try(choice, permit);
			await reportRunEnd(this.#context.suspects, permit, end);
			if (end.kind === 'done') {
				answer.finish();
				return {kind: 'done'};
			}

			const chosen = choice.replica;
			const next = this.#next(end, chosen);
			if (next.kind === 'stop') {
				return this.#settle(next.refusal);
			}

			this.#context.metrics.count('retries', next.reason);
			this.#context.log.info('attempt did not finish the request', {
				requestId: this.#options.requestId, endpoint: chosen.id, reason: next.reason, attempt: this.#attempts,
			});
			if (next.exclude) {
				this.#excluded.add(chosen.id);
			}

			const stop = await this.#waitApart(end, permit) ? this.#mayTryAgain(next.reason) : this.#mayRetry(next.reason, end);
			if (stop !== undefined) {
				return this.#settle(stop);
			}
		}

		return {kind: 'abandoned'};
	}

	/**
	 * A stream that was begun waits for its endpoint's process to be replaced, or for another endpoint.
	 *
	 * @returns False if waiting makes no sense (any more).
	 */
	async #waitForEndpoint(reason: RefusalReason): Promise<boolean> {
		const {answer, signal} = this.#options;
		this.#lostAt ??= Date.now();
		if (!answer.streaming || reason !== 'no-endpoint' || signal.aborted || Date.now() - this.#lostAt > RESUME_LIMIT_MS) {
			return false;
		}

		this.#excluded.clear();
		await sleep(RESUME_PAUSE_MS);
		return true;
	}

	/** A refusal is `not-run` only if no attempt can have run; a stream that was begun is lost. */
	#settle(refusal: Refusal): Refusal {
		if (this.#options.answer.streaming) {
			return refuse('stream-lost', 'unknown', `the stream was lost and could not be continued: ${refusal.message}`);
		}

		return this.#outcome === 'unknown' ? {...refusal, outcome: 'unknown'} : refusal;
	}

	/**
	 * A suspect that was refused because an endpoint runs another suspect waits and may use every endpoint again.
	 *
	 * @returns False if the attempt ended in another way.
	 */
	async #waitApart(end: AttemptEnd, permit: Permit): Promise<boolean> {
		if (!permit.held || end.kind !== 'refused' || end.reason !== 'endpoint-full') {
			return false;
		}

		this.#keptApart += 1;
		this.#excluded.clear();
		await sleep(SUSPECT_PAUSE_MS);
		return true;
	}

	/** Undefined if another attempt may be made and the retry budget allows it. */
	#mayRetry(reason: RetryReason, end: AttemptEnd): Refusal | undefined {
		const stop = this.#mayTryAgain(reason);
		// Resuming a stream costs its rest only, and giving up would waste what was generated. The requests of a
		// crashed batch may be many times the budget; the quarantine bounds their runs instead.
		const crashed = end.kind === 'failed' && end.crashId !== '';
		if (stop !== undefined || this.#options.answer.streaming || crashed || this.#context.budget.consumeRetry(Date.now())) {
			return stop;
		}

		return refuse('retry-budget', 'not-run', `the entry's retry budget is spent; the last attempt ended with ${reason}`, 1);
	}

	/** Undefined if the number of attempts and the deadline allow another attempt. */
	#mayTryAgain(reason: RetryReason): Refusal | undefined {
		const now = Date.now();
		if (this.#attempts - this.#keptApart >= MAX_ATTEMPTS && !this.#options.answer.streaming) {
			return refuse('no-endpoint', 'not-run', `no endpoint finished the request in ${MAX_ATTEMPTS} attempts; the last ended with ${reason}`);
		}

		if (now >= this.#options.deadline && !this.#options.answer.streaming) {
			return refuse('deadline', 'not-run', 'the deadline passed before an endpoint answered');
		}

		return undefined;
	}

	/** The next attempt as the quarantine sees it. */
	#suspectRun(): SuspectRun {
		const {inference, requestId, deadline, signal} = this.#options;
		return {
			fingerprint: inference.fingerprint, permitId: `${requestId}/${this.#attempts + 1}`, deadline, signal,
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

	#choose(): Chosen | Refusal {
		const choice = this.#context.fleet.choose(this.#routeRequest());
		if (choice.kind === 'none') {
			return refuse(choice.reason, 'not-run', `no endpoint takes work for ${this.#options.model}`, 1);
		}

		const admission = admit({waitMs: choice.expectedWaitMs, errorFactor: 1}, this.#options.deadline, Date.now());
		if (admission.kind === 'refused' && !this.#options.answer.streaming) {
			return refuse(admission.reason, 'not-run', 'the request cannot meet its deadline', admission.retryAfterMs / 1000);
		}

		return {
			kind: 'replica', replica: choice.replica, cachedTokens: choice.cachedTokens, source: choice.explanation.candidates[0]?.source ?? 'random',
		};
	}

	async #try(chosen: Chosen, permit: Permit): Promise<AttemptEnd> {
		const {replica} = chosen;
		const {peering, fleet, attempts, metrics} = this.#context;
		const {inference} = this.#options;
		this.#attempts += 1;
		let link: PeerLink;
		try {
			link = await peering.linkTo(replica.id);
		} catch {
			return {kind: 'not-sent'};
		}

		const startedAt = performance.now();
		const finished = fleet.dispatch(replica.id, inference, chosen.cachedTokens);
		const attempt = this.#createAttempt(link, chosen, permit);
		this.#attempt = attempt;
		const forget = attempts.add(attempt);
		attempt.start();
		try {
			return await attempt.ended();
		} finally {
			forget();
			finished();
			metrics.record('attempt', performance.now() - startedAt);
		}
	}

	#createAttempt(link: PeerLink, chosen: Chosen, permit: Permit): Attempt {
		const {replica} = chosen;
		const {fleet, prefixes, metrics} = this.#context;
		const {answer, inference, signal} = this.#options;
		prefixes.recordDispatch(inference.prefixes, replica.id, Date.now());
		const attempt = Attempt.create({
			link,
			work: this.#work(permit),
			sink: {
				onAccepted({cachedTokens}) {
					prefixes.recordAccepted(inference.prefixes, chosen, cachedTokens);
				},
				onHead(status, headers) {
					answer.begin({status, headers});
				},
				onData(data) {
					answer.add(data);
				},
				onLoad(load) {
					fleet.noteLoad(replica.id, load);
				},
			},
			dropped(reason) {
				metrics.count('framesDropped', reason);
			},
			acceptLimitMs: ACCEPT_LIMIT_MS,
			stallLimitMs: STALL_LIMIT_MS,
		});
		if (signal.aborted) {
			attempt.cancel();
		}

		return attempt;
	}

	#work(permit: Permit): MessageOf<'work'> {
		const {requestId, workspace, inference, path, headers, body, deadline, answer} = this.#options;
		return {
			kind: 'work',
			requestId,
			attempt: this.#attempts,
			workspace: workspace.name,
			priority: workspace.priority,
			weight: workspace.weight,
			deadlineMs: answer.streaming ? Number.MAX_SAFE_INTEGER : Math.max(0, deadline - Date.now()),
			solo: permit.solo,
			fingerprint: inference.fingerprint,
			target: 'model',
			once: false,
			method: 'POST',
			path,
			headers,
			body,
			resumeOffset: answer.committedBytes,
			prefixHash: answer.committedHash,
			tokens: inference.inputTokens + inference.outputTokens,
			prefixes: inference.prefixes.map(({hash, tokens}) => [hash, tokens] as const),
		};
	}

	#next(end: Exclude<AttemptEnd, {kind: 'done'}>, replica: Replica): Next {
		const {fleet, prefixes} = this.#context;
		const {inference} = this.#options;
		switch (end.kind) {
			case 'refused': {
				this.#noteOutcome(end.outcome);
				fleet.update((table, now) => table.withRefusal(replica.id, end.reason === 'leaving' || end.reason === 'endpoint-full' ? end.reason : 'other', now));
				prefixes.recordNotRun(inference.prefixes, replica.id);
				return {kind: 'retry', reason: refusalToRetry(end.reason), exclude: true};
			}

			case 'not-sent': {
				return {kind: 'retry', reason: 'link-down-before-send', exclude: true};
			}

			case 'failed': {
				this.#noteOutcome(end.outcome);
				return this.#afterFailure(end);
			}

			case 'link-lost': {
				this.#outcome = 'unknown';
				// The endpoint process may be replaced beside an engine that still holds the stream.
				return {kind: 'retry', reason: 'link-lost', exclude: !this.#options.answer.streaming};
			}

			case 'silent': {
				this.#outcome = 'unknown';
				return {kind: 'retry', reason: end.accepted ? 'stalled' : 'no-answer', exclude: true};
			}

			case 'corrupt': {
				this.#outcome = 'unknown';
				return {kind: 'stop', refusal: refuse('stream-lost', 'unknown', 'the answer that arrived is not the answer that was sent')};
			}

			case 'cancelled': {
				return {kind: 'stop', refusal: refuse('stream-lost', 'unknown', 'the caller hung up')};
			}
		}
	}

	#noteOutcome(outcome: Outcome): void {
		if (outcome === 'unknown') {
			this.#outcome = 'unknown';
		}
	}

	#afterFailure(end: Extract<AttemptEnd, {kind: 'failed'}>): Next {
		if (end.reason === 'engine-refused') {
			return {kind: 'retry', reason: 'engine-refused', exclude: true};
		}

		if (end.crashId !== '' || end.reason === 'backend-error') {
			return {kind: 'retry', reason: 'engine-crashed', exclude: true};
		}

		return {kind: 'stop', refusal: refuse(end.reason === 'stream-lost' ? 'stream-lost' : 'backend-error', end.outcome, `the endpoint could not finish the request: ${end.reason}`)};
	}
}

function refusalToRetry(reason: string): RetryReason {
	return reason === 'leaving' || reason === 'endpoint-full' ? reason : 'engine-refused';
}

/** Reasons of the endpoint that are told to the caller as they are. */
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
