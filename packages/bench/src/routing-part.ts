/** Part of the benchmark that compares balance, prefix reuse and time to first token of the routing policy with its baselines. */
import type {BenchContext, BenchPart, BenchResult} from './part.js';
import {defaultRoutingBench, runRoutingBench, type RoutingFigures} from './routing.js';

function buildResult(figures: readonly RoutingFigures[], note: string): BenchResult {
	const lags = [...new Set(figures.map(({lagMs}) => lagMs))];
	const policies = [...new Set(figures.map(({policy}) => policy))];
	const series = (read: (figure: RoutingFigures) => number) => policies.map(policy => ({
		name: policy,
		values: lags.map(lagMs => {
			const figure = figures.find(candidate => candidate.policy === policy && candidate.lagMs === lagMs);
			return figure === undefined ? Number.NaN : read(figure);
		}),
	}));
	const categories = lags.map(lagMs => `lag ${lagMs} ms`);
	return {
		title: 'Routing: balance, prefix reuse and time to first token',
		notes: ['Simulated replicas and entries; imbalance is the largest over the mean of the running tokens of the replicas.'],
		tables: [{
			columns: ['policy', 'report lag ms', 'requests', 'imbalance', 'prefix hits %', 'first token p50 ms', 'p95 ms', 'p99 ms'],
			rows: figures.map(({policy, lagMs, requests, imbalance, prefixHitRate, firstTokenMs: {p50, p95, p99}}) =>
				[policy, String(lagMs), String(requests), imbalance.toFixed(2), (prefixHitRate * 100).toFixed(1), ...[p50, p95, p99].map(ms => ms.toFixed(0))]),
		}],
		charts: {
			'routing-imbalance': {
				kind: 'bar', title: 'Imbalance by report lag', yLabel: 'largest / mean', note, categories, series: series(({imbalance}) => imbalance),
			},
			'routing-prefix-hits': {
				kind: 'bar', title: 'Prompt tokens found in a cache', yLabel: '% of prompt tokens', note, categories, series: series(({prefixHitRate}) => prefixHitRate * 100),
			},
			'routing-first-token': {
				kind: 'bar', title: 'Time to first token, p95', yLabel: 'ms', note, categories, series: series(({firstTokenMs}) => firstTokenMs.p95),
			},
		},
		raw: figures,
	};
}

/** Runs each policy and lag separately, so that progress can be logged; the seeded simulation gives the same results. */
async function runRouting({log, note}: BenchContext): Promise<BenchResult> {
	const figures: RoutingFigures[] = [];
	for (const lagMs of defaultRoutingBench.lagsMs) {
		for (const policy of defaultRoutingBench.policies) {
			log(`routing: ${policy} with a report lag of ${lagMs} ms`);
			figures.push(...await runRoutingBench({lagsMs: [lagMs], policies: [policy]}));
		}
	}

	return buildResult(figures, note);
}

export const routingPart: BenchPart = {
	name: 'routing',
	description: 'balance, prefix reuse and time to first token of routing policies (simulated)',
	run: runRouting,
};
