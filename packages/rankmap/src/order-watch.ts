/**
 * Whether a switch is worth beginning. Answers times in which orders get no answer and act seconds later: a group that is
 * held waits for each such order to be given again, and every stream pauses meanwhile.
 */

/** Orders are remembered for so long, in ms: such times last some seconds. */
const MEMORY_MS = 4000;

/** Share of unanswered orders from which they count as unreliable; in groups of 63 ranks up to a tenth is late at busy machines. */
const UNRELIABLE_SHARE = 0.2;

/** Orders that are needed to tell. */
const MIN_ORDERS = 8;

export class OrderWatch {
	static create(): OrderWatch {
		return new OrderWatch();
	}

	readonly #orders: Array<{readonly at: number; readonly isAnswered: boolean}> = [];

	/** Notes an order at `now` (steady ms). */
	note(isAnswered: boolean, now: number): void {
		this.#orders.push({at: now, isAnswered});
	}

	/** Whether many of the latest orders up to `now` (steady ms) got no answer. */
	isUnreliable(now: number): boolean {
		while (this.#orders.length > 0 && now - this.#orders[0]!.at > MEMORY_MS) {
			this.#orders.shift();
		}

		const unanswered = this.#orders.filter(({isAnswered}) => !isAnswered).length;
		return this.#orders.length >= MIN_ORDERS && unanswered > this.#orders.length * UNRELIABLE_SHARE;
	}
}
