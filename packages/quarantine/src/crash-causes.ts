/**
 * Finds what crashes endpoints: a part of prompts, or a whole request that comes again. It crashes each endpoint that begins to
 * run a request with it, so the causes of all requests on which a crashed endpoint had not begun to answer become suspects, and a
 * cause with which any answer begins later is cleared. While a cause is a suspect, only a few requests with it run, one after
 * another, as probes; when probes crash their endpoints too, the cause is blocked. Entries merge what they have seen.
 *
 * Pure: times are arguments, in monotonic ms of this process.
 */

/** What a crash may be blamed on: a part of the prompt, by its id, or the whole request, by its fingerprint. */
export type CrashCause = `${CrashCauseKind}:${string}`;

export type CrashCauseKind = 'part' | 'request';

/** The kind and the id of a cause. */
export function splitCause(cause: CrashCause): {readonly kind: CrashCauseKind; readonly id: string} {
	const [kind] = cause.split(':', 1) as [CrashCauseKind];
	return {kind, id: cause.slice(kind.length + 1)};
}

/** What an entry knows of a suspect. Ages instead of times, since entries have different clocks. */
export type CauseReport = {
	readonly cause: CrashCause;
	/** Identifies the last crash, so that its age is not taken over again from messages that were under way for long. */
	readonly crashId: string;
	/** Time since the last crash with this cause, in ms. */
	readonly crashAgeMs: number;
	/** Number of crashes of probes with this cause since it was last cleared. */
	readonly probeCrashes: number;
	/** Time since an answer last began on a request with this cause, in ms; undefined if none is known. */
	readonly begunAgeMs: number | undefined;
};

/** What may be done with a request. */
export type CauseVerdict
	/** None of its causes is a suspect. */
	= | {readonly kind: 'clear'}
		/** It may run as a probe of these causes. */
		| {readonly kind: 'probe'; readonly causes: readonly CrashCause[]}
		/** It may run when some of these parts have been cleared. */
		| {readonly kind: 'wait'; readonly causes: readonly CrashCause[]}
		/** It would crash its endpoint. */
		| {readonly kind: 'blocked'; readonly cause: CrashCause};

/** Minimum time between two probes of a cause, in ms: by then the first one has begun to answer or has crashed its endpoint, and the entries know. */
const PROBE_INTERVAL_MS = 1000;

/** A request with several suspect parts waits this long since the last crash for some of them to be cleared, in ms: a group forms again within a few seconds, and requests that share only one of them follow. */
const SEPARATION_TIMEOUT_MS = 10_000;

/** Number of crashed probes that block a cause. One with which answers have begun before needs two: the crash may be due to another request at the same endpoint. */
const PROBE_CRASHES_TO_BLOCK = {neverBegun: 1, begunBefore: 2} as const;

/** Time for which a cause is blocked for the first time, the second and so on, in ms. A crash may have another reason, so blocks end; that of a part ends sooner, since sound requests may hold it. */
const BLOCK_MS: Readonly<Record<CrashCauseKind, readonly number[]>> = {part: [30_000, 300_000, 3_600_000], request: [300_000, 3_600_000]};

/** A suspect is forgotten after this time without a crash, in ms: longer than the longest block. */
const RETENTION_MS = 7_200_000;

/** Entries report a suspect without a crashed probe for this time since its last crash or answer, in ms: by then all entries that can be reached know. One that was cleared is forgotten then. */
const REPORTED_MS = 30_000;

/** Maximum number of suspects: those of several endpoints that crash at once with all of their requests. */
const MAX_SUSPECTS = 1000;

/** Maximum number of suspects that are reported, which bounds the messages between entries. */
const MAX_REPORTED_SUSPECTS = 200;

/** Maximum number of causes whose last answer is remembered, to clear suspects of crashes that are reported late. */
const MAX_REMEMBERED_CAUSES = 10_000;

/** Number of crashes whose ids are kept for each suspect. */
const MAX_CRASH_IDS = 8;

