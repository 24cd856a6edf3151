/**
 * Measures step-time skew and the cost of moves for the rebalancing policies (static placement,
 * greedy re-plan, planner) under a slow drift (festival) and sudden jumps (storm) of the load.
 */
import {ExpertLoadSource, type ExpertLoadKind} from './workloads/expert-load.js';
import {
	countMoves, greedyPlan, relabelRanks, rankLoads, RebalancePlanner, skewLowerBound, skewOf, createEvenPlacement,
	type ExpertMap, type PlannerOptions,
} from '#expertmap';

/** Parameters of the simulation; each has a default. */
export type SkewBenchOptions = {
	readonly seed?: number;
	readonly layers?: number;
	readonly ranks?: number;
	readonly experts?: number;
	readonly slotsPerRank?: number;
	/** Hours of simulated time for each workload. */
	readonly hours?: number;
	/** Number of experts that the weight store delivers per second. */
	readonly expertsPerSecond?: number;
	/** Fraction by which a step is slower while a rank loads weights. */
	readonly loadSlowdown?: number;
	/** Standard deviation of the noise on observed loads, as a fraction of each load. */
	readonly noise?: number;
};

/** Result of one policy. */
export type PolicyResult = {
	readonly policy: 'static' | 'greedy' | 'greedy-matched' | 'planner';
	/** Load of the slowest rank divided by the mean, averaged over layers and intervals. */
	readonly meanSkew: number;
	/** 95th percentile over intervals of the skew averaged over layers. */
	readonly p95Skew: number;
	/** Number of experts loaded. */
	readonly moves: number;
	/** Steps with at least one rank that loads weights, times tokens per step, times the slowdown. */
	readonly delayedTokenSteps: number;
};

/** Result of one workload. */
export type WorkloadResult = {
	readonly workload: ExpertLoadKind;
	readonly intervals: number;
	readonly policies: readonly PolicyResult[];
	/** Lower bound of the skew for any placement, averaged over layers and intervals. */
	readonly lowerBound: number;
	/** The planner's reduction of mean skew relative to static, as a fraction of that of greedy; the target is at least 0.9. */
	readonly gainShare: number;
	/** The planner's moves as a fraction of those of greedy; the target is at most 0.1. */
	readonly moveShare: number;
};

/** Result of the measurement. */
export type SkewBenchResult = {
	readonly seed: number;
	readonly workloads: readonly WorkloadResult[];
};

/** A deployment: its kind of load, and the interval and weights of its planner. */
type Deployment = {
	readonly kind: ExpertLoadKind;
	readonly intervalMs: number;
	readonly planner: PlannerOptions;
};

/** Periods without moves: from 15 minutes before to 15 minutes after the readings at 06:00, 12:00 and 18:00. */
const READING_WINDOWS = [6, 12, 18].map(hour => ({fromMinute: (hour * 60) - 15, toMinute: (hour * 60) + 15}));

/** Deployments; `moveWeight` is the cost of one loaded expert, on the scale of `skewWeight` times the skew of one layer. */
export const DEPLOYMENTS: readonly Deployment[] = [
	{kind: 'festival', intervalMs: 300_000, planner: {skewWeight: 1, moveWeight: 0.02, fixedHours: READING_WINDOWS}},
	{kind: 'storm', intervalMs: 60_000, planner: {skewWeight: 4, moveWeight: 0.02}},
];

/** Tokens in one step of a group, and the step's duration without skew. */
const TOKENS_PER_STEP = 4096;
const STEP_MS = 50;

type Settings = Required<SkewBenchOptions>;

/** Returns the map for the next interval, given the current map and the load observed in the previous interval. */
type Policy = (map: ExpertMap, observed: ReadonlyArray<readonly number[]>, now: number) => ExpertMap;

/** Runs both workloads with all policies on the same loads. */
export function runSkewBench(options: SkewBenchOptions = {}): SkewBenchResult {
	const settings: Settings = {
		seed: 1, layers: 4, ranks: 64, experts: 64, slotsPerRank: 2, hours: 48, expertsPerSecond: 20, loadSlowdown: 0.1, noise: 0.05, ...options,
	};
	return {seed: settings.seed, workloads: DEPLOYMENTS.map(deployment => runWorkload(settings, deployment))};
}

