/** The process beside one rank: gives a coordinator fresh readings and carries its orders to the engine; beside rank 0 it is the coordinator. */
import {CountsSender} from './count-changes.js';
import {Coordinator, type GroupMember} from './coordinator.js';
import type {AgentRequest, RankEngine} from './engine.js';
import {engineBehind} from './remote-engine.js';
import {ok, sleep} from '#core';
import {RequestClient, RequestServer} from '#links';
import type {ExpertShape, RankState} from '#rankmap';
import type {Logger, Metrics} from '#telemetry';

/** Where the members of a group are. */
export type GroupDirectory = {
	/** Machines of the other ranks, and the experts of the service. */
	readonly read: (signal: AbortSignal) => Promise<GroupListing | undefined>;
};

export type GroupListing = {
	/** Host and engine address of each other rank. */
	readonly members: ReadonlyArray<{readonly host: string; readonly engine: string}>;
	readonly experts: Omit<ExpertShape, 'ranks'> | undefined;
};

export type RankAgentOptions = {
	readonly name: string;
	readonly host: string;
	/** Port on which all agents of the deployment listen. */
	readonly port: number;
	readonly own: RankEngine;
	readonly engineAt: (address: string) => RankEngine;
	readonly directory: GroupDirectory;
	readonly logger: Logger;
	readonly metrics: Metrics;
};

/** How often an agent looks whether it is beside rank 0, in ms. */
const WATCH_MS = 400;

/** How often the coordinator reads where the members are, in ms; members change when replicas do. */
const DIRECTORY_MS = 2500;

/** How often it reads them while the states do not show a whole group, in ms: a replica was just replaced. */
const UNCLEAR_DIRECTORY_MS = 400;

/** A switch that is prepared but not made for so long is taken to be stuck, in ms; it usually takes some 100 ms. */
const STAND_IN_AFTER_MS = 700;

/** Each further rank waits this much longer, in ms: usually one agent alone stands in. */
const STAND_IN_STEP_MS = 250;

/** Longest time that a stopping agent goes on to complete a switch, in ms. */
const STOP_LIMIT_MS = 5000;

