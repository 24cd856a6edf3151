/** Computes the recent load of a group from the cumulative counters of all ranks. */
import type {ExpertLoad} from './set-planner.js';

/** Cumulative counters of one rank since it started. */
export type RankCounts = {
	readonly rank: number;
	readonly epoch: number;
	/** Tokens by layer set and expert, flattened set by set. */
	readonly counts: readonly number[];
};

export class LoadWindow {
	/**
	 * @param decayFactor - Factor applied to the previous sums each time that readings are added, in [0, 1).
	 */
	static create(sets: number, experts: number, decayFactor: number): LoadWindow {
		return new LoadWindow(sets, experts, decayFactor);
	}

	readonly #previous = new Map<number, RankCounts>();
	#sums: number[];
	readonly #sets: number;
	readonly #experts: number;
	readonly #decayFactor: number;

	private constructor(sets: number, experts: number, decayFactor: number) {
		this.#sets = sets;
		this.#experts = experts;
		this.#decayFactor = decayFactor;
		this.#sums = Array.from({length: sets * experts}, () => 0);
	}

	/** Adds what the ranks counted since the last call. The first reading of a rank after a restart only sets a new baseline. */
	add(readings: readonly RankCounts[]): void {
		this.#sums = this.#sums.map(value => value * this.#decayFactor);
		for (const current of readings) {
			const previous = this.#previous.get(current.rank);
			this.#previous.set(current.rank, current);
			if (previous?.epoch !== current.epoch || current.counts.length !== this.#sums.length) {
				continue;
			}

			for (const [index, value] of current.counts.entries()) {
				this.#sums[index]! += Math.max(0, value - (previous.counts[index] ?? 0));
			}
		}
	}

	/** Decayed tokens by layer set and expert. */
	load(): ExpertLoad {
		return Array.from({length: this.#sets}, (_, set) => this.#sums.slice(set * this.#experts, (set + 1) * this.#experts));
	}

	/** Decayed tokens over all layer sets. */
	total(): number {
		return this.#sums.reduce((sum, value) => sum + value, 0);
	}
}
