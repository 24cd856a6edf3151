/** Estimates the cost of sending a request to a replica (design page, section 5, step 4). */
import {type FleetStats} from './fleet-stats.js';
import {type TableOptions} from './table.js';
import {
	type CandidateCost, type CandidateSource, type Replica, type RouteRequest,
} from './types.js';

/** 0.5 ms in each direction between zones, plus a margin so that the own zone wins between equal replicas. */
const CROSS_ZONE_MS = 2;
/** Latency between regions is tens of milliseconds, and links between them fail more often. */
const CROSS_REGION_MS = 100;
/** Upper bound of the straggler factor; step times beyond it do not predict a longer wait. */
const MAX_STRAGGLER_FACTOR = 5;
/** Step times vary by about ten percent with the batch; only a larger deviation from the median indicates a straggler. */
const STRAGGLER_TOLERANCE = 1.1;
/** Time constant with which a reported queue length decays to the fleet mean: a queue empties within about this time. */
const QUEUE_DECAY_MS = 2000;
/** Time constant for the reported batch size: the batch turns over in about 25 s, so its size stays valid longer than the queue length. */
const RUNNING_DECAY_MS = 20_000;
/** Penalty at twice the mean batch of the fleet; a larger one moves conversations away from their home and loses cache hits. */
const BALANCE_PENALTY_MS = 8000;
/** Lower bound of the mean batch in load comparisons: in small batches one request more or less says little about load. */
export const MIN_REFERENCE_BATCH = 16;
/**
 * Weight of the prompt's prefill time in the penalty for a replica that is neither its home nor known to cache it. The
 * prompt has to be computed again when the conversation returns to its home, and each computed token delays every request
 * queued behind it. Without this weight a busy fleet trades affinity for shorter queues, which computes more tokens and
 * increases the load further.
 */
const SCATTER_WEIGHT = 12;
/** A peak rate below this fraction of the mean indicates an idle replica, not a slow one. */
const MIN_PEAK_RATIO = 0.25;

function tokenRateOf(replica: Replica, stats: FleetStats, options: TableOptions): number {
	const typicalRate = stats.meanPeakTokensPerSecond > 0 ? stats.meanPeakTokensPerSecond : options.defaultTokensPerSecond;
	const rate = replica.peakTokensPerSecond >= typicalRate * MIN_PEAK_RATIO ? replica.peakTokensPerSecond : typicalRate;
	return Math.max(1, rate);
}

/** Decays a reading exponentially towards the fleet mean with its age. */
function decayedToMean(reading: number | undefined, mean: number, ageMs: number, decayMs: number): number {
	return reading === undefined ? mean : mean + ((reading - mean) * Math.exp(-ageMs / decayMs));
}

function zoneMsOf(replica: Replica, request: RouteRequest): number {
	if (replica.region !== request.region) {
		return CROSS_REGION_MS;
	}

	return replica.zone === request.zone ? 0 : CROSS_ZONE_MS;
}

function stragglerFactorOf(replica: Replica, stats: FleetStats): number {
	if (replica.report === undefined || stats.medianStepMs <= 0) {
		return 1;
	}

	const factor = replica.report.stepMs / (stats.medianStepMs * STRAGGLER_TOLERANCE);
	return Math.min(MAX_STRAGGLER_FACTOR, Math.max(1, factor));
}

function unreportedTokens(replica: Replica): number {
	return replica.unreported.reduce((sum, {prefillTokens}) => sum + prefillTokens, 0);
}

type ExpectedCache = {readonly cachedTokens: number; readonly source: CandidateSource};

/** Estimates the cached prompt tokens from a cache hint or from the usual hit rate of prefix homes. */
function expectCachedTokens(replica: Replica, request: RouteRequest, source: CandidateSource): ExpectedCache {
	const hintedTokens = request.prefixLookup.hints.find(({replicaId}) => replicaId === replica.id)?.cachedTokens ?? 0;
	// The longest prefix is the whole prompt, which no earlier request has put into the cache.
	const earlierTokens = request.prefixes.at(-2)?.tokens ?? 0;
	const homeTokens = source === 'prefix-home' ? request.prefixLookup.homeHitRate * earlierTokens : 0;
	return {
		cachedTokens: Math.min(request.inputTokens, Math.max(hintedTokens, homeTokens)),
		source: hintedTokens > homeTokens ? 'prefix-memory' : source,
	};
}

/** Input of the cost estimate of a candidate. */
export type CostInput = {
	readonly replica: Replica;
	readonly request: RouteRequest;
	readonly stats: FleetStats;
	readonly options: TableOptions;
	readonly source: CandidateSource;
	readonly now: number;
};

/** Computes the cost of a candidate with all its terms. */
export function costOf({replica, request, stats, options, source, now}: CostInput): CandidateCost {
	const {report} = replica;
	const ageMs = now - replica.reportedAt;
	const msPerToken = 1000 / tokenRateOf(replica, stats, options);
	const {cachedTokens, source: effectiveSource} = expectCachedTokens(replica, request, source);
	const queueMs = msPerToken * decayedToMean(report?.queuedTokens, stats.meanQueuedTokens, ageMs, QUEUE_DECAY_MS);
	const ownMs = msPerToken * unreportedTokens(replica);
	const prefillMs = msPerToken * (request.inputTokens - cachedTokens);
	const zoneMs = zoneMsOf(replica, request);
	const straggler = stragglerFactorOf(replica, stats);
	const waitMs = (queueMs + ownMs + prefillMs + zoneMs) * straggler;
	const running = decayedToMean(report?.running, stats.meanRunning, ageMs, RUNNING_DECAY_MS) + replica.unreported.length;
	const isScattered = request.prefixes.length > 0 && effectiveSource !== 'prefix-home' && effectiveSource !== 'prefix-memory';
	const scatterMs = isScattered ? SCATTER_WEIGHT * msPerToken * request.inputTokens : 0;
	const balanceMs = BALANCE_PENALTY_MS * (running - stats.meanRunning) / Math.max(MIN_REFERENCE_BATCH, stats.meanRunning);
	return {
		id: replica.id,
		source: effectiveSource,
		queueMs,
		ownMs,
		prefillMs,
		zoneMs,
		straggler,
		waitMs,
		scatterMs,
		balanceMs,
		costMs: waitMs + scatterMs + balanceMs,
		cachedTokens,
		reportAgeMs: report === undefined ? undefined : ageMs,
	};
}
