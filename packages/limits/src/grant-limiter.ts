/**
 * Entry side of the workspace limits: spends grants through one token bucket for each workspace
 * and reports demand. Without answers the rate falls to `limit / known entries` within 5 s.
 */
import {
	BURST_MS, FALLBACK_RISE_MS, GRANT_DECAY_END_MS, GRANT_FULL_MS, type Demand, type Grant, type WorkspaceLimit,
} from './types.js';

/** After this time without a request an entry reports no demand. */
const IDLE_AFTER_MS = 5000;
/** An idle entry goes on reporting zero demand for this long, so that one lost message does not hold its share back. */
const RELEASE_MS = 5000;
/** Demand is smoothed over about three reports, so that single requests do not make grants jump. */
const DEMAND_WEIGHT = 0.4;
/** Unanswered reports whose send times are kept; a grant that answers an older one has run out. */
const MAX_PENDING = 8;

type Held = {readonly tokensPerSecond: number; readonly sequence: number; readonly sentAt: number};

type Bucket = {
	level: number;
	levelAt: number;
	held: Held | undefined;
	/** When the first report without an answer was sent, while there is no grant. */
	unansweredSince: number | undefined;
	/** Tokens asked for since the last report. */
	asked: number;
	demand: number;
	demandAt: number;
	lastUseAt: number;
	pending: ReadonlyArray<{readonly sequence: number; readonly sentAt: number}>;
};

/** Outcome of spending. A refusal happens before anything is sent. */
export type SpendResult
	= | {readonly kind: 'spent'}
		| {readonly kind: 'refused'; readonly reason: 'over-limit'; readonly outcome: 'not-run'; readonly retryAfterMs: number};

type Segment = {readonly from: number; readonly to: number; readonly startRate: number; readonly endRate: number};

/** The rate over time as straight segments. */
function segmentsOf(bucket: Bucket, fallback: number): readonly Segment[] {
	const {held, unansweredSince} = bucket;
	if (held === undefined) {
		const rise = unansweredSince === undefined ? Number.POSITIVE_INFINITY : unansweredSince + FALLBACK_RISE_MS;
		return [{
			from: rise, to: Number.POSITIVE_INFINITY, startRate: fallback, endRate: fallback,
		}];
	}

	const {tokensPerSecond: rate, sentAt} = held;
	const low = Math.min(rate, fallback);
	return [
		{
			from: Number.NEGATIVE_INFINITY, to: sentAt + GRANT_FULL_MS, startRate: rate, endRate: rate,
		},
		{
			from: sentAt + GRANT_FULL_MS, to: sentAt + GRANT_DECAY_END_MS, startRate: rate, endRate: low,
		},
		{
			from: sentAt + GRANT_DECAY_END_MS, to: sentAt + FALLBACK_RISE_MS, startRate: low, endRate: low,
		},
		{
			from: sentAt + FALLBACK_RISE_MS, to: Number.POSITIVE_INFINITY, startRate: fallback, endRate: fallback,
		},
	];
}

function rateAt({from, to, startRate, endRate}: Segment, at: number): number {
	return startRate === endRate ? startRate : startRate + ((endRate - startRate) * (at - from) / (to - from));
}

/** Tokens granted between two times. */
function earned(segments: readonly Segment[], from: number, to: number): number {
	let tokens = 0;
	for (const segment of segments) {
		const start = Math.max(from, segment.from);
		const end = Math.min(to, segment.to);
		if (start < end) {
			tokens += (rateAt(segment, start) + rateAt(segment, end)) / 2 * (end - start) / 1000;
		}
	}

	return tokens;
}

/** The rates that one entry may spend. It owns its state; drive it from one task. */
export class GrantLimiter {
	/**
	 * @param entryId - This entry.
	 * @param firstSequence - Above every sequence that an earlier process with this id used, for example its start time in milliseconds.
	 */
	static create(entryId: string, firstSequence: number): GrantLimiter {
		return new GrantLimiter(entryId, firstSequence);
	}

	readonly #entryId: string;
	#sequence: number;
	#knownEntries = 1;
	#rules: ReadonlyMap<string, WorkspaceLimit> = new Map();
	readonly #buckets = new Map<string, Bucket>();

	private constructor(entryId: string, firstSequence: number) {
		this.#entryId = entryId;
		this.#sequence = firstSequence;
	}

	/** Sets the rules in force, by workspace. A workspace without a rule is not limited. */
	setRules(rules: ReadonlyMap<string, WorkspaceLimit>): void {
		this.#rules = rules;
		for (const workspace of this.#buckets.keys()) {
			if (!rules.has(workspace)) {
				this.#buckets.delete(workspace);
			}
		}
	}

	/** Sets the number of entries in the directory, this one included. */
	setKnownEntries(count: number): void {
		this.#knownEntries = Math.max(1, count);
	}

