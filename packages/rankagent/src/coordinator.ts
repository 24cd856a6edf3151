/**
 * Keeps a group's expert map in line with demand. It runs beside rank 0, whose engine it holds during a switch,
 * so that no partition comes between the coordinator and the hold. All decisions are made from fresh states.
 */
import type {CountsReading} from './count-changes.js';
import type {OrderOutcome, RankEngine} from './engine.js';
import type {Result} from '#core';
import {
	LoadWindow, nextMapStep, OrderWatch, planMap, type ExpertShape, type GroupMap, type MapPlan, type MapStep, type RankCounts, type RankOrder, type RankState,
} from '#rankmap';
import type {Logger, Metrics} from '#telemetry';

/** A member of the group and the ways to its engine. */
export type GroupMember = {
	/** Through the agent beside it; its readings are fresh. */
	readonly agent: RankEngine;
	/** Straight to the engine from here; used only while the group is held and the agent does not answer. */
	readonly direct: RankEngine;
};

export type CoordinatorParts = {
	/** The engine of rank 0, on this machine. */
	readonly own: RankEngine;
	/** The other members. */
	readonly others: () => readonly GroupMember[];
	/** Experts of the group's service; undefined until known. */
	readonly experts: () => Omit<ExpertShape, 'ranks'> | undefined;
	/** Milliseconds, for versions that were never used before. */
	readonly wallMs: () => number;
	readonly logger: Logger;
	readonly metrics: Metrics;
};

/** How long the coordinator rests after a turn, in ms. */
const REST_MS = {
	/** Between two plans: long enough to count demand, short against its shifts of some seconds. */
	settled: 300,
	/** While experts are copied, which takes some tens of ms each. */
	preparing: 40,
	/** A few steps of the group. */
	switching: 40,
	/** While the group may wait for a release. */
	urgent: 0,
	/** When the group is not whole. */
	unclear: 250,
} as const;

/** Share of the former counts that stays in the window: demand of the last second decides. */
const WINDOW_KEEP = 0.5;

/** Tokens that the window must hold for a plan; fewer say nothing about demand. */
const MIN_TOKENS = 20_000;

/** Share of the ranks whose counts are enough for a plan: requests are spread evenly, so half of them show the demand. */
const MIN_TOLD_SHARE = 0.5;

/** Least gain of as many copies as there are ranks, as a share of a rank's mean load; less is not earned back before demand shifts again. */
const MIN_GAIN_PER_ROUND = 0.72;

/** A change must lower the skew by this much to be worth its orders and the wait of the group. */
const MIN_GAIN = 0.15;

/** The same while orders get no answer, when each rank may hold the group up: worth it only where demand has moved far. */
const MIN_GAIN_UNRELIABLE = 0.8;

/** A plan that is not in force after this time is given up, in ms, unless its switch has begun. */
const PLAN_LIFETIME_MS = 4000;

export class Coordinator {
	static create(parts: CoordinatorParts): Coordinator {
		return new Coordinator(parts);
	}

	#plan: Plan | undefined;
	/** Content of the map in use, by version and epoch. */
	#map: {readonly epoch: number; readonly version: number; readonly map: GroupMap} | undefined;
	#window: LoadWindow | undefined;
	readonly #orders = OrderWatch.create();
	#lastPhase = '';
	#noPlanReason = '';
	readonly #parts: CoordinatorParts;

	private constructor(parts: CoordinatorParts) {
		this.#parts = parts;
	}

	/** Whether a switch is under way, so that the group may wait for this process. */
	get isSwitching(): boolean {
		return this.#lastPhase === 'holding' || this.#lastPhase === 'arming' || this.#lastPhase === 'releasing';
	}

	/** Whether the last states did not show a whole group. */
	get isUnclear(): boolean {
		return this.#lastPhase === 'unclear';
	}

