/**
 * A small fleet of real processes on the loopback interface: stand-ins for the platform, engines
 * and services, and the daemons. Tests, the demo and benchmarks use it.
 */
import {createHash} from 'node:crypto';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {request} from 'undici';
import {Child} from './child.js';
import {runCommand, type CommandResult} from './command.js';
import {waitUntil} from './wait.js';
import {type StatusResponse} from '#admin';

export const SHARED_KEY = 'shared-key-of-the-test-fleet';
export const PLATFORM_KEY = 'platform-key-of-the-test-fleet';
export const OPERATOR_KEY = 'operator-key-of-the-test-fleet';
const LOOPBACK = '127.0.0.1';

/** Number of ranks in a group; equals the number of experts per layer. */
const GROUP_RANKS = 64;

/** Region and zone of a machine; defaults apply if absent. */
export type Location = {readonly region?: string; readonly zone?: string};

export type EngineOptions = Location & {
	readonly group?: string;
	readonly groupSize?: number;
	readonly ranks?: string;
	readonly models?: readonly string[];
	/** Additional arguments of the stand-in engine. */
	readonly args?: readonly string[];
};

/** Options of a group of engines; `rebalanceSeconds` as in the settings. */
export type GroupOptions = EngineOptions & {readonly rebalanceSeconds?: number};

export type ServiceOptions = Location & {readonly service: string; readonly args?: readonly string[]};

/** A back end with its endpoint process. */
export type EndpointNode = {
	readonly id: string;
	readonly backend: Child;
	readonly backendUrl: string;
	daemon: Child;
	address: string;
	readonly settingsFile: string;
	readonly instance: Readonly<Record<string, unknown>>;
};

export type EntryNode = {
	readonly id: string;
	daemon: Child;
	url: string;
	address: string;
	readonly settingsFile: string;
	readonly instance: Readonly<Record<string, unknown>>;
};

type NewEndpoint = {
	readonly id: string;
	readonly backend: Child;
	/** Port of the back end. */
	readonly port: number;
	readonly location: Location;
	/** Remaining lines of the endpoint section in the settings file. */
	readonly section: string;
	/** The machine's record in the platform's list, without its address. */
	readonly instance: Readonly<Record<string, unknown>>;
};

type DaemonSettings = {
	readonly id: string;
	readonly role: 'entry' | 'endpoint';
	readonly location: Location;
	readonly section: string;
	readonly seeds: readonly string[];
};

/** SHA-256 of a key in hex, as written in the rules and settings. */
export function hashKey(key: string): string {
	return createHash('sha256').update(key).digest('hex');
}

/** Further lines of the section `[daemon]` of a daemon in this role. */
export type DaemonLines = (role: DaemonSettings['role']) => readonly string[];

export class TestFleet {
	/** Starts the platform stand-in. Engines, services and entries are added afterwards. */
	static async create(options: {readonly platformArgs?: readonly string[]; readonly daemonSettings?: DaemonLines; readonly daemonEnv?: Readonly<Record<string, string>>} = {}): Promise<TestFleet> {
		const platform = await Child.create('platform', 'target/packages/standins-platform/src/bin.js', ['--port', '0', '--key', PLATFORM_KEY, ...options.platformArgs ?? []]);
		return new TestFleet(platform, options.daemonSettings ?? (() => []), options.daemonEnv ?? {});
	}

	readonly platform: Child;
	readonly platformUrl: string;
	readonly endpoints: EndpointNode[] = [];
	readonly entries: EntryNode[] = [];
	readonly #directory = mkdtempSync(path.join(tmpdir(), 'mimosamount-'));
	readonly #otherProcesses: Child[] = [];
	#entryCount = 0;
	#endpointCount = 0;
	#rulesFileCount = 0;

	readonly #daemonSettings: DaemonLines;

	/** Further environment variables of each daemon. */
	readonly #daemonEnv: Readonly<Record<string, string>>;

	private constructor(platform: Child, daemonSettings: DaemonLines, daemonEnv: Readonly<Record<string, string>>) {
		this.platform = platform;
		this.#daemonEnv = daemonEnv;
		this.#daemonSettings = daemonSettings;
		this.platformUrl = `http://${LOOPBACK}:${String(platform.readyMessage.listening)}`;
	}

