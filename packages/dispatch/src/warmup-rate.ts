/**
 * Second source of rate limits: endpoints of a service that warm up. Such an endpoint is cold for a while after its start, and
 * crashes if all entries together send it more than a bound in any second. Since an endpoint may have turned cold before any entry
 * has read so, the bound holds for all endpoints of the service at all times. It is divided among the entries without messages; only
 * where the part of an entry is less than one request are permits of a granting entry needed.
 *
 * Pure: times are arguments, in monotonic ms of this process.
 */

/** Warm-up of the endpoints of a service. */
export type ServiceWarmup = {
	/** Requests per second that a cold endpoint tolerates from all entries together; above 0. */
	readonly perS: number;
	/** Time for which an endpoint is cold after its start, in ms. */
	readonly durationMs: number;
};

/** How far the rate of a cold endpoint may be exceeded: in any second it receives at most `perS * overshoot + tolerance` requests. */
export type WarmupBounds = {readonly overshoot: number; /** In requests. */ readonly tolerance: number};

/** The rate and the size of a bucket of permits. */
export type PermitRate = {readonly perSecond: number; readonly burst: number};

/** How many entries are known now. */
export type EntryCount = {
	/** Including this one. */
	readonly count: number;
	/** Whether there are hardly more: an entry that is cut off since its start may know only a few of them. */
	readonly isComplete: boolean;
};

export type WarmupRateOptions = {
	readonly bounds: WarmupBounds;
	/** Warm-up of the service of an endpoint; undefined if it has none, or the endpoint is not known. */
	readonly warmupOf: (id: string) => ServiceWarmup | undefined;
	readonly entries: () => EntryCount;
};

/** Minimum number of entries that a bound is divided among while an entry does not know how many there are. */
export const MIN_SHARING_ENTRIES = 24;

/** Share of further entries, on top of those that an entry has seen, for which a part of a bound is left. */
export const SPARE_SHARING_ENTRIES_SHARE = 0.25;

/** Share of further entries for which the larger parts for endpoints that are not cold leave room: two that start at the same time, and use a `MIN_SHARING_ENTRIES`th each. */
const SPARE_WARM_SHARE = 0.1;

/** Time from the first complete count of entries until the number of entries counts as known, in ms: two announcements of all entries. */
const COUNTING_MS = 5000;

/** Time in which an endpoint gets no more than the part of an entry, in ms: a second, and the difference between the transit times of two requests. */
const WINDOW_MS = 1100;

/** Time for which a permit may be used after it was asked for, in ms. */
export const PERMIT_LIFETIME_MS = 1000;

/** Longest time for which an endpoint counts as cold after one message, in ms; endpoints start within seconds. */
const MAX_COLD_MS = 600_000;

/** Largest part, in requests: the memory for an endpoint is bounded, and no entry sends an endpoint more in a second. */
const MAX_PART = 1000;

/** Interval at which endpoints without recent requests are forgotten, in ms. */
const CLEANUP_INTERVAL_MS = 10_000;

/** When an endpoint was last said to turn cold, and until when it says that it is. */
type Coldness = {readonly markedAt: number; readonly until: number};

export class WarmupRate {
	static create(options: WarmupRateOptions): WarmupRate {
		return new WarmupRate(options);
	}

	readonly #coldness = new Map<string, Coldness>();
	/** Times of the requests of the last window, by endpoint, oldest first. */
	readonly #sentAt = new Map<string, readonly number[]>();
	#mostEntries = 1;
	/** When the number of entries was first complete; undefined before. */
	#completeAt: number | undefined;
	#cleanedAt = Number.NEGATIVE_INFINITY;
	readonly #options: WarmupRateOptions;

	private constructor(options: WarmupRateOptions) {
		this.#options = options;
	}

	/** Notes how many entries are known; called regularly, since they may be out of sight when the next request arrives. */
	noteEntries(now: number): void {
		const {count, isComplete} = this.#options.entries();
		this.#mostEntries = Math.max(this.#mostEntries, count);
		if (isComplete) {
			this.#completeAt ??= now;
		}

		this.#cleanUp(now);
	}

	/** Whether an endpoint is known to be cold. */
	isCold(id: string, now: number): boolean {
		const warmup = this.#options.warmupOf(id);
		return warmup !== undefined && this.#coldUntil(id, warmup) > now;
	}

	/** Marks an endpoint as cold from `now` on, for the time that its service names then. Returns whether it was not known to be cold. */
	markCold(id: string, now: number): boolean {
		const wasCold = this.isCold(id, now);
		this.#coldness.set(id, {markedAt: now, until: this.#coldness.get(id)?.until ?? now});
		return !wasCold && this.isCold(id, now);
	}

	/** Records how long an endpoint says that it stays cold. Never shortens: an earlier message may be read late. Returns whether it was not known to be cold. */
	record(id: string, remainingMs: number, now: number): boolean {
		if (!(remainingMs > 0)) {
			return false;
		}

