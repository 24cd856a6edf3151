/**
 * Weighs changes of the expert map while this process leads its group: collects the
 * observed expert loads of all engines, asks the planner, and proposes its map.
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
	/** Model whose rule on expert spread applies. */
	readonly model: string;
	readonly intervalMs: number;
	readonly log: Logger;
	readonly metrics: Metrics;
	readonly signal: AbortSignal;
};

/** Tokens per layer and expert. */
type Loads = readonly LayerLoad[];

function add(a: Loads, b: Loads): Loads {
	return a.map((layer, i) => layer.map((value, expert) => value + (b[i]?.[expert] ?? 0)));
}

/** Tokens since an earlier reading. Undefined if an engine was restarted in between, which sets its counters back. */
function since(totals: Loads, before: Loads | undefined): Loads | undefined {
	if (before?.length !== totals.length) {
		return undefined;
	}

	const delta = totals.map((layer, i) => layer.map((value, expert) => value - (before[i]?.[expert] ?? 0)));
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
	#before: Loads | undefined;

	private constructor(options: RebalancerOptions) {
		this.#options = options;
		this.#log = options.log.part('rebalance');
		this.#teardown = mergeTeardowns(options.peering.pool.registerTopic(TOPIC, async () => this.#ownLoads()));
	}

	close(): void {
		this.#teardown();
	}

	async #ownLoads(): Promise<Loads | undefined> {
		const load = await this.#options.engine.expertLoad();
		return load.kind === 'ok' ? load.value.layers : undefined;
	}

	async #run(): Promise<void> {
		const {signal, intervalMs, agent} = this.#options;
		try {
			for await (const _ of setInterval(intervalMs, undefined, {signal, ref: false})) {
				if (agent.mayPropose) {
					await this.#round();
				} else {
					this.#before = undefined;
				}
			}
		} catch (error) {
			if (!signal.aborted) {
				this.#log.error('rebalancing failed', {err: error});
			}
		}
	}

	async #round(): Promise<void> {
		const {agent, metrics} = this.#options;
		const totals = await this.#totals();
		const load = totals === undefined ? undefined : since(totals, this.#before);
		this.#before = totals;
		if (load === undefined || load.length === 0) {
			return;
		}

		const decision = await this.#plan(load);
		if (decision.kind === 'keep') {
			metrics.count('mapChanges', `kept-${decision.reason}`);
			return;
		}

		const proposed = agent.propose(decision.map);
		this.#log.info('change of the expert map proposed', {moves: decision.moves, gain: decision.gain, proposed});
	}

	/** Plans layer by layer, so that streams are served in between: 60 layers take up to a second in all. */
	async #plan(load: Loads): Promise<PlanDecision> {
		const slices = this.#plannerFor().planInSlices(this.#mapInForce(load), load, Date.now());
		let slice = slices.next();
		while (slice.done !== true) {
			await setImmediate();
			slice = slices.next();
		}

		return slice.value;
	}

	/** Tokens per layer and expert over all engines of the group; undefined if one does not answer. */
	async #totals(): Promise<Loads | undefined> {
		const {peering, group} = this.#options;
		const others = peering.kernel.snapshot.directory.groupMembers(group).filter(({id}) => id !== peering.machine.id);
		const answers = await Promise.all([this.#ownLoads(), ...others.map(async ({id}) => this.#loadsOf(id))]);
		let sum: Loads | undefined;
		for (const loads of answers) {
			if (loads === undefined) {
				return undefined;
			}

			sum = sum === undefined ? loads : add(sum, loads);
		}

		return sum;
	}

	async #loadsOf(id: string): Promise<Loads | undefined> {
		const {pool} = this.#options.peering;
		const link = pool.linked(id);
		if (link === undefined) {
			return undefined;
		}

		try {
			return loadsSchema.safeParse(await pool.ask(link, TOPIC, {})).data;
		} catch {
			return undefined;
		}
	}

	get #rule(): ExpertRule | undefined {
		return expertRule(this.#options.peering.kernel.snapshot.ruleSet, this.#options.model);
	}

	/** The planner for the rule in force; a changed rule starts a new one. */
	#plannerFor(): RebalancePlanner {
		const rule = this.#rule;
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

	/** The recorded map; a group that never changed its map has the static spread. */
	#mapInForce(load: Loads): ExpertMap {
		const {agent, groupSize} = this.#options;
		const {installed} = agent;
		if (installed?.slots.length === load.length) {
			return installed;
		}

		const experts = load[0]?.length ?? 0;
		const slotsPerRank = Math.max(1, Math.ceil((experts + (this.#rule?.copies ?? ruleDefaults.copies)) / groupSize));
		const slots = createEvenPlacement(experts, groupSize, slotsPerRank);
		return {slots: load.map(() => slots)};
	}
}
