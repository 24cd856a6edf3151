/** Replica selection: the cheapest of two random candidates, the prefix home and replicas known to cache the prompt. */
import {costOf, MIN_REFERENCE_BATCH} from './cost.js';
import {rendezvousOrder} from './hashing.js';
import {isService, servesModel} from './model-name.js';
import {isLeaving, isSuspected, type RoutingTable} from './table.js';
import {
	type CandidateCost, type CandidateSource, type Choice, type LeftOutReason, type Replica, type RouteRequest, type ChoiceExplanation,
} from './types.js';

/** Power of two choices: random candidates keep entries with equally old reports from all choosing the same idle replica. */
const RANDOM_CANDIDATES = 2;
/** Random probes of a pool before it is scanned in order. */
const MAX_RANDOM_PROBES = 8;
/** Ready replicas in rendezvous order that are tried as home when the ones before them are overloaded. */
const MAX_HOME_CANDIDATES = 3;
/**
 * A home accepts requests with prefix affinity until its batch reaches this multiple of the mean. A factor near 1
 * moves conversations back and forth between homes, and recomputing their prompts loads the fleet more than the skew does.
 */
const HOME_BATCH_FACTOR = 2;
/** A home is overloaded when its queue exceeds both this multiple of the mean queue and the wait below. */
const HOME_QUEUE_FACTOR = 3;
/** A queue shorter than about the 1.2 s target plus the time saved by the cache does not make a home overloaded. */
const HOME_TOLERATED_WAIT_MS = 1500;
/** Homes checked first; only if none of them is ready is the whole region sorted in rendezvous order. */
const HOME_SHORTLIST_SIZE = 8;
/** Cache hints considered for one request. */
const MAX_HINTS = 3;
/** Replicas of other regions are considered when the shortest wait among the candidates exceeds this. */
const OTHER_REGION_WAIT_MS = 1000;

type ReplicaState = 'ready' | 'full' | 'suspected' | 'ineligible';
type Context = {readonly table: RoutingTable; readonly request: RouteRequest; readonly now: number; readonly random: () => number};
type Candidate = {readonly replica: Replica; readonly source: CandidateSource};
type ReplicaFilter = (replica: Replica) => boolean;

/** Why a replica must not be used for the request; undefined if it may be. */
function ineligibleReason(replica: Replica, request: RouteRequest): LeftOutReason | undefined {
	if (!replica.models.some(offered => servesModel(offered, request.model))) {
		return 'wrong-model';
	}

	if (isLeaving(replica)) {
		return 'leaving';
	}

	if (replica.closed) {
		return 'closed';
	}

	return request.excluded.has(replica.id) ? 'excluded' : undefined;
}

function stateOf(replica: Replica, {request, now}: Context): ReplicaState {
	if (ineligibleReason(replica, request) !== undefined) {
		return 'ineligible';
	}

	if (isSuspected(replica, now)) {
		return 'suspected';
	}

	return replica.fullUntil > now ? 'full' : 'ready';
}

/** Samples up to `count` distinct accepted replicas at random; returns at least one if the pool contains any. */
function sampleReplicas(pool: readonly string[], isAccepted: ReplicaFilter, count: number, {table, random}: Context): readonly Replica[] {
	const sampled = new Map<string, Replica>();
	const consider = (index: number) => {
		const replica = table.get(pool[index % pool.length] ?? '');
		if (replica !== undefined && !sampled.has(replica.id) && isAccepted(replica)) {
			sampled.set(replica.id, replica);
		}
	};

	for (let probes = 0; probes < MAX_RANDOM_PROBES && sampled.size < count; probes++) {
		consider(Math.floor(random() * pool.length));
	}

	const start = Math.floor(random() * pool.length);
	for (let offset = 0; offset < pool.length && sampled.size < count; offset++) {
		consider(start + offset);
	}

	return [...sampled.values()];
}

/** Random candidates from the first pool that has any: own region before others, subscribed before unsubscribed, ready before full before suspected. */
function randomCandidates(context: Context): readonly Replica[] {
	const {table, request} = context;
	const {all, subscribed} = table.replicasServing(request.model);
	const isReadyInRegion: ReplicaFilter = replica => replica.region === request.region && stateOf(replica, context) === 'ready';
	const isInState = (state: ReplicaState): ReplicaFilter => replica => stateOf(replica, context) === state;
	const pools: ReadonlyArray<readonly [readonly string[], ReplicaFilter]> = [
		[subscribed, isReadyInRegion],
		[all, isReadyInRegion],
		[subscribed, isInState('ready')],
		[all, isInState('ready')],
		[all, isInState('full')],
		[all, isInState('suspected')],
	];
	for (const [pool, isAccepted] of pools) {
		const sampled = sampleReplicas(pool, isAccepted, RANDOM_CANDIDATES, context);
		if (sampled.length > 0) {
			return sampled;
		}
	}

	return [];
}

function isOverloaded(replica: Replica, context: Context): boolean {
	const {stats} = context.table;
	const cost = candidateCost({replica, source: 'prefix-home'}, context);
	const running = (replica.report?.running ?? stats.meanRunning) + replica.unreported.length;
	const meanQueueMs = stats.meanQueuedTokens * 1000 / Math.max(1, stats.meanPeakTokensPerSecond);
	return cost.queueMs + cost.ownMs > Math.max(HOME_TOLERATED_WAIT_MS, meanQueueMs * HOME_QUEUE_FACTOR)
		|| running > Math.max(MIN_REFERENCE_BATCH, stats.meanRunning) * HOME_BATCH_FACTOR;
}

/**
 * The prefix hash that determines the home of a request: that of the second shortest prefix. The shortest is often a
 * system prompt shared by many callers, which would send them all to one replica. The second is the first message of
 * a conversation, which later messages share regardless of the entry that they arrive at.
 */
