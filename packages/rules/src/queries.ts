/** Lookups in a rule set. */
import {isWithinHours, nextBoundary} from './daily-hours.js';
import type {
	ExpertRule, FencingMode, ModelRule, RuleSet, ServiceRule, WorkspaceRule,
} from './model.js';

/** Finds the workspace with a key of this SHA-256 hash (64 hex digits). */
export function workspaceByKeyHash(ruleSet: RuleSet, hash: string): WorkspaceRule | undefined {
	return ruleSet.workspacesByKeyHash.get(hash.toLowerCase());
}

/** The rule of a service; a service without a rule is not available to callers. */
export function serviceRule(ruleSet: RuleSet, name: string): ServiceRule | undefined {
	return ruleSet.services.get(name);
}

/** True if a call to the service must run at most once. */
export function isNonIdempotent(rule: ServiceRule, method: string, path: string): boolean {
	const upperMethod = method.toUpperCase();
	return rule.nonIdempotent.some(pattern =>
		(pattern.method === '*' || pattern.method === upperMethod) && matchesPath(pattern.path, path));
}

/** The expert placement rule of a model. */
export function expertRule(ruleSet: RuleSet, model: string): ExpertRule | undefined {
	return ruleSet.experts.get(model);
}

/**
 * End of the quiet hours that include `now`, in milliseconds since the epoch.
 *
 * @returns Undefined if experts may be moved now.
 */
export function quietHoursEnd(rule: ExpertRule, now: number): number | undefined {
	if (rule.quiet === undefined || !isWithinHours(rule.quiet, now)) {
		return undefined;
	}

	let time = nextBoundary(rule.quiet, now);
	// Adjacent windows form one continuous period.
	for (const _ of rule.quiet.windows) {
		if (!isWithinHours(rule.quiet, time)) {
			break;
		}

		time = nextBoundary(rule.quiet, time);
	}

	return time;
}

/** The model that a caller requested, resolved by the rules. */
export type ResolvedModel = {
	readonly rule: ModelRule;
	readonly version: string;
	readonly adapter?: string;
};

/**
 * Resolves `NAME`, `NAME@VERSION`, `NAME:ADAPTER` or `NAME@VERSION:ADAPTER`.
 *
 * @returns Undefined if the rules define no such model, version or adapter.
 */
export function resolveModel(ruleSet: RuleSet, requested: string): ResolvedModel | undefined {
	const match = /^(?<name>[^@:]+)(?:@(?<version>[^@:]+))?(?::(?<adapter>[^@:]+))?$/u.exec(requested);
	const rule = ruleSet.models.get(match?.groups?.name ?? '');
	const adapter = match?.groups?.adapter;
	const version = match?.groups?.version ?? rule?.versions[0];
	if (rule === undefined || version === undefined || !rule.versions.includes(version)) {
		return undefined;
	}

	if (adapter === undefined) {
		return {rule, version};
	}

	return rule.adapters.includes(adapter) ? {rule, version, adapter} : undefined;
}

/**
 * Whether the engines of a machine check fencing tokens. A rule for the group takes precedence over
 * a rule for the zone. Without a rule, engines are assumed not to check, which is the safe assumption.
 */
export function fencingModeOf(ruleSet: RuleSet, machine: {readonly zone: string; readonly group?: string}): FencingMode {
	const rule = ruleSet.engines.get(machine.group ?? machine.zone) ?? ruleSet.engines.get(machine.zone);
	return rule?.fencing ?? 'ignored';
}

function matchesPath(pattern: string, path: string): boolean {
	const patternSegments = splitPath(pattern);
	const pathSegments = splitPath(path.split(/[?#]/u)[0] ?? '');
	const hasTrailingWildcard = patternSegments.at(-1) === '**';
	const prefix = hasTrailingWildcard ? patternSegments.slice(0, -1) : patternSegments;
	if (hasTrailingWildcard ? pathSegments.length < prefix.length : pathSegments.length !== prefix.length) {
		return false;
	}

	return prefix.every((segment, i) => segment === '*' || segment === pathSegments[i]);
}

/** Splits a path into segments. Empty segments are dropped, so that `/a//b/` cannot bypass a pattern for `/a/b`. */
function splitPath(path: string): readonly string[] {
	return path.split('/').filter(segment => segment !== '');
}
