/**
 * Distributed rate limiting, owner side. The owner of a workspace, an entry selected by rendezvous hashing, divides
 * the limit among the entries that report demand. The sum of all rates that entries may be using never exceeds the
 * limit: a grant increases only after the reduced grants of other entries are confirmed or have expired.
 */
import {
	GRANT_DECAY_END_MS, type Demand, type Grant, type WorkspaceLimit,
} from './types.js';

/** The state of an entry that released its share is kept for this time, so that a late report is recognised. */
const RELEASED_TTL_MS = 10_000;
/** Minimum interval between computations of the fair share of a workspace. */
const FAIR_SHARE_INTERVAL_MS = 200;

type IssuedGrant = {readonly sequence: number; readonly tokensPerSecond: number; readonly at: number};

type EntryState = {
	/** Grants that the entry may still be using, oldest first. */
	readonly issued: readonly IssuedGrant[];
	readonly demand: number;
	readonly sequence: number;
	/** Sequence of the grant that the entry reported to be using; 0 for none. */
	readonly heldSequence: number;
	readonly reportedAt: number;
};

type WorkspaceState = {
	/** Until this time grants of a previous owner may be in use, so grants are only renewed. */
	readonly renewOnlyUntil: number;
	readonly entries: Map<string, EntryState>;
	fairShare: number;
	extraShare: number;
	fairShareAt: number;
};

/** Whether the entry released its share: it reported no demand and no grant, and no grant issued to it can still be used. */
function isReleased({demand, heldSequence, issued}: EntryState): boolean {
	return demand === 0 && heldSequence === 0 && issued.length === 0;
}

/**
 * Highest rate that the entry may be using. A grant counts in full until it has decayed, and after that as the
 * fallback rate, which an entry without responses may use. An entry without a grant may use the fallback rate at any time.
 */
function maxRateInUse(state: EntryState, fallbackRate: number, now: number): number {
	if (isReleased(state)) {
		return 0;
	}

	const rates = state.issued.map(({tokensPerSecond, at}) => now - at < GRANT_DECAY_END_MS ? tokensPerSecond : fallbackRate);
	return Math.max(state.heldSequence === 0 ? fallbackRate : 0, ...rates);
}

/** Keeps only one of the grants that have decayed, since all of them count the same. */
function pruneIssued(issued: readonly IssuedGrant[], now: number): readonly IssuedGrant[] {
	const firstUndecayed = issued.findIndex(({at}) => now - at < GRANT_DECAY_END_MS);
	return firstUndecayed === -1 ? issued.slice(-1) : issued.slice(Math.max(0, firstUndecayed - 1));
}

/** Max-min fair share: the rate at which demands are capped so that their sum equals the limit; infinite if all demands fit. */
function maxMinFairShare(demands: readonly number[], limit: number): number {
	let remaining = limit;
	const sorted = demands.toSorted((a, b) => a - b);
	for (const [index, demand] of sorted.entries()) {
		const share = remaining / (sorted.length - index);
		if (demand > share) {
			return share;
		}

		remaining -= demand;
	}

	return Number.POSITIVE_INFINITY;
}

/** Allocates grants for the workspaces whose owner is this entry. It is stateful; call it from one task only. */
export class GrantAllocator {
	static create(): GrantAllocator {
		return new GrantAllocator();
	}

	#rules: ReadonlyMap<string, WorkspaceLimit> = new Map();
	#entryIds: ReadonlySet<string> = new Set();
	/** Time when the set of entries last changed, and with it possibly the owners. */
	#entriesChangedAt = Number.NEGATIVE_INFINITY;
	readonly #workspaces = new Map<string, WorkspaceState>();

	private constructor() {
		// Created by `create` only.
	}

	/** Number of workspaces for which state is kept. */
	get size(): number {
		return this.#workspaces.size;
	}

	/** Sets the limits by workspace. */
	setRules(rules: ReadonlyMap<string, WorkspaceLimit>): void {
		this.#rules = rules;
	}

	/** Sets the entries of the directory. The share of a removed entry becomes available when its last grant has expired. */
	setEntries(ids: ReadonlySet<string>, now: number): void {
		const isUnchanged = ids.size === this.#entryIds.size && [...ids].every(id => this.#entryIds.has(id));
		this.#entryIds = ids;
		this.#entriesChangedAt = isUnchanged ? this.#entriesChangedAt : now;
	}

	/** Removes the state of a workspace whose owner is now another entry. */
	removeWorkspace(workspace: string): void {
		this.#workspaces.delete(workspace);
	}

