/**
 * Orders for one engine, sent one at a time. A process that dies then leaves at most
 * one order in its engine's socket.
 */
import type {EngineOrder, EngineState, OrderResponse} from './engine-order.js';
import {ENGINE_TIMEOUT_MS} from './limits.js';

/** Answer of the engine: to an order, to a state query, or none (refused connection, reset, timeout). */
export type EngineResponse
	= | OrderResponse
		| {readonly kind: 'state'; readonly state: EngineState}
		| {readonly kind: 'no-answer'};

/** A call that the driver makes; it hands the answer back together with `token`. */
export type EngineEffect
	= | {readonly kind: 'order'; readonly token: number; readonly order: EngineOrder}
		| {readonly kind: 'read-state'; readonly token: number};

/** Receives the answer to a call. */
export type ResponseHandler = (answer: EngineResponse, now: number) => void;

type Call = {
	readonly order?: EngineOrder;
	readonly handlers: ResponseHandler[];
};

/** Queue of calls to one engine. */
export class EngineQueue {
	static create(): EngineQueue {
		return new EngineQueue();
	}

	readonly #calls: Call[] = [];
	#token = 0;
	#sentAt: number | undefined;

	/** Appends an order. */
	order(order: EngineOrder, handler: ResponseHandler): void {
		this.#calls.push({order, handlers: [handler]});
	}

	/** Appends a state query; a query that waits at the end of the queue is shared. */
	read(handler: ResponseHandler): void {
		const last = this.#calls.at(-1);
		const isWaiting = last !== undefined && last.order === undefined && (this.#calls.length > 1 || this.#sentAt === undefined);
		if (isWaiting) {
			last.handlers.push(handler);
		} else {
			this.#calls.push({handlers: [handler]});
		}
	}

	/** True if an order, not a mere state query, is waiting or under way. */
	get hasOrder(): boolean {
		return this.#calls.some(call => call.order !== undefined);
	}

	/** The next call to make, if none is under way. */
	next(now: number): EngineEffect | undefined {
		const call = this.#calls[0];
		if (call === undefined || this.#sentAt !== undefined) {
			return undefined;
		}

		this.#token += 1;
		this.#sentAt = now;
		return call.order === undefined
			? {kind: 'read-state', token: this.#token}
			: {kind: 'order', token: this.#token, order: call.order};
	}

	/** Passes an answer to its handlers. An answer to a call that has timed out is ignored. */
	answered(token: number, answer: EngineResponse, now: number): void {
		if (token !== this.#token || this.#sentAt === undefined) {
			return;
		}

		this.#sentAt = undefined;
		const call = this.#calls.shift();
		for (const handler of call?.handlers ?? []) {
			handler(answer, now);
		}
	}

	/** Gives up the call under way once it has taken too long. */
	tick(now: number): void {
		if (this.#sentAt !== undefined && now - this.#sentAt >= ENGINE_TIMEOUT_MS) {
			this.answered(this.#token, {kind: 'no-answer'}, now);
		}
	}
}
