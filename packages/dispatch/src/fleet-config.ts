/** One version of the operators' configuration as used by an entry: routes, workspaces and their keys. */
import type {ServiceWarmup} from './warmup-rate.js';

/** Which requests may be repeated when an attempt fails. */
export type RouteKind
	= | {readonly kind: 'idempotent'}
		| {readonly kind: 'at-most-once'}
		| {readonly kind: 'stream'; readonly resumable: boolean; /** Target for the longest pause between events, in ms. */ readonly targetGapMs: number | undefined};

/** A service's share of the requests of a route. */
export type ServiceShare = {
	readonly service: string;
	/** Relative to the other shares of the route. */
	readonly weight: number;
};

export type Route = {
	readonly name: string;
	readonly hostname: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly kind: RouteKind;
	readonly shares: readonly ServiceShare[];
	/** Longest time that a request may take, in ms. */
	readonly timeoutMs: number;
	/** Target for the time to the first byte, in ms. */
	readonly targetMs: number;
	/** Maximum number of attempts for one request, each at another endpoint. */
	readonly maxAttempts: number;
	/** 0 is the highest. */
	readonly priority: number;
	/** Whether requests need no key. */
	readonly isPublic: boolean;
};

/** Callers stay connected to a stream for at least this time without an event, in ms. */
const MIN_STREAM_PATIENCE_MS = 2000;

/** Multiple of a route's target for the first byte for which callers stay connected without an event. */
const PATIENCE_TARGETS = 4;

/** The same for the target of the longest pause. */
const PATIENCE_GAPS = 8;

/** Time without an event after which callers disconnect from a stream of a route, also before its first event, in ms. */
export function streamPatienceMs({targetMs, kind}: Route): number {
	const targetGapMs = kind.kind === 'stream' ? (kind.targetGapMs ?? 0) : 0;
	return Math.max(MIN_STREAM_PATIENCE_MS, targetMs * PATIENCE_TARGETS, targetGapMs * PATIENCE_GAPS);
}

export type Workspace = {
	readonly name: string;
	/** Overrides the priority of the route if set. */
	readonly priority: number | undefined;
	readonly keys: readonly string[];
};

/** The operators' settings for a service. */
export type ServiceConfig = {
	readonly name: string;
	/** Connections that one endpoint accepts from all callers together. */
	readonly maxConnections: number | undefined;
	/** Experts of the groups behind the service; undefined if it has none. */
	readonly experts: ServiceExperts | undefined;
	/** Whether its callers compete by class and workspace for its capacity for streams. */
	readonly sharesCapacity: boolean;
	/** Whether its endpoints change their speed while in service, so that their pace is learned. */
	readonly learnsPace: boolean;
	/** Warm-up of its endpoints; undefined if they have none, and from an entry of an earlier version. */
	readonly warmup?: ServiceWarmup | undefined;
};

/** Experts of a service whose endpoints run in lockstep. */
export type ServiceExperts = {
	/** Number of sets of layers that are placed together. */
	readonly sets: number;
	/** Experts per set. */
	readonly experts: number;
	/** Maximum number of experts of a set on one endpoint. */
	readonly places: number;
	/** Maximum number of experts of a set that one change may newly assign to an endpoint. */
	readonly spare: number;
};

/** Limits for callers. */
export type CallerLimits = {
	readonly maxBodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** The content of a configuration. */
export type FleetConfigData = {
	readonly version: number;
	readonly routes: readonly Route[];
	/** Undefined if the configuration uses no keys. */
	readonly workspaces: readonly Workspace[] | undefined;
	readonly services: readonly ServiceConfig[];
	readonly limits: CallerLimits;
};

export class FleetConfig {
	/** Indexes a configuration. A key that two workspaces hold belongs to the first. */
	static create(parts: FleetConfigData): FleetConfig {
		return new FleetConfig(parts);
	}

	/** The content it was created from, to send to a peer. */
	readonly data: FleetConfigData;
	readonly version: number;
	readonly limits: CallerLimits;
	readonly routes: readonly Route[];
	readonly services: ReadonlyMap<string, ServiceConfig>;
	readonly #routesByHost = new Map<string, Route[]>();
	readonly #workspaceByKey: Map<string, Workspace> | undefined;

	private constructor(parts: FleetConfigData) {
		const {version, routes, workspaces, services, limits} = parts;
		this.data = parts;
		this.version = version;
		this.limits = limits;
		this.routes = routes;
		this.services = new Map(services.map(service => [service.name, service]));
		for (const route of routes) {
			const host = route.hostname.toLowerCase();
			const routesOfHost = this.#routesByHost.get(host);
			if (routesOfHost === undefined) {
				this.#routesByHost.set(host, [route]);
			} else {
				routesOfHost.push(route);
			}
		}

		for (const list of this.#routesByHost.values()) {
			list.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
		}

		if (workspaces !== undefined) {
			this.#workspaceByKey = new Map();
			for (const workspace of workspaces) {
				for (const key of workspace.keys) {
					if (!this.#workspaceByKey.has(key)) {
						this.#workspaceByKey.set(key, workspace);
					}
				}
			}
		}
	}

	/** Number of workspaces that hold keys. */
	get workspaceCount(): number {
		return new Set(this.#workspaceByKey?.values()).size;
	}

	/** Whether requests to routes that are not public need a key. */
	get usesKeys(): boolean {
		return this.#workspaceByKey !== undefined;
	}

	/**
	 * The route of the host with the longest prefix of the path.
	 *
	 * @param host - `Host` header; a port is ignored.
	 * @param path - Path as received, with or without a query.
	 */
	findRoute(host: string, path: string): Route | undefined {
		const hostname = host.replace(/:\d+$/u, '').toLowerCase();
		const queryStart = path.indexOf('?');
		const pathname = queryStart === -1 ? path : path.slice(0, queryStart);
		return this.#routesByHost.get(hostname)?.find(route => pathname.startsWith(route.pathPrefix));
	}

	/** The workspace that holds a key. */
	findWorkspace(key: string): Workspace | undefined {
		return this.#workspaceByKey?.get(key);
	}
}

/**
 * Picks a service by weight.
 *
 * @param random - In [0, 1).
 * @returns Undefined if no share has a positive weight.
 */
export function pickService(shares: readonly ServiceShare[], random: number): string | undefined {
	const total = shares.reduce((sum, share) => sum + Math.max(0, share.weight), 0);
	let remaining = random * total;
	for (const share of shares) {
		remaining -= Math.max(0, share.weight);
		if (remaining < 0) {
			return share.service;
		}
	}

	return undefined;
}