	/**
	 * One turn: reads all ranks, decides, gives the orders.
	 *
	 * @param own - Fresh state of rank 0.
	 * @param mayPlan - Whether new changes may begin.
	 * @returns How long to rest before the next turn, in ms.
	 */
	async turn(own: RankState, mayPlan: boolean): Promise<number> {
		const members = this.#parts.others();
		const states = await this.#readStates(own, members);
		this.#expirePlan();
		const step = nextMapStep(states.map(({state}) => state), mayPlan ? this.#plan : undefined);
		this.#tell(step, own);
		switch (step.kind) {
			case 'unclear': {
				return own.heldStep === undefined ? REST_MS.unclear : REST_MS.preparing;
			}

			case 'wait': {
				return REST_MS[step.phase === 'preparing' ? 'preparing' : 'switching'];
			}

			case 'order': {
				if (step.phase === 'holding' && (this.#plan?.gain ?? 0) < this.#leastGain()) {
					this.#parts.logger.info('map change given up while orders get no answer', {version: this.#plan?.version, step: own.step, gain: round(this.#plan?.gain ?? 0)});
					this.#plan = undefined;
					return REST_MS.settled;
				}

				await Promise.all(step.orders.map(async order => this.#give(order, states)));
				return step.phase === 'preparing' ? REST_MS.preparing : REST_MS.urgent;
			}

			case 'settled': {
				if (mayPlan) {
					await this.#makePlan(states, own);
				}

				return this.#plan === undefined ? REST_MS.settled : REST_MS.urgent;
			}
		}
	}

	/** Forgets the phase when this process has no part in a switch. */
	reset(): void {
		this.#lastPhase = '';
	}

	/** One turn for another coordinator that is gone: completes what it began, without plans of its own. */
	async completeFor(holder: Reached): Promise<number> {
		const members = this.#parts.others();
		const states = [holder, ...await this.#readOthers(holder.state, [...members, {agent: this.#parts.own, direct: this.#parts.own}])];
		const step = nextMapStep(states.map(({state}) => state), undefined);
		this.#tell(step, holder.state);
		if (step.kind === 'order') {
			await Promise.all(step.orders.map(async order => this.#give(order, states)));
		}

		return REST_MS.preparing;
	}

	async #readStates(own: RankState, members: readonly GroupMember[]): Promise<readonly Reached[]> {
		return [{state: own, engine: this.#parts.own}, ...await this.#readOthers(own, members)];
	}

	/** The states of the other ranks of the holder's group. */
	async #readOthers(own: RankState, members: readonly GroupMember[]): Promise<readonly Reached[]> {
		const others = await Promise.all(members.map(async ({agent, direct}): Promise<Reached | undefined> => {
			const state = await agent.state();
			if (state.kind === 'ok') {
				return {state: state.value, engine: agent};
			}

			if (own.heldStep === undefined) {
				return undefined;
			}

			const far = await direct.state();
			return far.kind === 'ok' ? {state: far.value, engine: direct} : undefined;
		}));
		return others.filter((reached): reached is Reached => reached?.state.group === own.group && reached.state.rank !== own.rank);
	}

	async #give(order: RankOrder, states: readonly Reached[]): Promise<OrderOutcome> {
		const outcome = await states.find(({state}) => state.rank === order.rank)!.engine.order(order);
		this.#orders.note(outcome !== 'no-answer', performance.now());
		this.#parts.metrics.count('mapChanges', `${order.action.kind}-${outcome}`);
		if (outcome === 'refused' || outcome === 'no-answer') {
			this.#parts.logger.info('order not carried out', {
				rank: order.rank, epoch: order.epoch, sequence: order.sequence, action: order.action.kind, outcome,
			});
		}

		return outcome;
	}

	async #makePlan(states: readonly Reached[], own: RankState): Promise<void> {
		const planned = await this.#planFor(states, own);
		this.#plan = typeof planned === 'string' ? undefined : planned;
		this.#tellNoPlan(typeof planned === 'string' ? planned : '', own);
	}

	/** A map that pays, or why there is none. */
	async #planFor(states: readonly Reached[], own: RankState): Promise<Plan | string> {
		const experts = this.#parts.experts();
		if (experts === undefined) {
			return 'the experts of the service are not known';
		}

		const shape: ExpertShape = {...experts, ranks: own.size};
		const counts = await this.#readCounts(states);
		const map = await this.#mapInUse(states, own);
		if (counts === undefined || map === undefined) {
			return counts === undefined ? 'too few ranks told their counts' : 'the map in use is not known';
		}

		this.#window ??= LoadWindow.create(shape.sets, shape.experts, WINDOW_KEEP);
		this.#window.add(counts);
		if (this.#window.total() < MIN_TOKENS) {
			return 'too few tokens were counted';
		}

		const paces = states.toSorted((a, b) => a.state.rank - b.state.rank).map(({state}) => state.pace);
		const proposal = planMap(map, this.#window.load(), shape, {minGainPerRound: MIN_GAIN_PER_ROUND, paces});
		const gain = proposal.before - proposal.after;
		if (gain < this.#leastGain()) {
			return this.#leastGain() === MIN_GAIN ? 'no change gains enough' : 'no change gains enough while orders get no answer';
		}

		const highest = Math.max(...states.map(({state}) => Math.max(state.map, state.prepared ?? 0)));
		const version = Math.max(highest + 1, Math.floor(this.#parts.wallMs()));
		this.#parts.logger.info('map planned', {
			version, epoch: own.epoch, step: own.step, copies: proposal.copies, slowestPace: Math.max(...paces), skewBefore: round(proposal.before), skewAfter: round(proposal.after), tokens: Math.round(this.#window.total()),
		});
		return {
			version, map: proposal.map, gain, madeAt: performance.now(),
		};
	}

	async #readCounts(states: readonly Reached[]): Promise<readonly RankCounts[] | undefined> {
		const all = await Promise.all(states.map(async ({state, engine}) => withRank(await engine.counts(), state.rank)));
		const told = all.filter(counts => counts !== undefined);
		// What the others counted meanwhile comes with their next answer.
		return told.length < states.length * MIN_TOLD_SHARE ? undefined : told;
	}

	/** The map in use: the one planned here, else as the ranks tell. */
	async #mapInUse(states: readonly Reached[], own: RankState): Promise<GroupMap | undefined> {
		if (this.#map?.epoch === own.epoch && this.#map.version === own.map) {
			return this.#map.map;
		}

		const holdings = await Promise.all(states.map(async ({state, engine}) => ({rank: state.rank, told: await engine.holdings()})));
		const byRank = new Map(holdings.map(({rank, told}) => [rank, told]));
		const experts: Array<ReadonlyArray<readonly number[]>> = [];
		for (let rank = 0; rank < states.length; rank += 1) {
			const told = byRank.get(rank);
			if (told?.kind !== 'ok' || told.value.version !== own.map) {
				return undefined;
			}

			experts.push(told.value.experts);
		}

		const map = experts[0]!.map((_, set) => experts.map(sets => sets[set] ?? []));
		this.#map = {epoch: own.epoch, version: own.map, map};
		return map;
	}

	/** Gain below which no switch is begun now. */
	#leastGain(): number {
		return this.#orders.isUnreliable(performance.now()) ? MIN_GAIN_UNRELIABLE : MIN_GAIN;
	}

	#expirePlan(): void {
		if (this.#plan !== undefined && performance.now() - this.#plan.madeAt > PLAN_LIFETIME_MS) {
			this.#parts.logger.warn('map plan given up', {version: this.#plan.version});
			this.#plan = undefined;
		}
	}

