/** Rules and fleets shared by the integration tests. */
import {Buffer} from 'node:buffer';
import {
	Caller, hashKey, TestFleet, type DaemonLines, type EndpointNode, type EngineOptions, type GroupOptions, type ServiceOptions,
} from '#harness';

export const CLERK_KEY = 'key-of-the-clerks-desk';
export const TEMPLE_KEY = 'key-of-the-temple-desk';

/** Rules with two workspaces, a model and a booking service, followed by the given lines. */
export function baseRules(...lines: readonly string[]): string {
	return [
		'model drafting versions=1 # asked by Nadeesha: the drafting model',
		`workspace clerks key-sha256=${hashKey(CLERK_KEY)} priority=5 # asked by Nadeesha: the clerks' desk`,
		`workspace temples key-sha256=${hashKey(TEMPLE_KEY)} priority=5 # asked by Nadeesha: the temples`,
		'service ledger idempotency=required # asked by Ruwan: a booking is charged once',
		...lines,
		'',
	].join('\n');
}

/** Processes and rules of a test's fleet. */
export type FleetOptions = {
	readonly entries?: number;
	readonly engines?: readonly EngineOptions[];
	readonly services?: readonly ServiceOptions[];
	readonly groups?: ReadonlyArray<GroupOptions & {readonly members: number}>;
	readonly rules?: string;
	readonly platformArgs?: readonly string[];
	readonly daemonSettings?: DaemonLines;
	/** Further environment variables of each daemon. */
	readonly daemonEnv?: Readonly<Record<string, string>>;
};

/** A running fleet and a caller in the clerks' workspace. */
export type RunningFleet = {readonly fleet: TestFleet; readonly caller: Caller};

/** Starts a fleet and waits until every entry has load reports from every endpoint. */
export async function startFleet(options: FleetOptions): Promise<RunningFleet> {
	const {platformArgs = [], daemonSettings = () => [], daemonEnv = {}} = options;
	const fleet = await TestFleet.create({platformArgs, daemonSettings, daemonEnv});
	await fleet.putRules(1, options.rules ?? baseRules());
	await Promise.all(Array.from({length: options.entries ?? 1}, async () => fleet.addEntry()));
	await Promise.all([
		...(options.engines ?? []).map(async options => fleet.addEngine(options)),
		...(options.groups ?? []).map(async ({members, ...options}) => fleet.addGroup(members, options)),
		...(options.services ?? []).map(async options => fleet.addService(options)),
	]);
	await fleet.waitUntilConnected();
	return {fleet, caller: Caller.create(CLERK_KEY)};
}

/** Kills all processes of a fleet, whatever their state. */
export async function stopFleet({fleet, caller}: RunningFleet): Promise<void> {
	await caller.close();
	await fleet.destroy();
}

/** Reads the bytes that an engine generated for a request, as the engine reports them; undefined if the request never ran there. */
export async function readGeneratedBytes(fleet: TestFleet, node: EndpointNode, requestId: string): Promise<Uint8Array | undefined> {
	const count = await fleet.readJson(`${node.backendUrl}/counts/${requestId}`) as {readonly body?: string};
	return count.body === undefined ? undefined : Buffer.from(count.body, 'base64');
}

/** Reads the counters of the stand-in behind an endpoint. */
export async function readCounts(fleet: TestFleet, node: EndpointNode): Promise<Readonly<Record<string, number>>> {
	return await fleet.readJson(`${node.backendUrl}/counts`) as Record<string, number>;
}

/** An engine's runs of one request id: the state of each run, and the xxhash64 of the bytes that the latest run generated. */
export type RunRecord = {readonly states: readonly string[]; readonly hash: string};

/** Reads the requests that an engine ran, by request id, as the engine reports them. */
export async function readRuns(fleet: TestFleet, node: EndpointNode): Promise<ReadonlyMap<string, RunRecord>> {
	const {byId} = await fleet.readJson(`${node.backendUrl}/counts`) as {readonly byId: Readonly<Record<string, RunRecord>>};
	return new Map(Object.entries(byId));
}
