/** Admission of a request by the configuration: its route, its workspace and the service that handles it. */
import type {CallerRequest} from './dialect.js';
import type {RefusalReason} from './refusals.js';
import {
	pickService, type ConfigCache, type FleetConfig, type Instant, type Route, type Workspace,
} from '#dispatch';

/** State that admission depends on. */
export type AdmissionContext = {
	readonly config: ConfigCache;
	/** Age of the configuration from which its keys are no longer trusted, in ms; undefined if they are always trusted. */
	readonly keyTrustMs: number | undefined;
	readonly now: () => Instant;
	readonly random: () => number;
};

export type Admission
	= {
		readonly kind: 'admitted';
		readonly route: Route;
		/** Owner of the key; undefined on public routes and in configurations without keys. */
		readonly workspace: Workspace | undefined;
		readonly service: string;
	}
	| {readonly kind: 'refused'; readonly reason: RefusalReason; readonly route: Route | undefined; readonly detail: string};

/** Admits or refuses a request on arrival. */
export function admit(context: AdmissionContext, req: CallerRequest): Admission {
	const config = context.config.current;
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
	if (usesKey && !keysAreTrusted(context)) {
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

	const service = pickService(route.shares, context.random());
	if (service === undefined) {
		return {
			kind: 'refused', reason: 'no-endpoint', route, detail: 'the route has no service',
		};
	}

	return {
		kind: 'admitted', route, workspace, service,
	};
}

/** Whether an admitted request may be sent now: its key may have been revoked since. */
export function maySend(context: AdmissionContext, req: CallerRequest, workspace: Workspace | undefined): boolean {
	const config = context.config.current;
	if (config === undefined || workspace === undefined) {
		return config !== undefined;
	}

	return keysAreTrusted(context) && workspaceOf(config, req) !== undefined;
}

function workspaceOf(config: FleetConfig, {key}: CallerRequest): Workspace | undefined {
	return key === undefined ? undefined : config.findWorkspace(key);
}

/** Whether the configuration was confirmed recently enough for its keys to be trusted. */
export function keysAreTrusted({keyTrustMs, config, now}: AdmissionContext): boolean {
	return keyTrustMs === undefined || config.ageMs(now()) < keyTrustMs;
}
