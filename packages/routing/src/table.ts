/** The routing table of one entry: an immutable snapshot of all replicas; each change returns a new table. */
import {BucketMap} from './persistent-map.js';
import {emptyStats, statsOf, type FleetStats} from './fleet-stats.js';
import {servesModel} from './model-name.js';
import {
	type InstanceEntry, type LoadReport, type Replica, type TokenEstimate,
} from './types.js';

/** A replica is suspected after this time without a report, heartbeat or answer (design page, section 7). */
export const SUSPECT_AFTER_MS = 3000;
/** A replica that refused as full is a last resort for this time, about one report interval. */
export const FULL_BACKOFF_MS = 1000;
/** Statistics over the fleet are renewed at most this often; they change slowly and cost a pass over all replicas. */
const STATS_INTERVAL_MS = 250;
/** The peak rate halves in about 700 reports, so that an idle replica keeps its known capacity for minutes. */
const PEAK_DECAY = 0.999;
/** Unreported dispatches kept for one replica; older ones are covered by a report soon after. */
const MAX_UNREPORTED = 256;

/** Constants of a table. */
export type TableOptions = {
	/** Own work younger than this when a report arrives is not yet covered by that report, milliseconds. */
	readonly reportLagMs: number;
	/** Rate assumed for a replica that has not shown a higher one, tokens per second. */
	readonly defaultTokensPerSecond: number;
};

const defaultOptions: TableOptions = {reportLagMs: 500, defaultTokensPerSecond: 2000};

/** Reasons with which an endpoint refuses work that change the table. */
export type RefusalReason = 'leaving' | 'endpoint-full' | 'other';

type Change = (replica: Replica) => Replica;

type Parts = {
	readonly options: TableOptions;
	readonly stats: FleetStats;
	readonly replicas: BucketMap<Replica>;
	/** Ids by offered model name; replaced only when the directory changes. */
	readonly idsByModel: ReadonlyMap<string, readonly string[]>;
	/** By wanted model name; a cache shared by all tables with the same directory and subset. */
	readonly serving: Map<string, ServingReplicas>;
};

/** Ids of the replicas that serve a model, sorted, whatever their state. */
export type ServingReplicas = {
	readonly all: readonly string[];
	/** Those whose reports this entry subscribes to. */
	readonly subscribed: readonly string[];
	readonly byRegion: ReadonlyMap<string, readonly string[]>;
};

