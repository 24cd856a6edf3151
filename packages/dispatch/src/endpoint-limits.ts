/**
 * Rate limits of endpoints, from two sources. Limits that endpoints name in their responses are the requests per second that they
 * accept from all entries together: entries merge what they have seen, and the latest response of an endpoint decides. One entry
 * grants the permits of an endpoint to all, from a token bucket. The other source is the warm-up of a service (`WarmupRate`), whose
 * bound is divided among the entries.
 *
 * Pure: times are arguments, in monotonic ms of this process.
 */
import type {PermitRate, WarmupRate} from './warmup-rate.js';

/** What an entry knows of an endpoint's limit. An age instead of a time, since entries have different clocks. */
export type EndpointLimitReport = {
	readonly id: string;
	/** Undefined if the endpoint named no limit any more. */
	readonly perSecond: number | undefined;
	/** Time since the response, in ms. */
	readonly ageMs: number;
	/** Whether the reporting entry needs a permit for the warm-up of the endpoint, since its own part is less than one request. Not given by an earlier version. */
	readonly needsWarmupPermit?: true;
};

/** Whether a request may be sent to an endpoint. */
export type LimitPermit
	= | {readonly kind: 'granted'}
		| {readonly kind: 'denied'; /** Time until the next permit, in ms. */ readonly retryAfterMs: number};

/** An endpoint that accepts fewer requests per second gets this many, so that it can say when its limit ends. */
const MIN_PER_S = 0.2;

/** A bucket holds the permits of this time, and one at least, in s. */
const BURST_S = 1;

/** Entries report a limit for this time since it changed, in ms: by then all entries that can be reached know. Others learn of it from the endpoint. */
const REPORTED_MS = 5000;

/** Maximum number of reports in a message, the latest changes first. */
const MAX_REPORTS = 200;

/** Longest time for which an endpoint that warms up is not asked for again, in ms: the rate rises as the granting entry learns how many there are. */
const MAX_WARMUP_DENIAL_MS = 1000;

/** A limit is forgotten after this time without a response of the endpoint, in ms. */
const RETENTION_MS = 600_000;

type Limit = {readonly perSecond: number | undefined; readonly seenAt: number; /** When this entry learned of the change to this limit. */ readonly changedAt: number};

type Bucket = {readonly tokens: number; readonly filledAt: number};

const granted: LimitPermit = {kind: 'granted'};

export class EndpointLimits {
	/** @param warmup - Undefined if endpoints have no warm-up. */
	static create(warmup?: WarmupRate): EndpointLimits {
		return new EndpointLimits(warmup);
	}

	/** Limits that come from the warm-up of a service. */
	readonly warmup: WarmupRate | undefined;
	readonly #limits = new Map<string, Limit>();
	/** Permits that this entry may grant. */
	readonly #buckets = new Map<string, Bucket>();
	/** The same for endpoints that warm up. */
	readonly #warmupBuckets = new Map<string, Bucket>();
	/** When an endpoint may be tried again that a permit was denied for. */
	readonly #deniedUntil = new Map<string, number>();

	private constructor(warmup: WarmupRate | undefined) {
		this.warmup = warmup;
	}

	/** The limit of an endpoint, in requests per second; undefined if none is known. */
	limitOf(id: string): number | undefined {
		return this.#limits.get(id)?.perSecond;
	}

	/** Records the limit in a response of an endpoint; undefined for none. Returns whether the limit changed. */
	record(id: string, perSecond: number | undefined, now: number): boolean {
		return this.#record(id, perSecond, {seenAt: now, now});
	}

	/** Whether a request to an endpoint needs a permit of the entry that grants those of the endpoint. */
	needsPermit(id: string, now: number): boolean {
		return this.limitOf(id) !== undefined || (this.warmup?.needsPermit(id, now) ?? false);
	}

	/** Takes a place for a request that is sent right after. Returns false if there is none. */
	takePlace(id: string, now: number): boolean {
		return this.warmup?.takePlace(id, now) ?? true;
	}

	/** Forgets the limit that an endpoint named. What it was sent still counts against its warm-up. */
	forget(id: string): void {
		this.#limits.delete(id);
		this.#buckets.delete(id);
		this.#deniedUntil.delete(id);
	}