	/** All running processes of the fleet. */
	get children(): readonly Child[] {
		return [
			...this.entries.map(({daemon}) => daemon),
			...this.endpoints.flatMap(({daemon, backend}) => [daemon, backend]),
			...this.#otherProcesses,
			this.platform,
		].filter(child => child.running);
	}

	/** Writes the rules object as `rules apply` does. */
	async putRules(version: number, text: string): Promise<void> {
		const url = `${this.platformUrl}/apis/mimosamount/v1/objects`;
		const headers = {'content-type': 'application/json', authorization: `Bearer ${PLATFORM_KEY}`};
		const value = {version, text};
		const read = await request(`${url}/config%2Frules`, {headers});
		const old = await read.body.json() as {readonly resourceVersion?: string};
		const res = read.statusCode === 200
			? await request(`${url}/config%2Frules`, {method: 'PUT', headers, body: JSON.stringify({resourceVersion: old.resourceVersion, value})})
			: await request(url, {method: 'POST', headers, body: JSON.stringify({name: 'config/rules', value})});
		await res.body.dump();
		if (res.statusCode >= 300) {
			throw new Error(`rules were not written: ${res.statusCode}`);
		}
	}

	/** Applies rules with the command-line tool, as an operator does. */
	async applyRules(author: string, text: string, args: readonly string[] = []): Promise<CommandResult> {
		this.#rulesFileCount += 1;
		const rulesFile = path.join(this.#directory, `applied-${this.#rulesFileCount}.rules`);
		const keyFile = path.join(this.#directory, 'platform.key');
		writeFileSync(rulesFile, text);
		writeFileSync(keyFile, PLATFORM_KEY, {mode: 0o600});
		return runCommand('target/packages/cli/src/bin.js', ['rules', 'apply', rulesFile, '--platform', this.platformUrl, '--platform-key-file', keyFile, '--author', author, ...args]);
	}

	/** Sets the faults that a stand-in injects. */
	async setFaults(url: string, faults: Readonly<Record<string, unknown>>): Promise<void> {
		const res = await request(`${url}/faults`, {method: 'POST', headers: {'content-type': 'application/json'}, body: JSON.stringify(faults)});
		await res.body.dump();
	}

	/** Reads JSON from a stand-in, for example `/counts`. */
	async readJson(url: string): Promise<unknown> {
		const res = await request(url);
		return res.body.json();
	}

	async addEngine(options: EngineOptions = {}): Promise<EndpointNode> {
		this.#endpointCount += 1;
		const id = `ep-${this.#endpointCount}`;
		const models = options.models ?? ['drafting@1'];
		const names = [...new Set(models.map(model => model.split('@')[0] ?? model))];
		const backend = await Child.create(`engine of ${id}`, 'target/packages/standins-engine/src/bin.js', [...names.flatMap(name => ['--model', name]), '--rank-id', id, ...options.args ?? []]);
		const group = options.group ?? `group-${id}`;
		const groupSize = options.groupSize ?? 8;
		const ranks = options.ranks ?? '0-7';
		const section = `kind = model\ngroup = ${group}\ngroup-size = ${groupSize}\nranks = ${ranks}\nmodels = ${models.join(',')}\n`;
		return this.#addEndpoint({
			id, backend, port: Number(backend.readyMessage.listening), location: options, section, instance: {
				kind: 'model', group, ranks: [Number(ranks.split('-')[0])], models,
			},
		});
	}

