/**
 * Routing benchmark: many entries, each with its own table and the reports of a subset, route the same
 * request stream to modelled replicas; compares policies at several report lags.
 */
import {build} from 'hdr-histogram-js';
import {
	createRandom, createStream, EventQueue, ReplicaModel, type BenchRequest, type Job,
} from './workloads/requests.js';
import {
	hashHex, chooseReplica, initHashing, PrefixCacheIndex, rendezvousOrder, RoutingTable, subsetOf, type CandidateSource, type LoadReport,
} from '#routing';

const REPORT_INTERVAL_MS = 1000;
/** Between an entry and an endpoint, one way. */
const NETWORK_MS = 0.5;

/** The routing of one entry, for the policies compared. Replicas are named by index. */
type Balancer = {
	pick: (request: BenchRequest) => number;
	onReport: (replica: number, report: LoadReport) => void;
	onAccepted: (replica: number, request: BenchRequest, cachedTokens: number, load: LoadReport | undefined) => void;
	onEnd: (replica: number, request: BenchRequest, load: LoadReport | undefined) => void;
};

/** Policies compared. */
export type PolicyName = 'round-robin' | 'least-outstanding' | 'prefix-hash' | 'ours';

type Setup = {
	readonly events: EventQueue;
	readonly entryId: string;
	readonly replicaIds: readonly string[];
	readonly subset: readonly number[];
	readonly random: () => number;
};

const ignore = () => undefined;

function roundRobin({subset, random}: Setup): Balancer {
	let next = Math.floor(random() * subset.length);
	return {
		pick: () => subset[next++ % subset.length] ?? 0,
		onReport: ignore,
		onAccepted: ignore,
		onEnd: ignore,
	};
}

function leastOutstanding({subset, random}: Setup): Balancer {
	const open = new Map(subset.map(index => [index, 0]));
	const add = (replica: number, count: number) => open.set(replica, (open.get(replica) ?? 0) + count);
	return {
		pick() {
			const least = Math.min(...open.values());
			const ties = subset.filter(index => open.get(index) === least);
			const chosen = ties[Math.floor(random() * ties.length)] ?? 0;
			add(chosen, 1);
			return chosen;
		},
		onReport: ignore,
		onAccepted: ignore,
		onEnd(replica) {
			add(replica, -1);
		},
	};
}

/** Keyed by the first turn, which keeps a conversation together and spreads a popular system prompt. */
function prefixHash({replicaIds}: Setup): Balancer {
	const indexOf = new Map(replicaIds.map((id, index) => [id, index]));
	return {
		pick: ({prefixes}) => indexOf.get(rendezvousOrder(prefixes[1]?.hash ?? '', replicaIds, 1)[0] ?? '') ?? 0,
		onReport: ignore,
		onAccepted: ignore,
		onEnd: ignore,
	};
}

type Expected = {readonly source: CandidateSource; readonly cachedTokens: number};

const PLACE = {zone: 'a', region: 'r', model: 'm'};

function ours({events, replicaIds, subset, random}: Setup): Balancer {
	const memory = PrefixCacheIndex.create();
	const indexOf = new Map(replicaIds.map((id, index) => [id, index]));
	const expected = new Map<number, Expected>();
	const idOf = (index: number) => replicaIds[index] ?? '';
	let table = RoutingTable.create()
		.withInstances(replicaIds.map(id => ({
			id, zone: PLACE.zone, region: PLACE.region, group: 'g', models: [PLACE.model], address: id, leaving: false,
		})), 0)
		.withSubset(new Set(subset.map(index => idOf(index))), 0);
	return {
		pick(request) {
			const choice = chooseReplica(table, {
				...PLACE, inputTokens: request.inputTokens, outputTokens: request.outputTokens, prefixes: request.prefixes,
				prefixLookup: memory.lookup(request.prefixes, events.now), excluded: new Set(),
			}, events.now, random);
			const id = choice.kind === 'chosen' ? choice.replica.id : idOf(0);
			table = table.withDispatch(id, request, choice.kind === 'chosen' ? choice.cachedTokens : 0, events.now);
			memory.recordDispatch(request.prefixes, id, events.now);
			if (choice.kind === 'chosen') {
				expected.set(request.id, {source: choice.source, cachedTokens: choice.cachedTokens});
			}

			return indexOf.get(id) ?? 0;
		},
		onReport(replica, report) {
			table = table.withReport(idOf(replica), report, events.now);
		},
		onAccepted(replica, request, cachedTokens, load) {
			table = table.withContact(idOf(replica), events.now, load);
			memory.recordAccepted(request.prefixes, expected.get(request.id) ?? {source: 'random', cachedTokens: 0}, cachedTokens);
			expected.delete(request.id);
		},
		onEnd(replica, request, load) {
			table = table.withContact(idOf(replica), events.now, load).withFinish(idOf(replica), request);
		},
	};
}

