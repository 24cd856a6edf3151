/**
 * Routing benchmark: compares routing policies at several report lags. Many entries, each with its own routing table and
 * load reports from a subset of the replicas, route the same request stream to simulated replicas.
 */
import {build} from 'hdr-histogram-js';
import {
	createRandom, createStream, EventQueue, ReplicaModel, type BenchRequest, type Job,
} from './workloads/requests.js';
import {
	hashHex, chooseReplica, initHashing, PrefixCacheIndex, rendezvousOrder, RoutingTable, subsetOf, type CandidateSource, type LoadReport,
} from '#routing';

const REPORT_INTERVAL_MS = 1000;
/** One-way latency between an entry and an endpoint. */
const NETWORK_MS = 0.5;

/** Routing policy of one entry. Replicas are identified by index. */
type Balancer = {
	choose: (request: BenchRequest) => number;
	onReport: (replica: number, report: LoadReport) => void;
	onAccepted: (replica: number, request: BenchRequest, cachedTokens: number, load: LoadReport | undefined) => void;
	onEnd: (replica: number, request: BenchRequest, load: LoadReport | undefined) => void;
};

/** Policies that are compared; `ours` is the routing of this load balancer. */
export type PolicyName = 'round-robin' | 'least-outstanding' | 'prefix-hash' | 'ours';

type BalancerOptions = {
	readonly events: EventQueue;
	readonly entryId: string;
	readonly replicaIds: readonly string[];
	readonly subset: readonly number[];
	readonly random: () => number;
};

const noop = () => undefined;

function createRoundRobin({subset, random}: BalancerOptions): Balancer {
	let next = Math.floor(random() * subset.length);
	return {
		choose: () => subset[next++ % subset.length] ?? 0,
		onReport: noop,
		onAccepted: noop,
		onEnd: noop,
	};
}

function createLeastOutstanding({subset, random}: BalancerOptions): Balancer {
	const outstanding = new Map(subset.map(index => [index, 0]));
	const add = (replica: number, count: number) => outstanding.set(replica, (outstanding.get(replica) ?? 0) + count);
	return {
		choose() {
			const least = Math.min(...outstanding.values());
			const ties = subset.filter(index => outstanding.get(index) === least);
			const chosen = ties[Math.floor(random() * ties.length)] ?? 0;
			add(chosen, 1);
			return chosen;
		},
		onReport: noop,
		onAccepted: noop,
		onEnd(replica) {
			add(replica, -1);
		},
	};
}

/** Hashes the prefix up to the first turn, which keeps a conversation on one replica and spreads a popular system prompt over several. */
function createPrefixHash({replicaIds}: BalancerOptions): Balancer {
	const indexOf = new Map(replicaIds.map((id, index) => [id, index]));
	return {
		choose: ({prefixes}) => indexOf.get(rendezvousOrder(prefixes[1]?.hash ?? '', replicaIds, 1)[0] ?? '') ?? 0,
		onReport: noop,
		onAccepted: noop,
		onEnd: noop,
	};
}

type Expected = {readonly source: CandidateSource; readonly cachedTokens: number};

const TARGET = {zone: 'a', region: 'r', model: 'm'};

function createProductBalancer({events, replicaIds, subset, random}: BalancerOptions): Balancer {
	const prefixIndex = PrefixCacheIndex.create();
	const indexOf = new Map(replicaIds.map((id, index) => [id, index]));
	const expected = new Map<number, Expected>();
	const idOf = (index: number) => replicaIds[index] ?? '';
	let table = RoutingTable.create()
		.withInstances(replicaIds.map(id => ({
			id, zone: TARGET.zone, region: TARGET.region, group: 'g', models: [TARGET.model], address: id, leaving: false,
		})), 0)
		.withSubset(new Set(subset.map(index => idOf(index))), 0);
	return {
		choose(request) {
			const choice = chooseReplica(table, {
				...TARGET, inputTokens: request.inputTokens, outputTokens: request.outputTokens, prefixes: request.prefixes,
				prefixLookup: prefixIndex.lookup(request.prefixes, events.now), excluded: new Set(),
			}, events.now, random);
			const id = choice.kind === 'chosen' ? choice.replica.id : idOf(0);
			table = table.withDispatch(id, request, choice.kind === 'chosen' ? choice.cachedTokens : 0, events.now);
			prefixIndex.recordDispatch(request.prefixes, id, events.now);
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
			prefixIndex.recordAccepted(request.prefixes, expected.get(request.id) ?? {source: 'random', cachedTokens: 0}, cachedTokens);
			expected.delete(request.id);
		},
		onEnd(replica, request, load) {
			table = table.withContact(idOf(replica), events.now, load).withFinish(idOf(replica), request);
		},
	};
}

