/**
 * Rebalances experts while this process is the leader of its group: collects the observed
 * expert loads of all engines, plans a new expert map and proposes it.
 */
import {setImmediate, setInterval} from 'node:timers/promises';
import {z} from 'zod';
import {type GroupAgent} from './group-agent.js';
import {mergeTeardowns, type Teardown} from '#core';
import {type EngineClient} from '#engine';
import {
	RebalancePlanner, createEvenPlacement, type ExpertMap, type FixedHours, type LayerLoad, type PlanDecision,
} from '#expertmap';
import {type Peering} from '#peering';
import {expertRule, ruleDefaults, type ExpertRule} from '#rules';
import {type Logger, type Metrics} from '#telemetry';

const TOPIC = 'expert-load';

const loadsSchema = z.array(z.array(z.number().nonnegative()));

export type RebalancerOptions = {
	readonly agent: GroupAgent;
	readonly peering: Peering;
	readonly engine: EngineClient;
	readonly group: string;
	readonly groupSize: number;
	/** Model whose expert rule applies. */
	readonly model: string;
	readonly intervalMs: number;
	readonly log: Logger;
	readonly metrics: Metrics;
	readonly signal: AbortSignal;
};

/** Tokens by layer and expert. */
type ExpertLoads = readonly LayerLoad[];

function sumLoads(a: ExpertLoads, b: ExpertLoads): ExpertLoads {
	return a.map((layer, i) => layer.map((value, expert) => value + (b[i]?.[expert] ?? 0)));
}

/** Tokens since the previous reading. Undefined without one, or if an engine was restarted in between, which resets its counters. */
function loadSince(totals: ExpertLoads, previous: ExpertLoads | undefined): ExpertLoads | undefined {
	if (previous?.length !== totals.length) {
		return undefined;
	}

	const delta = totals.map((layer, i) => layer.map((value, expert) => value - (previous[i]?.[expert] ?? 0)));
	return delta.flat().some(value => value < 0) ? undefined : delta;
}

function toFixedHours(rule: ExpertRule | undefined): readonly FixedHours[] {
	return (rule?.quiet?.windows ?? []).map(({from, to}) => ({fromMinute: from, toMinute: to}));
}

export class Rebalancer {
	static create(options: RebalancerOptions): Rebalancer {
		const rebalancer = new Rebalancer(options);
		void rebalancer.#run();
		return rebalancer;
	}

	readonly #options: RebalancerOptions;
	readonly #log: Logger;
	readonly #teardown: Teardown;
	#planner: {readonly rule: ExpertRule | undefined; readonly planner: RebalancePlanner} | undefined;
	#previousTotals: ExpertLoads | undefined;

	private constructor(options: RebalancerOptions) {
		this.#options = options;
		this.#log = options.log.child('rebalance');
		this.#teardown = mergeTeardowns(options.peering.pool.registerAskHandler(TOPIC, async () => this.#readOwnLoads()));
	}

	close(): void {
		this.#teardown();
	}

	async #readOwnLoads(): Promise<ExpertLoads | undefined> {
		const load = await this.#options.engine.expertLoad();
		return load.kind === 'ok' ? load.value.layers : undefined;
	}

	async #run(): Promise<void> {
		const {signal, intervalMs, agent} = this.#options;
		try {
			for await (const _ of setInterval(intervalMs, undefined, {signal, ref: false})) {
				if (agent.canPropose) {
					await this.#rebalance();
				} else {
					this.#previousTotals = undefined;
				}
			}
		} catch (error) {
			if (!signal.aborted) {
				this.#log.error('rebalancing failed', {err: error});
			}
		}
	}

	async #rebalance(): Promise<void> {
		const {agent, metrics} = this.#options;
		const totals = await this.#readGroupTotals();
		const load = totals === undefined ? undefined : loadSince(totals, this.#previousTotals);
		this.#previousTotals = totals;
		if (load === undefined || load.length === 0) {
			return;
		}

		const decision = await this.#plan(load);
		if (decision.kind === 'keep') {
			metrics.count('mapChanges', `kept-${decision.reason}`);
			return;
		}

		const proposed = agent.propose(decision.map);
		this.#log.info('expert map change proposed', {moves: decision.moves, gain: decision.gain, proposed});
	}

	/** Plans layer by layer and yields to the event loop in between, because 60 layers take up to a second in total. */
	async #plan(load: ExpertLoads): Promise<PlanDecision> {
		const slices = this.#currentPlanner().planInSlices(this.#currentMap(load), load, Date.now());
		let slice = slices.next();
		while (slice.done !== true) {
			await setImmediate();
			slice = slices.next();
		}

		return slice.value;
	}

	/** Tokens by layer and expert, summed over all engines of the group; undefined if one does not respond. */
	async #readGroupTotals(): Promise<ExpertLoads | undefined> {
		const {peering, group} = this.#options;
		const otherMembers = peering.kernel.snapshot.directory.groupMembers(group).filter(({id}) => id !== peering.machine.id);
		const results = await Promise.all([this.#readOwnLoads(), ...otherMembers.map(async ({id}) => this.#requestLoads(id))]);
		let sum: ExpertLoads | undefined;
		for (const loads of results) {
			if (loads === undefined) {
				return undefined;
			}

			sum = sum === undefined ? loads : sumLoads(sum, loads);
		}

		return sum;
	}

	async #requestLoads(id: string): Promise<ExpertLoads | undefined> {
		const {pool} = this.#options.peering;
		const link = pool.findLink(id);
		if (link === undefined) {
			return undefined;
		}

		try {
			return loadsSchema.safeParse(await pool.ask(link, TOPIC, {})).data;
		} catch {
			return undefined;
		}
	}

	get #expertRule(): ExpertRule | undefined {
		return expertRule(this.#options.peering.kernel.snapshot.ruleSet, this.#options.model);
	}

	/** The planner for the current rule; a new one is created if the rule has changed. */
	#currentPlanner(): RebalancePlanner {
		const rule = this.#expertRule;
		if (this.#planner === undefined || this.#planner.rule !== rule) {
			const planner = RebalancePlanner.create({
				skewWeight: rule?.skewWeight ?? ruleDefaults.skewWeight,
				moveWeight: rule?.moveWeight ?? ruleDefaults.moveWeight,
				fixedHours: toFixedHours(rule),
				utcOffsetMinutes: rule?.quiet?.offsetMinutes ?? 0,
			});
			this.#planner = {rule, planner};
		}

		return this.#planner.planner;
	}

	/** The installed map, or the static distribution if the group has never changed its map. */
	#currentMap(load: ExpertLoads): ExpertMap {
		const {agent, groupSize} = this.#options;
		const {installed} = agent;
		if (installed?.slots.length === load.length) {
			return installed;
		}

		const experts = load[0]?.length ?? 0;
		const slotsPerRank = Math.max(1, Math.ceil((experts + (this.#expertRule?.copies ?? ruleDefaults.copies)) / groupSize));
		const slots = createEvenPlacement(experts, groupSize, slotsPerRank);
		return {slots: load.map(() => slots)};
	}
}
