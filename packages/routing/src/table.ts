/** The routing table of an entry: an immutable snapshot of all replicas. Each change returns a new table. */
import {PersistentMap} from './persistent-map.js';
import {emptyStats, computeFleetStats, type FleetStats} from './fleet-stats.js';
import {servesModel} from './model-name.js';
import {
	type InstanceInfo, type LoadReport, type Replica, type TokenEstimate,
} from './types.js';

/** A replica is suspected after this time without a report, heartbeat or response (design page, section 7). */
export const SUSPECT_AFTER_MS = 3000;
/** A replica that refused work as full is used only as a last resort for this time, about one report interval. */
export const FULL_BACKOFF_MS = 1000;
/** Minimum interval between updates of the fleet statistics, which change slowly and cost a pass over all replicas. */
const STATS_INTERVAL_MS = 250;
/** Decay of the peak rate with each report; it halves in about 700 reports, so an idle replica keeps its known capacity for minutes. */
const PEAK_DECAY = 0.999;
/** Unreported dispatches kept for each replica; older ones are soon covered by a report. */
const MAX_UNREPORTED = 256;

/** Parameters of a routing table. */
export type TableOptions = {
	/** Work dispatched less than this time before a report arrives is not yet included in it, milliseconds. */
	readonly reportLagMs: number;
	/** Rate assumed while no replica has recently reported one, tokens per second. */
	readonly defaultTokensPerSecond: number;
};

const defaultOptions: TableOptions = {reportLagMs: 500, defaultTokensPerSecond: 2000};

/** Reason of a refusal by an endpoint, as far as the routing table distinguishes them. */
export type RefusalReason = 'leaving' | 'endpoint-full' | 'other';

type ReplicaUpdate = (replica: Replica) => Replica;

type TableState = {
	readonly options: TableOptions;
	readonly stats: FleetStats;
	readonly replicas: PersistentMap<Replica>;
	/** Replica ids by offered model name; replaced only when the directory changes. */
	readonly idsByModel: ReadonlyMap<string, readonly string[]>;
	/** By requested model name; a cache shared by all tables with the same directory and subset. */
	readonly servingCache: Map<string, ServingReplicas>;
};

/** Sorted ids of the replicas that serve a model, regardless of their state. */
export type ServingReplicas = {
	readonly all: readonly string[];
	/** Replicas whose reports this entry subscribes to. */
	readonly subscribed: readonly string[];
	readonly byRegion: ReadonlyMap<string, readonly string[]>;
};

function initialReplica(instance: InstanceInfo, now: number): Replica {
	return {
		...instance,
		report: undefined,
		reportedAt: 0,
		lastContactAt: now,
		unansweredSince: undefined,
		subscribed: false,
		closed: false,
		announcedLeaving: false,
		fullUntil: 0,
		peakTokensPerSecond: 0,
		inFlightTokens: 0,
		inFlightRequests: 0,
		unreported: [],
	};
}

function withLoad(replica: Replica, report: LoadReport, now: number, lagMs: number): Replica {
	return {
		...replica,
		report,
		reportedAt: now,
		announcedLeaving: report.leaving,
		peakTokensPerSecond: Math.max(report.tokensPerSecond, replica.peakTokensPerSecond * PEAK_DECAY),
		unreported: replica.unreported.filter(({at}) => at > now - lagMs),
	};
}

function recordContact(replica: Replica, now: number): Replica {
	return {...replica, lastContactAt: now, unansweredSince: undefined};
}

/** Whether a replica accepts no new work because it is leaving. */
export function isLeaving(replica: Replica): boolean {
	return replica.leaving || replica.announcedLeaving;
}

/** Whether a replica is suspected to have failed because nothing was received from it for too long. */
export function isSuspected(replica: Replica, now: number): boolean {
	const isSilent = replica.subscribed && now - replica.lastContactAt > SUSPECT_AFTER_MS;
	const isUnanswered = replica.unansweredSince !== undefined && now - replica.unansweredSince > SUSPECT_AFTER_MS;
	return isSilent || isUnanswered;
}

/** Immutable table of the replicas known to an entry. Unknown ids are ignored in every call, since messages may arrive after an instance was removed. */
export class RoutingTable {
	static create(options: Partial<TableOptions> = {}): RoutingTable {
		return new RoutingTable({
			options: {...defaultOptions, ...options},
			stats: emptyStats,
			replicas: PersistentMap.create(),
			idsByModel: new Map(),
			servingCache: new Map(),
		});
	}

	readonly #state: TableState;

	private constructor(parts: TableState) {
		this.#state = parts;
	}

	get options(): TableOptions {
		return this.#state.options;
	}

	/** Statistics over the replicas with a recent report. */
	get stats(): FleetStats {
		return this.#state.stats;
	}

	/** Number of known replicas. */
	get size(): number {
		return this.#state.replicas.size;
	}

	get(id: string): Replica | undefined {
		return this.#state.replicas.get(id);
	}

	replicas(): Iterable<Replica> {
		return this.#state.replicas.values();
	}

