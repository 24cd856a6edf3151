/** Agent process of one rank: serves fresh readings to the coordinator and forwards its orders to the engine. The agent of rank 0 is the coordinator. */
import {CountsEncoder} from './counts-delta.js';
import {Coordinator, type GroupMember} from './coordinator.js';
import type {AgentRequest, RankEngine} from './engine.js';
import {MapDecoder} from './map-delta.js';
import {createRemoteEngine} from './remote-engine.js';
import type {MachineLimits} from '#connections';
import {
	describeError, ok, sleep, startUnlessAborted, superviseTask, type ErrorListener,
} from '#core';
import {RequestClient, RequestServer} from '#links';
import type {ExpertShape, RankState} from '#rankmap';
import type {LogFields, Logger, Metrics} from '#telemetry';

/** Directory of the members of a group. */
export type GroupDirectory = {
	/** Reads the hosts of the other ranks and the experts of the service; undefined if no source responds. */
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
	readonly localEngine: RankEngine;
	readonly connectEngine: (address: string) => RankEngine;
	readonly directory: GroupDirectory;
	/** Limits of the machine; those of the smallest known one where they are not given. */
	readonly machine?: MachineLimits;
	readonly logger: Logger;
	readonly metrics: Metrics;
};

/** Interval at which an agent reads the state of its engine while it does not coordinate, in ms. */
const POLL_INTERVAL_MS = 400;

/** Interval at which the coordinator reads the directory, in ms; members change when replicas are replaced. */
const DIRECTORY_INTERVAL_MS = 2500;

/** The same while the group is incomplete, in ms: a replica has just been replaced. */
const INCOMPLETE_DIRECTORY_INTERVAL_MS = 400;

/** A switch that stays prepared but incomplete for this long counts as stalled, in ms; a switch usually takes about 100 ms. */
const TAKEOVER_DELAY_MS = 700;

/** Additional delay per rank, in ms, so that usually only one agent takes over. */
const TAKEOVER_DELAY_PER_RANK_MS = 250;

/** Ranks beyond this one wait no longer than it: a held group waits for them, and taking over twice is safe. */
const MAX_DELAYED_RANK = 8;

/** Maximum time that a stopping agent spends on completing a switch, in ms. */
const STOP_TIMEOUT_MS = 5000;

export class RankAgent {
	/** Starts the agent. Rejects if its address is taken, or with the reason of `signal` if that aborts before the agent has started. */
	static async create(options: RankAgentOptions, signal?: AbortSignal): Promise<RankAgent> {
		const agent = new RankAgent(options);
		await startUnlessAborted(async () => agent.#listen(), agent.#stop, signal);
		options.logger.info('started', {agent: options.name, host: options.host, port: options.port});
		void superviseTask(async () => agent.#run(), agent.#errorListener('coordination'), agent.#stop.signal);
		return agent;
	}

	readonly #stop = new AbortController();
	readonly #remoteEngines = new Map<string, RankEngine>();
	readonly #countsEncoder = CountsEncoder.create();
	readonly #mapDecoder = MapDecoder.create();
	readonly #coordinator: Coordinator;
	#members: readonly GroupMember[] = [];
	#experts: GroupListing['experts'];
	#directoryReadAt = Number.NEGATIVE_INFINITY;
	#switchPendingSince: number | undefined;
	#isStopping = false;
	#stopped: Promise<void> | undefined;
	#isEngineReachable = true;
	readonly #options: RankAgentOptions;

	private constructor(options: RankAgentOptions) {
		this.#options = options;
		this.#coordinator = Coordinator.create({
			localEngine: options.localEngine,
			getMembers: () => this.#members,
			getExperts: () => this.#experts,
			wallClockMs: Date.now,
			logger: options.logger,
			metrics: options.metrics,
		});
	}

	/** Whether a switch is in progress, which would be left half done. */
	get isBusy(): boolean {
		return this.#coordinator.isSwitching;
	}

	/** Describes the work that is open now, for the log. */
	describeOpen(): LogFields {
		return {isSwitching: this.#coordinator.isSwitching};
	}

	/** Stops once no switch is in progress, at the latest after {@link STOP_TIMEOUT_MS}. */
	async stop(): Promise<void> {
		this.#stopped ??= this.#stopOnce();
		return this.#stopped;
	}

	async #stopOnce(): Promise<void> {
		this.#isStopping = true;
		const startedAt = performance.now();
		while (this.#coordinator.isSwitching && performance.now() - startedAt < STOP_TIMEOUT_MS) {
			await sleep(20);
		}

		this.#stop.abort();
		this.#options.logger.info('stopped', {afterMs: Math.round(performance.now() - startedAt)});
	}

	async #listen(): Promise<void> {
		const {host, port} = this.#options;
		await RequestServer.create(host, port, async request => this.#handleRequest(request as AgentRequest), {signal: this.#stop.signal, onError: this.#errorListener('request'), machine: this.#options.machine});
	}

	async #run(): Promise<void> {
		while (!this.#stop.signal.aborted) {
			await sleep(await this.#runOnce(), this.#stop.signal);
		}
	}

