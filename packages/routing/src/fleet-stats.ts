/** Statistics over the replicas with a recent report. They stand in for replicas without one. */
import {type Replica} from './types.js';

/** Reports older than this say nothing about the present load. */
const MAX_REPORT_AGE_MS = 10_000;

/** Means and the median over replicas with a recent report. */
export type FleetStats = {
	/** When they were taken. */
	readonly computedAt: number;
	/** Number of replicas that they cover. */
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

/** Takes the statistics at `now`. */
export function statsOf(replicas: Iterable<Replica>, now: number): FleetStats {
	const steps: number[] = [];
	let queued = 0;
	let running = 0;
	let peak = 0;
	for (const replica of replicas) {
		const {report} = replica;
		if (report === undefined || now - replica.reportedAt > MAX_REPORT_AGE_MS) {
			continue;
		}

		steps.push(report.stepMs);
		queued += report.queuedTokens;
		running += report.running;
		peak += replica.peakTokensPerSecond;
	}

	const known = steps.length;
	if (known === 0) {
		return {...emptyStats, computedAt: now};
	}

	return {
		computedAt: now,
		reportCount: known,
		meanQueuedTokens: queued / known,
		meanRunning: running / known,
		meanPeakTokensPerSecond: peak / known,
		medianStepMs: steps.toSorted((a, b) => a - b)[Math.floor((known - 1) / 2)] ?? 0,
	};
}