export class RankAgent {
	/** Starts the agent. Rejects if its address is taken. */
	static async create(options: RankAgentOptions): Promise<RankAgent> {
		const agent = new RankAgent(options);
		await RequestServer.create(options.host, options.port, async request => agent.#answer(request as AgentRequest), agent.#stop.signal);
		options.logger.info('started', {agent: options.name, host: options.host, port: options.port});
		void agent.#run();
		return agent;
	}

	readonly #stop = new AbortController();
	readonly #agents = new Map<string, RankEngine>();
	readonly #counts = CountsSender.create();
	readonly #coordinator: Coordinator;
	#members: readonly GroupMember[] = [];
	#experts: GroupListing['experts'];
	#listedAt = Number.NEGATIVE_INFINITY;
	#unfinishedSince: number | undefined;
	#isLeaving = false;
	#isReachable = true;
	readonly #options: RankAgentOptions;

	private constructor(options: RankAgentOptions) {
		this.#options = options;
		this.#coordinator = Coordinator.create({
			own: options.own,
			others: () => this.#members,
			experts: () => this.#experts,
			wallMs: Date.now,
			logger: options.logger,
			metrics: options.metrics,
		});
	}

	/** Stops once no switch is under way. */
	async stop(): Promise<void> {
		this.#isLeaving = true;
		const startedAt = performance.now();
		while (this.#coordinator.isSwitching && performance.now() - startedAt < STOP_LIMIT_MS) {
			await sleep(20);
		}

		this.#stop.abort();
		this.#options.logger.info('stopped', {afterMs: Math.round(performance.now() - startedAt)});
	}

	async #run(): Promise<void> {
		while (!this.#stop.signal.aborted) {
			await sleep(await this.#turn(), this.#stop.signal);
		}
	}

	async #turn(): Promise<number> {
		const own = await this.#options.own.state();
		this.#noteReach(own.kind === 'ok', own.kind === 'failed' ? own.failure : '');
		if (own.kind === 'failed' || !own.value.isOpen) {
			return WATCH_MS;
		}

		if (own.value.rank > 0) {
			return this.#standIn(own.value);
		}

		await this.#listIfDue(own.value.heldStep !== undefined);
		return this.#coordinator.turn(own.value, !this.#isLeaving);
	}

	/** Completes a switch whose coordinator died; the protocol stays safe if that one wakes up, or others stand in too. */
	async #standIn(state: RankState): Promise<number> {
		const isUnfinished = state.prepared !== undefined && state.prepared > state.map;
		this.#unfinishedSince = isUnfinished ? (this.#unfinishedSince ?? performance.now()) : undefined;
		if (this.#unfinishedSince === undefined) {
			this.#coordinator.reset();
			return WATCH_MS;
		}

		if (performance.now() - this.#unfinishedSince < STAND_IN_AFTER_MS + ((state.rank - 1) * STAND_IN_STEP_MS)) {
			return WATCH_MS;
		}

		await this.#listIfDue(true);
		const holder = await this.#findSilentHolder(state);
		if (holder === undefined) {
			return WATCH_MS;
		}

		this.#options.logger.warn('standing in for the coordinator', {
			epoch: state.epoch, step: state.step, prepared: state.prepared, armed: state.armed,
		});
		return this.#coordinator.completeFor(holder);
	}

	/** The engine of rank 0 and its state, if the agent beside it does not answer. */
	async #findSilentHolder(state: RankState): Promise<{readonly engine: RankEngine; readonly state: RankState} | undefined> {
		for (const {agent, direct} of this.#members) {
			const beside = await agent.state();
			if (beside.kind === 'ok') {
				continue;
			}

			const answer = await direct.state();
			if (answer.kind === 'ok' && answer.value.rank === 0 && answer.value.group === state.group) {
				return {engine: direct, state: answer.value};
			}
		}

		return undefined;
	}

	async #listIfDue(isHeld: boolean): Promise<void> {
		const age = performance.now() - this.#listedAt;
		const isUnclear = this.#members.length === 0 || this.#coordinator.isUnclear;
		// While the group waits, the store is only asked if the members are not known.
		if (age > (isUnclear ? UNCLEAR_DIRECTORY_MS : DIRECTORY_MS) && (isUnclear || !isHeld)) {
			await this.#list();
		}
	}

	async #list(): Promise<void> {
		this.#listedAt = performance.now();
		const listing = await this.#options.directory.read(this.#stop.signal);
		if (listing === undefined) {
			return;
		}

		this.#experts = listing.experts ?? this.#experts;
		this.#members = listing.members.map(({host, engine}) => ({
			agent: this.#agentAt(`${host}:${this.#options.port}`), direct: this.#options.engineAt(engine),
		}));
	}

	#agentAt(address: string): RankEngine {
		let agent = this.#agents.get(address);
		if (agent === undefined) {
			agent = engineBehind(RequestClient.create(address));
			this.#agents.set(address, agent);
		}

		return agent;
	}

	async #answer(request: AgentRequest): Promise<unknown> {
		const {own} = this.#options;
		switch (request.kind) {
			case 'state': {
				return own.state();
			}

			case 'counts': {
				const reading = await own.counts();
				return reading.kind === 'ok' ? ok(this.#counts.answer(reading.value, request.since)) : reading;
			}

			case 'holdings': {
				return own.holdings();
			}

			case 'order': {
				return ok(await own.order(request.order));
			}
		}
	}

	#noteReach(isReachable: boolean, detail: string): void {
		if (isReachable !== this.#isReachable) {
			this.#isReachable = isReachable;
			this.#options.logger.warn(isReachable ? 'dependency regained' : 'dependency lost', {dependency: 'engine', detail});
		}
	}
}
