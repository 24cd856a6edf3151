/** Part of the benchmark that measures throughput beyond the capacity with and without limits, and retries in an outage. */
import type {BenchContext, BenchPart, BenchResult} from './part.js';
import {runOverloadBench, type OverloadReport} from './overload.js';
import {RetryBudget} from '#coordination';

/** Creates the retry budget of an entry (design page, section 5). */
function createBudget(): (isRetry: boolean, now: number) => boolean {
	const budget = RetryBudget.create();
	return (isRetry, now) => {
		if (isRetry) {
			return budget.consumeRetry(now);
		}

		budget.recordRequest(now);
		return true;
	};
}

function buildResult(report: OverloadReport, note: string): BenchResult {
	const {overload, retries} = report;
	const multiples = [...new Set(overload.map(({multiple}) => multiple))];
	return {
		title: 'Overload: completed work and retries',
		notes: ['Simulated endpoints; callers give up and resend. Completed counts requests whose caller was still there at the first token.'],
		tables: [
			{
				title: 'Work at multiples of the capacity',
				columns: ['load / capacity', 'limits', 'completed tokens/s', 'completed/s', 'refused/s', 'smallest share'],
				rows: overload.map(figure => [
					String(figure.multiple),
					figure.limits ? 'yes' : 'no',
					figure.completedTokensPerSecond.toFixed(0),
					figure.completedPerSecond.toFixed(1),
					figure.refusedPerSecond.toFixed(1),
					figure.smallestShare.toFixed(2),
				]),
			},
			{
				title: 'Attempts for each request in an outage',
				columns: ['retry budget', 'attempts / requests'],
				rows: retries.map(({budget, multiplier}) => [budget ? 'yes' : 'no', multiplier.toFixed(2)]),
			},
		],
		charts: {
			'overload-completed': {
				kind: 'line',
				title: 'Completed work by load',
				xLabel: 'load / capacity',
				yLabel: 'completed tokens/s',
				note,
				series: [false, true].map(limits => ({
					name: limits ? 'with limits' : 'without limits',
					points: multiples.map(multiple => [
						multiple,
						overload.find(figure => figure.multiple === multiple && figure.limits === limits)?.completedTokensPerSecond ?? Number.NaN,
					] as const),
				})),
			},
		},
		raw: report,
	};
}

async function runOverload({log, note}: BenchContext): Promise<BenchResult> {
	log('overload: running the model with and without limits');
	return buildResult(runOverloadBench({}, createBudget), note);
}

export const overloadPart: BenchPart = {
	name: 'overload',
	description: 'completed work beyond the capacity, and retries in an outage (simulated)',
	run: runOverload,
};