	/** Tells a reason once until it changes. */
	#tellNoPlan(reason: string, own: RankState): void {
		if (reason !== this.#noPlanReason) {
			this.#noPlanReason = reason;
			if (reason !== '') {
				this.#parts.logger.info('no map planned', {
					epoch: own.epoch, step: own.step, map: own.map, reason,
				});
			}
		}
	}

	#tell(step: MapStep, own: RankState): void {
		const phase = step.kind === 'settled' || step.kind === 'unclear' ? step.kind : step.phase;
		if (phase === this.#lastPhase) {
			return;
		}

		this.#lastPhase = phase;
		this.#parts.logger.info(`map change ${phase}`, {
			epoch: own.epoch, step: own.step, map: own.map, heldStep: own.heldStep, version: this.#plan?.version, reason: step.kind === 'unclear' ? step.reason : undefined,
		});
	}
}

/** A planned map, how far it lowers the skew, and when it was made, in steady ms. */
type Plan = MapPlan & {readonly gain: number; readonly madeAt: number};

type Reached = {readonly state: RankState; readonly engine: RankEngine};

function withRank(counts: Result<CountsReading, string>, rank: number): RankCounts | undefined {
	return counts.kind === 'ok' ? {...counts.value, rank} : undefined;
}

function round(value: number): number {
	return Math.round(value * 100) / 100;
}