	async #runOnce(): Promise<number> {
		const reading = await this.#options.localEngine.state();
		this.#logReachability(reading.kind === 'ok', reading.kind === 'failed' ? reading.failure : '');
		if (reading.kind === 'failed' || !reading.value.isOpen) {
			return POLL_INTERVAL_MS;
		}

		if (reading.value.rank > 0) {
			return this.#takeOverIfStalled(reading.value);
		}

		await this.#readDirectoryIfDue(reading.value.heldStep !== undefined);
		return this.#coordinator.reconcile(reading.value, !this.#isStopping);
	}

	/** Completes a stalled switch whose coordinator has failed. Safe if that coordinator resumes or other agents take over too. */
	async #takeOverIfStalled(state: RankState): Promise<number> {
		const isSwitchPending = state.prepared !== undefined && state.prepared > state.map;
		this.#switchPendingSince = isSwitchPending ? (this.#switchPendingSince ?? performance.now()) : undefined;
		if (this.#switchPendingSince === undefined) {
			this.#coordinator.reset();
			return POLL_INTERVAL_MS;
		}

		if (performance.now() - this.#switchPendingSince < TAKEOVER_DELAY_MS + ((Math.min(state.rank, MAX_DELAYED_RANK) - 1) * TAKEOVER_DELAY_PER_RANK_MS)) {
			return POLL_INTERVAL_MS;
		}

		await this.#readDirectoryIfDue(true);
		const rankZero = await this.#findRankZeroWithoutAgent(state);
		if (rankZero === undefined) {
			return POLL_INTERVAL_MS;
		}

		this.#options.logger.warn('taking over from the unreachable coordinator', {
			epoch: state.epoch, step: state.step, prepared: state.prepared, armed: state.armed,
		});
		return this.#coordinator.takeOver(rankZero);
	}

	/** Engine and state of rank 0 if its agent does not respond. */
	async #findRankZeroWithoutAgent(state: RankState): Promise<{readonly engine: RankEngine; readonly state: RankState} | undefined> {
		for (const {viaAgent, direct} of this.#members) {
			const agentState = await viaAgent.state();
			if (agentState.kind === 'ok') {
				continue;
			}

			const response = await direct.state();
			if (response.kind === 'ok' && response.value.rank === 0 && response.value.group === state.group) {
				return {engine: direct, state: response.value};
			}
		}

		return undefined;
	}

	async #readDirectoryIfDue(isHeld: boolean): Promise<void> {
		const age = performance.now() - this.#directoryReadAt;
		const isIncomplete = this.#members.length === 0 || this.#coordinator.isGroupIncomplete;
		// While the group is held, the directory is read only if the members are not known.
		if (age > (isIncomplete ? INCOMPLETE_DIRECTORY_INTERVAL_MS : DIRECTORY_INTERVAL_MS) && (isIncomplete || !isHeld)) {
			await this.#readDirectory();
		}
	}

	async #readDirectory(): Promise<void> {
		this.#directoryReadAt = performance.now();
		const listing = await this.#options.directory.read(this.#stop.signal);
		if (listing === undefined) {
			return;
		}

		this.#experts = listing.experts ?? this.#experts;
		this.#members = listing.members.map(({host, engine}) => ({
			viaAgent: this.#remoteEngineAt(`${host}:${this.#options.port}`), direct: this.#options.connectEngine(engine),
		}));
	}

	#remoteEngineAt(address: string): RankEngine {
		let engine = this.#remoteEngines.get(address);
		if (engine === undefined) {
			engine = createRemoteEngine(RequestClient.create(address));
			this.#remoteEngines.set(address, engine);
		}

		return engine;
	}

	async #handleRequest(request: AgentRequest): Promise<unknown> {
		const {localEngine} = this.#options;
		switch (request.kind) {
			case 'state': {
				return localEngine.state();
			}

			case 'counts': {
				const reading = await localEngine.counts();
				return reading.kind === 'ok' ? ok(this.#countsEncoder.encode(reading.value, request.since)) : reading;
			}

			case 'holdings': {
				return localEngine.holdings();
			}

			case 'order': {
				const {action} = request.order;
				if (action.kind === 'prepare') {
					this.#mapDecoder.record(action.version, action.map);
				}

				return ok(await localEngine.order(request.order));
			}

			case 'prepare-delta': {
				const {rank, epoch, sequence, version, delta} = request;
				const map = this.#mapDecoder.decode(version, delta);
				return ok(map === undefined
					? 'base-unknown'
					: await localEngine.order({
						rank, epoch, sequence, action: {kind: 'prepare', version, map},
					}));
			}
		}
	}

	#errorListener(where: string): ErrorListener {
		const {logger, metrics} = this.#options;
		return error => {
			metrics.count('internalErrors', where);
			logger.error('internal error', {where, detail: describeError(error)});
		};
	}

	#logReachability(isReachable: boolean, detail: string): void {
		if (isReachable !== this.#isEngineReachable) {
			this.#isEngineReachable = isReachable;
			this.#options.logger.warn(isReachable ? 'dependency regained' : 'dependency lost', {dependency: 'engine', detail});
		}
	}
}
