/**
 * Finds parts of prompts that crash endpoints. A part crashes each endpoint that begins to answer a request with it, so the
 * requests on which a crashed endpoint had not begun to answer make their parts suspects, and a part with which any answer
 * begins later is cleared. While a part is a suspect, only a few requests with it run, one after another, as probes; when
 * probes crash their endpoints too, the part is blocked. Entries merge what they have seen.
 *
 * Pure: times are arguments, in monotonic ms of this process.
 */

/** What an entry knows of a suspect. Ages instead of times, since entries have different clocks. */
export type PartReport = {
	/** Id of the part. */
	readonly part: string;
	/** Identifies the last crash, so that its age is not taken over again from messages that were under way for long. */
	readonly crashId: string;
	/** Time since the last crash with this part, in ms. */
	readonly crashAgeMs: number;
	/** Number of crashes of probes with this part since it was last cleared. */
	readonly probeCrashes: number;
	/** Time since an answer last began on a request with this part, in ms; undefined if none is known. */
	readonly begunAgeMs: number | undefined;
};

/** What may be done with a request. */
export type PartVerdict
	/** No part of it is a suspect. */
	= | {readonly kind: 'clear'}
		/** It may run as a probe of these parts. */
		| {readonly kind: 'probe'; readonly parts: readonly string[]}
		/** It may run when some of its suspects have been cleared. */
		| {readonly kind: 'wait'; readonly parts: readonly string[]}
		/** It would crash its endpoint. */
		| {readonly kind: 'blocked'; readonly part: string};

/** Minimum time between two probes of a part, in ms: by then the first one has begun to answer or has crashed its endpoint, and the entries know. */
const PROBE_INTERVAL_MS = 1000;

/** A request with several suspects waits this long since the last crash for some of them to be cleared, in ms: a group forms again within a few seconds, and requests that share only one of them follow. */
const SEPARATION_TIMEOUT_MS = 10_000;

/** Number of crashed probes that block a part. One with which answers have begun before needs two: the crash may be due to another request at the same endpoint. */
const PROBE_CRASHES_TO_BLOCK = {neverBegun: 1, begunBefore: 2} as const;

/** Time for which a part is blocked for the first, second and any further time, in ms. A crash may have another cause, so blocks end. */
const BLOCK_MS = [30_000, 300_000, 3_600_000] as const;

/** A suspect is forgotten after this time without a crash, in ms: longer than the longest block. */
const RETENTION_MS = 7_200_000;

/** A suspect that was cleared is forgotten after this time, in ms: by then all entries that can be reached know. */
const CLEARED_RETENTION_MS = 30_000;

/** Maximum number of suspects, which bounds the messages between entries. */
const MAX_SUSPECTS = 200;

/** Maximum number of parts whose last answer is remembered, to clear suspects of crashes that are reported late. */
const MAX_REMEMBERED_PARTS = 10_000;

/** Number of crashes whose ids are kept for each suspect. */
const MAX_CRASH_IDS = 8;

type Suspect = {/** The last one is that of `crashedAt`. */ readonly crashIds: readonly string[]; readonly crashedAt: number; readonly probeCrashes: number; readonly begunAt: number | undefined; readonly probedAt: number | undefined};

export class SuspectParts {
	static create(): SuspectParts {
		return new SuspectParts();
	}

	readonly #suspects = new Map<string, Suspect>();
	/** When an answer last began at this entry, by part; the oldest first. */
	readonly #begunAt = new Map<string, number>();

	/** Records that an answer has begun on a request with these parts. */
	recordBegun(parts: readonly string[], now: number): void {
		for (const part of parts) {
			this.#begunAt.delete(part);
			this.#begunAt.set(part, now);
			const suspect = this.#suspects.get(part);
			if (suspect !== undefined) {
				this.#suspects.set(part, {...suspect, begunAt: now, probeCrashes: 0});
			}
		}

		for (const part of this.#begunAt.keys()) {
			if (this.#begunAt.size <= MAX_REMEMBERED_PARTS) {
				break;
			}

			this.#begunAt.delete(part);
		}
	}

