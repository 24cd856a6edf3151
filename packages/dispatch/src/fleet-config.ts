/** One version of the operators' configuration as an entry uses it: routes, workspaces and their keys. */

/** What may be repeated when an attempt fails. */
export type RouteKind
	= | {readonly kind: 'idempotent'}
		| {readonly kind: 'at-most-once'}
		| {readonly kind: 'stream'; readonly resumable: boolean; /** Longest pause between events that is on time, in ms. */ readonly targetGapMs: number | undefined};

/** A share of a route's requests. */
export type ServiceShare = {
	readonly service: string;
	/** Relative to the other shares of the route. */
	readonly weight: number;
};

/** One route. */
export type Route = {
	readonly name: string;
	readonly hostname: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly kind: RouteKind;
	readonly shares: readonly ServiceShare[];
	/** Longest time a request is kept waiting, in ms. */
	readonly timeoutMs: number;
	/** Time of the first byte that is on time, in ms. */
	readonly targetMs: number;
	/** Endpoints that one request may be sent to. */
	readonly maxAttempts: number;
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Whether requests need no key. */
	readonly isPublic: boolean;
};

/** A workspace and its keys. */
export type Workspace = {
	readonly name: string;
	/** Takes precedence over the route's priority if set. */
	readonly priority: number | undefined;
	readonly keys: readonly string[];
};

/** What the operators say of a service. */
export type ServiceConfig = {
	readonly name: string;
	/** Connections that one endpoint accepts from all callers together. */
	readonly maxConnections: number | undefined;
	/** Experts of its groups; undefined if it has none. */
	readonly experts: ServiceExperts | undefined;
};

/** Experts of a service whose endpoints run in lock-step. */
export type ServiceExperts = {
	/** Sets of layers that are placed together. */
	readonly sets: number;
	/** Experts of a set. */
	readonly experts: number;
	/** Most experts of a set that one endpoint holds. */
	readonly places: number;
	/** Most experts of a set that may be new to an endpoint in one change. */
	readonly spare: number;
};

/** Bounds on callers. */
export type CallerLimits = {
	readonly maxBodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** Parts of a configuration. */
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

	/** What it was made from, to be told to a peer. */
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
			const known = this.#routesByHost.get(host);
			if (known === undefined) {
				this.#routesByHost.set(host, [route]);
			} else {
				known.push(route);
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

	/** Workspaces that hold keys. */
	get workspaceCount(): number {
		return new Set(this.#workspaceByKey?.values()).size;
	}

	/** Whether requests of routes that are not public need a key. */
	get usesKeys(): boolean {
		return this.#workspaceByKey !== undefined;
	}

	/**
	 * The route of the host whose prefix is the longest that begins the path.
	 *
	 * @param host - `Host` header; a port is ignored.
	 * @param path - Path as received, with or without query.
	 */
	findRoute(host: string, path: string): Route | undefined {
		const name = host.replace(/:\d+$/u, '').toLowerCase();
		const end = path.indexOf('?');
		const bare = end === -1 ? path : path.slice(0, end);
		return this.#routesByHost.get(name)?.find(route => bare.startsWith(route.pathPrefix));
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
	let left = random * total;
	for (const share of shares) {
		left -= Math.max(0, share.weight);
		if (left < 0) {
			return share.service;
		}
	}

	return undefined;
}
