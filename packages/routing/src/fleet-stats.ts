/** Statistics over the replicas with a recent report, used as estimates for replicas without one. */
import {type Replica} from './types.js';

/** Reports older than this do not reflect the current load. */
const MAX_REPORT_AGE_MS = 10_000;

/** Means and median over the replicas with a recent report. */
export type FleetStats = {
	/** Time of computation, milliseconds. */
	readonly computedAt: number;
	/** Number of replicas with a recent report. */
	readonly reportCount: number;
	readonly meanQueuedTokens: number;
	readonly meanRunning: number;
	readonly meanPeakTokensPerSecond: number;
	/** Median step time, milliseconds. */
	readonly medianStepMs: number;
};

export const emptyStats: FleetStats = {
	computedAt: Number.NEGATIVE_INFINITY,
	reportCount: 0,
	meanQueuedTokens: 0,
	meanRunning: 0,
	meanPeakTokensPerSecond: 0,
	medianStepMs: 0,
};

/** Computes the statistics at `now`. */
export function computeFleetStats(replicas: Iterable<Replica>, now: number): FleetStats {
	const stepTimes: number[] = [];
	let queuedTokens = 0;
	let running = 0;
	let peakRates = 0;
	for (const replica of replicas) {
		const {report} = replica;
		if (report === undefined || now - replica.reportedAt > MAX_REPORT_AGE_MS) {
			continue;
		}

		stepTimes.push(report.stepMs);
		queuedTokens += report.queuedTokens;
		running += report.running;
		peakRates += replica.peakTokensPerSecond;
	}

	const reportCount = stepTimes.length;
	if (reportCount === 0) {
		return {...emptyStats, computedAt: now};
	}

	return {
		computedAt: now,
		reportCount,
		meanQueuedTokens: queuedTokens / reportCount,
		meanRunning: running / reportCount,
		meanPeakTokensPerSecond: peakRates / reportCount,
		medianStepMs: stepTimes.toSorted((a, b) => a - b)[Math.floor((reportCount - 1) / 2)] ?? 0,
	};
}
