/**
 * Plans a better placement of experts for the observed load. Demand shifts within seconds and each copy costs
 * time and money, so a greedy search makes the few copies that relieve the slowest rank of each layer set most.
 */
import {rankLoads} from './expert-loads.js';
import type {ExpertShape, GroupMap} from './types.js';

/** Tokens by layer set and expert. */
export type ExpertLoad = ReadonlyArray<readonly number[]>;

/** A planned map. */
export type MapProposal = {
	readonly map: GroupMap;
	/** Number of experts to copy, over all layer sets and ranks. */
	readonly copies: number;
	/** Skew of the current and of the planned map; see {@link skewOfMap}. */
	readonly skewBefore: number;
	readonly skewAfter: number;
};

export type PlannerOptions = {
	/** Time of each rank per unit of work relative to a healthy rank; a slow rank gets less load. Defaults to 1 for all ranks. */
	readonly paces?: readonly number[];
	/**
	 * Minimum reduction of the load of a set's slowest rank by one round of copies (one per rank of the group), as a share of the
	 * mean rank load; smaller gains do not pay for the copies. Counted by round because the ranks copy in parallel and many are
	 * almost as loaded as the slowest.
	 */
	readonly minGainPerRound: number;
	/** Maximum number of copies to one rank over all layer sets: ranks copy in parallel, and a change waits for the one with the most. Defaults to no limit. */
	readonly maxCopiesPerRank?: number;
};

/** Tolerance of comparisons, as a share of the mean load. */
const TOLERANCE = 1e-6;

/** Number of least loaded ranks considered as targets of a copy. */
const MAX_TARGET_RANKS = 6;

/** Exponent of the penalty on rank loads: high enough that the slowest rank dominates, low enough that the second slowest still counts. */
const PENALTY_POWER = 6;

/** The map with which groups start: experts assigned to the ranks round-robin. */
export function initialMap({ranks, sets, experts}: ExpertShape): GroupMap {
	const set = Array.from({length: ranks}, (_, rank) => range(experts).filter(expert => expert % ranks === rank));
	return Array.from({length: sets}, () => set);
}

/** Time of the slowest rank divided by the mean rank load, averaged over the layer sets; 1 without load. */
export function skewOfMap(map: GroupMap, load: ExpertLoad, paces: readonly number[] = []): number {
	const skews = map.map((placement, set) => {
		const loads = rankLoads(placement, load[set] ?? []);
		const mean = loads.reduce((sum, value) => sum + value, 0) / loads.length;
		return mean === 0 ? 1 : Math.max(...loads.map((value, rank) => value * (paces[rank] ?? 1))) / mean;
	});
	return skews.reduce((sum, value) => sum + value, 0) / Math.max(1, skews.length);
}

/** Plans a map within the limits of one change. The map is unchanged if no copy gains enough. */
export function planMap(map: GroupMap, load: ExpertLoad, shape: ExpertShape, options: PlannerOptions): MapProposal {
	const copiesByRank = Array.from({length: shape.ranks}, () => 0);
	const next = map.map((placement, set) => {
		const search = LayerSetSearch.create(placement, load[set] ?? [], shape, {...options, copiesByRank});
		search.run();
		for (const [rank, count] of search.copiesByRank().entries()) {
			copiesByRank[rank]! += count;
		}

		return search.placement();
	});
	const copies = copiesByRank.reduce((sum, count) => sum + count, 0);
	return {
		map: next, copies, skewBefore: skewOfMap(map, load, options.paces), skewAfter: skewOfMap(next, load, options.paces),
	};
}

/** One change of a layer set: adds an expert to a rank, drops one from it, or both. */
type Move = {readonly rank: number; readonly add: number | undefined; readonly drop: number | undefined};

/** Options of the search for one layer set, with the copies that the sets before it need. */
type SearchOptions = PlannerOptions & {readonly copiesByRank: readonly number[]};

/** Greedy search for a better placement of one layer set. */
class LayerSetSearch {
	static create(placement: ReadonlyArray<readonly number[]>, load: readonly number[], shape: ExpertShape, options: SearchOptions): LayerSetSearch {
		return new LayerSetSearch(placement, load, shape, options);
	}

	readonly #expertsByRank: Array<Set<number>>;
	/** Ranks that hold each expert. */
	readonly #holders: ReadonlyArray<Set<number>>;
	readonly #original: ReadonlyArray<ReadonlySet<number>>;
	readonly #loads: number[];
	readonly #mean: number;
	readonly #load: readonly number[];
	readonly #shape: ExpertShape;
	readonly #options: SearchOptions;

	private constructor(placement: ReadonlyArray<readonly number[]>, load: readonly number[], shape: ExpertShape, options: SearchOptions) {
		this.#load = load;
		this.#shape = shape;
		this.#options = options;
		this.#expertsByRank = placement.map(experts => new Set(experts));
		this.#original = placement.map(experts => new Set(experts));
		this.#holders = Array.from({length: load.length}, () => new Set<number>());
		for (const [rank, experts] of placement.entries()) {
			for (const expert of experts) {
				this.#holders[expert]?.add(rank);
			}
		}

		this.#loads = rankLoads(placement, load);
		this.#mean = this.#loads.reduce((sum, value) => sum + value, 0) / this.#loads.length;
	}

	placement(): ReadonlyArray<readonly number[]> {
		return this.#expertsByRank.map(experts => [...experts].toSorted((a, b) => a - b));
	}

	/** Number of experts that are new to each rank. */
	copiesByRank(): readonly number[] {
		return this.#expertsByRank.map((_, rank) => this.#countNew(rank));
	}