	/** The replicas that serve a model. */
	replicasServing(wanted: string): ServingReplicas {
		const cached = this.#state.servingCache.get(wanted);
		if (cached !== undefined) {
			return cached;
		}

		const lists = [...this.#state.idsByModel].filter(([offered]) => servesModel(offered, wanted)).map(([, ids]) => ids);
		const all = [...new Set(lists.flat())].toSorted();
		const serving = {
			all,
			subscribed: all.filter(id => this.get(id)?.subscribed),
			byRegion: this.#byRegion(all),
		};
		// Callers can request any name, so only names that a replica serves are cached.
		if (all.length > 0) {
			this.#state.servingCache.set(wanted, serving);
		}

		return serving;
	}

	/** Replaces the directory. Replicas that remain keep their state; the others are removed. */
	withInstances(instances: Iterable<InstanceInfo>, now: number): RoutingTable {
		let replicas = PersistentMap.create<Replica>();
		const idsByModel = new Map<string, string[]>();
		for (const instance of instances) {
			const existing = this.#state.replicas.get(instance.id);
			replicas = replicas.with(instance.id, existing === undefined ? initialReplica(instance, now) : {...existing, ...instance});
			for (const model of instance.models) {
				const ids = idsByModel.get(model) ?? [];
				ids.push(instance.id);
				idsByModel.set(model, ids);
			}
		}

		return new RoutingTable({
			...this.#state, replicas, idsByModel, servingCache: new Map(),
		});
	}

	/** Adds or replaces an instance of the directory. */
	withInstance(instance: InstanceInfo, now: number): RoutingTable {
		const others = [...this.#state.replicas.values()].filter(({id}) => id !== instance.id);
		return this.withInstances([...others, instance], now);
	}

	/** Removes an instance. */
	withoutInstance(id: string, now: number): RoutingTable {
		return this.withInstances([...this.#state.replicas.values()].filter(other => other.id !== id), now);
	}

	/** Records a load report. */
	withReport(id: string, report: LoadReport, now: number): RoutingTable {
		const next = this.#updateReplica(id, replica => recordContact(withLoad(replica, report, now, this.options.reportLagMs), now));
		return next.#withRecentStats(now);
	}

	/** Records that a message arrived from a replica, either a heartbeat or a response to work, with its load if it contains any. */
	withContact(id: string, now: number, load?: LoadReport): RoutingTable {
		return load === undefined ? this.#updateReplica(id, replica => recordContact(replica, now)) : this.withReport(id, load, now);
	}

	/** Records a `leaving` message or its withdrawal. A later report whose flag is false withdraws it too. */
	withLeaving(id: string, now: number, leaving = true): RoutingTable {
		return this.#updateReplica(id, replica => ({...recordContact(replica, now), announcedLeaving: leaving}));
	}

	/** Records a refusal of work. Call `withFinish` for the refused work as well. */
	withRefusal(id: string, reason: RefusalReason, now: number, load?: LoadReport): RoutingTable {
		return this.withContact(id, now, load).#updateReplica(id, replica => ({
			...replica,
			announcedLeaving: replica.announcedLeaving || reason === 'leaving',
			fullUntil: reason === 'endpoint-full' ? now + FULL_BACKOFF_MS : replica.fullUntil,
		}));
	}

	/** Records work that this entry sends; `cachedTokens` is the number that the choice expects. */
	withDispatch(id: string, work: TokenEstimate, cachedTokens: number, now: number): RoutingTable {
		return this.#updateReplica(id, replica => ({
			...replica,
			unansweredSince: replica.unansweredSince ?? now,
			inFlightTokens: replica.inFlightTokens + work.inputTokens + work.outputTokens,
			inFlightRequests: replica.inFlightRequests + 1,
			unreported: [...replica.unreported.slice(1 - MAX_UNREPORTED), {at: now, prefillTokens: Math.max(0, work.inputTokens - cachedTokens)}],
		}));
	}

	/** Records the end of an attempt, whatever its outcome; `work` is the value passed to `withDispatch`. */
	withFinish(id: string, work: TokenEstimate): RoutingTable {
		return this.#updateReplica(id, replica => ({
			...replica,
			inFlightTokens: Math.max(0, replica.inFlightTokens - work.inputTokens - work.outputTokens),
			inFlightRequests: Math.max(0, replica.inFlightRequests - 1),
		}));
	}

	/** Sets the replicas that the rules close; all others are open. */
	withClosed(ids: ReadonlySet<string>): RoutingTable {
		return this.#withReplicas(this.#updateAll(replica => replica.closed === ids.has(replica.id) ? replica : {...replica, closed: ids.has(replica.id)}));
	}

	/** Sets the replicas whose reports this entry subscribes to. For new ones, the failure timeout starts at `now`. */
	withSubset(ids: ReadonlySet<string>, now: number): RoutingTable {
		const replicas = this.#updateAll(replica => {
			const subscribed = ids.has(replica.id);
			return subscribed === replica.subscribed
				? replica
				: {...replica, subscribed, lastContactAt: subscribed ? now : replica.lastContactAt};
		});
		return new RoutingTable({...this.#state, replicas, servingCache: new Map()});
	}

	#byRegion(ids: readonly string[]): ReadonlyMap<string, readonly string[]> {
		const groups = new Map<string, string[]>();
		for (const id of ids) {
			const region = this.get(id)?.region ?? '';
			const group = groups.get(region) ?? [];
			group.push(id);
			groups.set(region, group);
		}

		return groups;
	}

	#updateReplica(id: string, change: ReplicaUpdate): RoutingTable {
		const replica = this.#state.replicas.get(id);
		return replica === undefined ? this : this.#withReplicas(this.#state.replicas.with(id, change(replica)));
	}

	#updateAll(change: ReplicaUpdate): PersistentMap<Replica> {
		let {replicas} = this.#state;
		for (const replica of this.#state.replicas.values()) {
			const changed = change(replica);
			replicas = changed === replica ? replicas : replicas.with(replica.id, changed);
		}

		return replicas;
	}

	#withRecentStats(now: number): RoutingTable {
		if (now - this.stats.computedAt < STATS_INTERVAL_MS && this.stats.reportCount > 0) {
			return this;
		}

		return this.#withReplicas(this.#state.replicas, computeFleetStats(this.#state.replicas.values(), now));
	}

	#withReplicas(replicas: PersistentMap<Replica>, stats = this.stats): RoutingTable {
		return new RoutingTable({...this.#state, replicas, stats});
	}
}