const policies: Readonly<Record<PolicyName, (options: BalancerOptions) => Balancer>> = {
	'round-robin': createRoundRobin, 'least-outstanding': createLeastOutstanding, 'prefix-hash': createPrefixHash, ours: createProductBalancer,
};

/** Size and load of the simulated fleet. */
export type RoutingBenchOptions = {
	readonly seed: number;
	readonly entries: number;
	readonly replicas: number;
	readonly subsetSize: number;
	readonly requestsPerSecondPerReplica: number;
	readonly durationMs: number;
	/** Requests that arrive before this time are not measured. */
	readonly warmUpMs: number;
	readonly lagsMs: readonly number[];
	readonly policies: readonly PolicyName[];
};

/** A tenth of the design page's fleet, in the same proportions: 4.7 replicas per entry, 5.7 requests/s per replica. */
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

/** Results of one policy at one report lag. */
export type RoutingFigures = {
	readonly policy: PolicyName;
	readonly lagMs: number;
	readonly requests: number;
	/** Running tokens of the replicas: largest divided by mean, averaged over one sample per second. */
	readonly imbalance: number;
	/** Prompt tokens found in a prefix cache divided by all prompt tokens. */
	readonly prefixHitRate: number;
	/** Time to first token, in milliseconds. */
	readonly firstTokenMs: {readonly p50: number; readonly p95: number; readonly p99: number};
};

type Simulation = {
	readonly events: EventQueue;
	readonly replicas: readonly ReplicaModel[];
	readonly balancers: readonly Balancer[];
	/** For each replica, the indexes of the entries subscribed to its reports. */
	readonly subscribers: ReadonlyArray<readonly number[]>;
	readonly lagMs: number;
	/** Latest delivered load report of each replica, at least `lagMs` old. */
	readonly latestLoads: LoadReport[];
};

function createSimulation(policy: PolicyName, lagMs: number, options: RoutingBenchOptions): Simulation {
	const events = EventQueue.create();
	const random = createRandom(options.seed + 1);
	const replicaIds = Array.from({length: options.replicas}, (_, index) => `replica-${index}`);
	const entryIds = Array.from({length: options.entries}, (_, index) => `entry-${index}`);
	const subsets = entryIds.map(entryId => subsetOf(entryId, entryIds, replicaIds, options.subsetSize).map(id => replicaIds.indexOf(id)));
	return {
		events,
		lagMs,
		latestLoads: [],
		replicas: replicaIds.map(() => ReplicaModel.create(events)),
		balancers: entryIds.map((entryId, index) => policies[policy]({
			events, entryId, replicaIds, random, subset: subsets[index] ?? [],
		})),
		subscribers: replicaIds.map((_, replica) => entryIds.map((_, entry) => entry).filter(entry => subsets[entry]?.includes(replica))),
	};
}

