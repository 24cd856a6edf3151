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
const FIRST_AVOID_MS = 250;

/** Longest time that an endpoint is avoided, in ms; a replica restarts in some seconds, so it is tried about that often. */
const LONGEST_AVOID_MS = 2000;

/** Time that a full endpoint is passed over, in ms: a few steps of a batch, after which slots have come free. */
const FULL_AVOID_MS = 60;

/** Weight of the newest outcome in the failure ratio. */
const RATIO_WEIGHT = 0.2;

type State = {failureRatio: number; failuresInRow: number; avoidUntil: number};

export class EndpointHealth {
	/** Creates a record with no outcomes. */
	static create(): EndpointHealth {
		return new EndpointHealth();
	}

	readonly #states = new Map<string, State>();

	/** Notes how an attempt ended, at `now` (steady ms). */
	note(id: string, outcome: AttemptOutcome, now: number): void {
		const state = this.#stateOf(id);
		switch (outcome) {
			case 'answered': {
				state.failureRatio *= 1 - RATIO_WEIGHT;
				state.failuresInRow = 0;
				state.avoidUntil = 0;
				return;
			}

			case 'full': {
				state.avoidUntil = Math.max(state.avoidUntil, now + FULL_AVOID_MS);
				return;
			}

			case 'failed': {
				// Some requests fail anywhere; the ratio alone tells such an endpoint from a sound one.
				state.failureRatio += (1 - state.failureRatio) * RATIO_WEIGHT;
				return;
			}

			case 'unreachable':
			case 'broken':
			case 'silent':
			case 'misdirected': {
				state.failureRatio += (1 - state.failureRatio) * RATIO_WEIGHT;
				state.failuresInRow += 1;
				state.avoidUntil = now + Math.min(LONGEST_AVOID_MS, FIRST_AVOID_MS * (2 ** (state.failuresInRow - 1)));
			}
		}
	}

	/** Whether an endpoint should be passed over at `now` (steady ms) if there is another one. */
	isAvoided(id: string, now: number): boolean {
		return (this.#states.get(id)?.avoidUntil ?? 0) > now;
	}

	/** Share of the latest attempts that failed, in [0, 1]. */
	failureRatio(id: string): number {
		return this.#states.get(id)?.failureRatio ?? 0;
	}

	/** Forgets an endpoint, for example when a new process has its name. */
	forget(id: string): void {
		this.#states.delete(id);
	}

	#stateOf(id: string): State {
		let state = this.#states.get(id);
		if (state === undefined) {
			state = {
				failureRatio: 0, failuresInRow: 0, avoidUntil: 0,
			};
			this.#states.set(id, state);
		}

		return state;
	}
}
