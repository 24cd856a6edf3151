/**
 * Passive health tracking: the recent outcomes of requests at each endpoint. A health check can pass while requests fail, so
 * only the outcomes of requests count. An endpoint that fails is put in exponential backoff and becomes eligible again
 * afterwards; it is still used if its service has no better one.
 */

/** Outcome of an attempt at an endpoint. */
export type AttemptOutcome
	/** A complete response. */
	= | 'answered'
	/** An error status from the endpoint itself. */
		| 'failed'
	/** The endpoint was full and did not run the request. */
		| 'full'
	/** No connection was established. */
		| 'unreachable'
	/** The connection broke or the response was invalid. */
		| 'broken'
	/** No response in time. */
		| 'silent'
	/** The address belongs to another endpoint. */
		| 'misdirected';

/** Backoff after an unreachable, broken, silent or misdirected attempt, in ms; doubles with each consecutive one. */
const MIN_BACKOFF_MS = 250;

/** Longest backoff, in ms; a replica restarts within a few seconds, so it is retried about that often. */
const MAX_BACKOFF_MS = 2000;

/** Backoff of a full endpoint, in ms: a few steps of a batch, after which slots have become free. */
const FULL_BACKOFF_MS = 60;

/** Weight of the newest outcome in the failure ratio, an exponentially weighted moving average. */
const FAILURE_RATIO_WEIGHT = 0.2;

type HealthState = {failureRatio: number; consecutiveFailures: number; backoffUntil: number};

export class EndpointHealth {
	/** Creates a tracker with no outcomes. */
	static create(): EndpointHealth {
		return new EndpointHealth();
	}

	readonly #states = new Map<string, HealthState>();

	/** Records the outcome of an attempt at `now` (monotonic ms). */
	record(id: string, outcome: AttemptOutcome, now: number): void {
		const state = this.#stateOf(id);
		switch (outcome) {
			case 'answered': {
				state.failureRatio *= 1 - FAILURE_RATIO_WEIGHT;
				state.consecutiveFailures = 0;
				state.backoffUntil = 0;
				return;
			}

			case 'full': {
				state.backoffUntil = Math.max(state.backoffUntil, now + FULL_BACKOFF_MS);
				return;
			}

			case 'failed': {
				// Some requests fail at any endpoint, so an error status raises only the ratio and causes no backoff.
				state.failureRatio += (1 - state.failureRatio) * FAILURE_RATIO_WEIGHT;
				return;
			}

			case 'unreachable':
			case 'broken':
			case 'silent':
			case 'misdirected': {
				state.failureRatio += (1 - state.failureRatio) * FAILURE_RATIO_WEIGHT;
				state.consecutiveFailures += 1;
				state.backoffUntil = now + Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * (2 ** (state.consecutiveFailures - 1)));
			}
		}
	}

	/** Whether an endpoint should be skipped at `now` (monotonic ms) if there is another one. */
	isInBackoff(id: string, now: number): boolean {
		return (this.#states.get(id)?.backoffUntil ?? 0) > now;
	}

	/** Moving average of the share of failed attempts, in [0, 1]. */
	failureRatio(id: string): number {
		return this.#states.get(id)?.failureRatio ?? 0;
	}

	/** Discards the outcomes of an endpoint, for example when a new process has registered under its id. */
	forget(id: string): void {
		this.#states.delete(id);
	}

	#stateOf(id: string): HealthState {
		let state = this.#states.get(id);
		if (state === undefined) {
			state = {
				failureRatio: 0, consecutiveFailures: 0, backoffUntil: 0,
			};
			this.#states.set(id, state);
		}

		return state;
	}
}
