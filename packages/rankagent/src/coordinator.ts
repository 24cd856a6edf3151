/**
 * Adapts a group's expert map to demand. Runs on the machine of rank 0, whose engine is held during a switch, so that
 * no network partition can separate the coordinator from the held rank. All decisions are made from fresh states.
 */
import type {CountsReading} from './counts-delta.js';
import type {OrderResult, RankEngine} from './engine.js';
import {PaceLog} from './pace-log.js';
import type {Result} from '#core';
import {
	decideMapChange, LoadWindow, OrderMonitor, planMap, type ExpertShape, type GroupMap, type MapChangeDecision, type MapPlan, type ObservedRank, type RankCounts, type RankOrder, type RankState,
} from '#rankmap';
import type {Logger, Metrics} from '#telemetry';

/** A member of the group and the two paths to its engine. */
export type GroupMember = {
	/** Through its agent, whose readings are fresh. */
	readonly viaAgent: RankEngine;
	/** Directly from this machine; used only while the group is held and the agent does not respond. */
	readonly direct: RankEngine;
};

export type CoordinatorOptions = {
	/** The engine of rank 0, on this machine. */
	readonly localEngine: RankEngine;
	/** Members other than the local rank. */
	readonly getMembers: () => readonly GroupMember[];
	/** Experts of the group's service; undefined until known. */
	readonly getExperts: () => Omit<ExpertShape, 'ranks'> | undefined;
	/** Wall clock in ms; makes new versions unique. */
	readonly wallClockMs: () => number;
	readonly logger: Logger;
	readonly metrics: Metrics;
};

/** Delay until the next call of `reconcile`, in ms. */
const RECONCILE_DELAY_MS = {
	/** Between two plans: long enough to measure demand, short compared with its shifts of a few seconds. */
	settled: 200,
	/** After a shift of demand, until counts show only what follows it. */
	measuring: 120,
	/** While experts are copied, which takes tens of ms each. */
	preparing: 40,
	/** A few steps of the group. */
	switching: 40,
	/** While the group may be waiting to be released. */
	urgent: 0,
	/** While the states do not show a complete, open group. */
	blocked: 250,
} as const;

/** Share of the previous counts that each new window keeps: demand of the last second dominates. */
const WINDOW_DECAY_FACTOR = 0.5;

/** Minimum tokens in the window for a plan; fewer are not representative of demand. */
const MIN_TOKENS = 20_000;

/** Maximum number of ranks whose counts are read: requests are spread evenly, so some ranks represent the demand, and the counts of all occupy the link of rank 0 for seconds in large groups. */
const MAX_COUNTED_RANKS = 8;

/** Minimum share of the read ranks whose counts are needed for a plan. */
const MIN_RESPONSE_SHARE = 0.5;

/** Minimum gain of one round of copies (one per rank), as a share of the mean rank load; smaller gains do not pay off before demand shifts again. */
const MIN_GAIN_PER_ROUND = 0.72;

/** Maximum number of experts that one change copies to a rank: ranks copy in parallel, in tens of ms an expert, and demand shifts within seconds. */
const MAX_COPIES_PER_RANK = 6;

/** Minimum reduction of the skew that justifies the orders of a change and the wait of the group. */
const MIN_GAIN = 0.15;

/** The same while orders are unreliable, when each rank may delay the group: justified only by a large shift of demand. */
const MIN_GAIN_UNRELIABLE = 0.8;

/** Time for which a member that was seen in another group is not read again, in ms, while the own group is complete. */
const OTHER_GROUP_MS = 5000;

/** A plan that is not in use after this time is abandoned, in ms, unless its switch has begun. */
const PLAN_LIFETIME_MS = 4000;

/** Maximum number of ranks in one log line. */
const MAX_LOGGED_RANKS = 8;

export class Coordinator {
	static create(options: CoordinatorOptions): Coordinator {
		return new Coordinator(options);
	}

	#plan: Plan | undefined;
	/** Cached content of the map in use, valid for one epoch and version. */
	#map: {readonly epoch: number; readonly version: number; readonly map: GroupMap} | undefined;
	#window: LoadWindow | undefined;
	/** When members of other groups of the service were last seen there, in monotonic ms, by their agents. */
	readonly #seenInOtherGroup = new WeakMap<RankEngine, number>();
	readonly #orderMonitor = OrderMonitor.create();
	readonly #paceLog: PaceLog;
	#lastPhase = '';
	#lastNoPlanReason = '';
	readonly #options: CoordinatorOptions;