/** Sends the reports of each replica once per second, with the replicas spread over the second; a report arrives `lagMs` plus the network latency after it was taken. */
function scheduleReports({events, replicas, balancers, subscribers, lagMs, latestLoads}: Simulation, durationMs: number): void {
	for (const [index, replica] of replicas.entries()) {
		const report = () => {
			const load = replica.report();
			events.schedule(events.now + lagMs + NETWORK_MS, () => {
				latestLoads[index] = load;
				for (const entry of subscribers[index] ?? []) {
					balancers[entry]?.onReport(index, load);
				}
			});
			if (events.now < durationMs) {
				events.schedule(events.now + REPORT_INTERVAL_MS, report);
			}
		};

		events.schedule(REPORT_INTERVAL_MS * index / replicas.length, report);
	}
}

function simulate(policy: PolicyName, lagMs: number, options: RoutingBenchOptions, stream: readonly BenchRequest[]): RoutingFigures {
	const simulation = createSimulation(policy, lagMs, options);
	const {events, replicas, balancers} = simulation;
	const firstTokenHistogram = build({highestTrackableValue: options.durationMs * 2, numberOfSignificantValueDigits: 3});
	let promptTokens = 0;
	let hitTokens = 0;
	let measured = 0;
	const send = (request: BenchRequest) => {
		const balancer = balancers[request.entry];
		const chosen = balancer?.choose(request) ?? 0;
		const isMeasured = request.arrivalMs >= options.warmUpMs;
		const job: Job = {
			request,
			onStart(cachedTokens) {
				promptTokens += isMeasured ? request.inputTokens : 0;
				hitTokens += isMeasured ? cachedTokens : 0;
				const load = lagMs === 0 ? replicas[chosen]?.report() : simulation.latestLoads[chosen];
				events.schedule(events.now + NETWORK_MS, () => balancer?.onAccepted(chosen, request, cachedTokens, load));
			},
			onFirstToken() {
				measured += isMeasured ? 1 : 0;
				if (isMeasured) {
					firstTokenHistogram.recordValue(Math.max(1, Math.round(events.now + NETWORK_MS - request.arrivalMs)));
				}
			},
			onEnd() {
				events.schedule(events.now + NETWORK_MS, () => balancer?.onEnd(chosen, request, lagMs === 0 ? replicas[chosen]?.report() : simulation.latestLoads[chosen]));
			},
		};
		events.schedule(events.now + NETWORK_MS, () => replicas[chosen]?.submit(job));
	};

	for (const request of stream) {
		events.schedule(request.arrivalMs, () => {
			send(request);
		});
	}

	const imbalances: number[] = [];
	for (let at = options.warmUpMs; at < options.durationMs; at += 1000) {
		events.schedule(at, () => {
			const tokens = replicas.map(({runningTokens}) => runningTokens);
			imbalances.push(Math.max(...tokens) * tokens.length / tokens.reduce((sum, count) => sum + count, 0));
		});
	}

	scheduleReports(simulation, options.durationMs);
	// The simulation continues until the queues are empty, so that requests with a long time to first token are measured too.
	events.runUntil(options.durationMs * 2);
	return {
		policy,
		lagMs,
		requests: measured,
		imbalance: imbalances.reduce((sum, value) => sum + value, 0) / imbalances.length,
		prefixHitRate: hitTokens / promptTokens,
		firstTokenMs: {p50: firstTokenHistogram.getValueAtPercentile(50), p95: firstTokenHistogram.getValueAtPercentile(95), p99: firstTokenHistogram.getValueAtPercentile(99)},
	};
}

/** Runs every policy at every report lag on the same request stream. One run takes a few seconds at the default size. */
export async function runRoutingBench(options: Partial<RoutingBenchOptions> = {}): Promise<readonly RoutingFigures[]> {
	await initHashing();
	const settings = {...defaultRoutingBench, ...options};
	const stream = createStream({
		seed: settings.seed, requestsPerSecond: settings.requestsPerSecondPerReplica * settings.replicas, durationMs: settings.durationMs, entries: settings.entries, workspaces: 97,
	}).map(request => ({...request, prefixes: request.prefixes.map(({hash, tokens}) => ({hash: hashHex(hash), tokens}))}));
	return settings.lagsMs.flatMap(lagMs => settings.policies.map(policy => simulate(policy, lagMs, settings, stream)));
}
