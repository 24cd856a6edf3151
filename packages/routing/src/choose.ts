/** Choice of a replica: the cheapest among two random candidates, the prefix home and remembered holders. */
import {costOf, SMALL_BATCH} from './cost.js';
import {rendezvousOrder} from './hashing.js';
import {isService, servesModel} from './model-name.js';
import {isLeaving, isSuspected, type RoutingTable} from './table.js';
import {
	type CandidateCost, type CandidateSource, type Choice, type LeftOutReason, type Replica, type RouteRequest, type ChoiceExplanation,
} from './types.js';

/** Two random candidates keep entries with equally old reports from all choosing the same idle replica. */
const RANDOM_CANDIDATES = 2;
/** Random draws before the pool is scanned in order. */
const MAX_DRAWS = 8;
/** How far down the order of homes a request may move when homes are overloaded. */
const MAX_HOMES = 3;
/**
 * A home takes affine work until it runs this multiple of the mean. A bound near 1 moves conversations
 * to and fro between homes, and the prompts computed again load the fleet more than the skew does.
 */
const HOME_BOUND = 2;
/** A home is overloaded when its queue exceeds this multiple of the mean queue and also the wait below. */
const HOME_QUEUE_BOUND = 3;
/** A queue shorter than about the 1.2 s target plus the time saved by the cache is no reason to leave a home. */
const HOME_FREE_WAIT_MS = 1500;
/** Leading homes whose state is looked at before the whole order is, which costs a sort of the region. */
const HOMES_CHECKED = 8;
/** Hints considered for one request. */
const MAX_HINTS = 3;
/** Replicas of other regions are considered once the best wait in the own region exceeds this. */
const FAR_AFTER_MS = 1000;

type State = 'ready' | 'full' | 'suspected' | 'barred';
type Context = {readonly table: RoutingTable; readonly request: RouteRequest; readonly now: number; readonly random: () => number};
type Candidate = {readonly replica: Replica; readonly source: CandidateSource};
type Accepts = (replica: Replica) => boolean;