	/**
	 * Records that an endpoint crashed before it began to answer a request.
	 *
	 * @param parts - Parts of the request.
	 * @param probed - Those that the request ran as a probe of.
	 * @param crashId - Unique among all entries.
	 */
	recordCrash(parts: readonly string[], probed: readonly string[], crashId: string, now: number): void {
		for (const part of parts) {
			this.#mergeSuspect(part, {
				crashIds: [crashId], crashedAt: now, probeCrashes: (this.#suspects.get(part)?.probeCrashes ?? 0) + (probed.includes(part) ? 1 : 0), begunAt: this.#begunAt.get(part),
			});
		}
	}

	/** What may be done with a request that has these parts. */
	verdict(parts: readonly string[], now: number): PartVerdict {
		const suspects: string[] = [];
		let isSeparationOver = false;
		for (const part of parts) {
			const suspect = this.#suspects.get(part);
			if (suspect === undefined || isCleared(suspect)) {
				continue;
			}

			if (now < blockedUntil(suspect)) {
				return {kind: 'blocked', part};
			}

			suspects.push(part);
			isSeparationOver ||= now - suspect.crashedAt > SEPARATION_TIMEOUT_MS;
		}

		if (suspects.length === 0) {
			return {kind: 'clear'};
		}

		return suspects.length === 1 || isSeparationOver ? {kind: 'probe', parts: suspects} : {kind: 'wait', parts: suspects};
	}

	/** Whether a probe of these parts may run now, and if so, takes the turn. Only the entry that grants the probes of all entries calls this. */
	takeProbe(parts: readonly string[], now: number): boolean {
		const verdict = this.verdict(parts, now);
		if (verdict.kind === 'clear') {
			return true;
		}

		if (verdict.kind !== 'probe' || verdict.parts.some(part => now - (this.#suspects.get(part)?.probedAt ?? Number.NEGATIVE_INFINITY) < PROBE_INTERVAL_MS)) {
			return false;
		}

		for (const part of verdict.parts) {
			this.#suspects.set(part, {...this.#suspects.get(part)!, probedAt: now});
		}

		return true;
	}

	/** What this entry knows of suspects, for other entries. */
	reports(now: number): readonly PartReport[] {
		return [...this.#suspects].map(([part, {crashIds, crashedAt, probeCrashes, begunAt}]) => ({
			part, crashId: crashIds.at(-1)!, crashAgeMs: now - crashedAt, probeCrashes, begunAgeMs: begunAt === undefined ? undefined : now - begunAt,
		}));
	}

	/** Takes over what another entry knows. Returns the parts that were not known as suspects here. */
	merge(reports: readonly PartReport[], now: number): readonly string[] {
		const added = reports.filter(({part}) => !this.#suspects.has(part)).map(({part}) => part);
		for (const {part, crashId, crashAgeMs, probeCrashes, begunAgeMs} of reports) {
			const begunAt = latest(this.#begunAt.get(part), begunAgeMs === undefined ? undefined : now - begunAgeMs);
			this.#mergeSuspect(part, {
				crashIds: [crashId], crashedAt: now - crashAgeMs, probeCrashes, begunAt,
			});
		}

		for (const [part, suspect] of this.#suspects) {
			if (now - suspect.crashedAt > RETENTION_MS || (isCleared(suspect) && now - suspect.begunAt! > CLEARED_RETENTION_MS)) {
				this.#suspects.delete(part);
			}
		}

		return added;
	}

	#mergeSuspect(part: string, seen: Omit<Suspect, 'probedAt'>): void {
		const known = this.#suspects.get(part);
		const isLaterCrash = known === undefined || (seen.crashedAt > known.crashedAt && !seen.crashIds.some(id => known.crashIds.includes(id)));
		const merged: Suspect = {
			crashIds: isLaterCrash ? [...(known?.crashIds ?? []), ...seen.crashIds].slice(-MAX_CRASH_IDS) : known.crashIds,
			crashedAt: isLaterCrash ? seen.crashedAt : known.crashedAt,
			begunAt: latest(known?.begunAt, seen.begunAt),
			probeCrashes: Math.max(known?.probeCrashes ?? 0, seen.probeCrashes),
			probedAt: known?.probedAt,
		};
		this.#suspects.set(part, isCleared(merged) ? {...merged, probeCrashes: 0} : merged);
		if (this.#suspects.size > MAX_SUSPECTS) {
			const [oldest] = [...this.#suspects].find(([, {probeCrashes}]) => probeCrashes === 0) ?? [part];
			this.#suspects.delete(oldest);
		}
	}
}

/** Whether an answer has begun since the last crash. */
function isCleared({crashedAt, begunAt}: Suspect): boolean {
	return begunAt !== undefined && begunAt > crashedAt;
}

function blockedUntil({crashedAt, probeCrashes, begunAt}: Suspect): number {
	const needed = PROBE_CRASHES_TO_BLOCK[begunAt === undefined ? 'neverBegun' : 'begunBefore'];
	return probeCrashes < needed ? Number.NEGATIVE_INFINITY : crashedAt + BLOCK_MS[Math.min(probeCrashes - needed, BLOCK_MS.length - 1)]!;
}

function latest(a: number | undefined, b: number | undefined): number | undefined {
	return a === undefined || b === undefined ? (a ?? b) : Math.max(a, b);
}
