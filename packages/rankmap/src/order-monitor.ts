/**
 * Tracks the share of unanswered orders, to decide whether a switch should begin. At times, orders get no response and take
 * effect seconds later: a held group then waits until each such order has been sent again, and all its streams pause.
 */

/** Length of the sliding window, in ms: periods with unanswered orders last a few seconds. */
const WINDOW_MS = 4000;

/** Orders are unreliable if more than this share got no response; in groups of 63 ranks, busy machines delay up to a tenth of the responses. */
const UNRELIABLE_SHARE = 0.2;

/** Minimum number of orders in the window for a verdict. */
const MIN_ORDERS = 8;

export class OrderMonitor {
	static create(): OrderMonitor {
		return new OrderMonitor();
	}

	readonly #orders: Array<{readonly at: number; readonly isAnswered: boolean}> = [];

	/** Records an order at `now` (monotonic ms). */
	record(isAnswered: boolean, now: number): void {
		this.#orders.push({at: now, isAnswered});
	}

	/** Whether too many orders of the window that ends at `now` (monotonic ms) got no response. */
	isUnreliable(now: number): boolean {
		while (this.#orders.length > 0 && now - this.#orders[0]!.at > WINDOW_MS) {
			this.#orders.shift();
		}

		const unanswered = this.#orders.filter(({isAnswered}) => !isAnswered).length;
		return this.#orders.length >= MIN_ORDERS && unanswered > this.#orders.length * UNRELIABLE_SHARE;
	}
}