	/**
	 * Takes a permit to send one request to an endpoint; each source has to grant it. A bucket starts empty: another entry may have
	 * granted its permits until now.
	 *
	 * @param share - Share of the limit that this entry may grant, in (0, 1].
	 * @param reachable - Number of entries that can be reached, including this one; undefined if no permit for the warm-up is needed.
	 */
	takePermit(id: string, share: number, now: number, reachable?: number): LimitPermit {
		const perSecond = this.limitOf(id);
		const named = perSecond === undefined ? granted : takeToken(this.#buckets, id, {perSecond: Math.max(perSecond, MIN_PER_S) * share, burst: perSecond * share * BURST_S}, now);
		const warmupRate = reachable === undefined ? undefined : this.warmup?.permitRate(id, reachable, now);
		if (named.kind === 'denied' || warmupRate === undefined) {
			return named;
		}

		const permit = takeToken(this.#warmupBuckets, id, warmupRate, now);
		return permit.kind === 'granted' ? permit : {...permit, retryAfterMs: Math.min(permit.retryAfterMs, MAX_WARMUP_DENIAL_MS)};
	}

	/** Records that a permit was denied. */
	recordDenial(id: string, retryAfterMs: number, now: number): void {
		this.#deniedUntil.set(id, now + retryAfterMs);
	}

	/** Time until a request to an endpoint may be sent, or a permit for it requested again, in ms; 0 if it may be now. */
	waitMs(id: string, now: number): number {
		const deniedMs = this.needsPermit(id, now) ? Math.max(0, (this.#deniedUntil.get(id) ?? now) - now) : 0;
		return Math.max(deniedMs, this.warmup?.waitMs(id, now) ?? 0);
	}

	/** What this entry knows of the limit of an endpoint, for the entry that grants its permits. */
	reportOf(id: string, now: number): EndpointLimitReport {
		const {perSecond, seenAt} = this.#limits.get(id) ?? {perSecond: undefined, seenAt: Number.NEGATIVE_INFINITY};
		const report = {id, perSecond, ageMs: now - seenAt};
		return this.warmup?.needsPermit(id, now) === true ? {...report, needsWarmupPermit: true} : report;
	}

	/** Limits that changed lately, for other entries. */
	reports(now: number): readonly EndpointLimitReport[] {
		return [...this.#limits]
			.filter(([, {changedAt}]) => now - changedAt <= REPORTED_MS)
			.toSorted(([, a], [, b]) => b.changedAt - a.changedAt)
			.slice(0, MAX_REPORTS)
			.map(([id]) => this.reportOf(id, now));
	}

	/** Takes over what another entry knows. Returns the endpoints whose limit changed here. */
	merge(reports: readonly EndpointLimitReport[], now: number): readonly string[] {
		const changed = reports.filter(({id, perSecond, ageMs}) => {
			const isNewer = ageMs < RETENTION_MS && now - ageMs > (this.#limits.get(id)?.seenAt ?? Number.NEGATIVE_INFINITY);
			return isNewer && this.#record(id, perSecond, {seenAt: now - ageMs, now});
		});
		for (const [id, {seenAt}] of this.#limits) {
			if (now - seenAt > RETENTION_MS) {
				this.forget(id);
			}
		}

		for (const [id, until] of this.#deniedUntil) {
			if (until <= now) {
				this.#deniedUntil.delete(id);
			}
		}

		for (const [id, {filledAt}] of this.#warmupBuckets) {
			if (now - filledAt > RETENTION_MS) {
				this.#warmupBuckets.delete(id);
			}
		}

		return changed.map(({id}) => id);
	}

	#record(id: string, perSecond: number | undefined, {seenAt, now}: {readonly seenAt: number; readonly now: number}): boolean {
		const known = this.#limits.get(id);
		if (known?.perSecond === undefined && perSecond === undefined) {
			return false;
		}

		const isChanged = known?.perSecond !== perSecond;
		this.#limits.set(id, {perSecond, seenAt, changedAt: isChanged ? now : known!.changedAt});
		return isChanged;
	}
}

/** Takes one permit from a bucket that starts empty and holds one permit at least. */
function takeToken(buckets: Map<string, Bucket>, id: string, {perSecond, burst}: PermitRate, now: number): LimitPermit {
	const perMs = perSecond / 1000;
	const {tokens: before, filledAt} = buckets.get(id) ?? {tokens: 0, filledAt: now};
	const tokens = Math.min(Math.max(1, burst), before + ((now - filledAt) * perMs));
	const isGranted = tokens >= 1;
	buckets.set(id, {tokens: isGranted ? tokens - 1 : tokens, filledAt: now});
	return isGranted ? granted : {kind: 'denied', retryAfterMs: Math.ceil((1 - tokens) / perMs)};
}