type Suspect = {/** The last one is that of `crashedAt`. */ readonly crashIds: readonly string[]; readonly crashedAt: number; readonly probeCrashes: number; readonly begunAt: number | undefined; readonly probedAt: number | undefined};

export class CrashCauses {
	static create(): CrashCauses {
		return new CrashCauses();
	}

	readonly #suspects = new Map<CrashCause, Suspect>();
	/** When an answer last began at this entry, by cause; the oldest first. */
	readonly #begunAt = new Map<CrashCause, number>();

	/** Records that an answer has begun on a request with these causes. */
	recordBegun(causes: readonly CrashCause[], now: number): void {
		for (const cause of causes) {
			this.#begunAt.delete(cause);
			this.#begunAt.set(cause, now);
			const suspect = this.#suspects.get(cause);
			if (suspect !== undefined) {
				this.#suspects.set(cause, {...suspect, begunAt: now, probeCrashes: 0});
			}
		}

		for (const cause of this.#begunAt.keys()) {
			if (this.#begunAt.size <= MAX_REMEMBERED_CAUSES) {
				break;
			}

			this.#begunAt.delete(cause);
		}
	}

	/**
	 * Records that an endpoint crashed before it began to answer a request.
	 *
	 * @param causes - Causes of the request.
	 * @param probed - Those that the request ran as a probe of.
	 * @param crashId - Unique among all entries.
	 */
	recordCrash(causes: readonly CrashCause[], probed: readonly CrashCause[], crashId: string, now: number): void {
		for (const cause of causes) {
			this.#mergeSuspect(cause, {
				crashIds: [crashId], crashedAt: now, probeCrashes: (this.#suspects.get(cause)?.probeCrashes ?? 0) + (probed.includes(cause) ? 1 : 0), begunAt: this.#begunAt.get(cause),
			});
		}
	}

	/** What may be done with a request that has these causes. */
	verdict(causes: readonly CrashCause[], now: number): CauseVerdict {
		const uncleared = causes.filter(cause => {
			const suspect = this.#suspects.get(cause);
			return suspect !== undefined && !isCleared(suspect);
		});
		const blocked = uncleared.find(cause => now < blockedUntil(cause, this.#suspects.get(cause)!));
		if (blocked !== undefined) {
			return {kind: 'blocked', cause: blocked};
		}

		if (uncleared.length === 0) {
			return {kind: 'clear'};
		}

		const parts = uncleared.filter(cause => splitCause(cause).kind === 'part');
		const isSeparationOver = parts.some(cause => now - this.#suspects.get(cause)!.crashedAt > SEPARATION_TIMEOUT_MS);
		return parts.length <= 1 || isSeparationOver ? {kind: 'probe', causes: uncleared} : {kind: 'wait', causes: parts};
	}

	/** Whether a probe of these causes may run now, and if so, takes the turn. Only the entry that grants the probes of all entries calls this. */
	takeProbe(causes: readonly CrashCause[], now: number): boolean {
		const verdict = this.verdict(causes, now);
		if (verdict.kind === 'clear') {
			return true;
		}

		if (verdict.kind !== 'probe' || verdict.causes.some(cause => now - (this.#suspects.get(cause)?.probedAt ?? Number.NEGATIVE_INFINITY) < PROBE_INTERVAL_MS)) {
			return false;
		}

		for (const cause of verdict.causes) {
			this.#suspects.set(cause, {...this.#suspects.get(cause)!, probedAt: now});
		}

		return true;
	}

	/** What this entry knows of suspects, for other entries. Most whole requests never come again, so suspects that no probe crashed on are left out after a while. */
	reports(now: number): readonly CauseReport[] {
		const recent = [...this.#suspects].filter(([, {crashedAt, probeCrashes, begunAt}]) => probeCrashes > 0 || now - latest(crashedAt, begunAt)! <= REPORTED_MS);
		const reported = recent.length <= MAX_REPORTED_SUSPECTS ? recent : recent.toSorted(([, a], [, b]) => compareSuspicion(b, a)).slice(0, MAX_REPORTED_SUSPECTS);
		return reported.map(([cause, {crashIds, crashedAt, probeCrashes, begunAt}]) => ({
			cause, crashId: crashIds.at(-1)!, crashAgeMs: now - crashedAt, probeCrashes, begunAgeMs: begunAt === undefined ? undefined : now - begunAt,
		}));
	}

	/** Takes over what another entry knows. Returns the causes that were not known as suspects here. */
	merge(reports: readonly CauseReport[], now: number): readonly CrashCause[] {
		const added = reports.filter(({cause}) => !this.#suspects.has(cause)).map(({cause}) => cause);
		for (const {cause, crashId, crashAgeMs, probeCrashes, begunAgeMs} of reports) {
			const begunAt = latest(this.#begunAt.get(cause), begunAgeMs === undefined ? undefined : now - begunAgeMs);
			this.#mergeSuspect(cause, {
				crashIds: [crashId], crashedAt: now - crashAgeMs, probeCrashes, begunAt,
			});
		}

		for (const [cause, suspect] of this.#suspects) {
			if (now - suspect.crashedAt > RETENTION_MS || (isCleared(suspect) && now - suspect.begunAt! > REPORTED_MS)) {
				this.#suspects.delete(cause);
			}
		}

		return added;
	}

	#mergeSuspect(cause: CrashCause, seen: Omit<Suspect, 'probedAt'>): void {
		const known = this.#suspects.get(cause);
		const isLaterCrash = known === undefined || (seen.crashedAt > known.crashedAt && !seen.crashIds.some(id => known.crashIds.includes(id)));
		const merged: Suspect = {
			crashIds: isLaterCrash ? [...(known?.crashIds ?? []), ...seen.crashIds].slice(-MAX_CRASH_IDS) : known.crashIds,
			crashedAt: isLaterCrash ? seen.crashedAt : known.crashedAt,
			begunAt: latest(known?.begunAt, seen.begunAt),
			probeCrashes: Math.max(known?.probeCrashes ?? 0, seen.probeCrashes),
			probedAt: known?.probedAt,
		};
		this.#suspects.set(cause, isCleared(merged) ? {...merged, probeCrashes: 0} : merged);
		if (this.#suspects.size > MAX_SUSPECTS) {
			this.#removeLeastSuspicious();
		}
	}

	#removeLeastSuspicious(): void {
		let [least] = this.#suspects;
		for (const entry of this.#suspects) {
			if (least === undefined || compareSuspicion(entry[1], least[1]) < 0) {
				least = entry;
			}
		}

		if (least !== undefined) {
			this.#suspects.delete(least[0]);
		}
	}
}

/** Whether an answer has begun since the last crash. */
function isCleared({crashedAt, begunAt}: Suspect): boolean {
	return begunAt !== undefined && begunAt > crashedAt;
}

/** Orders suspects by how likely they are causes, the least likely first: those that answers have cleared, then by their crashes, and the older ones first. */
function compareSuspicion(a: Suspect, b: Suspect): number {
	return (a.probeCrashes - b.probeCrashes)
		|| (Number(isCleared(b)) - Number(isCleared(a)))
		|| (a.crashIds.length - b.crashIds.length)
		|| (a.crashedAt - b.crashedAt);
}

function blockedUntil(cause: CrashCause, {crashedAt, probeCrashes, begunAt}: Suspect): number {
	const needed = PROBE_CRASHES_TO_BLOCK[begunAt === undefined ? 'neverBegun' : 'begunBefore'];
	const blockMs = BLOCK_MS[splitCause(cause).kind];
	return probeCrashes < needed ? Number.NEGATIVE_INFINITY : crashedAt + blockMs[Math.min(probeCrashes - needed, blockMs.length - 1)]!;
}

function latest(a: number | undefined, b: number | undefined): number | undefined {
	return a === undefined || b === undefined ? (a ?? b) : Math.max(a, b);
}
