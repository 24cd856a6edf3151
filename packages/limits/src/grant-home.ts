/**
 * Home side of the workspace limits. The home of a workspace divides its limit among the entries
 * that report demand. The sum of all rates that entries may be using never exceeds the limit:
 * a raised grant waits until the lowered ones are confirmed or have run out.
 */
import {
	GRANT_DECAY_END_MS, type Demand, type Grant, type WorkspaceRule,
} from './types.js';

/** The fair level is computed at most this often for a workspace. */
const LEVEL_INTERVAL_MS = 200;

type Issued = {readonly sequence: number; readonly tokensPerSecond: number; readonly at: number};

type EntryState = {
	/** Grants that the entry may be using, oldest first. */
	readonly issued: readonly Issued[];
	readonly demand: number;
	readonly sequence: number;
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

/** Highest rate that the entry may be using under grants of this home. */
function outstanding(state: EntryState, now: number): number {
	return Math.max(0, ...state.issued.filter(({at}) => now - at < GRANT_DECAY_END_MS).map(({tokensPerSecond}) => tokensPerSecond));
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
export class GrantHome {
	static create(): GrantHome {
		return new GrantHome();
	}

	#rules: ReadonlyMap<string, WorkspaceRule> = new Map();
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
	setRules(rules: ReadonlyMap<string, WorkspaceRule>): void {
		this.#rules = rules;
	}

	/** Sets the entries of the directory. The share of one that is gone returns when its last grant has run out. */
	setEntries(ids: ReadonlySet<string>, now: number): void {
		const same = ids.size === this.#known.size && [...ids].every(id => this.#known.has(id));
		this.#known = ids;
		this.#changedAt = same ? this.#changedAt : now;
	}

	/** Forgets a workspace whose home is now another entry. */
	release(workspace: string): void {
		this.#workspaces.delete(workspace);
	}

	/**
	 * Answers a demand report.
	 *
	 * @returns The grant to send back, or undefined for a late report or a workspace without a limit.
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
		const issued = (prev?.issued ?? []).filter(({sequence, at}) => sequence >= demand.heldSequence && now - at < GRANT_DECAY_END_MS);
		const held = demand.heldTokensPerSecond > 0 && !issued.some(({sequence}) => sequence === demand.heldSequence)
			? [{sequence: demand.heldSequence, tokensPerSecond: demand.heldTokensPerSecond, at: now}]
			: [];
		return {
			issued: [...held, ...issued], demand: demand.tokensPerSecond, sequence: demand.sequence, heardAt: now,
		};
	}

	/** Forgets entries that have released their share, or that are gone and whose grants have run out. */
	#dropLapsed(workspace: WorkspaceState, now: number): void {
		for (const [id, state] of workspace.entries) {
			const silent = now - state.heardAt >= GRANT_DECAY_END_MS;
			const released = state.demand === 0 && outstanding(state, now) === 0;
			if (silent && (released || !this.#known.has(id))) {
				workspace.entries.delete(id);
			}
		}
	}

	/** What another entry may be using: its grants, or the fallback once it has been silent. */
	#reserved(state: EntryState, rule: WorkspaceRule, now: number): number {
		const fallback = rule.tokensPerSecond / Math.max(1, this.#known.size);
		const silent = now - state.heardAt >= GRANT_DECAY_END_MS;
		return silent ? fallback : outstanding(state, now);
	}

	#rateFor(demand: Demand, workspace: WorkspaceState, rule: WorkspaceRule, now: number): number {
		let others = 0;
		for (const [id, state] of workspace.entries) {
			others += id === demand.entryId ? 0 : this.#reserved(state, rule, now);
		}

		const available = Math.max(0, rule.tokensPerSecond - others);
		if (now < workspace.quietUntil) {
			return Math.min(available, demand.heldTokensPerSecond);
		}

		this.#renewLevel(workspace, rule, now);
		return Math.min(available, Math.min(demand.tokensPerSecond, workspace.level) + workspace.spare);
	}

	#renewLevel(workspace: WorkspaceState, rule: WorkspaceRule, now: number): void {
		if (now - workspace.levelAt < LEVEL_INTERVAL_MS) {
			return;
		}

		const demands: number[] = [];
		let silent = 0;
		for (const state of workspace.entries.values()) {
			if (now - state.heardAt >= GRANT_DECAY_END_MS) {
				silent += this.#reserved(state, rule, now);
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
