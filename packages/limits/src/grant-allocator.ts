/**
 * Home side of the workspace limits. The home of a workspace divides its limit among the entries
 * that report demand. The sum of all rates that entries may be using never exceeds the limit:
 * a raised grant waits until the lowered ones are confirmed or have run out.
 */
import {
	GRANT_DECAY_END_MS, type Demand, type Grant, type WorkspaceLimit,
} from './types.js';

/** An entry that gave up its share is remembered for this time, so that a late report of it is recognised. */
const RELEASED_AFTER_MS = 10_000;
/** The fair level is computed at most this often for a workspace. */
const LEVEL_INTERVAL_MS = 200;

type Issued = {readonly sequence: number; readonly tokensPerSecond: number; readonly at: number};

type EntryState = {
	/** Grants that the entry may be using, oldest first. */
	readonly issued: readonly Issued[];
	readonly demand: number;
	readonly sequence: number;
	/** Sequence of the grant that the entry reported as in use; 0 for none. */
	readonly heldSequence: number;
	readonly heardAt: number;
};

type WorkspaceState = {
	/** Until then grants of an earlier home may be in use, so grants are only renewed. */
	readonly quietUntil: number;
	readonly entries: Map<string, EntryState>;
	level: number;
	spare: number;
	levelAt: number;
};

/** Whether the entry gave up its share: it reported no demand, holds no grant and drops those under way. */
function isReleased({demand, heldSequence, issued}: EntryState): boolean {
	return demand === 0 && heldSequence === 0 && issued.length === 0;
}

/**
 * Highest rate that the entry may be using: a grant counts in full until it has decayed, and from then
 * on as the fallback to which a silent entry may rise. An entry without a grant may do so at any time.
 */
function outstanding(state: EntryState, fallback: number, now: number): number {
	if (isReleased(state)) {
		return 0;
	}

	const rates = state.issued.map(({tokensPerSecond, at}) => now - at < GRANT_DECAY_END_MS ? tokensPerSecond : fallback);
	return Math.max(state.heldSequence === 0 ? fallback : 0, ...rates);
}

/** Of the grants that have decayed one is enough, since all count the same. */
function pruned(issued: readonly Issued[], now: number): readonly Issued[] {
	const firstLive = issued.findIndex(({at}) => now - at < GRANT_DECAY_END_MS);
	return firstLive === -1 ? issued.slice(-1) : issued.slice(Math.max(0, firstLive - 1));
}

/** The level at which demands are cut so that their sum meets the limit; infinite when they all fit. */
function fairLevel(demands: readonly number[], limit: number): number {
	let left = limit;
	const sorted = demands.toSorted((a, b) => a - b);
	for (const [index, demand] of sorted.entries()) {
		const level = left / (sorted.length - index);
		if (demand > level) {
			return level;
		}

		left -= demand;
	}

	return Number.POSITIVE_INFINITY;
}

/** Grants for the workspaces whose home this entry is. It owns its state; drive it from one task. */
export class GrantAllocator {
	static create(): GrantAllocator {
		return new GrantAllocator();
	}

	#rules: ReadonlyMap<string, WorkspaceLimit> = new Map();
	#known: ReadonlySet<string> = new Set();
	/** When the set of entries, and with it perhaps the homes, last changed. */
	#changedAt = Number.NEGATIVE_INFINITY;
	readonly #workspaces = new Map<string, WorkspaceState>();

	private constructor() {
		// Created by `create` only.
	}

	/** Number of workspaces with state. */
	get size(): number {
		return this.#workspaces.size;
	}

	/** Sets the rules in force, by workspace. */
	setRules(rules: ReadonlyMap<string, WorkspaceLimit>): void {
		this.#rules = rules;
	}

	/** Sets the entries of the directory. The share of one that is gone returns when its last grant has run out. */
	setEntries(ids: ReadonlySet<string>, now: number): void {
		const same = ids.size === this.#known.size && [...ids].every(id => this.#known.has(id));
		this.#known = ids;
		this.#changedAt = same ? this.#changedAt : now;
	}

	/** Forgets a workspace whose home is now another entry. */
	removeWorkspace(workspace: string): void {
		this.#workspaces.delete(workspace);
	}

