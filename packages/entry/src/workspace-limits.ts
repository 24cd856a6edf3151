/**
 * Workspace rate limits at this entry: spends what the owners of the workspaces granted, reports
 * demand to them, and owns its share of the workspaces.
 */
import {setInterval} from 'node:timers/promises';
import {mergeTeardowns, type Teardown} from '#core';
import {
	GrantLimiter, GrantAllocator, type Demand, type SpendResult, type WorkspaceLimit as LimitRule,
} from '#limits';
import {ownersOf} from '#membership';
import {type Peering} from '#peering';
import {type PeerLink} from '#protocol';
import {type RuleSet} from '#rules';
import {type Logger} from '#telemetry';

/** Grants are fully valid for 3 s and expire after 5 s, so one lost report does no harm; with twice this interval it would. */
const REPORT_INTERVAL_MS = 2000;

/** The request limit of a workspace is a second bucket, named with this suffix, which no workspace name can contain. */
const REQUESTS_SUFFIX = ' requests';

export type WorkspaceLimitsOptions = {
	readonly peering: Peering;
	readonly log: Logger;
	readonly signal: AbortSignal;
};

/** The limits of all workspaces, with separate buckets for tokens and requests. */
function toLimitRules(ruleSet: RuleSet): ReadonlyMap<string, LimitRule> {
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
	readonly #grantHolder: GrantLimiter;
	readonly #grantOwner = GrantAllocator.create();
	readonly #teardown: Teardown;

	private constructor(options: WorkspaceLimitsOptions) {
		this.#options = options;
		const {peering} = options;
		this.#grantHolder = GrantLimiter.create(peering.machine.id, Date.now());
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
		void this.#runReports();
	}

	/** Spends one request and its estimated tokens. Nothing is spent if either limit is exceeded. */
	spend(workspace: string, tokens: number, now: number): SpendResult {
		const requests = this.#grantHolder.spend(`${workspace}${REQUESTS_SUFFIX}`, 1, now);
		if (requests.kind === 'refused') {
			return requests;
		}

		const spent = this.#grantHolder.spend(workspace, tokens, now);
		if (spent.kind === 'refused') {
			this.#grantHolder.reconcile(`${workspace}${REQUESTS_SUFFIX}`, 1, 0, now);
		}

		return spent;
	}

	/** Current rate of a workspace, tokens/s; infinite without a limit. */
	rate(workspace: string, now: number): number {
		return this.#grantHolder.rate(workspace, now);
	}

	/** Tokens that the workspace can spend now; negative if it is overdrawn. */
	available(workspace: string, now: number): number {
		return this.#grantHolder.available(workspace, now);
	}

	/** Refunds one request and its estimated tokens if it did not run. */
	refund(workspace: string, tokens: number, now: number): void {
		this.#grantHolder.reconcile(workspace, tokens, 0, now);
		this.#grantHolder.reconcile(`${workspace}${REQUESTS_SUFFIX}`, 1, 0, now);
	}

	close(): void {
		this.#teardown();
	}

	#setRules(ruleSet: RuleSet): void {
		const limits = toLimitRules(ruleSet);
		this.#grantHolder.setRules(limits);
		this.#grantOwner.setRules(limits);
	}

	#setEntries(): void {
		const ids = this.#entryIds();
		this.#grantHolder.setKnownEntries(ids.size);
		this.#grantOwner.setEntries(ids, Date.now());
	}

	#entryIds(): ReadonlySet<string> {
		const {kernel, machine} = this.#options.peering;
		return new Set([...kernel.snapshot.directory.entryIds, machine.id]);
	}

	#onLink(link: PeerLink): void {
		if (link.peer.role !== 'entry') {
			return;
		}

		link.registerMessageHandler('demand', ({items}) => {
			const now = Date.now();
			const grants = items.flatMap(([workspace, sequence, tokensPerSecond, heldTokensPerSecond, heldSequence]) => {
				const grant = this.#grantOwner.onDemand({
					workspace, entryId: link.peer.id, sequence, tokensPerSecond, heldTokensPerSecond, heldSequence,
				}, now);
				return grant === undefined ? [] : [[workspace, grant.sequence, grant.tokensPerSecond] as const];
			});
			link.send({kind: 'grant', items: grants});
		});
		link.registerMessageHandler('grant', ({items}) => {
			const now = Date.now();
			for (const [workspace, sequence, tokensPerSecond] of items) {
				this.#grantHolder.onGrant({workspace, sequence, tokensPerSecond}, now);
			}
		});
	}

	async #runReports(): Promise<void> {
		const {signal, log} = this.#options;
		try {
			for await (const _ of setInterval(REPORT_INTERVAL_MS, undefined, {signal, ref: false})) {
				this.#sendDemands(Date.now());
				this.#grantOwner.sweep(Date.now());
			}
		} catch (error) {
			if (!signal.aborted) {
				log.child('limits').error('demand task failed', {err: error});
			}
		}
	}

	/** Sends the demands, batched by owner. */
	#sendDemands(now: number): void {
		const {peering} = this.#options;
		const byOwner = new Map<string, Demand[]>();
		for (const demand of this.#grantHolder.demands(now)) {
			const [owner] = ownersOf(peering.kernel.snapshot.directory, `limit|${demand.workspace}`, 1);
			const id = owner ?? peering.machine.id;
			byOwner.set(id, [...byOwner.get(id) ?? [], demand]);
		}

		for (const [owner, demands] of byOwner) {
			this.#sendTo(owner, demands, now);
		}
	}

	#sendTo(owner: string, demands: readonly Demand[], now: number): void {
		const {peering, log} = this.#options;
		if (owner === peering.machine.id) {
			for (const demand of demands) {
				const grant = this.#grantOwner.onDemand(demand, now);
				if (grant !== undefined) {
					this.#grantHolder.onGrant(grant, now);
				}
			}

			return;
		}

		const items = demands.map(demand => [demand.workspace, demand.sequence, demand.tokensPerSecond, demand.heldTokensPerSecond, demand.heldSequence] as const);
		peering.linkTo(owner).then(link => {
			link.send({kind: 'demand', items});
		}, () => {
			log.child('limits').debug('workspace owner is unreachable', {home: owner});
		});
	}
}