function homeKey({prefixes}: RouteRequest): string | undefined {
	return (prefixes[1] ?? prefixes[0])?.hash;
}

/** The prefix home: the first ready replica in the region's rendezvous order that is not overloaded. */
function prefixHome(context: Context): Replica | undefined {
	const {table, request} = context;
	const key = homeKey(request);
	if (key === undefined) {
		return undefined;
	}

	const regionIds = table.replicasServing(request.model).byRegion.get(request.region) ?? [];
	const shortlist = readyHomes(rendezvousOrder(key, regionIds, HOME_SHORTLIST_SIZE), context);
	const ready = shortlist.length > 0 ? shortlist : readyHomes(rendezvousOrder(key, regionIds, regionIds.length), context);
	return ready.find(home => !isOverloaded(home, context));
}

/** The first `MAX_HOME_CANDIDATES` ready replicas of the order. */
function readyHomes(order: readonly string[], context: Context): readonly Replica[] {
	const ready: Replica[] = [];
	for (const id of order) {
		const replica = context.table.get(id);
		if (replica !== undefined && ready.length < MAX_HOME_CANDIDATES && stateOf(replica, context) === 'ready') {
			ready.push(replica);
		}
	}

	return ready;
}

function hintedReplicas(context: Context): readonly Replica[] {
	const {table, request} = context;
	return request.prefixLookup.hints
		.slice(0, MAX_HINTS)
		.map(({replicaId}) => table.get(replicaId))
		.filter((replica): replica is Replica => replica !== undefined && stateOf(replica, context) === 'ready');
}

function candidateCost({replica, source}: Candidate, {table, request, now}: Context): CandidateCost {
	return costOf({
		replica, request, source, now, stats: table.stats, options: table.options,
	});
}

/** Collects the candidates; a replica found by several sources keeps the first one. */
function collectCandidates(context: Context): readonly Candidate[] {
	const candidates: Candidate[] = [];
	const add = (replica: Replica | undefined, source: CandidateSource) => {
		if (replica !== undefined && !candidates.some(other => other.replica.id === replica.id)) {
			candidates.push({replica, source});
		}
	};

	add(prefixHome(context), 'prefix-home');
	for (const replica of hintedReplicas(context)) {
		add(replica, 'prefix-memory');
	}

	for (const replica of randomCandidates(context)) {
		add(replica, 'random');
	}

	return candidates;
}

/** Adds replicas of other regions when all candidates have a long wait. */
function withOtherRegions(candidates: readonly Candidate[], context: Context): readonly Candidate[] {
	const shortestWaitMs = Math.min(...candidates.map(candidate => candidateCost(candidate, context).waitMs));
	if (candidates.length === 0 || shortestWaitMs <= OTHER_REGION_WAIT_MS) {
		return candidates;
	}

	const {table, request} = context;
	const isReadyElsewhere: ReplicaFilter = replica => replica.region !== request.region && stateOf(replica, context) === 'ready';
	const sampled = sampleReplicas(table.replicasServing(request.model).all, isReadyElsewhere, RANDOM_CANDIDATES, context)
		.filter(replica => !candidates.some(other => other.replica.id === replica.id));
	return [...candidates, ...sampled.map(replica => ({replica, source: 'far'} as const))];
}

function choose(context: Context, listLeftOut: (considered: ReadonlySet<string>) => ChoiceExplanation['leftOut']): Choice {
	const {table, request} = context;
	const candidates = withOtherRegions(collectCandidates(context), context);
	const costs = candidates.map(candidate => candidateCost(candidate, context)).toSorted((a, b) => a.costMs - b.costMs);
	const explanation = {candidates: costs, leftOut: listLeftOut(new Set(costs.map(({id}) => id)))};
	const best = costs[0];
	const replica = best === undefined ? undefined : table.get(best.id);
	if (best !== undefined && replica !== undefined) {
		return {
			kind: 'chosen', replica, expectedWaitMs: best.waitMs, source: best.source, cachedTokens: best.cachedTokens, explanation,
		};
	}

	const unknown = isService(request.model) ? 'unknown-service' : 'unknown-model';
	const reason = table.replicasServing(request.model).all.length === 0 ? unknown : 'no-endpoint';
	return {
		kind: 'none', reason, outcome: 'not-run', explanation,
	};
}

/**
 * Chooses a replica for a request. A replica that is leaving, closed, excluded or does not serve
 * the model is never chosen; one that is full or suspected only if there is no other.
 *
 * @param now - Current time, milliseconds, on the clock used for all changes of the table.
 * @param random - Returns uniformly distributed numbers in [0, 1).
 * @returns The choice and its explanation; on failure nothing was sent, so the outcome is `not-run`.
 */
export function chooseReplica(table: RoutingTable, request: RouteRequest, now: number, random: () => number): Choice {
	return choose({
		table, request, now, random,
	}, () => []);
}

function leftOutReason(replica: Replica, context: Context): LeftOutReason {
	const ineligible = ineligibleReason(replica, context.request);
	if (ineligible !== undefined) {
		return ineligible;
	}

	const state = stateOf(replica, context);
	if (state === 'suspected' || state === 'full') {
		return state;
	}

	return replica.region === context.request.region ? 'not-sampled' : 'far';
}

/** Like `chooseReplica`, but also lists every replica that was not considered, with the reason. Iterates over the whole fleet. */
export function explainChoice(table: RoutingTable, request: RouteRequest, now: number, random: () => number): Choice {
	const context = {
		table, request, now, random,
	};
	return choose(context, considered => [...table.replicas()]
		.filter(({id}) => !considered.has(id))
		.map(replica => ({id: replica.id, reason: leftOutReason(replica, context)})));
}