	/** Applies the best move repeatedly until no move gains enough. */
	run(): void {
		if (this.#mean <= 0) {
			return;
		}

		const maxMoves = this.#shape.ranks * this.#shape.spare * 2;
		for (let i = 0; i < maxMoves; i += 1) {
			const best = this.#findBestMove();
			if (best === undefined) {
				return;
			}

			this.#apply(best);
		}
	}

	#findBestMove(): Move | undefined {
		const times = this.#loads.map((value, rank) => value * this.#paceOf(rank));
		const slowest = indexOfMax(times);
		const before = this.#loads.reduce((sum, _, rank) => sum + this.#penaltyOf(rank, this.#loads[rank]!), 0);
		const targets = range(this.#loads.length).filter(rank => this.#canCopyTo(rank)).toSorted((a, b) => times[a]! - times[b]!).slice(0, MAX_TARGET_RANKS);
		let best: Move | undefined;
		let bestPenalty = before;
		for (const add of this.#expertsByRank[slowest]!) {
			for (const rank of targets) {
				if (this.#expertsByRank[rank]!.has(add) || !this.#canAdd(rank, add)) {
					continue;
				}

				for (const drop of this.#findDropCandidates(rank, add)) {
					const penalty = before + this.#penaltyChange({rank, add, drop});
					if (penalty < bestPenalty - (TOLERANCE * this.#loads.length)) {
						bestPenalty = penalty;
						best = {rank, add, drop};
					}
				}
			}
		}

		// Dropping an expert that other ranks hold too costs nothing.
		for (const drop of this.#expertsByRank[slowest]!) {
			const move = {rank: slowest, add: undefined, drop};
			const penalty = this.#holders[drop]!.size > 1 ? before + this.#penaltyChange(move) : bestPenalty;
			if (penalty < bestPenalty - (TOLERANCE * this.#loads.length)) {
				bestPenalty = penalty;
				best = move;
			}
		}

		const gain = this.#smoothMax(before) - this.#smoothMax(bestPenalty);
		return best !== undefined && gain >= this.#options.minGainPerRound / this.#shape.ranks ? best : undefined;
	}

	/** Whether a rank may still take an expert in this change; limits those that are new to it. */
	#canAdd(rank: number, add: number): boolean {
		return this.#original[rank]!.has(add) || this.#canCopyTo(rank);
	}

	#canCopyTo(rank: number): boolean {
		const {copiesByRank, maxCopiesPerRank = Infinity} = this.#options;
		const added = this.#countNew(rank);
		return added < this.#shape.spare && copiesByRank[rank]! + added < maxCopiesPerRank;
	}

	#countNew(rank: number): number {
		let added = 0;
		for (const expert of this.#expertsByRank[rank]!) {
			added += this.#original[rank]!.has(expert) ? 0 : 1;
		}

		return added;
	}

	/** Experts that a rank may drop for the new one: none needed if a place is free, else those that other ranks hold too. */
	#findDropCandidates(rank: number, add: number): ReadonlyArray<number | undefined> {
		const experts = this.#expertsByRank[rank]!;
		if (experts.size < this.#shape.places) {
			return [undefined];
		}

		return [...experts].filter(expert => expert !== add && this.#holders[expert]!.size > 1);
	}

	/** Penalty of one rank with a load. */
	#penaltyOf(rank: number, load: number): number {
		return (load * this.#paceOf(rank) / this.#mean) ** PENALTY_POWER;
	}

	/** Approximate time of the slowest rank for the sum of all penalties, as a multiple of the mean load. */
	#smoothMax(penalty: number): number {
		return penalty ** (1 / PENALTY_POWER);
	}

	#paceOf(rank: number): number {
		return this.#options.paces?.[rank] ?? 1;
	}

	/** Change of the sum of all penalties by a move. Only the ranks that hold an expert of the move count: groups have up to some hundred ranks. */
	#penaltyChange(move: Move): number {
		let change = 0;
		for (const [rank, load] of this.#loadsAfter(move)) {
			change += this.#penaltyOf(rank, load) - this.#penaltyOf(rank, this.#loads[rank]!);
		}

		return change;
	}

	/** New loads of the ranks that a move affects. */
	#loadsAfter({rank, add, drop}: Move): ReadonlyMap<number, number> {
		const loads = new Map<number, number>();
		if (add !== undefined) {
			this.#redistribute(loads, add, rank, 1);
		}

		if (drop !== undefined) {
			this.#redistribute(loads, drop, rank, -1);
		}

		return loads;
	}

	/** Redistributes the load of an expert when a rank gains (`by` 1) or loses (-1) a copy; updates `loads`. */
	#redistribute(loads: Map<number, number>, expert: number, rank: number, by: 1 | -1): void {
		const holders = this.#holders[expert]!;
		const tokens = this.#load[expert] ?? 0;
		const [before, after] = [tokens / holders.size, tokens / (holders.size + by)];
		for (const other of holders) {
			if (other !== rank) {
				loads.set(other, (loads.get(other) ?? this.#loads[other]!) + after - before);
			}
		}

		loads.set(rank, (loads.get(rank) ?? this.#loads[rank]!) + (by === 1 ? after : -before));
	}

	#apply(move: Move): void {
		for (const [rank, load] of this.#loadsAfter(move)) {
			this.#loads[rank] = load;
		}

		const experts = this.#expertsByRank[move.rank]!;
		if (move.add !== undefined) {
			experts.add(move.add);
			this.#holders[move.add]!.add(move.rank);
		}

		if (move.drop !== undefined) {
			experts.delete(move.drop);
			this.#holders[move.drop]!.delete(move.rank);
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