	/**
	 * Processes a demand report.
	 *
	 * @returns The grant to send back; undefined if the report is outdated or releases a share, or if the workspace has no limit.
	 */
	onDemand(demand: Demand, now: number): Grant | undefined {
		const rule = this.#rules.get(demand.workspace);
		if (rule === undefined) {
			return undefined;
		}

		const workspace = this.#workspaceOf(demand.workspace);
		const prev = workspace.entries.get(demand.entryId);
		if (prev !== undefined && demand.sequence <= prev.sequence) {
			return undefined;
		}

		const state = this.#nextState(prev, demand, now);
		workspace.entries.set(demand.entryId, state);
		this.#removeExpired(workspace, now);
		if (isReleased(state)) {
			return undefined;
		}

		const tokensPerSecond = this.#rateFor(demand, workspace, rule, now);
		const issued = [...state.issued, {sequence: demand.sequence, tokensPerSecond, at: now}];
		workspace.entries.set(demand.entryId, {...state, issued});
		return {workspace: demand.workspace, sequence: demand.sequence, tokensPerSecond};
	}

	/** Removes workspaces for which no entry has state any more. Call it every few seconds. */
	sweep(now: number): void {
		for (const [name, workspace] of this.#workspaces) {
			this.#removeExpired(workspace, now);
			if (workspace.entries.size === 0) {
				this.#workspaces.delete(name);
			}
		}
	}

	#workspaceOf(name: string): WorkspaceState {
		const existing = this.#workspaces.get(name);
		if (existing !== undefined) {
			return existing;
		}

		const created = {
			renewOnlyUntil: this.#entriesChangedAt + GRANT_DECAY_END_MS, entries: new Map<string, EntryState>(), fairShare: 0, extraShare: 0, fairShareAt: Number.NEGATIVE_INFINITY,
		};
		this.#workspaces.set(name, created);
		return created;
	}

	/** Updates the state from a report. It includes the grant in use even if another owner issued it; older grants are removed, since the entry ignores them. */
	#nextState(prev: EntryState | undefined, demand: Demand, now: number): EntryState {
		const isRelease = demand.tokensPerSecond === 0 && demand.heldSequence === 0;
		const issued = isRelease ? [] : (prev?.issued ?? []).filter(({sequence}) => sequence >= demand.heldSequence);
		const heldGrant = demand.heldTokensPerSecond > 0 && !issued.some(({sequence}) => sequence === demand.heldSequence)
			? [{sequence: demand.heldSequence, tokensPerSecond: demand.heldTokensPerSecond, at: now}]
			: [];
		return {
			issued: pruneIssued([...heldGrant, ...issued], now),
			demand: demand.tokensPerSecond,
			sequence: demand.sequence,
			heldSequence: demand.heldSequence,
			reportedAt: now,
		};
	}

	/** Removes entries that released their share and have stopped reporting, and entries that left the directory and whose grants have expired. */
	#removeExpired(workspace: WorkspaceState, now: number): void {
		for (const [id, state] of workspace.entries) {
			const silentMs = now - state.reportedAt;
			const isReleaseOver = isReleased(state) && silentMs >= RELEASED_TTL_MS;
			const isGone = !this.#entryIds.has(id) && silentMs >= GRANT_DECAY_END_MS;
			if (isReleaseOver || isGone) {
				workspace.entries.delete(id);
			}
		}
	}

	#fallbackRate(rule: WorkspaceLimit): number {
		return rule.tokensPerSecond / Math.max(1, this.#entryIds.size);
	}

	#rateFor(demand: Demand, workspace: WorkspaceState, rule: WorkspaceLimit, now: number): number {
		let others = 0;
		for (const [id, state] of workspace.entries) {
			others += id === demand.entryId ? 0 : maxRateInUse(state, this.#fallbackRate(rule), now);
		}

		const available = Math.max(0, rule.tokensPerSecond - others);
		if (now < workspace.renewOnlyUntil) {
			return Math.min(available, demand.heldTokensPerSecond);
		}

		this.#updateFairShare(workspace, rule, now);
		return Math.min(available, Math.min(demand.tokensPerSecond, workspace.fairShare) + workspace.extraShare);
	}

	#updateFairShare(workspace: WorkspaceState, rule: WorkspaceLimit, now: number): void {
		if (now - workspace.fairShareAt < FAIR_SHARE_INTERVAL_MS) {
			return;
		}

		const demands: number[] = [];
		let silentRate = 0;
		for (const state of workspace.entries.values()) {
			if (isReleased(state)) {
				continue;
			}

			if (now - state.reportedAt >= GRANT_DECAY_END_MS) {
				silentRate += maxRateInUse(state, this.#fallbackRate(rule), now);
			} else {
				demands.push(state.demand);
			}
		}

		const limit = Math.max(0, rule.tokensPerSecond - silentRate);
		const totalDemand = demands.reduce((sum, rate) => sum + rate, 0);
		workspace.fairShare = maxMinFairShare(demands, limit);
		workspace.extraShare = Math.max(0, limit - totalDemand) / Math.max(1, demands.length);
		workspace.fairShareAt = now;
	}
}
