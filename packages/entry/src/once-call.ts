/**
 * A call that must run at most once: its key is claimed before it is sent, and the first
 * outcome is what every later call with the same key gets.
 */
import {Buffer} from 'node:buffer';
import {type WholeAnswer} from './answer.js';
import {type ClaimResult, type Claims, type HeldClaim} from './claims.js';
import {type RequestContext} from './model-request.js';
import {refuse} from './refusal.js';
import {ServiceRequest, type CallEnd, type ServiceCall} from './service-request.js';
import {type Metrics} from '#telemetry';
import {type ServiceRule} from '#rules';
import {createClaimOutcome, hashClaimBody, type ClaimKey} from '#coordination';

/** A key that was claimed less than this ago counts as in progress; afterwards its outcome counts as unknown. */
const IN_PROGRESS_MS = 60_000;

/** Longest key of a caller. */
const MAX_KEY_LENGTH = 255;

/** A lookup must not take longer than a call. */
const LOOKUP_LIMIT_MS = 5000;

const REPLAYED = {'x-mimosamount-replayed': 'true'} as const;

export type OnceCallOptions = {
	readonly context: RequestContext;
	readonly claims: Claims;
	readonly metrics: Metrics;
	readonly rule: ServiceRule;
	readonly call: ServiceCall;
	readonly idempotencyKey: string | undefined;
};

export class OnceCall {
	static create(options: OnceCallOptions): OnceCall {
		return new OnceCall(options);
	}

	readonly #options: OnceCallOptions;
	readonly #request: ServiceRequest;

	private constructor(options: OnceCallOptions) {
		this.#options = options;
		this.#request = ServiceRequest.create(options.context, options.call);
	}

	delivered(offset: number): void {
		this.#request.delivered(offset);
	}

	/** Runs the call. Does not throw. */
	async run(): Promise<CallEnd> {
		const {rule, idempotencyKey, call} = this.#options;
		if (idempotencyKey === undefined || rule.idempotency === 'none') {
			return rule.idempotency === 'required'
				? refuse('idempotency-key-required', 'not-run', `service ${rule.name} demands an Idempotency-Key for ${call.method}`)
				: this.#request.run();
		}

		if (idempotencyKey.length > MAX_KEY_LENGTH) {
			return refuse('bad-request', 'not-run', `the Idempotency-Key is longer than ${MAX_KEY_LENGTH} characters`);
		}

		return this.#claimAndRun({workspace: call.workspace.name, service: call.service, idempotencyKey});
	}

	async #claimAndRun(key: ClaimKey): Promise<CallEnd> {
		const {claims, call, metrics} = this.#options;
		const startedAt = performance.now();
		const {result, held} = await claims.claim(key, hashClaimBody(Buffer.from(`${call.method} ${call.path}\n${Buffer.from(call.body).toString('base64')}`)));
		metrics.record('claim', performance.now() - startedAt);
		switch (result.kind) {
			case 'granted': {
				return this.#runClaimed(held);
			}

			case 'done': {
				return {kind: 'answered', whole: replay(result)};
			}

			case 'key-reused': {
				return refuse('key-reused', 'not-run', 'the Idempotency-Key was used before with another call');
			}

			case 'held': {
				return this.#onHeld(key, result);
			}

			case 'withdrawn':
			case 'unavailable': {
				// The call was not sent and never will be, so a claim that may be stored is given back.
				void claims.release(held);
				return refuse('claim-unavailable', 'not-run', 'the key could not be claimed because the platform does not answer', 1);
			}
		}
	}

	async #runClaimed(held: HeldClaim): Promise<CallEnd> {
		const {claims} = this.#options;
		const end = await this.#request.run();
		switch (end.kind) {
			case 'answered': {
				claims.finish(held, outcomeOf(end.whole));
				return end;
			}

			case 'streamed': {
				claims.finish(held, {status: this.#options.call.answer.status, body: '', complete: false});
				return end;
			}

			case 'abandoned':
			case 'refusal': {
				if (end.outcome === 'not-run') {
					await claims.release(held);
					return end;
				}

				return await this.#lookup(held) ?? end;
			}
		}
	}

	/** Another call holds the key and its outcome is not recorded. */
	async #onHeld(key: ClaimKey, result: Extract<ClaimResult, {kind: 'held'}>): Promise<CallEnd> {
		const found = await this.#lookup({key, claimId: result.claimId});
		if (found !== undefined) {
			return found;
		}

		return Date.now() - result.at < IN_PROGRESS_MS
			? refuse('in-progress', 'unknown', 'a call with this Idempotency-Key is in progress', 1)
			: refuse('outcome-unknown', 'unknown', 'a call with this Idempotency-Key was sent and its outcome is not known');
	}

	/** Asks the service whether the call has run, if its rule names a path for that. Not found proves nothing: the call may still be on its way. */
	async #lookup(held: HeldClaim): Promise<CallEnd | undefined> {
		const {context, rule, call, claims} = this.#options;
		if (rule.lookup === undefined) {
			return undefined;
		}

		const signal = AbortSignal.timeout(LOOKUP_LIMIT_MS);
		const request = ServiceRequest.create(context, {
			...call,
			requestId: `${call.requestId}-lookup`,
			method: 'GET',
			path: rule.lookup.replace('{key}', encodeURIComponent(held.key.idempotencyKey)),
			headers: {},
			body: new Uint8Array(),
			deadline: Date.now() + LOOKUP_LIMIT_MS,
			once: false,
			answer: call.answer.createDetached(),
			signal,
		});
		const end = await request.run();
		if (end.kind !== 'answered' || end.whole.status !== 200) {
			return undefined;
		}

		claims.finish(held, outcomeOf(end.whole));
		return {kind: 'answered', whole: {...end.whole, headers: {...end.whole.headers, ...REPLAYED}}};
	}
}

function outcomeOf(whole: WholeAnswer) {
	const contentType = whole.headers['content-type'];
	return {...createClaimOutcome(whole.status, whole.body), ...(contentType === undefined ? {} : {contentType})};
}

/** The first outcome as an answer. A body that was too long to keep is left out, and a header says so. */
function replay({outcome}: Extract<ClaimResult, {kind: 'done'}>): WholeAnswer {
	return {
		status: outcome.status,
		headers: {
			...(outcome.contentType === undefined ? {} : {'content-type': outcome.contentType}),
			...REPLAYED,
			...(outcome.complete ? {} : {'x-mimosamount-body': 'incomplete'}),
		},
		body: Buffer.from(outcome.body, 'base64'),
	};
}

