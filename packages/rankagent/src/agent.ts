/** The process beside one rank: gives a coordinator fresh readings and carries its orders to the engine; beside rank 0 it is the coordinator. */
import {Coordinator, type GroupMember} from './coordinator.js';
import type {AgentRequest, RankEngine} from './engine.js';
import {engineBehind} from './remote-engine.js';
import {ok, unreachable} from '#core';
import {RequestLink, RequestServer} from '#links';
import type {ExpertShape} from '#rankmap';
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
	readonly #links = new Map<string, RequestLink>();
	readonly #coordinator: Coordinator;
	#members: readonly GroupMember[] = [];
	#experts: GroupListing['experts'];
	#listedAt = Number.NEGATIVE_INFINITY;
	#isLeaving = false;
	#isReachable = true;

	private constructor(private readonly options: RankAgentOptions) {
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
			await rest(20);
		}

		this.#stop.abort();
		this.options.logger.info('stopped', {afterMs: Math.round(performance.now() - startedAt)});
	}

	async #run(): Promise<void> {
		while (!this.#stop.signal.aborted) {
			await rest(await this.#turn());
		}
	}

	async #turn(): Promise<number> {
		const own = await this.options.own.state();
		this.#noteReach(own.kind === 'ok', own.kind === 'failed' ? own.failure : '');
		if (own.kind === 'failed' || own.value.rank !== 0 || !own.value.isOpen) {
			return WATCH_MS;
		}

		const age = performance.now() - this.#listedAt;
		if ((age > DIRECTORY_MS || (age > UNCLEAR_DIRECTORY_MS && this.#coordinator.isUnclear)) && own.value.heldStep === undefined) {
			await this.#list();
		}

		return this.#coordinator.turn(own.value, !this.#isLeaving);
	}

	async #list(): Promise<void> {
		this.#listedAt = performance.now();
		const listing = await this.options.directory.read(this.#stop.signal);
		if (listing === undefined) {
			return;
		}

		this.#experts = listing.experts ?? this.#experts;
		this.#members = listing.members.map(({host, engine}) => ({
			agent: engineBehind(this.#linkTo(`${host}:${this.options.port}`)), direct: this.options.engineAt(engine),
		}));
	}

	#linkTo(address: string): RequestLink {
		let link = this.#links.get(address);
		if (link === undefined) {
			link = RequestLink.create(address);
			this.#links.set(address, link);
		}

		return link;
	}

	async #answer(request: AgentRequest): Promise<unknown> {
		const {own} = this.options;
		switch (request.kind) {
			case 'state': {
				return own.state();
			}

			case 'counts': {
				return own.counts();
			}

			case 'holdings': {
				return own.holdings();
			}

			case 'order': {
				return ok(await own.order(request.order));
			}

			default: {
				return unreachable(request);
			}
		}
	}

	#noteReach(isReachable: boolean, detail: string): void {
		if (isReachable !== this.#isReachable) {
			this.#isReachable = isReachable;
			this.options.logger.warn(isReachable ? 'dependency regained' : 'dependency lost', {dependency: 'engine', detail});
		}
	}
}

async function rest(ms: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}
