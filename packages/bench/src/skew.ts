/**
 * Measures step-time skew and the cost of moves for three policies (static spread,
 * greedy re-plan, planner) under festival drift and storm swings.
 */
import {ExpertLoadSource, type ExpertLoadKind} from './workloads/expert-load.js';
import {
	countMoves, greedyPlan, relabelRanks, rankLoads, RebalancePlanner, skewLowerBound, skewOf, createEvenPlacement,
	type ExpertMap, type PlannerOptions,
} from '#expertmap';

/** Settings of the measurement; each has a default. */
export type SkewBenchOptions = {
	readonly seed?: number;
	readonly layers?: number;
	readonly ranks?: number;
	readonly experts?: number;
	readonly slotsPerRank?: number;
	/** Hours of simulated time for each workload. */
	readonly hours?: number;
	/** Experts that the weight store delivers in one second. */
	readonly expertsPerSecond?: number;
	/** Share by which a step is slower while a rank loads weights. */
	readonly loadSlowdown?: number;
	/** Spread of the noise on observed loads. */
	readonly noise?: number;
};

/** Result of one policy. */
export type PolicyResult = {
	readonly policy: 'static' | 'greedy' | 'greedy-matched' | 'planner';
	/** Slowest rank over mean, mean over layers and intervals. */
	readonly meanSkew: number;
	/** 95th percentile over intervals of the mean over layers. */
	readonly p95Skew: number;
	/** Experts loaded. */
	readonly moves: number;
	/** Steps with at least one loading rank, times tokens in a step, times the slowdown. */
	readonly delayedTokenSteps: number;
};

/** Result of one workload. */
export type WorkloadResult = {
	readonly workload: ExpertLoadKind;
	readonly intervals: number;
	readonly policies: readonly PolicyResult[];
	/** Mean over layers and intervals of the bound for any placement. */
	readonly lowerBound: number;
	/** Planner's gain in mean skew over static, as a share of greedy's; target at least 0.9. */
	readonly gainShare: number;
	/** Planner's moves as a share of greedy's; target at most 0.1. */
	readonly moveShare: number;
};

/** Result of the measurement. */
export type SkewBenchResult = {
	readonly seed: number;
	readonly workloads: readonly WorkloadResult[];
};

/** A deployment: its load, the interval of the planner and its weights. */
type Deployment = {
	readonly kind: ExpertLoadKind;
	readonly intervalMs: number;
	readonly planner: PlannerOptions;
};

/** Readings at 06:00, 12:00 and 18:00: nothing moves from a quarter of an hour before to a quarter after. */
const READINGS = [6, 12, 18].map(hour => ({fromMinute: (hour * 60) - 15, toMinute: (hour * 60) + 15}));

/** Weights of the deployments: one loaded expert is worth this much skew in one layer. */
export const DEPLOYMENTS: readonly Deployment[] = [
	{kind: 'festival', intervalMs: 300_000, planner: {skewWeight: 1, moveWeight: 0.02, fixedHours: READINGS}},
	{kind: 'storm', intervalMs: 60_000, planner: {skewWeight: 4, moveWeight: 0.02}},
];

/** Tokens in one step of a group, and the step's length without skew. */
const TOKENS_PER_STEP = 4096;
const STEP_MS = 50;

type Setup = Required<SkewBenchOptions>;

/** Returns the map for the next interval, given the one in force and the load observed in the interval before. */
type Policy = (map: ExpertMap, observed: ReadonlyArray<readonly number[]>, now: number) => ExpertMap;

/** Runs both workloads with all policies on the same loads. */
export function runSkewBench(options: SkewBenchOptions = {}): SkewBenchResult {
	const setup: Setup = {
		seed: 1, layers: 4, ranks: 64, experts: 64, slotsPerRank: 2, hours: 48, expertsPerSecond: 20, loadSlowdown: 0.1, noise: 0.05, ...options,
	};
	return {seed: setup.seed, workloads: DEPLOYMENTS.map(deployment => runWorkload(setup, deployment))};
}

