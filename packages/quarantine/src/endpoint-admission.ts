/** Endpoint side of the quarantine: never two suspects in one engine, and nothing beside a request that runs alone. */
import {invariant} from '#core';

/** How a request must run. */
export type RunMode = 'normal' | 'suspect' | 'alone';

/** Outcome of an offer. `hold`: taken, and started by a later `finish`; until then new work is refused. */
export type EndpointAdmissionOutcome
	= | {readonly kind: 'start'}
		| {readonly kind: 'hold'}
		| {readonly kind: 'refused'; readonly reason: 'endpoint-full'; readonly outcome: 'not-run'};

/** What a crash hit. */
export type CrashedBatch = {
	/** Requests that the engine was running: they are suspects now. */
	readonly started: readonly string[];
	/** Requests that it had not been given: they have not run. */
	readonly notRun: readonly string[];
	/** True if the batch was one request that ran alone. */
	readonly alone: boolean;
};

type Member = {readonly mode: RunMode; readonly started: boolean};

const full = {kind: 'refused', reason: 'endpoint-full', outcome: 'not-run'} as const;

/** The requests at one endpoint, from arrival to their end. It owns its state. */
export class EndpointAdmission {
	static create(): EndpointAdmission {
		return new EndpointAdmission();
	}

	readonly #members = new Map<string, Member>();
	#held: string | undefined;

	private constructor() {
		// Created by `create` only.
	}

	/** Requests at the endpoint, the held one not counted. */
	get size(): number {
		return this.#members.size;
	}

	/** Offers a request on arrival, before it enters the queue. Ids are unique among requests at the endpoint. */
	offer(id: string, mode: RunMode): EndpointAdmissionOutcome {
		invariant(!this.#members.has(id) && this.#held !== id, `gate: request ${id} offered twice`);
		if (this.#held !== undefined || this.#has('alone')) {
			return full;
		}

		if (mode === 'suspect' && this.#has('suspect')) {
			return full;
		}

		if (mode === 'alone' && this.#members.size > 0) {
			this.#held = id;
			return {kind: 'hold'};
		}

		this.#members.set(id, {mode, started: false});
		return {kind: 'start'};
	}

	/** Notes that the engine was given the request. */
	markStarted(id: string): void {
		const member = this.#members.get(id);
		if (member !== undefined) {
			this.#members.set(id, {...member, started: true});
		}
	}

	/**
	 * Notes the end of a request for whatever reason, cancellation included.
	 *
	 * @returns The held request if it is to start now.
	 */
	finish(id: string): string | undefined {
		this.#members.delete(id);
		if (this.#held === id) {
			this.#held = undefined;
		}

		const next = this.#held;
		if (next === undefined || this.#members.size > 0) {
			return undefined;
		}

		this.#held = undefined;
		this.#members.set(next, {mode: 'alone', started: false});
		return next;
	}

	/** Notes a crash of the engine and empties the gate. */
	recordCrash(): CrashedBatch {
		const members = [...this.#members];
		const started = members.filter(([, member]) => member.started).map(([id]) => id);
		const waiting = members.filter(([, member]) => !member.started).map(([id]) => id);
		const notRun = this.#held === undefined ? waiting : [...waiting, this.#held];
		const alone = started.length === 1 && this.#has('alone');
		this.#members.clear();
		this.#held = undefined;
		return {started, notRun, alone};
	}

	#has(mode: RunMode): boolean {
		return [...this.#members.values()].some(member => member.mode === mode);
	}
}
