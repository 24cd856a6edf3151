/** Rules and fleets that the integration tests share. */
import {Buffer} from 'node:buffer';
import {
	Caller, hashKey, TestFleet, type EndpointNode, type EngineOptions, type GroupOptions, type ServiceOptions,
} from '#harness';

export const CLERK_KEY = 'key-of-the-clerks-desk';
export const TEMPLE_KEY = 'key-of-the-temple-desk';

/** Rules that name two workspaces, a model and a booking service. Further lines can be added. */
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

/** What a fleet for a test holds. */
export type FleetOptions = {
	readonly entries?: number;
	readonly engines?: readonly EngineOptions[];
	readonly services?: readonly ServiceOptions[];
	readonly groups?: ReadonlyArray<GroupOptions & {readonly members: number}>;
	readonly rules?: string;
	readonly platformArgs?: readonly string[];
};

/** A running fleet with a caller of the clerks' workspace. */
export type RunningFleet = {readonly fleet: TestFleet; readonly caller: Caller};

/** Starts a fleet and waits until every entry takes reports of every endpoint. */
export async function startFleet(plan: FleetOptions): Promise<RunningFleet> {
	const fleet = await TestFleet.create(plan.platformArgs === undefined ? {} : {platformArgs: plan.platformArgs});
	await fleet.putRules(1, plan.rules ?? baseRules());
	await Promise.all(Array.from({length: plan.entries ?? 1}, async () => fleet.addEntry()));
	await Promise.all([
		...(plan.engines ?? []).map(async options => fleet.addEngine(options)),
		...(plan.groups ?? []).map(async ({members, ...options}) => fleet.addGroup(members, options)),
		...(plan.services ?? []).map(async options => fleet.addService(options)),
	]);
	await fleet.waitUntilConnected();
	return {fleet, caller: Caller.create(CLERK_KEY)};
}

/** Stops a fleet whatever state its processes are in. */
export async function stopFleet({fleet, caller}: RunningFleet): Promise<void> {
	await caller.close();
	await fleet.destroy();
}

/** Bytes that an engine made for a request, by its own account; undefined if it never ran there. */
export async function readGeneratedBytes(fleet: TestFleet, node: EndpointNode, requestId: string): Promise<Uint8Array | undefined> {
	const count = await fleet.readJson(`${node.backendUrl}/counts/${requestId}`) as {readonly body?: string};
	return count.body === undefined ? undefined : Buffer.from(count.body, 'base64');
}

/** Totals that a stand-in counts. */
export async function readCounts(fleet: TestFleet, node: EndpointNode): Promise<Readonly<Record<string, number>>> {
	return await fleet.readJson(`${node.backendUrl}/counts`) as Record<string, number>;
}

/** What an engine did for one request id: the state of each run, and the xxhash64 of the bytes that the latest made. */
export type RunRecord = {readonly states: readonly string[]; readonly hash: string};

/** Requests that an engine ran, by its own account. */
export async function readRuns(fleet: TestFleet, node: EndpointNode): Promise<ReadonlyMap<string, RunRecord>> {
	const {byId} = await fleet.readJson(`${node.backendUrl}/counts`) as {readonly byId: Readonly<Record<string, RunRecord>>};
	return new Map(Object.entries(byId));
}
