/** The cost of sending a request to one replica (design page, section 5, step 4). */
import {type FleetStats} from './fleet-stats.js';
import {type TableOptions} from './table.js';
import {
	type CandidateCost, type CandidateSource, type Replica, type RouteRequest,
} from './types.js';

/** One-way 0.5 ms each way between zones, and a margin so that equal replicas are taken from the own zone. */
const OTHER_ZONE_MS = 2;
/** Regions are some ten milliseconds apart and links between them are lost more often. */
const OTHER_REGION_MS = 100;
/** A step time above this multiple of the median says no more about the wait than the multiple itself. */
const MAX_STRAGGLER = 5;
/** Step times vary by some ten percent with the batch; only what lies above that marks a straggler. */
const STRAGGLER_TOLERANCE = 1.1;
/** A queue empties within about this time, so an older reading says little and the mean of the fleet replaces it. */
const QUEUE_MEMORY_MS = 2000;
/** The running batch turns over in about 25 s, so its size is believed for longer than the queue. */
const RUNNING_MEMORY_MS = 20_000;
/** Cost of running as many requests again as the mean of the fleet; a larger one moves conversations off their home and costs cache hits. */
const BALANCE_MS = 8000;
/** Below this mean batch a request more or less says little about load, so differences count as if the mean were this. */
export const SMALL_BATCH = 16;
/**
 * A prompt placed away from its home will be computed again when the conversation returns there, and
 * each computed token delays every request queued behind it. Without this weight a busy fleet gives up
 * affinity for shorter queues, which computes more tokens and makes it busier.
 */
const SCATTER_WEIGHT = 12;
/** A peak below this share of the mean comes from an idle replica and not from a slow one. */
const IDLE_PEAK_SHARE = 0.25;

function rateOf(replica: Replica, stats: FleetStats, options: TableOptions): number {
	const usual = stats.meanPeakTokensPerSecond > 0 ? stats.meanPeakTokensPerSecond : options.defaultTokensPerSecond;
	const rate = replica.peakTokensPerSecond >= usual * IDLE_PEAK_SHARE ? replica.peakTokensPerSecond : usual;
	return Math.max(1, rate);
}

/** Moves a reading towards the mean of the fleet as it ages. */
function aged(reading: number | undefined, mean: number, ageMs: number, memoryMs: number): number {
	return reading === undefined ? mean : mean + ((reading - mean) * Math.exp(-ageMs / memoryMs));
}

function zoneMsOf(replica: Replica, request: RouteRequest): number {
	if (replica.region !== request.region) {
		return OTHER_REGION_MS;
	}

	return replica.zone === request.zone ? 0 : OTHER_ZONE_MS;
}

function stragglerOf(replica: Replica, stats: FleetStats): number {
	if (replica.report === undefined || stats.medianStepMs <= 0) {
		return 1;
	}

	const factor = replica.report.stepMs / (stats.medianStepMs * STRAGGLER_TOLERANCE);
	return Math.min(MAX_STRAGGLER, Math.max(1, factor));
}

function unreportedTokens(replica: Replica): number {
	return replica.unreported.reduce((sum, {prefillTokens}) => sum + prefillTokens, 0);
}

type Expected = {readonly cachedTokens: number; readonly source: CandidateSource};

/** Prompt tokens expected in the cache, from the note of an earlier dispatch or from what homes usually hold. */
function expectedCached(replica: Replica, request: RouteRequest, source: CandidateSource): Expected {
	const noted = request.prefixLookup.hints.find(({replicaId}) => replicaId === replica.id)?.cachedTokens ?? 0;
	// The longest prefix is the prompt itself, which no earlier request has filled in.
	const earlierTokens = request.prefixes.at(-2)?.tokens ?? 0;
	const atHome = source === 'prefix-home' ? request.prefixLookup.homeHitRate * earlierTokens : 0;
	return {
		cachedTokens: Math.min(request.inputTokens, Math.max(noted, atHome)),
		source: noted > atHome ? 'prefix-memory' : source,
	};
}

/** What the cost of a candidate is computed from. */
export type CostInput = {
	readonly replica: Replica;
	readonly request: RouteRequest;
	readonly stats: FleetStats;
	readonly options: TableOptions;
	readonly source: CandidateSource;
	readonly now: number;
};

/** Computes all terms of a candidate's cost. */
export function costOf({replica, request, stats, options, source, now}: CostInput): CandidateCost {
	const {report} = replica;
	const ageMs = now - replica.reportedAt;
	const msPerToken = 1000 / rateOf(replica, stats, options);
	const {cachedTokens, source: basis} = expectedCached(replica, request, source);
	const queueMs = msPerToken * aged(report?.queuedTokens, stats.meanQueuedTokens, ageMs, QUEUE_MEMORY_MS);
	const ownMs = msPerToken * unreportedTokens(replica);
	const prefillMs = msPerToken * (request.inputTokens - cachedTokens);
	const zoneMs = zoneMsOf(replica, request);
	const straggler = stragglerOf(replica, stats);
	const waitMs = (queueMs + ownMs + prefillMs + zoneMs) * straggler;
	const running = aged(report?.running, stats.meanRunning, ageMs, RUNNING_MEMORY_MS) + replica.unreported.length;
	const isScattered = request.prefixes.length > 0 && basis !== 'prefix-home' && basis !== 'prefix-memory';
	const scatterMs = isScattered ? SCATTER_WEIGHT * msPerToken * request.inputTokens : 0;
	const balanceMs = BALANCE_MS * (running - stats.meanRunning) / Math.max(SMALL_BATCH, stats.meanRunning);
	return {
		id: replica.id,
		source: basis,
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