const policies: Readonly<Record<PolicyName, (setup: Setup) => Balancer>> = {
	'round-robin': roundRobin, 'least-outstanding': leastOutstanding, 'prefix-hash': prefixHash, ours,
};

/** Size and load of the modelled fleet. */
export type RoutingBenchOptions = {
	readonly seed: number;
	readonly entries: number;
	readonly replicas: number;
	readonly subsetSize: number;
	readonly requestsPerSecondPerReplica: number;
	readonly durationMs: number;
	/** Requests that arrive before are not measured. */
	readonly warmUpMs: number;
	readonly lagsMs: readonly number[];
	readonly policies: readonly PolicyName[];
};

/** A tenth of the fleet of the design page, with its ratios: 4.7 replicas for each entry, 5.7 requests/s for each replica. */
export const defaultRoutingBench: RoutingBenchOptions = {
	seed: 20_261_204,
	entries: 34,
	replicas: 160,
	subsetSize: 40,
	requestsPerSecondPerReplica: 5.7,
	durationMs: 120_000,
	warmUpMs: 60_000,
	lagsMs: [0, 500, 2000],
	policies: ['round-robin', 'least-outstanding', 'prefix-hash', 'ours'],
};

/** Figures of one policy at one report lag. */
export type RoutingFigures = {
	readonly policy: PolicyName;
	readonly lagMs: number;
	readonly requests: number;
	/** Largest over mean of the running tokens of the replicas, mean over samples taken each second. */
	readonly imbalance: number;
	/** Prompt tokens found in a cache over all prompt tokens. */
	readonly prefixHitRate: number;
	/** Time to first token, milliseconds. */
	readonly firstTokenMs: {readonly p50: number; readonly p95: number; readonly p99: number};
};

type Run = {
	readonly events: EventQueue;
	readonly replicas: readonly ReplicaModel[];
	readonly balancers: readonly Balancer[];
	/** Indexes of the entries subscribed to each replica. */
	readonly subscribers: ReadonlyArray<readonly number[]>;
	readonly lagMs: number;
	/** The load that each replica last knew of itself, `lagMs` old or older. */
	readonly loads: LoadReport[];
};

function createRun(policy: PolicyName, lagMs: number, options: RoutingBenchOptions): Run {
	const events = EventQueue.create();
	const random = createRandom(options.seed + 1);
	const replicaIds = Array.from({length: options.replicas}, (_, index) => `replica-${index}`);
	const entryIds = Array.from({length: options.entries}, (_, index) => `entry-${index}`);
	const subsets = entryIds.map(entryId => subsetOf(entryId, entryIds, replicaIds, options.subsetSize).map(id => replicaIds.indexOf(id)));
	return {
		events,
		lagMs,
		loads: [],
		replicas: replicaIds.map(() => ReplicaModel.create(events)),
		balancers: entryIds.map((entryId, index) => policies[policy]({
			events, entryId, replicaIds, random, subset: subsets[index] ?? [],
		})),
		subscribers: replicaIds.map((_, replica) => entryIds.map((_, entry) => entry).filter(entry => subsets[entry]?.includes(replica))),
	};
}

