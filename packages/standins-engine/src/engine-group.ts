/** Several engine servers in one process, whose ranks advance in lock-step. */
import {EngineServer, type EngineServerOptions} from './engine-server.js';
import {DEFAULT_ENGINE_OPTIONS} from './engine-options.js';
import {GroupDriver} from './group-driver.js';

export type EngineGroupOptions = Omit<EngineServerOptions, 'rankId' | 'driver' | 'members' | 'port'> & {
	/** Ids of the endpoints that run beside the engines; one engine is started for each. */
	readonly members: readonly string[];
};

export class EngineGroup {
	/** Starts one engine for each member; all start in epoch 1 with the same map. */
	static async create(options: EngineGroupOptions): Promise<EngineGroup> {
		const driver = GroupDriver.create(options.stepMs ?? DEFAULT_ENGINE_OPTIONS.stepMs);
		const servers = await Promise.all(options.members.map(async rankId => EngineServer.create({...options, rankId, driver})));
		return new EngineGroup(driver, servers);
	}

	/** Driver of the group, with its ranks, completed steps and steps with mixed maps. */
	readonly driver: GroupDriver;
	/** In the order of the members. */
	readonly servers: readonly EngineServer[];

	private constructor(driver: GroupDriver, servers: readonly EngineServer[]) {
		this.driver = driver;
		this.servers = servers;
	}

	/** Stops all engines. */
	async close(): Promise<void> {
		await Promise.all(this.servers.map(async server => server.close()));
		this.driver.close();
	}
}
