/** What the configuration allows a request: its route, its workspace and the service that serves it. */
import type {CallerRequest} from './dialect.js';
import type {RefusalReason} from './refusals.js';
import {
	pickService, type ConfigCache, type FleetConfig, type Instant, type Route, type Workspace,
} from '#dispatch';

/** What admission looks at. */
export type AdmissionContext = {
	readonly config: ConfigCache;
	/** Age of the configuration from which keys are no longer trusted, in ms; undefined if keys may be trusted for ever. */
	readonly keyTrustMs: number | undefined;
	readonly now: () => Instant;
	readonly random: () => number;
};

export type Admission
	= {
		readonly kind: 'admitted';
		readonly route: Route;
		/** Owner of the key; undefined on public routes and where no keys are used. */
		readonly workspace: Workspace | undefined;
		readonly service: string;
	}
	| {readonly kind: 'refused'; readonly reason: RefusalReason; readonly route: Route | undefined; readonly detail: string};

/** Decides on a request as it arrives. */
export function admit(parts: AdmissionContext, req: CallerRequest): Admission {
	const config = parts.config.current;
	if (config === undefined) {
		return {
			kind: 'refused', reason: 'no-configuration', route: undefined, detail: '',
		};
	}

	const route = config.findRoute(req.host, req.path);
	if (route === undefined) {
		return {
			kind: 'refused', reason: 'unknown-route', route, detail: '',
		};
	}

	const usesKey = config.usesKeys && !route.isPublic;
	if (usesKey && !keysAreTrusted(parts)) {
		return {
			kind: 'refused', reason: 'stale-keys', route, detail: '',
		};
	}

	const workspace = usesKey ? workspaceOf(config, req) : undefined;
	if (usesKey && workspace === undefined) {
		return {
			kind: 'refused', reason: 'unknown-key', route, detail: '',
		};
	}

	const service = pickService(route.shares, parts.random());
	if (service === undefined) {
		return {
			kind: 'refused', reason: 'no-endpoint', route, detail: 'the route has no service',
		};
	}

	return {
		kind: 'admitted', route, workspace, service,
	};
}

/** Whether an admitted request may be sent at this very moment: its key may have been taken away since. */
export function maySend(parts: AdmissionContext, req: CallerRequest, workspace: Workspace | undefined): boolean {
	const config = parts.config.current;
	if (config === undefined || workspace === undefined) {
		return config !== undefined;
	}

	return keysAreTrusted(parts) && workspaceOf(config, req) !== undefined;
}

function workspaceOf(config: FleetConfig, {key}: CallerRequest): Workspace | undefined {
	return key === undefined ? undefined : config.findWorkspace(key);
}

/** Whether the configuration was confirmed lately enough for its keys to be trusted. */
export function keysAreTrusted({keyTrustMs, config, now}: AdmissionContext): boolean {
	return keyTrustMs === undefined || config.ageMs(now()) < keyTrustMs;
}