	/**
	 * Answers a demand report.
	 *
	 * @returns The grant to send back, or undefined for a late report, one that gives up a share, or a workspace without a limit.
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

		const state = this.#heard(prev, demand, now);
		workspace.entries.set(demand.entryId, state);
		this.#dropLapsed(workspace, now);
		if (isReleased(state)) {
			return undefined;
		}

		const tokensPerSecond = this.#rateFor(demand, workspace, rule, now);
		const issued = [...state.issued, {sequence: demand.sequence, tokensPerSecond, at: now}];
		workspace.entries.set(demand.entryId, {...state, issued});
		return {workspace: demand.workspace, sequence: demand.sequence, tokensPerSecond};
	}

	/** Drops workspaces in which no entry has state any more. Call it every few seconds. */
	sweep(now: number): void {
		for (const [name, workspace] of this.#workspaces) {
			this.#dropLapsed(workspace, now);
			if (workspace.entries.size === 0) {
				this.#workspaces.delete(name);
			}
		}
	}

	#workspaceOf(name: string): WorkspaceState {
		const known = this.#workspaces.get(name);
		if (known !== undefined) {
			return known;
		}

		const created = {
			quietUntil: this.#changedAt + GRANT_DECAY_END_MS, entries: new Map<string, EntryState>(), level: 0, spare: 0, levelAt: Number.NEGATIVE_INFINITY,
		};
		this.#workspaces.set(name, created);
		return created;
	}

	/** Takes over what the entry holds; grants older than the one it holds cannot come into use any more. */
	#heard(prev: EntryState | undefined, demand: Demand, now: number): EntryState {
		const gaveUp = demand.tokensPerSecond === 0 && demand.heldSequence === 0;
		const issued = gaveUp ? [] : (prev?.issued ?? []).filter(({sequence}) => sequence >= demand.heldSequence);
		const held = demand.heldTokensPerSecond > 0 && !issued.some(({sequence}) => sequence === demand.heldSequence)
			? [{sequence: demand.heldSequence, tokensPerSecond: demand.heldTokensPerSecond, at: now}]
			: [];
		return {
			issued: pruned([...held, ...issued], now),
			demand: demand.tokensPerSecond,
			sequence: demand.sequence,
			heldSequence: demand.heldSequence,
			heardAt: now,
		};
	}

	/** Forgets entries that gave up their share and fell silent, or that are gone and whose grants have run out. */
	#dropLapsed(workspace: WorkspaceState, now: number): void {
		for (const [id, state] of workspace.entries) {
			const silentMs = now - state.heardAt;
			const released = isReleased(state) && silentMs >= RELEASED_AFTER_MS;
			const gone = !this.#known.has(id) && silentMs >= GRANT_DECAY_END_MS;
			if (released || gone) {
				workspace.entries.delete(id);
			}
		}
	}

	#fallback(rule: WorkspaceLimit): number {
		return rule.tokensPerSecond / Math.max(1, this.#known.size);
	}

	#rateFor(demand: Demand, workspace: WorkspaceState, rule: WorkspaceLimit, now: number): number {
		let others = 0;
		for (const [id, state] of workspace.entries) {
			others += id === demand.entryId ? 0 : outstanding(state, this.#fallback(rule), now);
		}

		const available = Math.max(0, rule.tokensPerSecond - others);
		if (now < workspace.quietUntil) {
			return Math.min(available, demand.heldTokensPerSecond);
		}

		this.#renewLevel(workspace, rule, now);
		return Math.min(available, Math.min(demand.tokensPerSecond, workspace.level) + workspace.spare);
	}

	#renewLevel(workspace: WorkspaceState, rule: WorkspaceLimit, now: number): void {
		if (now - workspace.levelAt < LEVEL_INTERVAL_MS) {
			return;
		}

		const demands: number[] = [];
		let silent = 0;
		for (const state of workspace.entries.values()) {
			if (isReleased(state)) {
				continue;
			}

			if (now - state.heardAt >= GRANT_DECAY_END_MS) {
				silent += outstanding(state, this.#fallback(rule), now);
			} else {
				demands.push(state.demand);
			}
		}

		const limit = Math.max(0, rule.tokensPerSecond - silent);
		const wanted = demands.reduce((sum, rate) => sum + rate, 0);
		workspace.level = fairLevel(demands, limit);
		workspace.spare = Math.max(0, limit - wanted) / Math.max(1, demands.length);
		workspace.levelAt = now;
	}
}