function runWorkload(settings: Settings, deployment: Deployment): WorkloadResult {
	const planner = RebalancePlanner.create(deployment.planner);
	const greedy: Policy = (_, observed) => ({slots: observed.map(load => greedyPlan(load, settings.ranks, settings.slotsPerRank))});
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
	const results = Object.entries(policies).map(([name, policy]) => runPolicy(settings, deployment, name as PolicyResult['policy'], policy));
	const [staticResult, greedyResult, , plannerResult] = results;
	const intervals = Math.floor(settings.hours * 3_600_000 / deployment.intervalMs);
	return {
		workload: deployment.kind,
		intervals,
		policies: results,
		lowerBound: meanLowerBound(settings, deployment, intervals),
		gainShare: ((staticResult?.meanSkew ?? 0) - (plannerResult?.meanSkew ?? 0)) / ((staticResult?.meanSkew ?? 0) - (greedyResult?.meanSkew ?? 0)),
		moveShare: (plannerResult?.moves ?? 0) / (greedyResult?.moves ?? 0),
	};
}

function createSource(settings: Settings, deployment: Deployment): ExpertLoadSource {
	const {seed, layers, experts, noise} = settings;
	return ExpertLoadSource.create({
		kind: deployment.kind, seed, layers, experts, noise, intervalMs: deployment.intervalMs, tokensPerStep: TOKENS_PER_STEP,
	});
}

function runPolicy(settings: Settings, deployment: Deployment, name: PolicyResult['policy'], policy: Policy): PolicyResult {
	const source = createSource(settings, deployment);
	const evenPlacement = createEvenPlacement(settings.experts, settings.ranks, settings.slotsPerRank);
	const {intervalMs} = deployment;
	const intervals = Math.floor(settings.hours * 3_600_000 / intervalMs);
	const skews: number[] = [];
	let map: ExpertMap = {slots: Array.from({length: settings.layers}, () => evenPlacement)};
	let moves = 0;
	let loadingMs = 0;
	for (let interval = 1; interval < intervals; interval++) {
		// Observed loads lag by one interval.
		const next = policy(map, source.observe(interval - 1), interval * intervalMs);
		const moveCount = countMapMoves(map, next);
		const loadMs = Math.min(intervalMs, moveCount * 1000 / settings.expertsPerSecond);
		const load = source.trueLoad(interval);
		// The old map is used until the weights are loaded.
		const oldMapShare = loadMs / intervalMs;
		skews.push((oldMapShare * meanSkew(map, load)) + ((1 - oldMapShare) * meanSkew(next, load)));
		moves += moveCount;
		loadingMs += loadMs;
		map = next;
	}

	return {
		policy: name,
		meanSkew: skews.reduce((sum, skew) => sum + skew, 0) / skews.length,
		p95Skew: skews.toSorted((a, b) => a - b)[Math.floor(skews.length * 0.95)] ?? 1,
		moves,
		delayedTokenSteps: Math.round(loadingMs / STEP_MS * TOKENS_PER_STEP * settings.loadSlowdown),
	};
}

function countMapMoves(from: ExpertMap, to: ExpertMap): number {
	return to.slots.reduce((sum, slots, layer) => sum + countMoves(from.slots[layer] ?? [], slots), 0);
}

function meanSkew(map: ExpertMap, load: ReadonlyArray<readonly number[]>): number {
	return load.reduce((sum, layer, index) => sum + skewOf(rankLoads(map.slots[index] ?? [], layer)), 0) / load.length;
}

function meanLowerBound(settings: Settings, deployment: Deployment, intervals: number): number {
	const source = createSource(settings, deployment);
	let sum = 0;
	for (let interval = 1; interval < intervals; interval++) {
		sum += source.trueLoad(interval).reduce((total, load) => total + skewLowerBound(load, settings.ranks, settings.slotsPerRank), 0) / settings.layers;
	}

	return sum / (intervals - 1);
}
