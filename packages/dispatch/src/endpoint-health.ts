/**
 * What requests have shown about each endpoint. A health check can pass while requests fail, so
 * only the outcomes of requests count. An endpoint that fails is avoided for a growing time, then
 * gets one trial request; it is never taken away from a service that has nothing better.
 */

/** How an attempt at an endpoint ended. */
export type AttemptOutcome
	/** A complete answer. */
	= | 'answered'
	/** A failure status of the endpoint itself. */
		| 'failed'
	/** The endpoint was full and did not run the request. */
		| 'full'
	/** No connection was made. */
		| 'unreachable'
	/** The connection broke or the answer was not valid. */
		| 'broken'
	/** No answer in time. */
		| 'silent'
	/** Another endpoint has the address. */
		| 'misdirected';

/** Time that an endpoint is avoided after its first unreachable or broken attempt, in ms; doubles with each further one. */
const MIN_BACKOFF_MS = 250;

/** Longest time that an endpoint is avoided, in ms; a replica restarts in some seconds, so it is tried about that often. */
const MAX_BACKOFF_MS = 2000;

/** Time that a full endpoint is passed over, in ms: a few steps of a batch, after which slots have come free. */
const FULL_BACKOFF_MS = 60;

/** Weight of the newest outcome in the failure ratio. */
const FAILURE_RATIO_WEIGHT = 0.2;

type HealthState = {failureRatio: number; consecutiveFailures: number; backoffUntil: number};

export class EndpointHealth {
	/** Creates a record with no outcomes. */
	static create(): EndpointHealth {
		return new EndpointHealth();
	}

	readonly #states = new Map<string, HealthState>();

	/** Notes how an attempt ended, at `now` (steady ms). */
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
				// Some requests fail anywhere; the ratio alone tells such an endpoint from a sound one.
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

	/** Whether an endpoint should be passed over at `now` (steady ms) if there is another one. */
	isInBackoff(id: string, now: number): boolean {
		return (this.#states.get(id)?.backoffUntil ?? 0) > now;
	}

	/** Share of the latest attempts that failed, in [0, 1]. */
	failureRatio(id: string): number {
		return this.#states.get(id)?.failureRatio ?? 0;
	}

	/** Forgets an endpoint, for example when a new process has its name. */
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
