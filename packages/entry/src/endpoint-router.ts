/**
 * Routing state of this entry: the routing table, kept up to date from the directory, the rules and
 * load reports, and the subset of endpoints whose reports it receives. The table is replaced atomically.
 */
import {setInterval} from 'node:timers/promises';
import {Kernel, mergeTeardowns, type Teardown} from '#core';
import {type Machine} from '#membership';
import {type Peering} from '#peering';
import {type PeerLink, type WireLoad} from '#protocol';
import {
	chooseReplica, explainChoice, RoutingTable, subsetOf, type Choice, type InstanceInfo, type LoadReport, type RouteRequest, type TokenEstimate,
} from '#routing';
import {endpointState} from '#rules';
import {type Logger} from '#telemetry';

/** Interval at which access rules are applied and lost links to the subset are reconnected. */
const CHECK_INTERVAL_MS = 1000;

export type EndpointRouterOptions = {
	readonly peering: Peering;
	readonly subsetSize: number;
	readonly log: Logger;
	readonly signal: AbortSignal;
};

/** Versions of the rules and of the expert map last reported by a machine. */
export type ReportedVersions = {readonly rulesVersion?: number; readonly mapVersion?: number};

/** Converts the wire format of the load to a report. */
function toReport([queuedTokens, running, tokensPerSecond, stepMs, cachedPrefixes, leaving]: WireLoad): LoadReport {
	return {
		queuedTokens, running, tokensPerSecond, stepMs, cachedPrefixes, leaving,
	};
}

function toInstance(machine: Machine): InstanceInfo {
	return {
		id: machine.id,
		zone: machine.zone,
		region: machine.region,
		group: machine.group ?? '',
		models: machine.kind === 'service' ? [`service:${machine.service ?? ''}`] : machine.models ?? [],
		address: machine.address,
		leaving: machine.state === 'leaving',
	};
}

export class EndpointRouter {
	static create(options: EndpointRouterOptions): EndpointRouter {
		return new EndpointRouter(options);
	}

	readonly #options: EndpointRouterOptions;
	readonly #log: Logger;
	readonly #kernel = Kernel.create<{readonly table: RoutingTable}>({table: RoutingTable.create()});
	readonly #teardown: Teardown;
	readonly #versions = new Map<string, ReportedVersions>();
	#subset: ReadonlySet<string> = new Set();

