/**
 * Delta encoding of the counters that agents exchange. Transferring all counters of 63 ranks occupies a replica's network
 * link for most of a second; the changes since the last response take a quarter of that.
 */
import type {RankCounts} from '#rankmap';

/** Cumulative counters of a rank since it started. */
export type CountsReading = Omit<RankCounts, 'rank'>;

export type CountsResponse = {
	readonly epoch: number;
	/** Number of this response. */
	readonly tag: number;
	/** Number of the response to which `counts` are added; undefined if `counts` are the counters themselves. */
	readonly since: number | undefined;
	readonly counts: readonly number[];
};

/** Encodes the counters of the local rank. */
export class CountsEncoder {
	static create(): CountsEncoder {
		return new CountsEncoder();
	}

	#last: (CountsReading & {readonly tag: number}) | undefined;

	/** @param since - Number of the last response that the requester decoded. */
	encode({epoch, counts}: CountsReading, since: number | undefined): CountsResponse {
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

/** Decodes the responses of one encoder. */
export class CountsDecoder {
	static create(): CountsDecoder {
		return new CountsDecoder();
	}

	#last: {readonly tag: number; readonly counts: readonly number[]} | undefined;

	/** Number of the last decoded response. */
	get lastTag(): number | undefined {
		return this.#last?.tag;
	}

	/** Returns the counters after a response; undefined if the response is based on one that was not decoded last. */
	decode({epoch, tag, since, counts}: CountsResponse): CountsReading | undefined {
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
