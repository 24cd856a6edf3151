/**
 * One call of a plain service. A call that may be repeated is retried like a request to
 * a model; one that may not is sent at most once, after its key was claimed.
 */
import {type Answer, type WholeAnswer} from './answer.js';
import {Attempt, type AttemptEnd} from './attempt.js';
import {toRefusalReason, type RequestContext, type RequestEnd} from './model-request.js';
import {refuse, type Outcome, type Refusal} from './refusal.js';
import {type WorkspaceRule} from '#rules';
import {type Replica, type RouteRequest, type TokenEstimate} from '#routing';
import {type RetryBudget} from '#coordination';

/** An endpoint that has not accepted a call within this time is taken for dead or paused. */
const ACCEPT_LIMIT_MS = 3000;

/** A call may take this long; services answer in milliseconds, a booking in seconds at worst. */
const CALL_LIMIT_MS = 30_000;

const MAX_ATTEMPTS = 4;

/** A call counts as one token in the load of a service. */
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
	/** True for a call that must run at most once. */
	readonly once: boolean;
	readonly answer: Answer;
	readonly signal: AbortSignal;
};

/** How a call ended: answered (the answer is not sent yet), given up by the caller, or refused. */
export type CallEnd
	= | {readonly kind: 'answered'; readonly whole: WholeAnswer}
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
	#attempts = 0;
	#outcome: Outcome = 'not-run';

	private constructor(context: RequestContext, call: ServiceCall) {
		this.#context = context;
		this.#call = call;
	}

	delivered(offset: number): void {
		this.#attempt?.delivered(offset);
	}

	/** Runs the call to its end. Does not throw. */
	async run(): Promise<CallEnd> {
		const {signal, once} = this.#call;
		const onHangUp = () => {
			// A call that must run at most once is seen through, so that its outcome is known when the key is sent again.
			if (!once) {
				this.#attempt?.cancel();
			}
		};

		signal.addEventListener('abort', onHangUp, {once: true});
		try {
			return await this.#run();
		} finally {
			signal.removeEventListener('abort', onHangUp);
		}
	}

	async #run(): Promise<CallEnd> {
		const {answer, signal, once} = this.#call;
		while (!signal.aborted || (once && this.#attempts === 0)) {
			const replica = this.#choose();
			if (replica.kind === 'refusal') {
				return this.#settle(replica.refusal);
			}

			const end = await this.#try(replica.replica);
			if (end.kind === 'done') {
				return answer.streaming ? {kind: 'streamed'} : {kind: 'answered', whole: answer.whole()};
			}

			const stop = this.#after(end, replica.replica);
			if (stop !== undefined) {
				return this.#settle(stop);
			}
		}

		return {kind: 'abandoned', outcome: this.#outcome};
	}

	#settle(refusal: Refusal): Refusal {
		return this.#outcome === 'unknown' ? {...refusal, outcome: 'unknown'} : refusal;
	}

	#choose(): {readonly kind: 'replica'; readonly replica: Replica} | {readonly kind: 'refusal'; readonly refusal: Refusal} {
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
		const choice = this.#context.fleet.choose(req);
		return choice.kind === 'chosen'
			? {kind: 'replica', replica: choice.replica}
			: {kind: 'refusal', refusal: refuse(choice.reason, 'not-run', `no endpoint takes work for service ${service}`, 1)};
	}

	async #try(replica: Replica): Promise<AttemptEnd> {
		const {peering, fleet, attempts, metrics} = this.#context;
		const {answer, requestId, workspace, deadline, once, method, path, headers, body} = this.#call;
		this.#attempts += 1;
		const link = await peering.linkTo(replica.id).catch(() => undefined);
		if (link === undefined) {
			return {kind: 'not-sent'};
		}

		const finished = fleet.dispatch(replica.id, CALL_WORK, 0);
		const attempt = Attempt.create({
			link,
			work: {
				kind: 'work',
				requestId,
				attempt: this.#attempts,
				workspace: workspace.name,
				priority: workspace.priority,
				weight: workspace.weight,
				deadlineMs: Math.max(0, deadline - Date.now()),
				solo: 'shared',
				fingerprint: '',
				target: 'service',
				once,
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
					// Services have no prompt cache to learn about.
				},
				onHead(status, head) {
					answer.begin({status, headers: head});
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
			stallLimitMs: CALL_LIMIT_MS,
		});
		this.#attempt = attempt;
		const forget = attempts.add(attempt);
		attempt.start();
		try {
			return await attempt.ended();
		} finally {
			forget();
			finished();
		}
	}

	/** Decides what follows an attempt that did not finish the call: a refusal, or undefined for another attempt. */
	#after(end: Exclude<AttemptEnd, {kind: 'done'}>, replica: Replica): Refusal | undefined {
		const {fleet, metrics, budget} = this.#context;
		const notRun = end.kind === 'not-sent' || ((end.kind === 'refused' || end.kind === 'failed') && end.outcome === 'not-run');
		const reason = end.kind === 'refused' || end.kind === 'failed' ? end.reason : end.kind;
		if (!notRun) {
			this.#outcome = 'unknown';
		}

		if (end.kind === 'refused') {
			fleet.update((table, now) => table.withRefusal(replica.id, end.reason === 'leaving' || end.reason === 'endpoint-full' ? end.reason : 'other', now));
		}

		if (!notRun && this.#call.once) {
			return refuse('outcome-unknown', 'unknown', `the call was sent and its outcome is not known: ${reason}`);
		}

		this.#excluded.add(replica.id);
		metrics.count('retries', end.kind === 'not-sent' ? 'link-down-before-send' : reason);
		if (this.#attempts >= MAX_ATTEMPTS || Date.now() >= this.#call.deadline) {
			return refuse(toRefusalReason(reason), 'not-run', `no endpoint finished the call; the last attempt ended with ${reason}`);
		}

		return mayRetry(budget) ? undefined : refuse('retry-budget', 'not-run', 'the entry\'s retry budget is spent', 1);
	}
}

function mayRetry(budget: RetryBudget): boolean {
	return budget.consumeRetry(Date.now());
}

/** The end of a call that was answered, as the entry's common type. */
export function toRequestEnd(end: CallEnd): RequestEnd {
	switch (end.kind) {
		case 'answered':
		case 'streamed': {
			return {kind: 'done'};
		}

		case 'abandoned': {
			return {kind: 'abandoned'};
		}

		case 'refusal': {
			return end;
		}
	}
}
