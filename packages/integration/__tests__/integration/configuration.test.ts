/**
 * Guards against accepted rules that do not reach a process, and against processes that go back to an older version,
 * when watches, processes, peers or the platform fail.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import t, {type Test} from 'tap';
import {
	Caller, errorOf, SHARED_KEY, TestFleet, waitUntil, type EntryNode,
} from '#harness';
import {baseRules, CLERK_KEY} from '#integration';
import {dialPeer, type PeerIdentity} from '#protocol';
import {hashHex, initHashing} from '#routing';

/** Two entries in each zone watch the platform, so one of the three in the first zone receives rules only from its peers. */
const ENTRY_ZONES = ['colombo-a', 'colombo-a', 'colombo-a', 'gampaha-b'] as const;
const ENDPOINT_ZONES = ['colombo-a', 'colombo-a', 'gampaha-b', 'gampaha-b'] as const;
const POLL_INTERVAL_MS = 50;

/** Seed addresses with no listener. The harness writes at most three seeds, so with these it adds none of its own. */
const UNREACHABLE_SEEDS = ['127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:3'] as const;

const UNUSED_ADDRESS = '127.0.0.1:9';

type TestContext = {
	readonly fleet: TestFleet;
	readonly caller: Caller;
	/** Lines of the rules in force in addition to the base rules. */
	readonly lines: string[];
	/** Versions observed at each process. */
	readonly history: VersionHistory;
	/** Latest accepted version. */
	version: number;
};

/** Rules version of each process; that of an endpoint is read from the entries that are connected to it. */
async function versionsOf(fleet: TestFleet): Promise<ReadonlyMap<string, number>> {
	const versions = new Map<string, number>();
	const entries = fleet.entries.filter(({daemon}) => daemon.running);
	await Promise.all(entries.map(async entry => {
		try {
			const {rules, machines} = await fleet.readStatus(entry);
			versions.set(entry.id, rules.version);
			for (const {id, role, rulesVersion} of machines) {
				if (role === 'endpoint') {
					versions.set(id, Math.max(versions.get(id) ?? 0, rulesVersion ?? 0));
				}
			}
		} catch {
			// The test is killing or starting this entry.
		}
	}));
	return versions;
}

/** Polls the rules version of each process until stopped, and records decreases. */
class VersionHistory {
	static start(fleet: TestFleet): VersionHistory {
		return new VersionHistory(fleet);
	}

	/** Decreases of a version, for example `entry-1: 4 after 5`. */
	readonly reversals: string[] = [];
	readonly #highest = new Map<string, number>();
	readonly #stop = new AbortController();
	readonly #task: Promise<void>;

	private constructor(fleet: TestFleet) {
		this.#task = this.#run(fleet);
	}

	async stop(): Promise<void> {
		this.#stop.abort();
		await this.#task;
	}

	async #run(fleet: TestFleet): Promise<void> {
		while (!this.#stop.signal.aborted) {
			for (const [id, version] of await versionsOf(fleet)) {
				this.#record(id, version);
			}

			await sleep(POLL_INTERVAL_MS);
		}
	}

	#record(id: string, version: number): void {
		const highest = this.#highest.get(id) ?? 0;
		// Version 0 is that of a process that has just started: it has no rules and does not serve yet.
		if (version !== 0 && version < highest) {
			this.reversals.push(`${id}: ${version} after ${highest}`);
		}

		this.#highest.set(id, Math.max(highest, version));
	}
}

async function waitUntilInForce({fleet}: TestContext, version: number): Promise<void> {
	let versions: ReadonlyMap<string, number> = new Map();
	try {
		await waitUntil(`version ${version} is in force everywhere`, async () => {
			versions = await versionsOf(fleet);
			return [...fleet.entries, ...fleet.endpoints].every(({id, daemon}) => !daemon.running || versions.get(id) === version);
		}, 20_000);
	} catch (error) {
		throw new Error(JSON.stringify([...versions]), {cause: error});
	}
}

/** Returns a rule that closes a nonexistent endpoint: it has no effect, and makes each version different. */
function formatRule(name: string): string {
	return `endpoint ${name} closed # asked by Ruwan: not there yet`;
}

/** Applies the rules with one more line and updates the expected version. */
async function applyRule(t: Test, context: TestContext, name: string): Promise<void> {
	const {fleet, lines} = context;
	lines.push(formatRule(name));
	const result = await fleet.applyRules('Ruwan', baseRules(...lines));
	t.equal(result.exitCode, 0, `the change was accepted: ${result.stderr}`);
	context.version += 1;
	t.match(result.stdout, `accepted as version ${context.version}`);
}

