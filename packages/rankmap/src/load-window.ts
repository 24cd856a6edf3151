/** Computes the recent load of a group from the cumulative counters of all ranks. */
import type {ExpertLoad} from './set-planner.js';

/** Cumulative counters of one rank since it started. */
export type RankCounts = {
	readonly rank: number;
	readonly epoch: number;
	/** Tokens by layer set and expert, flattened set by set. */
	readonly counts: readonly number[];
};

/** Total variation distance between what was counted last and before, in [0, 1], above which demand has shifted. */
const SHIFT_DISTANCE = 0.15;

/** Minimum tokens per expert in a reading that may show a shift; with fewer, chance alone makes such distances. */
const MIN_TOKENS_PER_EXPERT = 100;

export class LoadWindow {
	/**
	 * @param decayFactor - Factor applied to the previous sums each time that readings are added, in [0, 1).
	 */
	static create(sets: number, experts: number, decayFactor: number): LoadWindow {
		return new LoadWindow(sets, experts, decayFactor);
	}

	readonly #previous = new Map<number, RankCounts>();
	#sums: number[];
	#isShifting = false;
	readonly #sets: number;
	readonly #experts: number;
	readonly #decayFactor: number;

	private constructor(sets: number, experts: number, decayFactor: number) {
		this.#sets = sets;
		this.#experts = experts;
		this.#decayFactor = decayFactor;
		this.#sums = Array.from({length: sets * experts}, () => 0);
	}

	/** Whether the newest readings may mix the demand before and after a shift. */
	get isShifting(): boolean {
		return this.#isShifting;
	}

	/** Adds what the ranks counted since the last call. The first reading of a rank after a restart only sets a new baseline. */
	add(readings: readonly RankCounts[]): void {
		const counted = this.#countSinceLast(readings);
		// What was counted before a shift says nothing about the demand after it.
		const isOutdated = this.#isShifting || this.#hasShifted(counted);
		this.#isShifting = isOutdated && !this.#isShifting;
		this.#sums = isOutdated ? counted : counted.map((value, index) => value + (this.#sums[index]! * this.#decayFactor));
	}

	/** Decayed tokens by layer set and expert. */
	load(): ExpertLoad {
		return Array.from({length: this.#sets}, (_, set) => this.#sums.slice(set * this.#experts, (set + 1) * this.#experts));
	}

	/** Decayed tokens over all layer sets. */
	total(): number {
		return sumOf(this.#sums);
	}

	#countSinceLast(readings: readonly RankCounts[]): number[] {
		const counted = Array.from({length: this.#sums.length}, () => 0);
		for (const current of readings) {
			const previous = this.#previous.get(current.rank);
			this.#previous.set(current.rank, current);
			if (previous?.epoch !== current.epoch || current.counts.length !== counted.length) {
				continue;
			}

			for (const [index, value] of current.counts.entries()) {
				counted[index]! += Math.max(0, value - (previous.counts[index] ?? 0));
			}
		}

		return counted;
	}

	#hasShifted(counted: readonly number[]): boolean {
		const [total, totalBefore] = [sumOf(counted), this.total()];
		if (total < counted.length * MIN_TOKENS_PER_EXPERT || totalBefore < counted.length * MIN_TOKENS_PER_EXPERT) {
			return false;
		}

		return counted.reduce((sum, value, index) => sum + Math.abs((value / total) - (this.#sums[index]! / totalBefore)), 0) / 2 > SHIFT_DISTANCE;
	}
}

function sumOf(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0);
}
