/**
 * Plans a better placement of experts for the load observed. Answers demand that shifts within seconds
 * while a copy costs time and money: the fewest copies that take the most from the fullest rank of each set.
 */
import {countCopies, rankLoads} from './expert-loads.js';
import type {ExpertShape, GroupMap} from './types.js';

/** Tokens by set and expert. */
export type ExpertLoad = ReadonlyArray<readonly number[]>;

/** A planned map. */
export type MapProposal = {
	readonly map: GroupMap;
	/** Experts that are copied, over all sets and ranks. */
	readonly copies: number;
	/** Load of the fullest rank over the mean, averaged over the sets: before and after. */
	readonly before: number;
	readonly after: number;
};

export type PlannerOptions = {
	/** Time of each rank for its work against a sound one; a slow rank gets less. All are sound if left out. */
	readonly paces?: readonly number[];
	/**
	 * As many copies as there are ranks must lower the fullest rank of their set by this share of a rank's mean load; smaller
	 * gains do not pay for the copies. The ranks copy side by side, and many of them are nearly as full as the fullest.
	 */
	readonly minGainPerRound: number;
};

/** Loads are compared with this tolerance, as a share of the mean. */
const TOLERANCE = 1e-6;

/** Emptiest ranks that are weighed as the target of a copy. */
const TARGET_RANKS = 6;

/** Exponent of the penalty on rank loads; high enough that the fullest rank counts most, low enough that the second fullest counts too. */
const PENALTY_POWER = 6;

/** The map that groups begin with: experts dealt to the ranks in turn. */
export function initialMap({ranks, sets, experts}: ExpertShape): GroupMap {
	const set = Array.from({length: ranks}, (_, rank) => range(experts).filter(expert => expert % ranks === rank));
	return Array.from({length: sets}, () => set);
}

/** Time of the slowest rank over the mean load, averaged over the sets; 1 without load. */
export function skewOfMap(map: GroupMap, load: ExpertLoad, paces: readonly number[] = []): number {
	const skews = map.map((placement, set) => {
		const loads = rankLoads(placement, load[set] ?? []);
		const mean = loads.reduce((sum, value) => sum + value, 0) / loads.length;
		return mean === 0 ? 1 : Math.max(...loads.map((value, rank) => value * (paces[rank] ?? 1))) / mean;
	});
	return skews.reduce((sum, value) => sum + value, 0) / Math.max(1, skews.length);
}

/** Plans a map within the limits of one change. Without a worthwhile copy the map is unchanged. */
export function planMap(map: GroupMap, load: ExpertLoad, shape: ExpertShape, options: PlannerOptions): MapProposal {
	let copies = 0;
	const next = map.map((placement, set) => {
		const search = SetSearch.create(placement, load[set] ?? [], shape, options);
		search.run();
		copies += search.copies;
		return search.placement();
	});
	return {
		map: next, copies, before: skewOfMap(map, load, options.paces), after: skewOfMap(next, load, options.paces),
	};
}

/** One change of a set: an expert comes to a rank, or leaves it, or both. */
type Move = {readonly rank: number; readonly add: number | undefined; readonly drop: number | undefined};

class SetSearch {
	static create(placement: ReadonlyArray<readonly number[]>, load: readonly number[], shape: ExpertShape, options: PlannerOptions): SetSearch {
		return new SetSearch(placement, load, shape, options);
	}

	copies = 0;
	readonly #ranks: Array<Set<number>>;
	readonly #original: ReadonlyArray<ReadonlySet<number>>;
	readonly #holders: number[];
	readonly #loads: number[];
	readonly #mean: number;
	readonly #load: readonly number[];
	readonly #shape: ExpertShape;
	readonly #options: PlannerOptions;

	private constructor(placement: ReadonlyArray<readonly number[]>, load: readonly number[], shape: ExpertShape, options: PlannerOptions) {
		this.#load = load;
		this.#shape = shape;
		this.#options = options;
		this.#ranks = placement.map(experts => new Set(experts));
		this.#original = placement.map(experts => new Set(experts));
		this.#holders = countCopies(placement, load.length);
		this.#loads = rankLoads(placement, load);
		this.#mean = this.#loads.reduce((sum, value) => sum + value, 0) / this.#loads.length;
	}

	placement(): ReadonlyArray<readonly number[]> {
		return this.#ranks.map(experts => [...experts].toSorted((a, b) => a - b));
	}

	/** Applies the best move until none pays. */
	run(): void {
		if (this.#mean <= 0) {
			return;
		}

		const most = this.#shape.ranks * this.#shape.spare * 2;
		for (let i = 0; i < most; i += 1) {
			const best = this.#bestMove();
			if (best === undefined) {
				return;
			}

			this.#apply(best);
			this.copies += best.add === undefined ? 0 : 1;
		}
	}