	private constructor(options: CoordinatorOptions) {
		this.#options = options;
		this.#paceLog = PaceLog.create(options.logger);
	}

	/** Whether a switch is in progress, so that the group may be waiting for this process. */
	get isSwitching(): boolean {
		return this.#lastPhase === 'holding' || this.#lastPhase === 'arming' || this.#lastPhase === 'releasing';
	}

	/** Whether the last states did not show a complete, open group. */
	get isGroupIncomplete(): boolean {
		return this.#lastPhase === 'blocked';
	}

	/**
	 * Reads the states of all ranks, decides, and sends the orders.
	 *
	 * @param ownState - Fresh state of rank 0.
	 * @param mayPlan - Whether new changes may begin.
	 * @returns Delay until the next call, in ms.
	 */
	async reconcile(ownState: RankState, mayPlan: boolean): Promise<number> {
		const members = this.#options.getMembers();
		const states = await this.#readStates(ownState, members);
		this.#logPace(states, ownState);
		this.#expirePlan();
		const decision = decideMapChange(states.map(reached => observe(reached)), mayPlan ? this.#plan : undefined);
		this.#logPhase(decision, states);
		switch (decision.kind) {
			case 'blocked': {
				return ownState.heldStep === undefined ? RECONCILE_DELAY_MS.blocked : RECONCILE_DELAY_MS.preparing;
			}

			case 'wait': {
				return RECONCILE_DELAY_MS[decision.phase === 'preparing' ? 'preparing' : 'switching'];
			}

			case 'order': {
				if (decision.phase === 'holding' && (this.#plan?.gain ?? 0) < this.#minGain()) {
					this.#options.logger.info('map change abandoned because orders get no response', {version: this.#plan?.version, step: ownState.step, gain: round(this.#plan?.gain ?? 0)});
					this.#plan = undefined;
					return RECONCILE_DELAY_MS.settled;
				}

				await this.#sendOrders(decision, states);
				return decision.phase === 'preparing' ? RECONCILE_DELAY_MS.preparing : RECONCILE_DELAY_MS.urgent;
			}

			case 'settled': {
				if (mayPlan) {
					await this.#makePlan(states, ownState);
				}

				return RECONCILE_DELAY_MS[this.#plan === undefined ? (this.#window?.isShifting ? 'measuring' : 'settled') : 'urgent'];
			}
		}
	}

	/** Clears the phase when this process no longer takes part in a switch. */
	reset(): void {
		this.#lastPhase = '';
	}

	/** Advances the change of a failed coordinator by one action, without making new plans. Returns the delay until the next call, in ms. */
	async takeOver({state, engine}: Omit<ReachableRank, 'isLagging'>): Promise<number> {
		const members = this.#options.getMembers();
		const states = [{state, engine, isLagging: true}, ...await this.#readOthers(state, [...members, {viaAgent: this.#options.localEngine, direct: this.#options.localEngine}])];
		const decision = decideMapChange(states.map(reached => observe(reached)), undefined);
		this.#logPhase(decision, states);
		if (decision.kind === 'order') {
			await this.#sendOrders(decision, states);
		}

		return RECONCILE_DELAY_MS.preparing;
	}

	async #readStates(ownState: RankState, members: readonly GroupMember[]): Promise<readonly ReachableRank[]> {
		return [{state: ownState, engine: this.#options.localEngine, isLagging: false}, ...await this.#readOthers(ownState, members)];
	}

	/** Reads the states of the other ranks in the group of rank 0. */
	async #readOthers(rankZeroState: RankState, members: readonly GroupMember[]): Promise<readonly ReachableRank[]> {
		const candidates = this.isGroupIncomplete ? members : members.filter(({viaAgent}) => performance.now() - (this.#seenInOtherGroup.get(viaAgent) ?? Number.NEGATIVE_INFINITY) > OTHER_GROUP_MS);
		const others = await Promise.all(candidates.map(async ({viaAgent, direct}): Promise<ReachableRank | undefined> => {
			const state = await viaAgent.state();
			if (state.kind === 'ok') {
				if (state.value.group !== rankZeroState.group) {
					this.#seenInOtherGroup.set(viaAgent, performance.now());
				}

				return {state: state.value, engine: viaAgent, isLagging: false};
			}

			if (rankZeroState.heldStep === undefined) {
				return undefined;
			}

			const directState = await direct.state();
			return directState.kind === 'ok' ? {state: directState.value, engine: direct, isLagging: true} : undefined;
		}));
		return others.filter((reached): reached is ReachableRank => reached?.state.group === rankZeroState.group && reached.state.rank !== rankZeroState.rank);
	}

	async #sendOrders({first, orders}: Extract<MapChangeDecision, {kind: 'order'}>, states: readonly ReachableRank[]): Promise<void> {
		if (first !== undefined && !['begun', 'already'].includes(await this.#sendOrder(first, states))) {
			return;
		}

		await Promise.all(orders.map(async order => this.#sendOrder(order, states)));
	}

	async #sendOrder(order: RankOrder, states: readonly ReachableRank[]): Promise<OrderResult> {
		const result = await states.find(({state}) => state.rank === order.rank)!.engine.order(order);
		this.#orderMonitor.record(result !== 'no-answer', performance.now());
		this.#options.metrics.count('mapChanges', `${order.action.kind}-${result}`);
		if (result === 'refused' || result === 'no-answer') {
			this.#options.logger.info('order not executed', {
				rank: order.rank, epoch: order.epoch, sequence: order.sequence, action: order.action.kind, outcome: result,
			});
		}

		return result;
	}

	async #makePlan(states: readonly ReachableRank[], ownState: RankState): Promise<void> {
		const planned = await this.#computePlan(states, ownState);
		this.#plan = typeof planned === 'string' ? undefined : planned;
		this.#logNoPlan(typeof planned === 'string' ? planned : '', ownState);
	}

	/** A map that gains enough, or the reason why there is none. */
	async #computePlan(states: readonly ReachableRank[], ownState: RankState): Promise<Plan | string> {
		const experts = this.#options.getExperts();
		if (experts === undefined) {
			return 'the experts of the service are not known';
		}

		const shape: ExpertShape = {...experts, ranks: ownState.size};
		const counts = await this.#readCounts(states);
		const map = await this.#readMapInUse(states, ownState);
		if (counts === undefined || map === undefined) {
			return counts === undefined ? 'too few ranks reported their counts' : 'the map in use is not known';
		}

		this.#window ??= LoadWindow.create(shape.sets, shape.experts, WINDOW_DECAY_FACTOR);
		this.#window.add(counts);
		if (this.#window.isShifting) {
			return 'demand shifts';
		}

		if (this.#window.total() < MIN_TOKENS) {
			return 'too few tokens were counted';
		}

		const paces = states.toSorted((a, b) => a.state.rank - b.state.rank).map(({state}) => state.pace);
		const proposal = planMap(map, this.#window.load(), shape, {minGainPerRound: MIN_GAIN_PER_ROUND, maxCopiesPerRank: MAX_COPIES_PER_RANK, paces});
		const gain = proposal.skewBefore - proposal.skewAfter;
		if (gain < this.#minGain()) {
			return this.#minGain() === MIN_GAIN ? 'no change gains enough' : 'no change gains enough while orders get no response';
		}

		const highest = Math.max(...states.map(({state}) => Math.max(state.map, state.prepared ?? 0)));
		const version = Math.max(highest + 1, Math.floor(this.#options.wallClockMs()));
		this.#options.logger.info('map planned', {
			version,
			epoch: ownState.epoch,
			step: ownState.step,
			copies: proposal.copies,
			slowestPace: Math.max(...paces),
			skewBefore: round(proposal.skewBefore),
			skewAfter: round(proposal.skewAfter),
			tokens: Math.round(this.#window.total()),
		});
		return {
			version, map: proposal.map, gain, createdAt: performance.now(),
		};
	}

	async #readCounts(states: readonly ReachableRank[]): Promise<readonly RankCounts[] | undefined> {
		const sampled = evenSample(states.toSorted((a, b) => a.state.rank - b.state.rank), MAX_COUNTED_RANKS);
		const all = await Promise.all(sampled.map(async ({state, engine}) => withRank(await engine.counts(), state.rank)));
		const received = all.filter(counts => counts !== undefined);
		// Counters are cumulative: the next response of the other ranks includes what they counted meanwhile.
		return received.length < sampled.length * MIN_RESPONSE_SHARE ? undefined : received;
	}

	/** The map in use: cached, else assembled from what the ranks hold. */
	async #readMapInUse(states: readonly ReachableRank[], ownState: RankState): Promise<GroupMap | undefined> {
		if (this.#map?.epoch === ownState.epoch && this.#map.version === ownState.map) {
			return this.#map.map;
		}

		const holdings = await Promise.all(states.map(async ({state, engine}) => ({rank: state.rank, reading: await engine.holdings()})));
		const byRank = new Map(holdings.map(({rank, reading}) => [rank, reading]));
		const experts: Array<ReadonlyArray<readonly number[]>> = [];
		for (let rank = 0; rank < states.length; rank += 1) {
			const reading = byRank.get(rank);
			if (reading?.kind !== 'ok' || reading.value.version !== ownState.map) {
				return undefined;
			}

			experts.push(reading.value.experts);
		}

		const map = experts[0]!.map((_, set) => experts.map(sets => sets[set] ?? []));
		this.#map = {epoch: ownState.epoch, version: ownState.map, map};
		return map;
	}

	/** Minimum gain for beginning a switch at present. */
	#minGain(): number {
		return this.#orderMonitor.isUnreliable(performance.now()) ? MIN_GAIN_UNRELIABLE : MIN_GAIN;
	}

	#expirePlan(): void {
		if (this.#plan !== undefined && performance.now() - this.#plan.createdAt > PLAN_LIFETIME_MS) {
			this.#options.logger.warn('map plan abandoned', {version: this.#plan.version});
			this.#plan = undefined;
		}
	}

	#logPace(states: readonly ReachableRank[], ownState: RankState): void {
		const readDemand = () => {
			const map = this.#map?.epoch === ownState.epoch && this.#map.version === ownState.map ? this.#map.map : undefined;
			return map === undefined || this.#window === undefined ? undefined : {map, load: this.#window.load()};
		};

		this.#paceLog.record({states: states.map(({state}) => state), readDemand}, performance.now());
	}