function initialReplica(entry: InstanceEntry, now: number): Replica {
	return {
		...entry,
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

function heard(replica: Replica, now: number): Replica {
	return {...replica, lastContactAt: now, unansweredSince: undefined};
}

/** Whether a replica takes no new work because it is leaving. */
export function isLeaving(replica: Replica): boolean {
	return replica.leaving || replica.announcedLeaving;
}

/** Whether a replica has been silent for too long to be trusted. */
export function isSuspected(replica: Replica, now: number): boolean {
	const silent = replica.subscribed && now - replica.lastContactAt > SUSPECT_AFTER_MS;
	const unanswered = replica.unansweredSince !== undefined && now - replica.unansweredSince > SUSPECT_AFTER_MS;
	return silent || unanswered;
}

/** What an entry knows about the replicas. Unknown ids in any call are ignored: messages may outlive an instance. */
export class RoutingTable {
	static create(options: Partial<TableOptions> = {}): RoutingTable {
		return new RoutingTable({
			options: {...defaultOptions, ...options},
			stats: emptyStats,
			replicas: BucketMap.create(),
			idsByModel: new Map(),
			serving: new Map(),
		});
	}

	readonly #parts: Parts;

	private constructor(parts: Parts) {
		this.#parts = parts;
	}

	get options(): TableOptions {
		return this.#parts.options;
	}

	/** Means over the replicas with a recent report. */
	get stats(): FleetStats {
		return this.#parts.stats;
	}

	/** Number of known replicas. */
	get size(): number {
		return this.#parts.replicas.size;
	}

	get(id: string): Replica | undefined {
		return this.#parts.replicas.get(id);
	}

	replicas(): Iterable<Replica> {
		return this.#parts.replicas.values();
	}

	/** The replicas that serve a model. */
	replicasServing(wanted: string): ServingReplicas {
		const cached = this.#parts.serving.get(wanted);
		if (cached !== undefined) {
			return cached;
		}

		const lists = [...this.#parts.idsByModel].filter(([offered]) => servesModel(offered, wanted)).map(([, ids]) => ids);
		const all = [...new Set(lists.flat())].toSorted();
		const serving = {
			all,
			subscribed: all.filter(id => this.get(id)?.subscribed),
			byRegion: this.#byRegion(all),
		};
		// Callers can ask for any name, so only names that some replica serves are kept.
		if (all.length > 0) {
			this.#parts.serving.set(wanted, serving);
		}

		return serving;
	}

	/** Replaces the directory. Replicas that stay keep their load; the others are forgotten. */
	withInstances(entries: Iterable<InstanceEntry>, now: number): RoutingTable {
		let replicas = BucketMap.create<Replica>();
		const idsByModel = new Map<string, string[]>();
		for (const entry of entries) {
			const known = this.#parts.replicas.get(entry.id);
			replicas = replicas.with(entry.id, known === undefined ? initialReplica(entry, now) : {...known, ...entry});
			for (const model of entry.models) {
				const ids = idsByModel.get(model) ?? [];
				ids.push(entry.id);
				idsByModel.set(model, ids);
			}
		}

		return new RoutingTable({
			...this.#parts, replicas, idsByModel, serving: new Map(),
		});
	}

	/** Adds or replaces one instance of the directory. */
	withInstance(entry: InstanceEntry, now: number): RoutingTable {
		const others = [...this.#parts.replicas.values()].filter(({id}) => id !== entry.id);
		return this.withInstances([...others, entry], now);
	}

	/** Forgets an instance. */
	withoutInstance(id: string, now: number): RoutingTable {
		return this.withInstances([...this.#parts.replicas.values()].filter(other => other.id !== id), now);
	}

	/** Takes a load report. */
	withReport(id: string, report: LoadReport, now: number): RoutingTable {
		const next = this.#change(id, replica => heard(withLoad(replica, report, now, this.options.reportLagMs), now));
		return next.#withFreshStats(now);
	}

	/** Takes any sign of life: a heartbeat, or an answer to work, with a load reading if it carries one. */
	withContact(id: string, now: number, load?: LoadReport): RoutingTable {
		return load === undefined ? this.#change(id, replica => heard(replica, now)) : this.withReport(id, load, now);
	}

	/** Takes a `leaving` message, or one that withdraws it; so does a later report with a false flag. */
	withLeaving(id: string, now: number, leaving = true): RoutingTable {
		return this.#change(id, replica => ({...heard(replica, now), announcedLeaving: leaving}));
	}

	/** Takes a refusal of work. Call `withFinish` for the refused work as well. */
	withRefusal(id: string, reason: RefusalReason, now: number, load?: LoadReport): RoutingTable {
		return this.withContact(id, now, load).#change(id, replica => ({
			...replica,
			announcedLeaving: replica.announcedLeaving || reason === 'leaving',
			fullUntil: reason === 'endpoint-full' ? now + FULL_BACKOFF_MS : replica.fullUntil,
		}));
	}

	/** Notes work that this entry sends; `cachedTokens` as the choice expects them. */
	withDispatch(id: string, work: TokenEstimate, cachedTokens: number, now: number): RoutingTable {
		return this.#change(id, replica => ({
			...replica,
			unansweredSince: replica.unansweredSince ?? now,
			inFlightTokens: replica.inFlightTokens + work.inputTokens + work.outputTokens,
			inFlightRequests: replica.inFlightRequests + 1,
			unreported: [...replica.unreported.slice(1 - MAX_UNREPORTED), {at: now, prefillTokens: Math.max(0, work.inputTokens - cachedTokens)}],
		}));
	}

	/** Notes that an attempt is over, whatever its outcome; `work` is the value given to `withDispatch`. */
	withFinish(id: string, work: TokenEstimate): RoutingTable {
		return this.#change(id, replica => ({
			...replica,
			inFlightTokens: Math.max(0, replica.inFlightTokens - work.inputTokens - work.outputTokens),
			inFlightRequests: Math.max(0, replica.inFlightRequests - 1),
		}));
	}

	/** Sets the replicas that rules close; all others are open. */
	withClosed(ids: ReadonlySet<string>): RoutingTable {
		return this.#withReplicas(this.#mapAll(replica => replica.closed === ids.has(replica.id) ? replica : {...replica, closed: ids.has(replica.id)}));
	}

	/** Sets the replicas whose reports this entry subscribes to. Silence counts from `now` for new ones. */
	withSubset(ids: ReadonlySet<string>, now: number): RoutingTable {
		const replicas = this.#mapAll(replica => {
			const subscribed = ids.has(replica.id);
			return subscribed === replica.subscribed
				? replica
				: {...replica, subscribed, lastContactAt: subscribed ? now : replica.lastContactAt};
		});
		return new RoutingTable({...this.#parts, replicas, serving: new Map()});
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

	#change(id: string, change: Change): RoutingTable {
		const replica = this.#parts.replicas.get(id);
		return replica === undefined ? this : this.#withReplicas(this.#parts.replicas.with(id, change(replica)));
	}

	#mapAll(change: Change): BucketMap<Replica> {
		let {replicas} = this.#parts;
		for (const replica of this.#parts.replicas.values()) {
			const changed = change(replica);
			replicas = changed === replica ? replicas : replicas.with(replica.id, changed);
		}

		return replicas;
	}

	#withFreshStats(now: number): RoutingTable {
		if (now - this.stats.computedAt < STATS_INTERVAL_MS && this.stats.reportCount > 0) {
			return this;
		}

		return this.#withReplicas(this.#parts.replicas, statsOf(this.#parts.replicas.values(), now));
	}

	#withReplicas(replicas: BucketMap<Replica>, stats = this.stats): RoutingTable {
		return new RoutingTable({...this.#parts, replicas, stats});
	}
}
