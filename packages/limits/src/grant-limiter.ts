/**
 * Distributed rate limiting, entry side: enforces the granted rate with a token bucket for each workspace and
 * reports demand to the workspace's owner. Without responses the rate falls to `limit / known entries` within 5 s.
 */
import {
	BURST_MS, FALLBACK_RISE_MS, GRANT_DECAY_END_MS, GRANT_FULL_MS, type Demand, type Grant, type WorkspaceLimit,
} from './types.js';

/** A workspace is idle after this time without a request, and its demand is reported as zero. */
const IDLE_AFTER_MS = 5000;
/** Zero demand of an idle workspace is reported for this long, so that its share is released even if a message is lost. */
const RELEASE_REPORT_MS = 5000;
/** Weight of a report in the moving average of demand: about three reports, so that single requests do not cause large changes of grants. */
const EWMA_WEIGHT = 0.4;
/** Unanswered reports whose send times are kept; a grant for an older one has expired anyway. */
const MAX_UNANSWERED = 8;

type ActiveGrant = {readonly tokensPerSecond: number; readonly sequence: number; readonly sentAt: number};

type Bucket = {
	tokens: number;
	refilledAt: number;
	grant: ActiveGrant | undefined;
	/** Time when the first unanswered report was sent; undefined if there is a grant or no report yet. */
	unansweredSince: number | undefined;
	/** Tokens requested since the last report, refused ones included. */
	requestedTokens: number;
	demand: number;
	reportedAt: number;
	lastRequestAt: number;
	unanswered: ReadonlyArray<{readonly sequence: number; readonly sentAt: number}>;
};

/** Result of spending tokens. A refused request has not been sent. */
export type SpendResult
	= | {readonly kind: 'spent'}
		| {readonly kind: 'refused'; readonly reason: 'over-limit'; readonly outcome: 'not-run'; readonly retryAfterMs: number};

type Segment = {readonly from: number; readonly to: number; readonly startRate: number; readonly endRate: number};

/** The permitted rate as a piecewise linear function of time. */
function rateSegments(bucket: Bucket, fallbackRate: number): readonly Segment[] {
	const {grant, unansweredSince} = bucket;
	if (grant === undefined) {
		const riseAt = unansweredSince === undefined ? Number.POSITIVE_INFINITY : unansweredSince + FALLBACK_RISE_MS;
		return [{
			from: riseAt, to: Number.POSITIVE_INFINITY, startRate: fallbackRate, endRate: fallbackRate,
		}];
	}

	const {tokensPerSecond: rate, sentAt} = grant;
	const decayedRate = Math.min(rate, fallbackRate);
	return [
		{
			from: Number.NEGATIVE_INFINITY, to: sentAt + GRANT_FULL_MS, startRate: rate, endRate: rate,
		},
		{
			from: sentAt + GRANT_FULL_MS, to: sentAt + GRANT_DECAY_END_MS, startRate: rate, endRate: decayedRate,
		},
		{
			from: sentAt + GRANT_DECAY_END_MS, to: sentAt + FALLBACK_RISE_MS, startRate: decayedRate, endRate: decayedRate,
		},
		{
			from: sentAt + FALLBACK_RISE_MS, to: Number.POSITIVE_INFINITY, startRate: fallbackRate, endRate: fallbackRate,
		},
	];
}

function rateAt({from, to, startRate, endRate}: Segment, at: number): number {
	return startRate === endRate ? startRate : startRate + ((endRate - startRate) * (at - from) / (to - from));
}

