/** Part of the benchmark that compares step-time skew and cost of moves of the planner with its baselines. */
import type {BenchContext, BenchPart, BenchResult} from './part.js';
import {runSkewBench, type SkewBenchResult, type WorkloadResult} from './skew.js';

function workloadRows({workload, policies, lowerBound}: WorkloadResult): ReadonlyArray<readonly string[]> {
	return [
		...policies.map(({policy, meanSkew, p95Skew, moves, delayedTokenSteps}) =>
			[workload, policy, meanSkew.toFixed(3), p95Skew.toFixed(3), String(moves), String(delayedTokenSteps)]),
		[workload, 'lower bound', lowerBound.toFixed(3), '', '', ''],
	];
}

function percent(share: number): string {
	return `${(share * 100).toFixed(1)} %`;
}

function buildResult(result: SkewBenchResult, note: string): BenchResult {
	const {seed, workloads} = result;
	const names = workloads[0]?.policies.map(({policy}) => policy) ?? [];
	const series = (read: (policy: WorkloadResult['policies'][number]) => number) => workloads.map(({workload, policies}) => ({
		name: workload, values: policies.map(policy => read(policy)),
	}));
	return {
		title: 'Skew: step-time skew and cost of moves',
		notes: [
			`Simulated load with seed ${seed}; skew is the load of the slowest rank over the mean.`,
			...workloads.map(({workload, gainShare, moveShare}) => `${workload}: the planner reaches ${percent(gainShare)} of the greedy re-plan's gain `
				+ `with ${percent(moveShare)} of its moves (target: at least 90 %, at most 10 %).`),
		],
		tables: [{columns: ['workload', 'policy', 'mean skew', 'p95 skew', 'moves', 'delayed token steps'], rows: workloads.flatMap(workload => workloadRows(workload))}],
		charts: {
			'skew-mean': {
				kind: 'bar', title: 'Mean step-time skew by policy', yLabel: 'slowest rank / mean', note, categories: names, series: series(({meanSkew}) => meanSkew),
			},
			'skew-moves': {
				kind: 'bar', title: 'Experts moved by policy', yLabel: 'experts loaded', note, categories: names, series: series(({moves}) => moves),
			},
		},
		raw: result,
	};
}

async function runSkew({log, note}: BenchContext): Promise<BenchResult> {
	log('skew: running the planner and its baselines');
	return buildResult(runSkewBench(), note);
}

export const skewPart: BenchPart = {
	name: 'skew',
	description: 'step-time skew and cost of moves of the planner and its baselines (simulated)',
	run: runSkew,
};