	#bestMove(): Move | undefined {
		const times = this.#loads.map((value, rank) => value * this.#paceOf(rank));
		const fullest = indexOfMax(times);
		const before = this.#penalty();
		const targets = range(this.#loads.length).toSorted((a, b) => times[a]! - times[b]!).slice(0, TARGET_RANKS);
		let best: Move | undefined;
		let bestPenalty = before;
		for (const add of this.#ranks[fullest]!) {
			for (const rank of targets) {
				if (this.#ranks[rank]!.has(add) || !this.#mayTake(rank, add)) {
					continue;
				}

				for (const drop of this.#dropsOf(rank, add)) {
					const penalty = this.#penaltyAfter({rank, add, drop});
					if (penalty < bestPenalty - TOLERANCE) {
						bestPenalty = penalty;
						best = {rank, add, drop};
					}
				}
			}
		}

		// A copy that other ranks hold too leaves at no cost.
		for (const drop of this.#ranks[fullest]!) {
			const move = {rank: fullest, add: undefined, drop};
			const penalty = this.#holders[drop]! > 1 ? this.#penaltyAfter(move) : bestPenalty;
			if (penalty < bestPenalty - TOLERANCE) {
				bestPenalty = penalty;
				best = move;
			}
		}

		const gain = this.#smoothMax(before) - this.#smoothMax(bestPenalty);
		return best !== undefined && gain >= this.#options.minGainPerRound / this.#shape.ranks ? best : undefined;
	}

	/** Whether a rank may still take an expert that is new to it in this change. */
	#mayTake(rank: number, add: number): boolean {
		if (this.#original[rank]!.has(add)) {
			return true;
		}

		let fresh = 0;
		for (const expert of this.#ranks[rank]!) {
			fresh += this.#original[rank]!.has(expert) ? 0 : 1;
		}

		return fresh < this.#shape.spare;
	}

	/** What may leave a rank for the new expert: nothing if there is a free place, else experts that other ranks hold too. */
	#dropsOf(rank: number, add: number): ReadonlyArray<number | undefined> {
		const experts = this.#ranks[rank]!;
		if (experts.size < this.#shape.places) {
			return [undefined];
		}

		return [...experts].filter(expert => expert !== add && this.#holders[expert]! > 1);
	}

	#penalty(): number {
		return this.#loads.reduce((sum, value, rank) => sum + ((value * this.#paceOf(rank) / this.#mean) ** PENALTY_POWER), 0) / this.#loads.length;
	}

	/** The fullest rank that a penalty stands for, as a multiple of the mean. */
	#smoothMax(penalty: number): number {
		return (penalty * this.#loads.length) ** (1 / PENALTY_POWER);
	}

	#paceOf(rank: number): number {
		return this.#options.paces?.[rank] ?? 1;
	}

	#penaltyAfter(move: Move): number {
		const undo = this.#shift(move);
		const penalty = this.#penalty();
		undo();
		return penalty;
	}

	/** Changes the loads as a move would; returns how to change them back. */
	#shift({rank, add, drop}: Move): () => void {
		const saved = [...this.#loads];
		if (add !== undefined) {
			this.#share(add, rank, 1);
		}

		if (drop !== undefined) {
			this.#share(drop, rank, -1);
		}

		return () => {
			for (const [index, value] of saved.entries()) {
				this.#loads[index] = value;
			}
		};
	}

	/** Spreads an expert's load over one holder more (`by` 1) or less (-1). */
	#share(expert: number, rank: number, by: 1 | -1): void {
		const holders = this.#holders[expert]!;
		const tokens = this.#load[expert] ?? 0;
		const [before, after] = [tokens / holders, tokens / (holders + by)];
		for (const [other, experts] of this.#ranks.entries()) {
			if (other !== rank && experts.has(expert)) {
				this.#loads[other]! += after - before;
			}
		}

		this.#loads[rank]! += by === 1 ? after : -before;
	}

	#apply(move: Move): void {
		this.#shift(move);
		const experts = this.#ranks[move.rank]!;
		if (move.add !== undefined) {
			experts.add(move.add);
			this.#holders[move.add]! += 1;
		}

		if (move.drop !== undefined) {
			experts.delete(move.drop);
			this.#holders[move.drop]! -= 1;
		}
	}
}

function indexOfMax(values: readonly number[]): number {
	let best = 0;
	for (const [index, value] of values.entries()) {
		if (value > values[best]!) {
			best = index;
		}
	}

	return best;
}

function range(length: number): number[] {
	return Array.from({length}, (_, index) => index);
}