/** Tokens added to the bucket between two times: the integral of the rate. */
function tokensAccrued(segments: readonly Segment[], from: number, to: number): number {
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

/** Rate limiter of an entry for all workspaces. It is stateful; call it from one task only. */
export class GrantLimiter {
	/**
	 * @param entryId - Id of this entry.
	 * @param firstSequence - Greater than every sequence that an earlier process with this id used, for example the start time in milliseconds.
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

	/** Sets the limits by workspace. A workspace without a rule is not limited. */
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

	/** Current rate of a workspace, tokens per second; infinite without a rule. */
	rate(workspace: string, now: number): number {
		const rule = this.#rules.get(workspace);
		const bucket = this.#buckets.get(workspace);
		if (rule === undefined) {
			return Number.POSITIVE_INFINITY;
		}

		const segment = bucket === undefined ? undefined : rateSegments(bucket, this.#fallbackRate(rule)).find(({from, to}) => from <= now && now < to);
		return segment === undefined ? 0 : rateAt(segment, now);
	}

	/** Tokens in the bucket of a workspace; negative after overdrawing, infinite without a rule. */
	available(workspace: string, now: number): number {
		const rule = this.#rules.get(workspace);
		if (rule === undefined) {
			return Number.POSITIVE_INFINITY;
		}

		const bucket = this.#bucketOf(workspace, rule, now);
		this.#refill(bucket, rule, now);
		return bucket.tokens;
	}

	/**
	 * Spends the estimated tokens of a request. A request is accepted while the bucket is not empty and may
	 * overdraw it, so that a request larger than the bucket is not refused forever.
	 */
	spend(workspace: string, tokens: number, now: number): SpendResult {
		const rule = this.#rules.get(workspace);
		if (rule === undefined) {
			return {kind: 'spent'};
		}

		const bucket = this.#bucketOf(workspace, rule, now);
		this.#refill(bucket, rule, now);
		bucket.requestedTokens += tokens;
		bucket.lastRequestAt = now;
		if (bucket.tokens <= 0) {
			const rate = this.rate(workspace, now);
			const retryAfterMs = rate > 0 ? Math.ceil(1000 * (1 - bucket.tokens) / rate) : GRANT_FULL_MS;
			return {
				kind: 'refused', reason: 'over-limit', outcome: 'not-run', retryAfterMs,
			};
		}

		bucket.tokens -= tokens;
		return {kind: 'spent'};
	}

	/** Corrects an estimate when the actual tokens are known: returns unused tokens to the bucket or charges additional ones. */
	reconcile(workspace: string, estimated: number, actual: number, now: number): void {
		const rule = this.#rules.get(workspace);
		const bucket = this.#buckets.get(workspace);
		if (rule !== undefined && bucket !== undefined) {
			this.#refill(bucket, rule, now);
			bucket.tokens += estimated - actual;
		}
	}

	/** Creates the demand reports to send to the owner of each workspace. Call it once a second. */
	demands(now: number): readonly Demand[] {
		const demands: Demand[] = [];
		for (const [workspace, bucket] of this.#buckets) {
			const rule = this.#rules.get(workspace);
			if (rule !== undefined && this.#isActive(bucket, now)) {
				demands.push(now - bucket.lastRequestAt < IDLE_AFTER_MS ? this.#report(workspace, bucket, now) : this.#release(workspace, bucket, rule, now));
			}
		}

		return demands;
	}

	/** Applies a grant. It is ignored if it responds to an unknown demand or an older one than the current grant. */
	onGrant(grant: Grant, now: number): void {
		const rule = this.#rules.get(grant.workspace);
		const bucket = this.#buckets.get(grant.workspace);
		const answeredReport = bucket?.unanswered.find(({sequence}) => sequence === grant.sequence);
		if (rule === undefined || bucket === undefined || answeredReport === undefined) {
			return;
		}

		this.#refill(bucket, rule, now);
		bucket.grant = {tokensPerSecond: grant.tokensPerSecond, sequence: grant.sequence, sentAt: answeredReport.sentAt};
		bucket.unansweredSince = undefined;
		bucket.unanswered = bucket.unanswered.filter(({sequence}) => sequence > grant.sequence);
	}

	#fallbackRate(rule: WorkspaceLimit): number {
		return rule.tokensPerSecond / this.#knownEntries;
	}

	#bucketOf(workspace: string, rule: WorkspaceLimit, now: number): Bucket {
		const existing = this.#buckets.get(workspace);
		if (existing !== undefined) {
			return existing;
		}

		const created: Bucket = {
			tokens: this.#fallbackRate(rule) * BURST_MS / 1000,
			refilledAt: now,
			grant: undefined,
			unansweredSince: undefined,
			requestedTokens: 0,
			demand: 0,
			reportedAt: now,
			lastRequestAt: now,
			unanswered: [],
		};
		this.#buckets.set(workspace, created);
		return created;
	}

	#refill(bucket: Bucket, rule: WorkspaceLimit, now: number): void {
		const fallbackRate = this.#fallbackRate(rule);
		const capacity = Math.max(fallbackRate, bucket.grant?.tokensPerSecond ?? 0) * BURST_MS / 1000;
		const tokens = bucket.tokens + tokensAccrued(rateSegments(bucket, fallbackRate), bucket.refilledAt, now);
		bucket.tokens = Math.min(capacity, tokens);
		bucket.refilledAt = Math.max(bucket.refilledAt, now);
	}

	/** Whether demand is reported: an idle workspace reports zero a few times and then nothing. */
	#isActive(bucket: Bucket, now: number): boolean {
		return now - bucket.lastRequestAt < IDLE_AFTER_MS + RELEASE_REPORT_MS;
	}

	/** Drops the grant of an idle workspace and ignores grants still in transit. */
	#dropGrant(bucket: Bucket, rule: WorkspaceLimit, now: number): void {
		this.#refill(bucket, rule, now);
		bucket.grant = undefined;
		bucket.unansweredSince = undefined;
		bucket.unanswered = [];
		bucket.demand = 0;
		bucket.requestedTokens = 0;
		bucket.reportedAt = now;
	}

	#release(workspace: string, bucket: Bucket, rule: WorkspaceLimit, now: number): Demand {
		this.#dropGrant(bucket, rule, now);
		this.#sequence++;
		return {
			workspace, entryId: this.#entryId, sequence: this.#sequence, tokensPerSecond: 0, heldTokensPerSecond: 0, heldSequence: 0,
		};
	}

	#report(workspace: string, bucket: Bucket, now: number): Demand {
		const elapsedMs = Math.max(1, now - bucket.reportedAt);
		const latestRate = bucket.requestedTokens * 1000 / Math.max(1000, elapsedMs);
		bucket.demand = Math.max(latestRate, bucket.demand + (EWMA_WEIGHT * (latestRate - bucket.demand)));
		bucket.requestedTokens = 0;
		bucket.reportedAt = now;
		this.#sequence++;
		bucket.unanswered = [...bucket.unanswered, {sequence: this.#sequence, sentAt: now}].slice(-MAX_UNANSWERED);
		bucket.unansweredSince ??= bucket.grant === undefined ? now : undefined;
		return {
			workspace,
			entryId: this.#entryId,
			sequence: this.#sequence,
			tokensPerSecond: bucket.demand,
			heldTokensPerSecond: this.rate(workspace, now),
			heldSequence: bucket.grant?.sequence ?? 0,
		};
	}
}