function runWorkload(setup: Setup, deployment: Deployment): WorkloadResult {
	const planner = RebalancePlanner.create(deployment.planner);
	const greedy: Policy = (_, observed) => ({slots: observed.map(load => greedyPlan(load, setup.ranks, setup.slotsPerRank))});
	const policies: Readonly<Record<PolicyResult['policy'], Policy>> = {
		static: map => map,
		greedy,
		'greedy-matched': (map, observed, now) => ({
			slots: greedy(map, observed, now).slots.map((slots, layer) => relabelRanks(map.slots[layer] ?? [], slots)),
		}),
		planner(map, observed, now) {
			const decision = planner.plan(map, observed, now);
			return decision.kind === 'move' ? decision.map : map;
		},
	};
	const results = Object.entries(policies).map(([name, policy]) => runPolicy(setup, deployment, name as PolicyResult['policy'], policy));
	const [still, best, , ours] = results;
	const intervals = Math.floor(setup.hours * 3_600_000 / deployment.intervalMs);
	return {
		workload: deployment.kind,
		intervals,
		policies: results,
		lowerBound: lowerBound(setup, deployment, intervals),
		gainShare: ((still?.meanSkew ?? 0) - (ours?.meanSkew ?? 0)) / ((still?.meanSkew ?? 0) - (best?.meanSkew ?? 0)),
		moveShare: (ours?.moves ?? 0) / (best?.moves ?? 0),
	};
}

function createSource(setup: Setup, deployment: Deployment): ExpertLoadSource {
	const {seed, layers, experts, noise} = setup;
	return ExpertLoadSource.create({
		kind: deployment.kind, seed, layers, experts, noise, intervalMs: deployment.intervalMs, tokensPerStep: TOKENS_PER_STEP,
	});
}

function runPolicy(setup: Setup, deployment: Deployment, name: PolicyResult['policy'], policy: Policy): PolicyResult {
	const source = createSource(setup, deployment);
	const spread = createEvenPlacement(setup.experts, setup.ranks, setup.slotsPerRank);
	const {intervalMs} = deployment;
	const intervals = Math.floor(setup.hours * 3_600_000 / intervalMs);
	const skews: number[] = [];
	let map: ExpertMap = {slots: Array.from({length: setup.layers}, () => spread)};
	let moves = 0;
	let loadingMs = 0;
	for (let interval = 1; interval < intervals; interval++) {
		// The report lags by one interval.
		const next = policy(map, source.observe(interval - 1), interval * intervalMs);
		const moved = movesBetween(map, next);
		const waitMs = Math.min(intervalMs, moved * 1000 / setup.expertsPerSecond);
		const load = source.trueLoad(interval);
		// The old map serves until the weights are loaded.
		const share = waitMs / intervalMs;
		skews.push((share * meanSkew(map, load)) + ((1 - share) * meanSkew(next, load)));
		moves += moved;
		loadingMs += waitMs;
		map = next;
	}

	return {
		policy: name,
		meanSkew: skews.reduce((sum, skew) => sum + skew, 0) / skews.length,
		p95Skew: skews.toSorted((a, b) => a - b)[Math.floor(skews.length * 0.95)] ?? 1,
		moves,
		delayedTokenSteps: Math.round(loadingMs / STEP_MS * TOKENS_PER_STEP * setup.loadSlowdown),
	};
}

function movesBetween(from: ExpertMap, to: ExpertMap): number {
	return to.slots.reduce((sum, slots, layer) => sum + countMoves(from.slots[layer] ?? [], slots), 0);
}

function meanSkew(map: ExpertMap, load: ReadonlyArray<readonly number[]>): number {
	return load.reduce((sum, layer, index) => sum + skewOf(rankLoads(map.slots[index] ?? [], layer)), 0) / load.length;
}

function lowerBound(setup: Setup, deployment: Deployment, intervals: number): number {
	const source = createSource(setup, deployment);
	let sum = 0;
	for (let interval = 1; interval < intervals; interval++) {
		sum += source.trueLoad(interval).reduce((total, load) => total + skewLowerBound(load, setup.ranks, setup.slotsPerRank), 0) / setup.layers;
	}

	return sum / (intervals - 1);
}