	/**
	 * Starts one engine process whose engines run their steps in lockstep, and one endpoint process for each engine.
	 *
	 * @param members - Number of endpoints; the 64 ranks are divided evenly among them.
	 */
	async addGroup(members: number, options: GroupOptions = {}): Promise<readonly EndpointNode[]> {
		const ids = Array.from({length: members}, () => {
			this.#endpointCount += 1;
			return `ep-${this.#endpointCount}`;
		});
		const group = options.group ?? 'group-1';
		const models = options.models ?? ['drafting@1'];
		const names = [...new Set(models.map(model => model.split('@')[0] ?? model))];
		const backend = await Child.create(`engines of ${group}`, 'target/packages/standins-engine/src/bin.js', [
			...names.flatMap(name => ['--model', name]), ...ids.flatMap(id => ['--rank-id', id]), ...options.args ?? [],
		]);
		const ports = backend.readyMessage.ports as readonly number[];
		const ranksEach = GROUP_RANKS / members;
		return Promise.all(ids.map(async (id, i) => {
			const first = i * ranksEach;
			const section = [
				'kind = model',
				`group = ${group}`,
				`group-size = ${GROUP_RANKS}`,
				`ranks = ${first}-${first + ranksEach - 1}`,
				`models = ${models.join(',')}`,
				`rebalance-seconds = ${options.rebalanceSeconds ?? 30}`,
				'',
			].join('\n');
			return this.#addEndpoint({
				id, backend, port: ports[i] ?? 0, location: options, section, instance: {
					kind: 'model', group, ranks: [first], models,
				},
			});
		}));
	}

	async addService(options: ServiceOptions): Promise<EndpointNode> {
		this.#endpointCount += 1;
		const id = `ep-${this.#endpointCount}`;
		const backend = await Child.create(`service of ${id}`, 'target/packages/standins-service/src/bin.js', [...options.args ?? []]);
		return this.#addEndpoint({
			id, backend, port: Number(backend.readyMessage.listening), location: options,
			section: `kind = service\nservice = ${options.service}\n`, instance: {kind: 'service', service: options.service},
		});
	}

	/** Starts an endpoint process for a service that is already running and is shared with other endpoints. */
	async addSharedService(service: string, backend: Child, location: Location = {}): Promise<EndpointNode> {
		this.#endpointCount += 1;
		return this.#addEndpoint({
			id: `ep-${this.#endpointCount}`, backend, port: Number(backend.readyMessage.listening), location,
			section: `kind = service\nservice = ${service}\n`, instance: {kind: 'service', service},
		});
	}

	async addEntry(options: Location & {readonly seeds?: readonly string[]} = {}): Promise<EntryNode> {
		this.#entryCount += 1;
		const id = `entry-${this.#entryCount}`;
		const section = `[entry]\nlisten = ${LOOPBACK}:0\noperator-key-sha256 = ${hashKey(OPERATOR_KEY)}\n`;
		const settingsFile = this.#writeSettings({
			id, role: 'entry', location: options, section, seeds: options.seeds ?? [],
		});
		const daemon = await Child.create(id, 'target/packages/daemon/src/bin.js', [settingsFile], {env: this.#daemonEnv});
		const instance = {
			id, role: 'entry', kind: 'entry', zone: options.zone ?? 'colombo-a', region: options.region ?? 'lk-west',
		};
		const node: EntryNode = {
			id, daemon, url: '', address: '', settingsFile, instance,
		};
		this.entries.push(node);
		await this.#updateEntry(node);
		return node;
	}

	/** Waits until every entry has rules in force and is linked to the given endpoints, or to all, with a load report from each. */
	async waitUntilConnected(endpoints: readonly EndpointNode[] = this.endpoints): Promise<void> {
		for (const entry of this.entries) {
			await waitUntil(`${entry.id} is linked to all endpoints`, async () => {
				const status = await this.readStatus(entry);
				const linked = new Set(status.machines.filter(machine => machine.linked && machine.load !== undefined).map(({id}) => id));
				return status.rules.version > 0 && endpoints.every(({id}) => linked.has(id));
			});
		}
	}

	/** Reads the status of an entry from its admin API. */
	async readStatus(entry: EntryNode): Promise<StatusResponse> {
		const res = await request(`${entry.url}/admin/status`, {headers: {authorization: `Bearer ${OPERATOR_KEY}`}});
		return await res.body.json() as StatusResponse;
	}

	/** Reads the value of a counter with the given label from an entry's metrics; 0 if it is absent. */
	async readCounter(entry: EntryNode, name: string, label: string): Promise<number> {
		const res = await request(`${entry.url}/metrics`);
		const text = await res.body.text();
		const line = text.split('\n').find(metricLine => metricLine.startsWith(`mimosamount_${name}_total{`) && metricLine.includes(`"${label}"`));
		return Number(line?.split(' ').at(-1) ?? 0);
	}

	/** Restarts an entry whose process has exited. */
	async restartEntry(node: EntryNode): Promise<void> {
		node.daemon = await Child.create(node.id, 'target/packages/daemon/src/bin.js', [node.settingsFile], {env: this.#daemonEnv});
		await this.#updateEntry(node);
	}

	/** Restarts an endpoint process that has exited; its back end keeps running. */
	async restartEndpoint(node: EndpointNode): Promise<void> {
		node.daemon = await Child.create(node.id, 'target/packages/daemon/src/bin.js', [node.settingsFile], {env: this.#daemonEnv});
		await this.#updateEndpoint(node);
	}

	/** Adds or updates a machine in the platform's list. */
	async register(id: string, instance: Readonly<Record<string, unknown>>): Promise<void> {
		const res = await request(`${this.platformUrl}/instances/${id}`, {
			method: 'PUT', headers: {'content-type': 'application/json', authorization: `Bearer ${PLATFORM_KEY}`}, body: JSON.stringify(instance),
		});
		const text = await res.body.text();
		if (res.statusCode >= 300) {
			throw new Error(`instance ${id} was not registered: ${res.statusCode} ${text}`);
		}
	}

	/** Removes a machine from the platform's list, as the platform does once it has detected that the instance is gone. */
	async unregister(id: string): Promise<void> {
		const res = await request(`${this.platformUrl}/instances/${id}`, {method: 'DELETE', headers: {authorization: `Bearer ${PLATFORM_KEY}`}});
		await res.body.dump();
		if (res.statusCode >= 300) {
			throw new Error(`instance ${id} was not removed: ${res.statusCode}`);
		}
	}

	/** Adds a process that the test started itself, so that `stop` and `destroy` end it too. */
	addProcess(child: Child): void {
		this.#otherProcesses.push(child);
	}

	/** Stops the daemons gracefully, then kills all other processes. Returns the exit codes of the daemons. */
	async stop(): Promise<ReadonlyArray<number | undefined>> {
		const daemons = [...this.entries.map(({daemon}) => daemon), ...this.endpoints.map(({daemon}) => daemon)];
		for (const daemon of daemons) {
			daemon.signal('SIGCONT');
			daemon.signal('SIGTERM');
		}

		const codes = await Promise.all(daemons.map(async daemon => daemon.exited));
		await this.destroy();
		return codes;
	}

	/** Kills all processes of the fleet and deletes its files. */
	async destroy(): Promise<void> {
		await Promise.all(this.children.map(async child => child.kill()));
		rmSync(this.#directory, {recursive: true, force: true});
	}

	async #addEndpoint({id, backend, port, location, section, instance}: NewEndpoint): Promise<EndpointNode> {
		const backendUrl = `http://${LOOPBACK}:${port}`;
		const settingsFile = this.#writeSettings({
			id, role: 'endpoint', location, section: `[endpoint]\nbackend-url = ${backendUrl}\n${section}`, seeds: [],
		});
		const daemon = await Child.create(id, 'target/packages/daemon/src/bin.js', [settingsFile], {env: this.#daemonEnv});
		const node: EndpointNode = {
			id,
			backend,
			backendUrl,
			daemon,
			address: '',
			settingsFile,
			instance: {
				id, role: 'endpoint', zone: location.zone ?? 'colombo-a', region: location.region ?? 'lk-west', ...instance,
			},
		};
		this.endpoints.push(node);
		await this.#updateEndpoint(node);
		return node;
	}

	async #updateEndpoint(node: EndpointNode): Promise<void> {
		node.address = `${LOOPBACK}:${String(node.daemon.readyMessage.peerPort)}`;
		await this.register(node.id, {...node.instance, address: node.address, state: 'live'});
	}

	async #updateEntry(node: EntryNode): Promise<void> {
		node.address = `${LOOPBACK}:${String(node.daemon.readyMessage.peerPort)}`;
		node.url = `http://${LOOPBACK}:${String(node.daemon.readyMessage.callerPort)}`;
		await this.register(node.id, {...node.instance, address: node.address, state: 'live'});
	}

	#writeSettings({id, role, location, section, seeds}: DaemonSettings): string {
		const file = path.join(this.#directory, `${id}.ini`);
		const seedAddresses = [...seeds, ...this.entries.map(({address}) => address)].slice(0, 3);
		const seedLine = seedAddresses.length === 0 ? '' : `seeds = ${seedAddresses.join(',')}\n`;
		writeFileSync(file, [
			'[daemon]',
			`role = ${role}`,
			`id = ${id}`,
			`region = ${location.region ?? 'lk-west'}`,
			`zone = ${location.zone ?? 'colombo-a'}`,
			`address = ${LOOPBACK}:0`,
			'log-level = info',
			...this.#daemonSettings(role),
			'',
			'[platform]',
			`url = ${this.platformUrl}`,
			`key = ${PLATFORM_KEY}`,
			'',
			'[peers]',
			`shared-key = ${SHARED_KEY}`,
			seedLine,
			section,
		].join('\n'));
		return file;
	}
}