		const wasCold = this.isCold(id, now);
		const {markedAt, until} = this.#coldness.get(id) ?? {markedAt: Number.NEGATIVE_INFINITY, until: now};
		this.#coldness.set(id, {markedAt, until: Math.max(until, now + Math.min(remainingMs, MAX_COLD_MS))});
		return !wasCold && this.isCold(id, now);
	}

	/** Time for which an endpoint is known to stay cold, in ms. */
	coldMs(id: string, now: number): number {
		const warmup = this.#options.warmupOf(id);
		return warmup === undefined ? 0 : Math.max(0, this.#coldUntil(id, warmup) - now);
	}

	/** Whether the part of this entry is less than one request, so that each one needs a permit of the granting entry. */
	needsPermit(id: string, now: number): boolean {
		const warmup = this.#options.warmupOf(id);
		return warmup !== undefined && this.#partOf(id, warmup, now) === 0;
	}

	/** Time until this entry may send an endpoint another request, in ms; 0 if it may now. */
	waitMs(id: string, now: number): number {
		const warmup = this.#options.warmupOf(id);
		if (warmup === undefined) {
			return 0;
		}

		const part = this.#partOf(id, warmup, now);
		const sentAt = this.#recent(id, now);
		return part === 0 || sentAt.length < part ? 0 : sentAt[sentAt.length - part]! + WINDOW_MS - now;
	}

	/** Takes a place for a request that is sent right after. Returns false if the part is used up. */
	takePlace(id: string, now: number): boolean {
		const warmup = this.#options.warmupOf(id);
		if (warmup === undefined) {
			return true;
		}

		if (this.waitMs(id, now) > 0) {
			return false;
		}

		this.#sentAt.set(id, [...this.#recent(id, now), now].slice(-MAX_PART));
		return true;
	}

	/**
	 * Rate at which this entry may grant permits for an endpoint; undefined if it has no warm-up. Permits of up to their lifetime may
	 * be used in the same second as those of the second itself, so the rate and the burst keep the bound with both.
	 *
	 * @param reachable - Number of entries that can be reached, including this one: others may grant permits among themselves.
	 */
	permitRate(id: string, reachable: number, now: number): PermitRate | undefined {
		const warmup = this.#options.warmupOf(id);
		if (warmup === undefined) {
			return undefined;
		}

		const {overshoot, tolerance} = this.#options.bounds;
		const isCounted = this.#isCounted(now);
		// While this entry has a part, the others that know their number use theirs, and permits are for entries that have just started.
		const share = isCounted && this.#partOf(id, warmup, now) > 0
			? SPARE_WARM_SHARE / (1 + SPARE_WARM_SHARE)
			: Math.min(1, reachable / (isCounted ? this.#mostEntries : this.#coldSharers));
		return {perSecond: share * warmup.perS * overshoot / (1 + (PERMIT_LIFETIME_MS / 1000)), burst: share * tolerance};
	}

	/** Number of requests that this entry may send an endpoint in a window. */
	#partOf(id: string, warmup: ServiceWarmup, now: number): number {
		const {overshoot, tolerance} = this.#options.bounds;
		const bound = (warmup.perS * overshoot) + tolerance;
		const isCounted = this.#isCounted(now);
		const coldPart = Math.floor(bound / this.#coldSharers);
		// The parts of all entries keep the bound either way, so one below one request is raised to the larger one.
		const isLarger = isCounted && (coldPart === 0 || this.#coldUntil(id, warmup) <= now);
		return Math.min(MAX_PART, isLarger ? Math.floor(bound / Math.min(this.#coldSharers, this.#mostEntries * (1 + SPARE_WARM_SHARE))) : coldPart);
	}

	/** Number of entries that the bound of a cold endpoint is divided among. */
	get #coldSharers(): number {
		return Math.max(MIN_SHARING_ENTRIES, this.#mostEntries * (1 + SPARE_SHARING_ENTRIES_SHARE));
	}

	/** Whether the number of entries is known. It never falls, since entries that are out of sight still use their parts. */
	#isCounted(now: number): boolean {
		this.noteEntries(now);
		return this.#completeAt !== undefined && now - this.#completeAt >= COUNTING_MS;
	}

	#coldUntil(id: string, {durationMs}: ServiceWarmup): number {
		const coldness = this.#coldness.get(id);
		return coldness === undefined ? Number.NEGATIVE_INFINITY : Math.max(coldness.until, coldness.markedAt + Math.min(durationMs, MAX_COLD_MS));
	}

	#recent(id: string, now: number): readonly number[] {
		return this.#sentAt.get(id)?.filter(at => now - at < WINDOW_MS) ?? [];
	}

	/** Forgets endpoints that may be gone. */
	#cleanUp(now: number): void {
		if (now - this.#cleanedAt < CLEANUP_INTERVAL_MS) {
			return;
		}

		this.#cleanedAt = now;
		for (const id of this.#sentAt.keys()) {
			if (this.#recent(id, now).length === 0) {
				this.#sentAt.delete(id);
			}
		}

		for (const [id, {markedAt, until}] of this.#coldness) {
			if (Math.max(until, markedAt + MAX_COLD_MS) <= now) {
				this.#coldness.delete(id);
			}
		}
	}
}
