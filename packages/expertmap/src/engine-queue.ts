/**
 * Orders for one engine, sent one at a time, so that a process that crashes leaves at
 * most one order in its engine's socket.
 */
import type {EngineOrder, EngineState, OrderResponse} from './engine-order.js';
import {ENGINE_TIMEOUT_MS} from './limits.js';

/** Response of the engine to an order or a state query, or none (connection refused or reset, timeout). */
export type EngineResponse
	= | OrderResponse
		| {readonly kind: 'state'; readonly state: EngineState}
		| {readonly kind: 'no-answer'};

/** A call that the driver executes; it passes the response back with the same `token`. */
export type EngineEffect
	= | {readonly kind: 'order'; readonly token: number; readonly order: EngineOrder}
		| {readonly kind: 'read-state'; readonly token: number};

/** Receives the response to a call. */
export type ResponseHandler = (response: EngineResponse, now: number) => void;

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

	/** Appends a state query, or shares one that is unsent at the end of the queue. */
	read(handler: ResponseHandler): void {
		const last = this.#calls.at(-1);
		const canShare = last !== undefined && last.order === undefined && (this.#calls.length > 1 || this.#sentAt === undefined);
		if (canShare) {
			last.handlers.push(handler);
		} else {
			this.#calls.push({handlers: [handler]});
		}
	}

	/** True if an order, as opposed to a state query, is queued or in flight. */
	get hasOrder(): boolean {
		return this.#calls.some(call => call.order !== undefined);
	}

	/** The next call to send; undefined if a call is in flight or none is queued. */
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

	/** Passes a response to its handlers. The response to a call that has timed out is ignored. */
	handleResponse(token: number, response: EngineResponse, now: number): void {
		if (token !== this.#token || this.#sentAt === undefined) {
			return;
		}

		this.#sentAt = undefined;
		const call = this.#calls.shift();
		for (const handler of call?.handlers ?? []) {
			handler(response, now);
		}
	}

	/** Completes the call in flight with `no-answer` once it has timed out. */
	tick(now: number): void {
		if (this.#sentAt !== undefined && now - this.#sentAt >= ENGINE_TIMEOUT_MS) {
			this.handleResponse(this.#token, {kind: 'no-answer'}, now);
		}
	}
}
