/**
 * A service call that must run at most once: its idempotency key is claimed before the call is sent, and
 * every later call with the same key gets the outcome of the first.
 */
import {Buffer} from 'node:buffer';
import {type BufferedResponse} from './caller-response.js';
import {type ClaimResult, type ClaimService, type HeldClaim} from './claim-service.js';
import {type RequestContext} from './model-request.js';
import {createRefusal} from './refusal.js';
import {ServiceRequest, type CallResult, type ServiceCall} from './service-request.js';
import {type Metrics} from '#telemetry';
import {type ServiceRule} from '#rules';
import {createClaimOutcome, hashClaimBody, type ClaimKey} from '#coordination';

/** A claim younger than this is reported as in progress; an older one without an outcome as unknown. */
const IN_PROGRESS_WINDOW_MS = 60_000;

/** Maximum length of an idempotency key in characters. */
const MAX_KEY_LENGTH = 255;

/** Timeout of a lookup, which must not take longer than a call. */
const LOOKUP_TIMEOUT_MS = 5000;

const REPLAYED_HEADERS = {'x-mimosamount-replayed': 'true'} as const;

export type AtMostOnceCallOptions = {
	readonly context: RequestContext;
	readonly claims: ClaimService;
	readonly metrics: Metrics;
	readonly rule: ServiceRule;
	readonly call: ServiceCall;
	readonly idempotencyKey: string | undefined;
};

export class AtMostOnceCall {
	static create(options: AtMostOnceCallOptions): AtMostOnceCall {
		return new AtMostOnceCall(options);
	}

	readonly #options: AtMostOnceCallOptions;
	readonly #request: ServiceRequest;

	private constructor(options: AtMostOnceCallOptions) {
		this.#options = options;
		this.#request = ServiceRequest.create(options.context, options.call);
	}

	acknowledgeDelivery(offset: number): void {
		this.#request.acknowledgeDelivery(offset);
	}

	/** Runs the call to completion. Does not throw. */
	async run(): Promise<CallResult> {
		const {rule, idempotencyKey, call} = this.#options;
		if (idempotencyKey === undefined || rule.idempotency === 'none') {
			return rule.idempotency === 'required'
				? createRefusal('idempotency-key-required', 'not-run', `service ${rule.name} demands an Idempotency-Key for ${call.method}`)
				: this.#request.run();
		}

		if (idempotencyKey.length > MAX_KEY_LENGTH) {
			return createRefusal('bad-request', 'not-run', `the Idempotency-Key is longer than ${MAX_KEY_LENGTH} characters`);
		}

		return this.#claimAndRun({workspace: call.workspace.name, service: call.service, idempotencyKey});
	}

	async #claimAndRun(key: ClaimKey): Promise<CallResult> {
		const {claims, call, metrics} = this.#options;
		const startedAt = performance.now();
		const {result, held} = await claims.claim(key, hashClaimBody(Buffer.from(`${call.method} ${call.path}\n${Buffer.from(call.body).toString('base64')}`)));
		metrics.recordLatency('claim', performance.now() - startedAt);
		switch (result.kind) {
			case 'granted': {
				return this.#runClaimed(held);
			}

			case 'done': {
				return {kind: 'answered', response: toReplayedResponse(result)};
			}

			case 'key-reused': {
				return createRefusal('key-reused', 'not-run', 'the Idempotency-Key was used before with another call');
			}

			case 'held': {
				return this.#handleHeldKey(key, result);
			}

			case 'withdrawn':
			case 'unavailable': {
				// The call is never sent, so the claim is released in case it was stored.
				void claims.release(held);
				return createRefusal('claim-unavailable', 'not-run', 'the key could not be claimed because the platform does not answer', 1);
			}
		}
	}

	async #runClaimed(held: HeldClaim): Promise<CallResult> {
		const {claims} = this.#options;
		const result = await this.#request.run();
		switch (result.kind) {
			case 'answered': {
				claims.finish(held, toClaimOutcome(result.response));
				return result;
			}

			case 'streamed': {
				claims.finish(held, {status: this.#options.call.response.status, body: '', complete: false});
				return result;
			}

			case 'abandoned':
			case 'refusal': {
				if (result.outcome === 'not-run') {
					await claims.release(held);
					return result;
				}

				return await this.#lookUpOutcome(held) ?? result;
			}
		}
	}

	/** Handles a key that is claimed by another call whose outcome is not recorded. */
	async #handleHeldKey(key: ClaimKey, result: Extract<ClaimResult, {kind: 'held'}>): Promise<CallResult> {
		const found = await this.#lookUpOutcome({key, claimId: result.claimId});
		if (found !== undefined) {
			return found;
		}

		return Date.now() - result.at < IN_PROGRESS_WINDOW_MS
			? createRefusal('in-progress', 'unknown', 'a call with this Idempotency-Key is in progress', 1)
			: createRefusal('outcome-unknown', 'unknown', 'a call with this Idempotency-Key was sent and its outcome is not known');
	}

	/** Queries the service for the outcome, if its rule has a lookup path. A 404 proves nothing, since the call may still be in transit. */
	async #lookUpOutcome(held: HeldClaim): Promise<CallResult | undefined> {
		const {context, rule, call, claims} = this.#options;
		if (rule.lookup === undefined) {
			return undefined;
		}

		const signal = AbortSignal.timeout(LOOKUP_TIMEOUT_MS);
		const request = ServiceRequest.create(context, {
			...call,
			requestId: `${call.requestId}-lookup`,
			method: 'GET',
			path: rule.lookup.replace('{key}', encodeURIComponent(held.key.idempotencyKey)),
			headers: {},
			body: new Uint8Array(),
			deadline: {sendBy: Date.now() + LOOKUP_TIMEOUT_MS, endAt: performance.now() + LOOKUP_TIMEOUT_MS},
			atMostOnce: false,
			response: call.response.createDetached(),
			signal,
		});
		const result = await request.run();
		if (result.kind !== 'answered' || result.response.status !== 200) {
			return undefined;
		}

		claims.finish(held, toClaimOutcome(result.response));
		return {kind: 'answered', response: {...result.response, headers: {...result.response.headers, ...REPLAYED_HEADERS}}};
	}
}

function toClaimOutcome(response: BufferedResponse) {
	const contentType = response.headers['content-type'];
	return {...createClaimOutcome(response.status, response.body), ...(contentType === undefined ? {} : {contentType})};
}

/** The recorded outcome as a response. A body that was too long to store is omitted, which a header indicates. */
function toReplayedResponse({outcome}: Extract<ClaimResult, {kind: 'done'}>): BufferedResponse {
	return {
		status: outcome.status,
		headers: {
			...(outcome.contentType === undefined ? {} : {'content-type': outcome.contentType}),
			...REPLAYED_HEADERS,
			...(outcome.complete ? {} : {'x-mimosamount-body': 'incomplete'}),
		},
		body: Buffer.from(outcome.body, 'base64'),
	};
}

