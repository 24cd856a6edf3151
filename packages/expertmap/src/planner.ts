/**
 * Rebalancing planner: decides from observed loads which experts to copy to which ranks,
 * trading skew against moves. It keeps smoothed loads; the map in use is an input.
 */
import type {ExpertMap} from './engine-order.js';
import {searchLayer, type SearchPoint} from './layer-search.js';
import {
	validateInput, countMoves, type LayerLoad, type LayerSlots,
} from './placement.js';
import {InputError} from '#core';

/** Period of the day without moves. */
export type FixedHours = {
	/** Minute of the day, 0 to 1439, at which it begins. */
	readonly fromMinute: number;
	/** Minute of the day at which it ends; below `fromMinute` if it spans midnight. */
	readonly toMinute: number;
};

/** Settings of a planner. */
export type PlannerOptions = {
	/** Cost of one unit of skew (highest rank load divided by the mean) in one layer. */
	readonly skewWeight: number;
	/** Cost of loading one expert, in the same unit. */
	readonly moveWeight: number;
	/** Maximum number of experts loaded in one interval; default 64. */
	readonly moveBudget?: number;
	/** Consecutive intervals in which a change must be profitable before it is made; default 3. */
	readonly patience?: number;
	/** Periods of the day without moves; default none. */
	readonly fixedHours?: readonly FixedHours[];
	/** Offset from UTC of the local time of `fixedHours`, minutes; default 0. */
	readonly utcOffsetMinutes?: number;
};

/** Decision for one interval. */
export type PlanDecision
	= | {
		readonly kind: 'keep';
		readonly reason: 'no-gain' | 'waiting' | 'fixed-hours';
	}
	| {
		readonly kind: 'move';
		readonly map: ExpertMap;
		/** Number of experts to load. */
		readonly moves: number;
		/** Predicted decrease of the skew, summed over layers. */
		readonly gain: number;
	};

/** Weight of the newest observation in the exponential moving average. */
const SMOOTHING_FACTOR = 0.2;

/**
 * Share of a layer's load that must have shifted to other experts for the average to be
 * reset. Noise of 10 % for each expert accounts for about 0.04, a sudden shift for 0.1 or more.
 */
const LOAD_SHIFT_THRESHOLD = 0.08;

const DAY_MS = 86_400_000;
const MINUTE_MS = 60_000;

/** A change of one layer: `netGain` is the weighted gain minus the weighted moves, `gain` the decrease of the skew. */
type Candidate = SearchPoint & {readonly netGain: number; readonly gain: number};

/** The planner of one group. */
export class RebalancePlanner {
	/**
	 * @throws InputError for a weight, budget, patience or hour out of range.
	 */
	static create(options: PlannerOptions): RebalancePlanner {
		const {skewWeight, moveWeight, moveBudget = 64, patience = 3, fixedHours = [], utcOffsetMinutes = 0} = options;
		const isBad = [skewWeight, moveWeight, moveBudget].some(value => !Number.isFinite(value) || value < 0);
		if (isBad || !Number.isInteger(patience) || patience < 1) {
			throw new InputError('planner: weights and budget must be finite numbers of at least 0, patience a whole number of at least 1');
		}

		const minutes = fixedHours.flatMap(({fromMinute, toMinute}) => [fromMinute, toMinute]);
		const isBadMinute = minutes.some(minute => !Number.isInteger(minute) || minute < 0 || minute > 1440);
		if (isBadMinute) {
			throw new InputError('planner: fixed hours must be whole minutes from 0 to 1440');
		}

		return new RebalancePlanner({
			skewWeight, moveWeight, moveBudget, patience, fixedHours, utcOffsetMinutes,
		});
	}

	readonly #options: Required<PlannerOptions>;
	/** Smoothed load share of each expert by layer. */
	#averages: readonly LayerLoad[] = [];
	/** Number of consecutive intervals in which a change was profitable, by layer. */
	#profitableIntervals: number[] = [];

	private constructor(options: Required<PlannerOptions>) {
		this.#options = options;
	}

	/**
	 * Decides for one interval.
	 *
	 * @param map - Map in use; after a failed change, the one before it.
	 * @param load - Observed tokens per layer and expert since the last call.
	 * @param now - Wall-clock time, ms since the epoch, for the fixed hours.
	 * @throws InputError for a load that does not fit the map; the planner's state is unchanged.
	 */
	plan(map: ExpertMap, load: readonly LayerLoad[], now: number): PlanDecision {
		const slices = this.planInSlices(map, load, now);
		let slice = slices.next();
		while (slice.done !== true) {
			slice = slices.next();
		}

		return slice.value;
	}

