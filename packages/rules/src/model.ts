/**
 * Typed model of the rules. A rule set is read-only; each rule records its source line and
 * its author.
 */

/** Who requested a rule, and why. */
export type Attribution = {
	readonly author: string;
	/** Empty if the comment names only the author. */
	readonly reason: string;
};

/** Source line and attribution, common to all rules. */
export type RuleOrigin = {
	/** Line in the rules file, starting at 1. */
	readonly line: number;
	readonly attribution: Attribution;
};

/** Kinds of targets that can be opened and closed. */
export const targetKinds = ['endpoint', 'group', 'zone'] as const;

export type TargetKind = (typeof targetKinds)[number];

/** What an access rule opens or closes: one endpoint, a group of ranks, or a zone. */
export type Target = {
	readonly kind: TargetKind;
	readonly name: string;
};

/** A daily time window in minutes after local midnight. A window with `from > to` crosses midnight. */
export type DailyWindow = {
	/** 0 to 1439. */
	readonly from: number;
	/** 1 to 1440, exclusive. */
	readonly to: number;
};

/** Daily time windows at a fixed offset from UTC, sorted and without overlap. */
export type DailyHours = {
	readonly windows: readonly DailyWindow[];
	/** Minutes east of UTC. */
	readonly offsetMinutes: number;
};

/** Effect of an access rule on its target. Times are milliseconds since the epoch. */
export type Access
	= | {readonly kind: 'open'}
		| {readonly kind: 'closed'}
		| {readonly kind: 'open-at'; readonly at: number}
		| {readonly kind: 'close-at'; readonly at: number}
		| {readonly kind: 'hours'; readonly hours: DailyHours};

/** `endpoint|group|zone NAME open|closed|open at|close at|hours`. */
export type AccessRule = RuleOrigin & {
	readonly kind: 'access';
	readonly target: Target;
	readonly access: Access;
};

/** `workspace NAME key-sha256=... priority=... weight=... limit-...`. */
export type WorkspaceRule = RuleOrigin & {
	readonly kind: 'workspace';
	readonly name: string;
	/** SHA-256 of each accepted key, 64 lower-case hex digits. More than one during key rotation. */
	readonly keyHashes: readonly string[];
	/** 0 to 9; higher priorities are served first. */
	readonly priority: number;
	/** Relative share among workspaces of the same priority, 1 to 1000. */
	readonly weight: number;
	/** Absent if tokens are not limited. */
	readonly limitTokensPerSecond?: number;
	/** Absent if requests are not limited. */
	readonly limitRequestsPerSecond?: number;
};

/** `model NAME versions=... adapters=...`. */
export type ModelRule = RuleOrigin & {
	readonly kind: 'model';
	readonly name: string;
	/** At least one; the first is the default if the caller names none. */
	readonly versions: readonly string[];
	readonly adapters: readonly string[];
};

/** `experts MODEL copies=... skew-weight=... move-weight=... quiet=...`. */
export type ExpertRule = RuleOrigin & {
	readonly kind: 'experts';
	readonly model: string;
	/** Copies per layer in addition to the primaries. */
	readonly copies: number;
	readonly skewWeight: number;
	readonly moveWeight: number;
	/** Hours during which no expert is moved. */
	readonly quiet?: DailyHours;
};

/** How a service handles `Idempotency-Key` on non-idempotent calls. */
export const idempotencyModes = ['required', 'optional', 'none'] as const;

export type IdempotencyMode = (typeof idempotencyModes)[number];

/** Pattern of calls that must run at most once. `*` matches one path segment, a trailing `**` any remaining segments. */
export type CallPattern = {
	/** Upper-case method, or `*` for any. */
	readonly method: string;
	readonly path: string;
};

/** `service NAME idempotency=... retention=... lookup=... non-idempotent=...`. */
export type ServiceRule = RuleOrigin & {
	readonly kind: 'service';
	readonly name: string;
	readonly idempotency: IdempotencyMode;
	/** Retention of a claim, in milliseconds. */
	readonly retentionMs: number;
	/** Path at the service that reports whether the call with a key has run; contains `{key}` once. */
	readonly lookup?: string;
	readonly nonIdempotent: readonly CallPattern[];
};

/** Whether engines check fencing tokens. */
export const fencingModes = ['checked', 'ignored'] as const;

export type FencingMode = (typeof fencingModes)[number];

/** `engines ZONE-or-GROUP fencing=...`. */
export type EnginesRule = RuleOrigin & {
	readonly kind: 'engines';
	/** Name of a zone or of a group. */
	readonly scope: string;
	readonly fencing: FencingMode;
};

export type Rule = AccessRule | WorkspaceRule | ModelRule | ExpertRule | ServiceRule | EnginesRule;

/** All rules of one file, with indexes for lookups. */
export type RuleSet = {
	/** In the order of the file. */
	readonly rules: readonly Rule[];
	/** By `targetKey`. */
	readonly access: ReadonlyMap<string, readonly AccessRule[]>;
	readonly workspaces: ReadonlyMap<string, WorkspaceRule>;
	readonly workspacesByKeyHash: ReadonlyMap<string, WorkspaceRule>;
	readonly models: ReadonlyMap<string, ModelRule>;
	readonly experts: ReadonlyMap<string, ExpertRule>;
	readonly services: ReadonlyMap<string, ServiceRule>;
	readonly engines: ReadonlyMap<string, EnginesRule>;
};

/** Key of a target in the `access` index, for example `zone colombo-a`. */
export function targetKey(target: Target): string {
	return `${target.kind} ${target.name}`;
}

/** Defaults of options that a rule omits. */
export const ruleDefaults = {
	priority: 5,
	weight: 1,
	copies: 64,
	skewWeight: 1,
	moveWeight: 1,
	retentionMs: 24 * 60 * 60 * 1000,
	// RFC 9110, section 9.2.2: of the common methods only these two are not idempotent.
	nonIdempotent: [{method: 'POST', path: '/**'}, {method: 'PATCH', path: '/**'}],
} as const;