	private constructor(options: EndpointRouterOptions) {
		this.#options = options;
		this.#log = options.log.child('routing');
		const {peering} = options;
		this.#teardown = mergeTeardowns(
			peering.pool.registerLinkListener(link => {
				this.#onLink(link);
			}),
			peering.kernel.registerUpdateListener((next, prev) => {
				if (next.directory !== prev.directory) {
					this.#onDirectoryUpdate();
				}

				if (next.ruleSet !== prev.ruleSet) {
					this.#applyRules();
				}
			}),
		);
		void this.#runChecks();
	}

	/** The current routing table. */
	get table(): RoutingTable {
		return this.#kernel.snapshot.table;
	}

	/** Endpoints whose reports this entry subscribes to. */
	get subset(): ReadonlySet<string> {
		return this.#subset;
	}

	/** Versions last reported by a machine; empty if none. */
	versionsOf(id: string): ReportedVersions {
		return this.#versions.get(id) ?? {};
	}

	choose(req: RouteRequest): Choice {
		return chooseReplica(this.table, req, Date.now(), Math.random);
	}

	explain(req: RouteRequest): Choice {
		return explainChoice(this.table, req, Date.now(), Math.random);
	}

	/** Replaces the table with a changed one. */
	update(change: (table: RoutingTable, now: number) => RoutingTable): void {
		this.#kernel.update(({table}) => ({table: change(table, Date.now())}));
	}

	/** Records the load that is attached to an endpoint's message. */
	recordLoad(id: string, load: WireLoad): void {
		this.update((table, now) => table.withContact(id, now, toReport(load)));
	}

	/**
	 * Records work that is sent to a replica; the returned teardown records its end.
	 *
	 * @param cachedTokens - Prompt tokens expected in the replica's cache.
	 */
	dispatch(id: string, work: TokenEstimate, cachedTokens: number): Teardown {
		this.update((table, now) => table.withDispatch(id, work, cachedTokens, now));
		return () => {
			this.update(table => table.withFinish(id, work));
		};
	}

	close(): void {
		this.#teardown();
	}

	#onLink(link: PeerLink): void {
		const {id} = link.peer;
		if (link.peer.role !== 'endpoint') {
			link.registerMessageHandler('heartbeat', ({rulesVersion}) => {
				this.#versions.set(id, {rulesVersion});
			});
			return;
		}

		link.registerMessageHandler('report', message => {
			this.#versions.set(id, {rulesVersion: message.rulesVersion, mapVersion: message.mapVersion});
			this.update((table, now) => table.withReport(id, toReport(message.load), now));
		});
		link.registerMessageHandler('heartbeat', message => {
			this.#versions.set(id, {...this.#versions.get(id), rulesVersion: message.rulesVersion});
			this.update((table, now) => table.withContact(id, now));
		});
		link.registerMessageHandler('leaving', ({leaving}) => {
			this.update((table, now) => table.withLeaving(id, now, leaving));
			this.#log.info(leaving ? 'endpoint is leaving' : 'endpoint accepts work again', {endpoint: id});
		});
		if (this.#subset.has(id)) {
			link.send({kind: 'subscribe', reports: true});
		}
	}

	#onDirectoryUpdate(): void {
		const {peering, subsetSize} = this.#options;
		const {directory} = peering.kernel.snapshot;
		const endpoints = directory.machines.filter(machine => machine.role === 'endpoint');
		this.update((table, now) => table.withInstances(endpoints.map(machine => toInstance(machine)), now));
		const entryIds = [...new Set([...directory.entryIds, peering.machine.id])];
		const subset = new Set(subsetOf(peering.machine.id, entryIds, endpoints.map(({id}) => id), subsetSize));
		this.#resubscribe(subset);
		this.#applyRules();
	}

	#resubscribe(subset: ReadonlySet<string>): void {
		const {pool} = this.#options.peering;
		const before = this.#subset;
		this.#subset = subset;
		for (const id of before) {
			if (!subset.has(id)) {
				pool.findLink(id)?.send({kind: 'subscribe', reports: false});
			}
		}

		for (const id of subset) {
			if (!before.has(id)) {
				pool.findLink(id)?.send({kind: 'subscribe', reports: true});
			}
		}

		this.update((table, now) => table.withSubset(subset, now));
		this.#connectSubset();
	}

	#connectSubset(): void {
		const {peering} = this.#options;
		for (const id of this.#subset) {
			if (peering.pool.findLink(id) === undefined) {
				peering.linkTo(id).catch(() => {
					this.#log.debug('endpoint is unreachable', {endpoint: id});
				});
			}
		}
	}

	/** Marks endpoints that are closed by a rule at this time, so that they get no new work. */
	#applyRules(): void {
		const {ruleSet} = this.#options.peering.kernel.snapshot;
		const now = Date.now();
		const closed = [...this.table.replicas()]
			.filter(({id, zone, group}) => endpointState(ruleSet, {id, zone, ...(group === '' ? {} : {group})}, now).kind === 'closed')
			.map(({id}) => id);
		this.update(table => table.withClosed(new Set(closed)));
	}

	async #runChecks(): Promise<void> {
		const {signal} = this.#options;
		try {
			for await (const _ of setInterval(CHECK_INTERVAL_MS, undefined, {signal, ref: false})) {
				this.#applyRules();
				this.#connectSubset();
			}
		} catch (error) {
			if (!signal.aborted) {
				this.#log.error('routing check failed', {err: error});
			}
		}
	}
}