/** Connects to an entry as a peer that is not in the directory. */
async function dialAs(id: string, role: PeerIdentity['role'], entry: EntryNode, signal: AbortSignal) {
	return dialPeer({
		address: entry.address,
		sharedKey: SHARED_KEY,
		identity: {
			id, role, region: 'lk-west', zone: 'kalutara-c', address: UNUSED_ADDRESS, incarnation: `${id}/1`,
		},
		onRefused() {
			// The test checks the state of the entry instead.
		},
		onLink() {
			// Messages from the entry are ignored.
		},
		signal,
	});
}

type Case = {readonly name: string; readonly run: (t: Test, context: TestContext) => Promise<void>};

const cases: readonly Case[] = [
	{
		name: 'accepted rules reach watchers, other entries and endpoints',
		async run(t, context) {
			await applyRule(t, context, 'reach-1');
			await waitUntilInForce(context, context.version);
		},
	},
	{
		name: 'after several changes in a row every process has the last one',
		async run(t, context) {
			for (const name of ['row-1', 'row-2', 'row-3']) {
				await applyRule(t, context, name);
			}

			await waitUntilInForce(context, context.version);
		},
	},
	{
		name: 'a change is missing from the watches',
		async run(t, context) {
			const {fleet} = context;
			await fleet.setFaults(fleet.platformUrl, {watchSkip: 1});
			await applyRule(t, context, 'skip-1');
			await waitUntilInForce(context, context.version);
		},
	},
	{
		name: 'processes that are killed and restarted get the latest version',
		async run(t, context) {
			const {fleet} = context;
			await applyRule(t, context, 'restart-1');
			for (const [entry, endpoint] of [[fleet.entries[1]!, fleet.endpoints[0]!], [fleet.entries[2]!, fleet.endpoints[2]!], [fleet.entries[3]!, fleet.endpoints[3]!]] as const) {
				await Promise.all([entry.daemon.kill(), endpoint.daemon.kill()]);
				await Promise.all([fleet.restartEntry(entry), fleet.restartEndpoint(endpoint)]);
			}

			await waitUntilInForce(context, context.version);
		},
	},
	{
		name: 'the platform fails right after it accepted a change',
		async run(t, context) {
			const {fleet} = context;
			await applyRule(t, context, 'outage-1');
			await fleet.setFaults(fleet.platformUrl, {down: true});
			await waitUntilInForce(context, context.version);
			const refused = await fleet.applyRules('Ruwan', baseRules(...context.lines, formatRule('outage-2')));
			t.equal(refused.exitCode, 4, 'a change during the outage is refused');
			await fleet.setFaults(fleet.platformUrl, {down: false});
			await waitUntilInForce(context, context.version);
		},
	},
	{
		name: 'processes that start while the platform is down get the rules from their seeds',
		async run(t, context) {
			const {fleet, caller} = context;
			await applyRule(t, context, 'seeds-1');
			await waitUntilInForce(context, context.version);
			await fleet.setFaults(fleet.platformUrl, {down: true});
			const entry = fleet.entries[3]!;
			const endpoint = fleet.endpoints[1]!;
			await Promise.all([entry.daemon.kill(), endpoint.daemon.kill()]);
			await Promise.all([fleet.restartEntry(entry), fleet.restartEndpoint(endpoint)]);
			await waitUntilInForce(context, context.version);
			await waitUntil('the restarted entry serves requests', async () => {
				const answer = await caller.chat(entry, {prompt: 'served by seeds', maxTokens: 4});
				return answer.status === 200;
			});
			await fleet.setFaults(fleet.platformUrl, {down: false});
		},
	},
	{
		name: 'the entry that is the seed of all others is killed and restarted',
		async run(t, context) {
			const {fleet} = context;
			await applyRule(t, context, 'restart-2');
			await fleet.entries[0]!.daemon.kill();
			await fleet.restartEntry(fleet.entries[0]!);
			await waitUntilInForce(context, context.version);
		},
	},
	{
		name: 'a peer sends an older version, and a different text of the same version',
		async run(t, context) {
			const {fleet} = context;
			const end = new AbortController();
			const text = baseRules(formatRule('old-1'));
			const [lines, hash] = [text.split('\n'), hashHex(text)];
			for (const [i, entry] of fleet.entries.entries()) {
				const link = await dialAs(`stranger-${i}`, 'entry', entry, end.signal);
				for (const version of [1, context.version - 1, context.version]) {
					link.send({
						kind: 'heartbeat', rulesVersion: version, directoryVersion: 0, confirmedAgeMs: 0,
					});
					link.send({
						kind: 'text', topic: 'rules', version, base: 0, keepStart: 0, keepEnd: 0, lines, hash,
					});
				}

				link.close('done');
				await waitUntil('the entry has read all messages', () => link.closed.aborted);
			}

			await waitUntilInForce(context, context.version);
			for (const entry of fleet.entries) {
				const {drains} = await fleet.readStatus(entry);
				t.notOk(drains.some(({target}) => target.name === 'old-1'), `${entry.id} did not accept the text`);
			}

			end.abort();
		},
	},
	{
		name: 'two operators change the same version',
		async run(t, context) {
			const {fleet, lines, version} = context;
			const operators = [{author: 'Ruwan', name: 'race-1'}, {author: 'Fathima', name: 'race-2'}];
			const results = await Promise.all(operators.map(async ({author, name}) => fleet.applyRules(author, baseRules(...lines, formatRule(name)), ['--expect', String(version)])));
			t.same(results.map(({exitCode}) => exitCode).toSorted((a, b) => a - b), [0, 3], 'one change is accepted, the other conflicts');
			const winner = results[0]!.exitCode === 0 ? 0 : 1;
			const [won, lost] = winner === 0 ? ['race-1', 'race-2'] as const : ['race-2', 'race-1'] as const;
			t.match(results[1 - winner]!.stderr, formatRule(won), 'the message to the other operator contains the added line');
			t.match(results[1 - winner]!.stderr, operators[winner]!.author, 'and its author');
			lines.push(formatRule(won));
			context.version += 1;
			await waitUntilInForce(context, context.version);
			await applyRule(t, context, lost);
			await waitUntilInForce(context, context.version);
			const {drains} = await fleet.readStatus(fleet.entries[0]!);
			t.ok(['race-1', 'race-2'].every(name => drains.some(({target}) => target.name === name)), 'both changes are in force');
		},
	},
	{
		name: 'the answer to an accepted change is lost',
		async run(t, context) {
			const {fleet} = context;
			await fleet.setFaults(fleet.platformUrl, {loseAnswers: 'after-write', loseCount: 1});
			await applyRule(t, context, 'lost-1');
			await waitUntilInForce(context, context.version);
		},
	},
	{
		name: 'an entry that can reach neither the platform nor a seed is not ready',
		async run(t, context) {
			const {fleet, caller} = context;
			await fleet.setFaults(fleet.platformUrl, {down: true});
			const entry = await fleet.addEntry({seeds: UNREACHABLE_SEEDS});
			const ready = async () => {
				const {status} = await fetch(`${entry.url}/readyz`);
				return status;
			};

			t.equal(await ready(), 503);
			const refused = await caller.chat(entry, {prompt: 'too early'});
			t.match(errorOf(refused), {code: 'not-ready', outcome: 'not-run'});
			await fleet.setFaults(fleet.platformUrl, {down: false});
			await waitUntil('the entry is ready once the platform answers', async () => await ready() === 200);
			await waitUntilInForce(context, context.version);
		},
	},
];

await initHashing();
const fleet = await TestFleet.create();
const first = await fleet.applyRules('Nadeesha', baseRules());
t.equal(first.exitCode, 0, first.stderr);
await fleet.addEntry({zone: ENTRY_ZONES[0]});
await Promise.all([
	...ENTRY_ZONES.slice(1).map(async zone => fleet.addEntry({zone})),
	...ENDPOINT_ZONES.map(async zone => fleet.addEngine({zone})),
]);
await fleet.waitUntilConnected();
const context: TestContext = {
	fleet, caller: Caller.create(CLERK_KEY), lines: [], history: VersionHistory.start(fleet), version: 1,
};
for (const {name, run} of cases) {
	await t.test(name, async t => {
		try {
			await run(t, context);
			t.same(context.history.reversals, [], 'no process went back to an older version');
		} finally {
			await fleet.setFaults(fleet.platformUrl, {
				down: false, watchSkip: 0, loseAnswers: 'none', loseCount: 0,
			});
		}
	});
}

await context.history.stop();
await context.caller.close();
await fleet.destroy();
