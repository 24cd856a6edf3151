/**
 * Limits of workspaces at this entry: spends what the homes granted, reports demand to
 * them, and is home for its share of the workspaces.
 */
import {setInterval} from 'node:timers/promises';
import {mergeTeardowns, type Teardown} from '#core';
import {
	GrantLimiter, GrantAllocator, type Demand, type SpendResult, type WorkspaceLimit as LimitRule,
} from '#limits';
import {homesOf} from '#membership';
import {type Peering} from '#peering';
import {type PeerLink} from '#protocol';
import {type RuleSet} from '#rules';
import {type Logger} from '#telemetry';

/** Grants count in full for 3 s and run out after 5 s, so one lost report does no harm; twice the interval would. */
const REPORT_INTERVAL_MS = 2000;

/** Request limits are held as a second bucket next to the tokens, under this suffix, which no workspace name can have. */
const REQUESTS_SUFFIX = ' requests';

export type WorkspaceLimitsOptions = {
	readonly peering: Peering;
	readonly log: Logger;
	readonly signal: AbortSignal;
};

/** The limits of all workspaces, tokens and requests apart. */
function limitsOf(ruleSet: RuleSet): ReadonlyMap<string, LimitRule> {
	const limits = new Map<string, LimitRule>();
	for (const {name, priority, weight, limitTokensPerSecond, limitRequestsPerSecond} of ruleSet.workspaces.values()) {
		if (limitTokensPerSecond !== undefined) {
			limits.set(name, {tokensPerSecond: limitTokensPerSecond, weight, priority});
		}

		if (limitRequestsPerSecond !== undefined) {
			limits.set(`${name}${REQUESTS_SUFFIX}`, {tokensPerSecond: limitRequestsPerSecond, weight, priority});
		}
	}

	return limits;
}

export class WorkspaceLimits {
	static create(options: WorkspaceLimitsOptions): WorkspaceLimits {
		return new WorkspaceLimits(options);
	}

	readonly #options: WorkspaceLimitsOptions;
	readonly #holder: GrantLimiter;
	readonly #home = GrantAllocator.create();
	readonly #teardown: Teardown;

	private constructor(options: WorkspaceLimitsOptions) {
		this.#options = options;
		const {peering} = options;
		this.#holder = GrantLimiter.create(peering.machine.id, Date.now());
		this.#teardown = mergeTeardowns(
			peering.pool.registerLinkListener(link => {
				this.#onLink(link);
			}),
			peering.kernel.registerUpdateListener((next, prev) => {
				if (next.ruleSet !== prev.ruleSet) {
					this.#setRules(next.ruleSet);
				}

				if (next.directory !== prev.directory) {
					this.#setEntries();
				}
			}),
		);
		this.#setRules(peering.kernel.snapshot.ruleSet);
		this.#setEntries();
		void this.#report();
	}

	/** Spends one request and its estimated tokens. Nothing is spent when either limit refuses. */
	spend(workspace: string, tokens: number, now: number): SpendResult {
		const requests = this.#holder.spend(`${workspace}${REQUESTS_SUFFIX}`, 1, now);
		if (requests.kind === 'refused') {
			return requests;
		}

		const spent = this.#holder.spend(workspace, tokens, now);
		if (spent.kind === 'refused') {
			this.#holder.reconcile(`${workspace}${REQUESTS_SUFFIX}`, 1, 0, now);
		}

		return spent;
	}

	/** Rate in force for a workspace, tokens/s; infinite without a limit. */
	rate(workspace: string, now: number): number {
		return this.#holder.rate(workspace, now);
	}

	/** Tokens that the workspace could spend now; negative while it is in debt. */
	available(workspace: string, now: number): number {
		return this.#holder.available(workspace, now);
	}

	/** Gives back the tokens of a request that did not run. */
	refund(workspace: string, tokens: number, now: number): void {
		this.#holder.reconcile(workspace, tokens, 0, now);
		this.#holder.reconcile(`${workspace}${REQUESTS_SUFFIX}`, 1, 0, now);
	}

	close(): void {
		this.#teardown();
	}

	#setRules(ruleSet: RuleSet): void {
		const limits = limitsOf(ruleSet);
		this.#holder.setRules(limits);
		this.#home.setRules(limits);
	}

	#setEntries(): void {
		const ids = this.#entryIds();
		this.#holder.setKnownEntries(ids.size);
		this.#home.setEntries(ids, Date.now());
	}

	#entryIds(): ReadonlySet<string> {
		const {kernel, machine} = this.#options.peering;
		return new Set([...kernel.snapshot.directory.entryIds, machine.id]);
	}

	#onLink(link: PeerLink): void {
		if (link.peer.role !== 'entry') {
			return;
		}

		link.registerMessage('demand', ({items}) => {
			const now = Date.now();
			const grants = items.flatMap(([workspace, sequence, tokensPerSecond, heldTokensPerSecond, heldSequence]) => {
				const grant = this.#home.onDemand({
					workspace, entryId: link.peer.id, sequence, tokensPerSecond, heldTokensPerSecond, heldSequence,
				}, now);
				return grant === undefined ? [] : [[workspace, grant.sequence, grant.tokensPerSecond] as const];
			});
			link.send({kind: 'grant', items: grants});
		});
		link.registerMessage('grant', ({items}) => {
			const now = Date.now();
			for (const [workspace, sequence, tokensPerSecond] of items) {
				this.#holder.onGrant({workspace, sequence, tokensPerSecond}, now);
			}
		});
	}

	async #report(): Promise<void> {
		const {signal, log} = this.#options;
		try {
			for await (const _ of setInterval(REPORT_INTERVAL_MS, undefined, {signal, ref: false})) {
				this.#sendDemands(Date.now());
				this.#home.sweep(Date.now());
			}
		} catch (error) {
			if (!signal.aborted) {
				log.part('limits').error('demand task failed', {err: error});
			}
		}
	}

	/** Sends the demands, one message to each home. */
	#sendDemands(now: number): void {
		const {peering} = this.#options;
		const byHome = new Map<string, Demand[]>();
		for (const demand of this.#holder.demands(now)) {
			const [home] = homesOf(peering.kernel.snapshot.directory, `limit|${demand.workspace}`, 1);
			const id = home ?? peering.machine.id;
			byHome.set(id, [...byHome.get(id) ?? [], demand]);
		}

		for (const [home, demands] of byHome) {
			this.#sendTo(home, demands, now);
		}
	}

	#sendTo(home: string, demands: readonly Demand[], now: number): void {
		const {peering, log} = this.#options;
		if (home === peering.machine.id) {
			for (const demand of demands) {
				const grant = this.#home.onDemand(demand, now);
				if (grant !== undefined) {
					this.#holder.onGrant(grant, now);
				}
			}

			return;
		}

		const items = demands.map(demand => [demand.workspace, demand.sequence, demand.tokensPerSecond, demand.heldTokensPerSecond, demand.heldSequence] as const);
		peering.linkTo(home).then(link => {
			link.send({kind: 'demand', items});
		}, () => {
			log.part('limits').debug('home of workspaces cannot be reached', {home});
		});
	}
}
