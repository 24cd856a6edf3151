/**
 * The rules as typed values. A rule set is read-only; each rule keeps the line it was
 * read from and who asked for it.
 */

/** Who asked for a rule, and why. */
export type Attribution = {
	readonly author: string;
	/** Empty when the comment names only the author. */
	readonly reason: string;
};

/** Fields that each rule has. */
export type RuleOrigin = {
	/** Line in the rules file, starting at 1. */
	readonly line: number;
	readonly attribution: Attribution;
};

/** The kinds of target that can be opened and closed. */
export const targetKinds = ['endpoint', 'group', 'zone'] as const;

export type TargetKind = (typeof targetKinds)[number];

/** What an access rule opens or closes: one endpoint, a group of ranks, or a zone. */
export type Target = {
	readonly kind: TargetKind;
	readonly name: string;
};

/** A window of the day in minutes after local midnight. A window with `from > to` crosses midnight. */
export type DailyWindow = {
	/** 0 to 1439. */
	readonly from: number;
	/** 1 to 1440, exclusive. */
	readonly to: number;
};

/** Windows that repeat each day, in a fixed offset from UTC. Sorted, without overlap. */
export type DailyHours = {
	readonly windows: readonly DailyWindow[];
	/** Minutes east of UTC. */
	readonly offsetMinutes: number;
};

/** What an access rule does to its target. Times are milliseconds since the epoch. */
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
	/** SHA-256 of each accepted key, 64 lower-case hex digits. More than one while a key is being replaced. */
	readonly keyHashes: readonly string[];
	/** 0 to 9; a higher priority is served first. */
	readonly priority: number;
	/** Share among workspaces of the same priority, 1 to 1000. */
	readonly weight: number;
	/** Absent when tokens are not limited. */
	readonly limitTokensPerSecond?: number;
	/** Absent when requests are not limited. */
	readonly limitRequestsPerSecond?: number;
};

/** `model NAME versions=... adapters=...`. */
export type ModelRule = RuleOrigin & {
	readonly kind: 'model';
	readonly name: string;
	/** At least one; the first is used when a caller names none. */
	readonly versions: readonly string[];
	readonly adapters: readonly string[];
};

/** `experts MODEL copies=... skew-weight=... move-weight=... quiet=...`. */
export type ExpertRule = RuleOrigin & {
	readonly kind: 'experts';
	readonly model: string;
	/** Copies per layer beyond the primaries. */
	readonly copies: number;
	readonly skewWeight: number;
	readonly moveWeight: number;
	/** Hours in which no expert moves. */
	readonly quiet?: DailyHours;
};

/** How a service treats `Idempotency-Key` on its non-idempotent calls. */
export const idempotencyModes = ['required', 'optional', 'none'] as const;

export type IdempotencyMode = (typeof idempotencyModes)[number];

/** Calls that must run at most once. `*` in the path is one segment, a final `**` any rest. */
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
	/** How long a claim is kept. */
	readonly retentionMs: number;
	/** Path at the service that answers whether a key has run; holds `{key}` once. */
	readonly lookup?: string;
	readonly nonIdempotent: readonly CallPattern[];
};

/** Whether engines check fencing numbers. */
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

/** All rules of one file with indexes for the queries. */
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

/** Index key of a target, for example `zone colombo-a`. */
export function targetKey(target: Target): string {
	return `${target.kind} ${target.name}`;
}

/** Values of options that a rule leaves out. */
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
