/** Admission control of an endpoint: an engine never runs two suspects at once, and no other request beside one that runs alone. */
import {invariant} from '#core';

/** How a request must run. */
export type RunMode = 'normal' | 'suspect' | 'alone';

/** Result of an offer. `hold`: accepted, but started by a later `finish`; until then new work is refused. */
export type EndpointAdmissionOutcome
	= | {readonly kind: 'start'}
		| {readonly kind: 'hold'}
		| {readonly kind: 'refused'; readonly reason: 'endpoint-full'; readonly outcome: 'not-run'};

/** Requests affected by a crash of the engine. */
export type CrashedBatch = {
	/** Ids of the requests that the engine was running; they become suspects. */
	readonly started: readonly string[];
	/** Ids of the requests that had not been passed to the engine; they have not run. */
	readonly notRun: readonly string[];
	/** True if the batch was one request that ran alone. */
	readonly alone: boolean;
};

type ActiveRequest = {readonly mode: RunMode; readonly started: boolean};

const full = {kind: 'refused', reason: 'endpoint-full', outcome: 'not-run'} as const;

/** Tracks the requests at an endpoint from arrival to their end and decides which may start. */
export class EndpointAdmission {
	static create(): EndpointAdmission {
		return new EndpointAdmission();
	}

	readonly #active = new Map<string, ActiveRequest>();
	#held: string | undefined;

	private constructor() {
		// Created by `create` only.
	}

	/** Number of requests at the endpoint, not including the held one. */
	get size(): number {
		return this.#active.size;
	}

	/** Offers a request on arrival, before it enters the queue. Ids are unique among requests at the endpoint. */
	offer(id: string, mode: RunMode): EndpointAdmissionOutcome {
		invariant(!this.#active.has(id) && this.#held !== id, `endpoint admission: request ${id} offered twice`);
		if (this.#held !== undefined || this.#has('alone')) {
			return full;
		}

		if (mode === 'suspect' && this.#has('suspect')) {
			return full;
		}

		if (mode === 'alone' && this.#active.size > 0) {
			this.#held = id;
			return {kind: 'hold'};
		}

		this.#active.set(id, {mode, started: false});
		return {kind: 'start'};
	}

	/** Records that the request was passed to the engine. */
	markStarted(id: string): void {
		const request = this.#active.get(id);
		if (request !== undefined) {
			this.#active.set(id, {...request, started: true});
		}
	}

	/**
	 * Records the end of a request for any reason, including cancellation.
	 *
	 * @returns Id of the held request if it must start now.
	 */
	finish(id: string): string | undefined {
		this.#active.delete(id);
		if (this.#held === id) {
			this.#held = undefined;
		}

		const next = this.#held;
		if (next === undefined || this.#active.size > 0) {
			return undefined;
		}

		this.#held = undefined;
		this.#active.set(next, {mode: 'alone', started: false});
		return next;
	}

	/** Records a crash of the engine and removes all requests. */
	recordCrash(): CrashedBatch {
		const requests = [...this.#active];
		const startedIds = requests.filter(([, request]) => request.started).map(([id]) => id);
		const queuedIds = requests.filter(([, request]) => !request.started).map(([id]) => id);
		const notRun = this.#held === undefined ? queuedIds : [...queuedIds, this.#held];
		const alone = startedIds.length === 1 && this.#has('alone');
		this.#active.clear();
		this.#held = undefined;
		return {started: startedIds, notRun, alone};
	}

	#has(mode: RunMode): boolean {
		return [...this.#active.values()].some(request => request.mode === mode);
	}
}