	/** Logs a reason once until it changes. */
	#logNoPlan(reason: string, ownState: RankState): void {
		if (reason !== this.#lastNoPlanReason) {
			this.#lastNoPlanReason = reason;
			if (reason !== '') {
				this.#options.logger.info('no map planned', {
					epoch: ownState.epoch, step: ownState.step, map: ownState.map, reason,
				});
			}
		}
	}

	/** @param states - States that the decision is based on, that of rank 0 first. */
	#logPhase(decision: MapChangeDecision, states: readonly ReachableRank[]): void {
		const phase = decision.kind === 'settled' || decision.kind === 'blocked' ? decision.kind : decision.phase;
		if (phase === this.#lastPhase) {
			return;
		}

		this.#lastPhase = phase;
		const {epoch, step, map, heldStep, prepared} = states[0]!.state;
		const lagging = states.filter(({isLagging}) => isLagging);
		this.#options.logger.info(`map change ${phase}`, {
			epoch,
			step,
			map,
			heldStep,
			prepared,
			version: this.#plan?.version,
			reason: decision.kind === 'blocked' || decision.kind === 'order' ? decision.reason : undefined,
			lagging: lagging.length === 0 ? undefined : lagging.slice(0, MAX_LOGGED_RANKS).map(({state}) => ({rank: state.rank, prepared: state.prepared, armed: state.armed?.step})),
		});
	}
}

/** A planned map, its reduction of the skew, and its creation time in monotonic ms. */
type Plan = MapPlan & {readonly gain: number; readonly createdAt: number};

/** State of a rank and the path to its engine that gave it. `isLagging`: read from another machine, so some hundred ms old. */
type ReachableRank = {readonly state: RankState; readonly engine: RankEngine; readonly isLagging: boolean};

function observe({state, isLagging}: ReachableRank): ObservedRank {
	return {...state, isLagging};
}

/** Up to `count` items at even distances; always the same ones of the same items. */
function evenSample<Item>(items: readonly Item[], count: number): readonly Item[] {
	const step = Math.max(1, items.length / count);
	return Array.from({length: Math.min(count, items.length)}, (_, index) => items[Math.floor(index * step)]!);
}

function withRank(counts: Result<CountsReading, string>, rank: number): RankCounts | undefined {
	return counts.kind === 'ok' ? {...counts.value, rank} : undefined;
}

function round(value: number): number {
	return Math.round(value * 100) / 100;
}
