/**
 * The endpoints as this entry sees them: the routing table, the subset whose reports it
 * takes, and what rules and directory say. The table is replaced in one update each time.
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

/** Interval at which closing rules are checked and lost subset links are dialled again. */
const CHECK_INTERVAL_MS = 1000;

export type FleetOptions = {
	readonly peering: Peering;
	readonly subsetSize: number;
	readonly log: Logger;
	readonly signal: AbortSignal;
};

/** Versions that a machine reported. */
export type ReportedVersions = {readonly rulesVersion?: number; readonly mapVersion?: number};

/** Turns the load on the wire into a report. */
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

export class Fleet {
	static create(options: FleetOptions): Fleet {
		return new Fleet(options);
	}

	readonly #options: FleetOptions;
	readonly #log: Logger;
	readonly #kernel = Kernel.create<{readonly table: RoutingTable}>({table: RoutingTable.create()});
	readonly #teardown: Teardown;
	readonly #versions = new Map<string, ReportedVersions>();
	#subset: ReadonlySet<string> = new Set();

	private constructor(options: FleetOptions) {
		this.#options = options;
		this.#log = options.log.part('routing');
		const {peering} = options;
		this.#teardown = mergeTeardowns(
			peering.pool.registerLinkListener(link => {
				this.#onLink(link);
			}),
			peering.kernel.registerUpdateListener((next, prev) => {
				if (next.directory !== prev.directory) {
					this.#onDirectory();
				}

				if (next.ruleSet !== prev.ruleSet) {
					this.#applyRules();
				}
			}),
		);
		void this.#check();
	}

	/** The routing table now. */
	get table(): RoutingTable {
		return this.#kernel.snapshot.table;
	}

	/** Endpoints whose reports this entry takes. */
	get subset(): ReadonlySet<string> {
		return this.#subset;
	}

	/** Versions of the rules and of the expert map that a machine last reported. */
	versionsOf(id: string): ReportedVersions {
		return this.#versions.get(id) ?? {};
	}

	choose(req: RouteRequest): Choice {
		return chooseReplica(this.table, req, Date.now(), Math.random);
	}

	explain(req: RouteRequest): Choice {
		return explainChoice(this.table, req, Date.now(), Math.random);
	}

	/** Changes the table. */
	update(change: (table: RoutingTable, now: number) => RoutingTable): void {
		this.#kernel.update(({table}) => ({table: change(table, Date.now())}));
	}

	/** Takes load that rode on an answer. */
	noteLoad(id: string, load: WireLoad): void {
		this.update((table, now) => table.withContact(id, now, toReport(load)));
	}

	/**
	 * Notes work that is sent; the teardown notes that it has ended.
	 *
	 * @param cachedTokens - Prompt tokens that the choice expects in the replica's cache.
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
			link.registerMessage('heartbeat', ({rulesVersion}) => {
				this.#versions.set(id, {rulesVersion});
			});
			return;
		}

		link.registerMessage('report', message => {
			this.#versions.set(id, {rulesVersion: message.rulesVersion, mapVersion: message.mapVersion});
			this.update((table, now) => table.withReport(id, toReport(message.load), now));
		});
		link.registerMessage('heartbeat', message => {
			this.#versions.set(id, {...this.#versions.get(id), rulesVersion: message.rulesVersion});
			this.update((table, now) => table.withContact(id, now));
		});
		link.registerMessage('leaving', ({leaving}) => {
			this.update((table, now) => table.withLeaving(id, now, leaving));
			this.#log.info(leaving ? 'endpoint is leaving' : 'endpoint takes work again', {endpoint: id});
		});
		if (this.#subset.has(id)) {
			link.send({kind: 'subscribe', reports: true});
		}
	}

	#onDirectory(): void {
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
				pool.linked(id)?.send({kind: 'subscribe', reports: false});
			}
		}

		for (const id of subset) {
			if (!before.has(id)) {
				pool.linked(id)?.send({kind: 'subscribe', reports: true});
			}
		}

		this.update((table, now) => table.withSubset(subset, now));
		this.#dialSubset();
	}

	#dialSubset(): void {
		const {peering} = this.#options;
		for (const id of this.#subset) {
			if (peering.pool.linked(id) === undefined) {
				peering.linkTo(id).catch(() => {
					this.#log.debug('endpoint cannot be reached', {endpoint: id});
				});
			}
		}
	}

	/** Endpoints that a rule closes at this time take no new work. */
	#applyRules(): void {
		const {ruleSet} = this.#options.peering.kernel.snapshot;
		const now = Date.now();
		const closed = [...this.table.replicas()]
			.filter(({id, zone, group}) => endpointState(ruleSet, {id, zone, ...(group === '' ? {} : {group})}, now).kind === 'closed')
			.map(({id}) => id);
		this.update(table => table.withClosed(new Set(closed)));
	}

	async #check(): Promise<void> {
		const {signal} = this.#options;
		try {
			for await (const _ of setInterval(CHECK_INTERVAL_MS, undefined, {signal, ref: false})) {
				this.#applyRules();
				this.#dialSubset();
			}
		} catch (error) {
			if (!signal.aborted) {
				this.#log.error('fleet check failed', {err: error});
			}
		}
	}
}