	/**
	 * Decides like `plan`, but yields after each layer, so that a process that also serves
	 * requests can do other work in between. A run must be completed before the next one begins.
	 *
	 * @throws InputError as `plan` does, on the first call of `next`.
	 */
	* planInSlices(map: ExpertMap, load: readonly LayerLoad[], now: number): Generator<undefined, PlanDecision> {
		validateInput(map, load);
		this.#updateAverages(load);
		const best: Candidate[] = [];
		for (const [layer, slots] of map.slots.entries()) {
			best.push(this.#findBest(slots, layer, this.#options.moveBudget));
			yield;
		}

		this.#profitableIntervals = best.map((point, layer) => point.moves > 0 ? (this.#profitableIntervals[layer] ?? 0) + 1 : 0);
		if (best.every(point => point.moves === 0)) {
			return {kind: 'keep', reason: 'no-gain'};
		}

		if (this.#isInFixedHours(now)) {
			return {kind: 'keep', reason: 'fixed-hours'};
		}

		return this.#selectMoves(map, best);
	}

	#updateAverages(load: readonly LayerLoad[]): void {
		this.#averages = load.map((values, layer) => {
			const previous = this.#averages[layer];
			const total = values.reduce((sum, value) => sum + value, 0);
			const shares = values.map(value => total === 0 ? 1 / values.length : value / total);
			const isReset = previous?.length !== shares.length || totalVariation(previous, shares) > LOAD_SHIFT_THRESHOLD;
			return isReset ? shares : exponentialAverage(previous, shares, SMOOTHING_FACTOR);
		});
	}

	/** The point with the lowest cost within a budget; the current placement if no change is profitable. */
	#findBest(slots: LayerSlots, layer: number, budget: number): Candidate {
		const {skewWeight, moveWeight} = this.#options;
		const costOf = (point: SearchPoint): number => (skewWeight * point.skew) + (moveWeight * point.moves);
		const points = searchLayer(slots, this.#averages[layer] ?? [], budget, costOf);
		const start = points[0] ?? {slots, moves: 0, skew: 1};
		let best = start;
		for (const point of points) {
			best = costOf(point) < costOf(best) ? point : best;
		}

		return {...best, netGain: costOf(start) - costOf(best), gain: start.skew - best.skew};
	}

	/** Changes the layers whose changes were profitable for long enough, the most profitable first, within the budget. */
	#selectMoves(map: ExpertMap, candidates: readonly Candidate[]): PlanDecision {
		const slots = [...map.slots];
		let budget = this.#options.moveBudget;
		let gain = 0;
		let moves = 0;
		const ready = candidates.map((candidate, layer) => ({candidate, layer})).filter(({layer}) => (this.#profitableIntervals[layer] ?? 0) >= this.#options.patience);
		for (const {candidate, layer} of ready.toSorted((a, b) => b.candidate.netGain - a.candidate.netGain)) {
			const previous = map.slots[layer] ?? [];
			const point = candidate.moves <= budget ? candidate : this.#findBest(previous, layer, budget);
			if (point.moves > 0) {
				slots[layer] = point.slots;
				// Fewer than `point.moves` if the search loaded an expert and replaced it again.
				const moved = countMoves(previous, point.slots);
				budget -= moved;
				moves += moved;
				gain += point.gain;
				this.#profitableIntervals[layer] = 0;
			}
		}

		return moves === 0
			? {kind: 'keep', reason: 'waiting'}
			: {
				kind: 'move', map: {slots}, moves, gain,
			};
	}

	#isInFixedHours(now: number): boolean {
		const local = now + (this.#options.utcOffsetMinutes * MINUTE_MS);
		const minute = Math.floor((((local % DAY_MS) + DAY_MS) % DAY_MS) / MINUTE_MS);
		return this.#options.fixedHours.some(({fromMinute, toMinute}) => fromMinute <= toMinute
			? minute >= fromMinute && minute < toMinute
			: minute >= fromMinute || minute < toMinute);
	}
}

function exponentialAverage(previous: LayerLoad, next: LayerLoad, weight: number): LayerLoad {
	return previous.map((value, index) => (value * (1 - weight)) + ((next[index] ?? 0) * weight));
}

/** Total variation distance: the share of load that has shifted to other experts. */
function totalVariation(a: LayerLoad, b: LayerLoad): number {
	return a.reduce((sum, value, index) => sum + Math.abs(value - (b[index] ?? 0)), 0) / 2;
}