/** Why a replica cannot be used at all, or undefined. */
function barredBy(replica: Replica, request: RouteRequest): LeftOutReason | undefined {
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

function stateOf(replica: Replica, {request, now}: Context): State {
	if (barredBy(replica, request) !== undefined) {
		return 'barred';
	}

	if (isSuspected(replica, now)) {
		return 'suspected';
	}

	return replica.fullUntil > now ? 'full' : 'ready';
}

/** Draws up to `count` different replicas at random; finds one whenever the pool holds one. */
function draw(pool: readonly string[], accepts: Accepts, count: number, {table, random}: Context): readonly Replica[] {
	const drawn = new Map<string, Replica>();
	const consider = (index: number) => {
		const replica = table.get(pool[index % pool.length] ?? '');
		if (replica !== undefined && !drawn.has(replica.id) && accepts(replica)) {
			drawn.set(replica.id, replica);
		}
	};

	for (let draws = 0; draws < MAX_DRAWS && drawn.size < count; draws++) {
		consider(Math.floor(random() * pool.length));
	}

	const start = Math.floor(random() * pool.length);
	for (let step = 0; step < pool.length && drawn.size < count; step++) {
		consider(start + step);
	}

	return [...drawn.values()];
}

/** Random candidates from the best pool that has any: subscribed before others, near before far, ready before full before suspected. */
function randomCandidates(context: Context): readonly Replica[] {
	const {table, request} = context;
	const {all, subscribed} = table.replicasServing(request.model);
	const near: Accepts = replica => replica.region === request.region && stateOf(replica, context) === 'ready';
	const anywhere = (state: State): Accepts => replica => stateOf(replica, context) === state;
	const pools: ReadonlyArray<readonly [readonly string[], Accepts]> = [
		[subscribed, near],
		[all, near],
		[subscribed, anywhere('ready')],
		[all, anywhere('ready')],
		[all, anywhere('full')],
		[all, anywhere('suspected')],
	];
	for (const [pool, accepts] of pools) {
		const drawn = draw(pool, accepts, RANDOM_CANDIDATES, context);
		if (drawn.length > 0) {
			return drawn;
		}
	}

	return [];
}

function isOverloaded(replica: Replica, context: Context): boolean {
	const {stats} = context.table;
	const cost = price({replica, source: 'prefix-home'}, context);
	const running = (replica.report?.running ?? stats.meanRunning) + replica.unreported.length;
	const meanQueueMs = stats.meanQueuedTokens * 1000 / Math.max(1, stats.meanPeakTokensPerSecond);
	return cost.queueMs + cost.ownMs > Math.max(HOME_FREE_WAIT_MS, meanQueueMs * HOME_QUEUE_BOUND)
		|| running > Math.max(SMALL_BATCH, stats.meanRunning) * HOME_BOUND;
}

/**
 * The prefix that places a request: the one after the shortest. The shortest is often a system prompt
 * shared by many callers, which would put them all on one replica; the next one is the first message of
 * a conversation, which later messages share whichever entry they come through.
 */
function homeKey({prefixes}: RouteRequest): string | undefined {
	return (prefixes[1] ?? prefixes[0])?.hash;
}

/** The prefix home: the first in rendezvous order over the region's replicas that is not overloaded. */
function prefixHome(context: Context): Replica | undefined {
	const {table, request} = context;
	const key = homeKey(request);
	if (key === undefined) {
		return undefined;
	}

	const near = table.replicasServing(request.model).byRegion.get(request.region) ?? [];
	const leading = readyHomes(rendezvousOrder(key, near, HOMES_CHECKED), context);
	const ready = leading.length > 0 ? leading : readyHomes(rendezvousOrder(key, near, near.length), context);
	return ready.find(home => !isOverloaded(home, context));
}

/** The leading replicas of the order that are ready, at most `MAX_HOMES`. */
function readyHomes(order: readonly string[], context: Context): readonly Replica[] {
	const ready: Replica[] = [];
	for (const id of order) {
		const replica = context.table.get(id);
		if (replica !== undefined && ready.length < MAX_HOMES && stateOf(replica, context) === 'ready') {
			ready.push(replica);
		}
	}

	return ready;
}

function hinted(context: Context): readonly Replica[] {
	const {table, request} = context;
	return request.prefixLookup.hints
		.slice(0, MAX_HINTS)
		.map(({replicaId}) => table.get(replicaId))
		.filter((replica): replica is Replica => replica !== undefined && stateOf(replica, context) === 'ready');
}

function price({replica, source}: Candidate, {table, request, now}: Context): CandidateCost {
	return costOf({
		replica, request, source, now, stats: table.stats, options: table.options,
	});
}

/** Candidates; the same replica is kept under its first source. */
function gather(context: Context): readonly Candidate[] {
	const candidates: Candidate[] = [];
	const add = (replica: Replica | undefined, source: CandidateSource) => {
		if (replica !== undefined && !candidates.some(other => other.replica.id === replica.id)) {
			candidates.push({replica, source});
		}
	};

	add(prefixHome(context), 'prefix-home');
	for (const replica of hinted(context)) {
		add(replica, 'prefix-memory');
	}

	for (const replica of randomCandidates(context)) {
		add(replica, 'random');
	}

	return candidates;
}

/** Adds replicas of other regions when the own region makes requests wait. */
function withFar(candidates: readonly Candidate[], context: Context): readonly Candidate[] {
	const best = Math.min(...candidates.map(candidate => price(candidate, context).waitMs));
	if (candidates.length === 0 || best <= FAR_AFTER_MS) {
		return candidates;
	}

	const {table, request} = context;
	const far: Accepts = replica => replica.region !== request.region && stateOf(replica, context) === 'ready';
	const drawn = draw(table.replicasServing(request.model).all, far, RANDOM_CANDIDATES, context)
		.filter(replica => !candidates.some(other => other.replica.id === replica.id));
	return [...candidates, ...drawn.map(replica => ({replica, source: 'far'} as const))];
}

function choose(context: Context, leftOut: (considered: ReadonlySet<string>) => ChoiceExplanation['leftOut']): Choice {
	const {table, request} = context;
	const candidates = withFar(gather(context), context);
	const costs = candidates.map(candidate => price(candidate, context)).toSorted((a, b) => a.costMs - b.costMs);
	const why = {candidates: costs, leftOut: leftOut(new Set(costs.map(({id}) => id)))};
	const best = costs[0];
	const replica = best === undefined ? undefined : table.get(best.id);
	if (best !== undefined && replica !== undefined) {
		return {
			kind: 'chosen', replica, expectedWaitMs: best.waitMs, source: best.source, cachedTokens: best.cachedTokens, explanation: why,
		};
	}

	const unknown = isService(request.model) ? 'unknown-service' : 'unknown-model';
	const reason = table.replicasServing(request.model).all.length === 0 ? unknown : 'no-endpoint';
	return {
		kind: 'none', reason, outcome: 'not-run', explanation: why,
	};
}

/**
 * Chooses a replica for a request. A leaving, closed or excluded replica or one that does not
 * serve the model is never chosen; a full or suspected one only if there is no other.
 *
 * @param now - Milliseconds on the clock used for all changes of the table.
 * @param random - Uniform in [0, 1).
 * @returns The choice with its reasons; on failure nothing was sent, so the outcome is `not-run`.
 */
export function chooseReplica(table: RoutingTable, request: RouteRequest, now: number, random: () => number): Choice {
	return choose({
		table, request, now, random,
	}, () => []);
}

function leftOutReason(replica: Replica, context: Context): LeftOutReason {
	const barred = barredBy(replica, context.request);
	if (barred !== undefined) {
		return barred;
	}

	const state = stateOf(replica, context);
	if (state === 'suspected' || state === 'full') {
		return state;
	}

	return replica.region === context.request.region ? 'not-sampled' : 'far';
}

/** Like `chooseReplica`, and names every replica that was left out with the reason. It costs a pass over the fleet. */
export function explainChoice(table: RoutingTable, request: RouteRequest, now: number, random: () => number): Choice {
	const context = {
		table, request, now, random,
	};
	return choose(context, considered => [...table.replicas()]
		.filter(({id}) => !considered.has(id))
		.map(replica => ({id: replica.id, reason: leftOutReason(replica, context)})));
}
