/** Turns the counters of all ranks into the load of a group in the latest moments. */
import type {ExpertLoad} from './set-planner.js';

/** Counters of one rank since it started. */
export type RankCounts = {
	readonly rank: number;
	readonly epoch: number;
	/** Tokens by set and expert, one set after the other. */
	readonly counts: readonly number[];
};

export class LoadWindow {
	/**
	 * @param keep - Share of the former window that stays when a new one is added, in [0, 1).
	 */
	static create(sets: number, experts: number, keep: number): LoadWindow {
		return new LoadWindow(sets, experts, keep);
	}

	readonly #last = new Map<number, RankCounts>();
	#sums: number[];
	readonly #sets: number;
	readonly #experts: number;
	readonly #keep: number;

	private constructor(sets: number, experts: number, keep: number) {
		this.#sets = sets;
		this.#experts = experts;
		this.#keep = keep;
		this.#sums = Array.from({length: sets * experts}, () => 0);
	}

	/** Adds what all ranks counted since the last call. A rank that started again only sets its new base. */
	add(all: readonly RankCounts[]): void {
		this.#sums = this.#sums.map(value => value * this.#keep);
		for (const current of all) {
			const former = this.#last.get(current.rank);
			this.#last.set(current.rank, current);
			if (former?.epoch !== current.epoch || current.counts.length !== this.#sums.length) {
				continue;
			}

			for (const [index, value] of current.counts.entries()) {
				this.#sums[index]! += Math.max(0, value - (former.counts[index] ?? 0));
			}
		}
	}

	/** Tokens by set and expert. */
	load(): ExpertLoad {
		return Array.from({length: this.#sets}, (_, set) => this.#sums.slice(set * this.#experts, (set + 1) * this.#experts));
	}

	/** Tokens of the window over all sets. */
	total(): number {
		return this.#sums.reduce((sum, value) => sum + value, 0);
	}
}
