/** The planned stop of an entry: which requests it still takes, and when those in progress are ended with an answer. */
import {setMaxListeners} from 'node:events';

/** Time for which a stopping entry takes any request, in ms: the load balancer checks once a second and removes an entry after two failed checks. */
export const DEREGISTRATION_DELAY_MS = 2600;

/** Requests in progress are ended this long before the process would be killed, in ms, so that their callers are still told, and the process ends by itself. */
const REQUESTS_END_MARGIN_MS = 400;

/** Whether the answer to a request has begun, or can no more be replaced by one of this entry's own. */
export type AnswerState = 'begun' | 'not-begun';

export class Shutdown {
	/**
	 * @param graceMs - Time from the stop signal until the process is killed, in ms.
	 * @param now - Monotonic clock in ms.
	 */
	static create(graceMs: number, now: () => number): Shutdown {
		return new Shutdown(graceMs, now);
	}

	readonly #answersDue = new AbortController();
	readonly #requestsEnded = new AbortController();
	#startedAt: number | undefined;
	/** The earliest moment of the signal. */
	#signalledAt = Infinity;
	readonly #graceMs: number;
	readonly #now: () => number;

	private constructor(graceMs: number, now: () => number) {
		this.#graceMs = graceMs;
		// Each request in progress listens.
		setMaxListeners(0, this.#answersDue.signal, this.#requestsEnded.signal);
		this.#now = now;
	}

	get hasBegun(): boolean {
		return this.#startedAt !== undefined;
	}

	/** Time for which any request is taken after the signal, in ms. */
	get deregistrationDelayMs(): number {
		return Math.min(DEREGISTRATION_DELAY_MS, this.#graceMs / 2);
	}

	/** Time since the begin of the stop, in ms; undefined before it. */
	get ageMs(): number | undefined {
		return this.#startedAt === undefined ? undefined : this.#now() - this.#startedAt;
	}

	/** Aborts when requests without an answer have to get one. */
	get answersDue(): AbortSignal {
		return this.#answersDue.signal;
	}

	/** Aborts when the answers that have begun have to end. */
	get requestsEnded(): AbortSignal {
		return this.#requestsEnded.signal;
	}

	/**
	 * Begins the stop; the requests in progress end before the grace period does.
	 *
	 * @param signalDelayMs - Longest possible time since the stop signal, from which the grace period counts, in ms. It may be far
	 * too long: answers that have begun go on as if the signal had not waited, up to the kill if it has.
	 */
	begin(signalDelayMs = 0): void {
		if (this.#startedAt === undefined) {
			this.#startedAt = this.#now();
			this.#signalledAt = this.#startedAt - signalDelayMs;
			setTimeout(() => {
				this.#answersDue.abort();
			}, this.remainingMs('not-begun'));
			setTimeout(() => {
				this.#requestsEnded.abort();
			}, this.remainingMs('begun'));
		}
	}

	/** Time until the requests in progress end, in ms; infinite before the stop. */
	remainingMs(answer: AnswerState): number {
		const signalledAt = {begun: this.#startedAt ?? Infinity, 'not-begun': this.#signalledAt}[answer];
		return Math.max(0, signalledAt + this.#graceMs - REQUESTS_END_MARGIN_MS - this.#now());
	}

	/** Whether a request that may take `timeoutMs` is taken: once callers are sent elsewhere, only if it surely ends in time. */
	mayTake(timeoutMs: number): boolean {
		return this.#now() - this.#signalledAt < this.deregistrationDelayMs || timeoutMs <= this.remainingMs('not-begun');
	}
}
