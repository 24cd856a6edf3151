/** Questions that the daemons ask of a rule set. */
import {isWithinHours, nextBoundary} from './daily-hours.js';
import type {
	ExpertRule, FencingMode, ModelRule, RuleSet, ServiceRule, WorkspaceRule,
} from './model.js';

/** The workspace whose key has this SHA-256 (64 hex digits). */
export function workspaceByKeyHash(ruleSet: RuleSet, hash: string): WorkspaceRule | undefined {
	return ruleSet.workspacesByKeyHash.get(hash.toLowerCase());
}

/** The rule of a service; a service without one is unknown to callers. */
export function serviceRule(ruleSet: RuleSet, name: string): ServiceRule | undefined {
	return ruleSet.services.get(name);
}

/** True when a call to the service must run at most once. */
export function isNonIdempotent(rule: ServiceRule, method: string, path: string): boolean {
	const upper = method.toUpperCase();
	return rule.nonIdempotent.some(pattern =>
		(pattern.method === '*' || pattern.method === upper) && matchesPath(pattern.path, path));
}

/** The rule on expert spread of a model. */
export function expertRule(ruleSet: RuleSet, model: string): ExpertRule | undefined {
	return ruleSet.experts.get(model);
}

/**
 * End of the quiet hours that hold at `now`, in milliseconds.
 *
 * @returns Undefined when experts may move now.
 */
export function quietHoursEnd(rule: ExpertRule, now: number): number | undefined {
	if (rule.quiet === undefined || !isWithinHours(rule.quiet, now)) {
		return undefined;
	}

	let time = nextBoundary(rule.quiet, now);
	// Windows that touch continue one another.
	for (const _ of rule.quiet.windows) {
		if (!isWithinHours(rule.quiet, time)) {
			break;
		}

		time = nextBoundary(rule.quiet, time);
	}

	return time;
}

/** A model as a caller names it, resolved by the rules. */
export type ResolvedModel = {
	readonly rule: ModelRule;
	readonly version: string;
	readonly adapter?: string;
};

/**
 * Resolves `NAME`, `NAME@VERSION`, `NAME:ADAPTER` or `NAME@VERSION:ADAPTER`.
 *
 * @returns Undefined when the rules name no such model, version or adapter.
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
 * Whether the engines of a machine check fencing numbers. A rule on the group comes before
 * one on the zone. Without a rule they are taken not to check, which is the safe assumption.
 */
export function fencingModeOf(ruleSet: RuleSet, machine: {readonly zone: string; readonly group?: string}): FencingMode {
	const rule = ruleSet.engines.get(machine.group ?? machine.zone) ?? ruleSet.engines.get(machine.zone);
	return rule?.fencing ?? 'ignored';
}

function matchesPath(pattern: string, path: string): boolean {
	const expected = segmentsOf(pattern);
	const actual = segmentsOf(path.split(/[?#]/u)[0] ?? '');
	const open = expected.at(-1) === '**';
	const fixed = open ? expected.slice(0, -1) : expected;
	if (open ? actual.length < fixed.length : actual.length !== fixed.length) {
		return false;
	}

	return fixed.every((segment, i) => segment === '*' || segment === actual[i]);
}

/** Segments of a path. Empty ones are dropped, so that `/a//b/` cannot slip past a pattern for `/a/b`. */
function segmentsOf(path: string): readonly string[] {
	return path.split('/').filter(segment => segment !== '');
}