/** Sends reports each second, at a different moment for each replica; they arrive `lagMs` after they were taken. */
function scheduleReports({events, replicas, balancers, subscribers, lagMs, loads}: Run, durationMs: number): void {
	for (const [index, replica] of replicas.entries()) {
		const report = () => {
			const load = replica.report();
			events.at(events.now + lagMs + NETWORK_MS, () => {
				loads[index] = load;
				for (const entry of subscribers[index] ?? []) {
					balancers[entry]?.onReport(index, load);
				}
			});
			if (events.now < durationMs) {
				events.at(events.now + REPORT_INTERVAL_MS, report);
			}
		};

		events.at(REPORT_INTERVAL_MS * index / replicas.length, report);
	}
}

function runOne(policy: PolicyName, lagMs: number, options: RoutingBenchOptions, stream: readonly BenchRequest[]): RoutingFigures {
	const run = createRun(policy, lagMs, options);
	const {events, replicas, balancers} = run;
	const firstToken = build({highestTrackableValue: options.durationMs * 2, numberOfSignificantValueDigits: 3});
	let promptTokens = 0;
	let hitTokens = 0;
	let measured = 0;
	const send = (request: BenchRequest) => {
		const balancer = balancers[request.entry];
		const chosen = balancer?.pick(request) ?? 0;
		const isMeasured = request.at >= options.warmUpMs;
		const job: Job = {
			request,
			onStart(cachedTokens) {
				promptTokens += isMeasured ? request.inputTokens : 0;
				hitTokens += isMeasured ? cachedTokens : 0;
				const load = lagMs === 0 ? replicas[chosen]?.report() : run.loads[chosen];
				events.at(events.now + NETWORK_MS, () => balancer?.onAccepted(chosen, request, cachedTokens, load));
			},
			onFirstToken() {
				measured += isMeasured ? 1 : 0;
				if (isMeasured) {
					firstToken.recordValue(Math.max(1, Math.round(events.now + NETWORK_MS - request.at)));
				}
			},
			onEnd() {
				events.at(events.now + NETWORK_MS, () => balancer?.onEnd(chosen, request, lagMs === 0 ? replicas[chosen]?.report() : run.loads[chosen]));
			},
		};
		events.at(events.now + NETWORK_MS, () => replicas[chosen]?.submit(job));
	};

	for (const request of stream) {
		events.at(request.at, () => {
			send(request);
		});
	}

	const imbalances: number[] = [];
	for (let at = options.warmUpMs; at < options.durationMs; at += 1000) {
		events.at(at, () => {
			const tokens = replicas.map(({runningTokens}) => runningTokens);
			imbalances.push(Math.max(...tokens) * tokens.length / tokens.reduce((sum, count) => sum + count, 0));
		});
	}

	scheduleReports(run, options.durationMs);
	// Late requests count with the time they have waited by then at least, so the run goes on until the queues are empty.
	events.runUntil(options.durationMs * 2);
	return {
		policy,
		lagMs,
		requests: measured,
		imbalance: imbalances.reduce((sum, value) => sum + value, 0) / imbalances.length,
		prefixHitRate: hitTokens / promptTokens,
		firstTokenMs: {p50: firstToken.getValueAtPercentile(50), p95: firstToken.getValueAtPercentile(95), p99: firstToken.getValueAtPercentile(99)},
	};
}

/** Runs every policy at every lag over the same request stream. Takes a few seconds for each run at the default size. */
export async function runRoutingBench(options: Partial<RoutingBenchOptions> = {}): Promise<readonly RoutingFigures[]> {
	await initHashing();
	const all = {...defaultRoutingBench, ...options};
	const stream = createStream({
		seed: all.seed, requestsPerSecond: all.requestsPerSecondPerReplica * all.replicas, durationMs: all.durationMs, entries: all.entries, workspaces: 97,
	}).map(request => ({...request, prefixes: request.prefixes.map(({hash, tokens}) => ({hash: hashHex(hash), tokens}))}));
	return all.lagsMs.flatMap(lagMs => all.policies.map(policy => runOne(policy, lagMs, all, stream)));
}