	/** Rate in force for a workspace, tokens per second; infinite without a rule. */
	rate(workspace: string, now: number): number {
		const rule = this.#rules.get(workspace);
		const bucket = this.#buckets.get(workspace);
		if (rule === undefined) {
			return Number.POSITIVE_INFINITY;
		}

		const segment = bucket === undefined ? undefined : segmentsOf(bucket, this.#fallback(rule)).find(({from, to}) => from <= now && now < to);
		return segment === undefined ? 0 : rateAt(segment, now);
	}

	/** Tokens in the bucket; negative while it is in debt, infinite without a rule. */
	available(workspace: string, now: number): number {
		const rule = this.#rules.get(workspace);
		if (rule === undefined) {
			return Number.POSITIVE_INFINITY;
		}

		const bucket = this.#bucketOf(workspace, rule, now);
		this.#fill(bucket, rule, now);
		return bucket.level;
	}

	/**
	 * Spends estimated tokens of a request. A request passes while the bucket holds any token and
	 * may leave it in debt, so that a request larger than the bucket is not refused for ever.
	 */
	spend(workspace: string, tokens: number, now: number): SpendResult {
		const rule = this.#rules.get(workspace);
		if (rule === undefined) {
			return {kind: 'spent'};
		}

		const bucket = this.#bucketOf(workspace, rule, now);
		this.#fill(bucket, rule, now);
		bucket.asked += tokens;
		bucket.lastUseAt = now;
		if (bucket.level <= 0) {
			const rate = this.rate(workspace, now);
			const retryAfterMs = rate > 0 ? Math.ceil(1000 * (1 - bucket.level) / rate) : GRANT_FULL_MS;
			return {
				kind: 'refused', reason: 'over-limit', outcome: 'not-run', retryAfterMs,
			};
		}

		bucket.level -= tokens;
		return {kind: 'spent'};
	}

	/** Corrects an estimate once the tokens are known: unused ones come back, more than estimated are charged. */
	reconcile(workspace: string, estimated: number, actual: number, now: number): void {
		const rule = this.#rules.get(workspace);
		const bucket = this.#buckets.get(workspace);
		if (rule !== undefined && bucket !== undefined) {
			this.#fill(bucket, rule, now);
			bucket.level += estimated - actual;
		}
	}

	/** The demand reports to send now, to the home of each workspace. Call it once a second. */
	demands(now: number): readonly Demand[] {
		const demands: Demand[] = [];
		for (const [workspace, bucket] of this.#buckets) {
			const rule = this.#rules.get(workspace);
			if (rule !== undefined && this.#isActive(bucket, now)) {
				demands.push(now - bucket.lastUseAt < IDLE_AFTER_MS ? this.#report(workspace, bucket, now) : this.#release(workspace, bucket, rule, now));
			}
		}

		return demands;
	}

	/** Takes a grant. One that answers an older demand than the grant in use, or an unknown one, is dropped. */
	onGrant(grant: Grant, now: number): void {
		const rule = this.#rules.get(grant.workspace);
		const bucket = this.#buckets.get(grant.workspace);
		const answered = bucket?.pending.find(({sequence}) => sequence === grant.sequence);
		if (rule === undefined || bucket === undefined || answered === undefined) {
			return;
		}

		this.#fill(bucket, rule, now);
		bucket.held = {tokensPerSecond: grant.tokensPerSecond, sequence: grant.sequence, sentAt: answered.sentAt};
		bucket.unansweredSince = undefined;
		bucket.pending = bucket.pending.filter(({sequence}) => sequence > grant.sequence);
	}

	#fallback(rule: WorkspaceLimit): number {
		return rule.tokensPerSecond / this.#knownEntries;
	}

	#bucketOf(workspace: string, rule: WorkspaceLimit, now: number): Bucket {
		const known = this.#buckets.get(workspace);
		if (known !== undefined) {
			return known;
		}

		const created: Bucket = {
			level: this.#fallback(rule) * BURST_MS / 1000,
			levelAt: now,
			held: undefined,
			unansweredSince: undefined,
			asked: 0,
			demand: 0,
			demandAt: now,
			lastUseAt: now,
			pending: [],
		};
		this.#buckets.set(workspace, created);
		return created;
	}

	#fill(bucket: Bucket, rule: WorkspaceLimit, now: number): void {
		const fallback = this.#fallback(rule);
		const cap = Math.max(fallback, bucket.held?.tokensPerSecond ?? 0) * BURST_MS / 1000;
		const level = bucket.level + earned(segmentsOf(bucket, fallback), bucket.levelAt, now);
		bucket.level = Math.min(cap, level);
		bucket.levelAt = Math.max(bucket.levelAt, now);
	}

	/** Whether demand is reported; an idle workspace reports zero a few times and then nothing. */
	#isActive(bucket: Bucket, now: number): boolean {
		return now - bucket.lastUseAt < IDLE_AFTER_MS + RELEASE_MS;
	}

	/** Gives up the grant of an idle workspace, and any that is under way. */
	#giveUp(bucket: Bucket, rule: WorkspaceLimit, now: number): void {
		this.#fill(bucket, rule, now);
		bucket.held = undefined;
		bucket.unansweredSince = undefined;
		bucket.pending = [];
		bucket.demand = 0;
		bucket.asked = 0;
		bucket.demandAt = now;
	}

	#release(workspace: string, bucket: Bucket, rule: WorkspaceLimit, now: number): Demand {
		this.#giveUp(bucket, rule, now);
		this.#sequence++;
		return {
			workspace, entryId: this.#entryId, sequence: this.#sequence, tokensPerSecond: 0, heldTokensPerSecond: 0, heldSequence: 0,
		};
	}

	#report(workspace: string, bucket: Bucket, now: number): Demand {
		const elapsedMs = Math.max(1, now - bucket.demandAt);
		const latest = bucket.asked * 1000 / Math.max(1000, elapsedMs);
		bucket.demand = Math.max(latest, bucket.demand + (DEMAND_WEIGHT * (latest - bucket.demand)));
		bucket.asked = 0;
		bucket.demandAt = now;
		this.#sequence++;
		bucket.pending = [...bucket.pending, {sequence: this.#sequence, sentAt: now}].slice(-MAX_PENDING);
		bucket.unansweredSince ??= bucket.held === undefined ? now : undefined;
		return {
			workspace,
			entryId: this.#entryId,
			sequence: this.#sequence,
			tokensPerSecond: bucket.demand,
			heldTokensPerSecond: this.rate(workspace, now),
			heldSequence: bucket.held?.sequence ?? 0,
		};
	}
}
