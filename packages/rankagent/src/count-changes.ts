/**
 * Counters as they go between agents. Answers groups of many ranks: all counters of 63 ranks fill a replica's link for
 * most of a second, what changed since the last answer takes a quarter of that.
 */
import type {RankCounts} from '#rankmap';

/** Counters of a rank since it started. */
export type CountsReading = Omit<RankCounts, 'rank'>;

export type CountsAnswer = {
	readonly epoch: number;
	/** Names this answer. */
	readonly tag: number;
	/** Answer that `counts` are added to; undefined if they are the counters themselves. */
	readonly since: number | undefined;
	readonly counts: readonly number[];
};

/** The side that has the counters. */
export class CountsSender {
	static create(): CountsSender {
		return new CountsSender();
	}

	#last: (CountsReading & {readonly tag: number}) | undefined;

	/** @param since - Last answer that the asker took. */
	answer({epoch, counts}: CountsReading, since: number | undefined): CountsAnswer {
		const last = this.#last;
		const tag = (last?.tag ?? 0) + 1;
		this.#last = {epoch, counts, tag};
		const isContinued = last !== undefined && last.tag === since && last.epoch === epoch && last.counts.length === counts.length;
		return isContinued
			? {
				epoch, tag, since, counts: counts.map((value, index) => value - last.counts[index]!),
			}
			: {
				epoch, tag, since: undefined, counts,
			};
	}
}

/** The side that asks. */
export class CountsReceiver {
	static create(): CountsReceiver {
		return new CountsReceiver();
	}

	#last: {readonly tag: number; readonly counts: readonly number[]} | undefined;

	/** Last answer that was taken. */
	get since(): number | undefined {
		return this.#last?.tag;
	}

	/** The counters after an answer; undefined if it follows on one that is not known. */
	take({epoch, tag, since, counts}: CountsAnswer): CountsReading | undefined {
		const last = this.#last;
		if (since !== undefined && last?.tag !== since) {
			this.#last = undefined;
			return undefined;
		}

		const sums = since === undefined ? counts : counts.map((value, index) => value + last!.counts[index]!);
		this.#last = {tag, counts: sums};
		return {epoch, counts: sums};
	}
}
