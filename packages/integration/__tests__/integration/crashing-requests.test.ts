/** Guards against a request that crashes one engine after another, and against failures of requests in the same batches. */
import t, {type Test} from 'tap';
import {
	errorOf, isCompleteStream, waitUntil, type EntryNode, type CallerResponse,
} from '#harness';
import {
	readCounts, readRuns, startFleet, stopFleet, type RunningFleet,
} from '#integration';
import {suspectOwnersOf} from '#quarantine';
import {hashHex, initHashing} from '#routing';
import {hashBytes} from '#standins-engine';

const ENGINES = 6;
const ENTRIES = 3;
const CRASH_PROMPT = 'charge diagnosis that crashes';

/** A request crashes at most this many engines (section 6.7). */
const MAX_CRASHES = 3;

/** Maximum number of attempts of the caller; more than are needed until the request is quarantined. */
const MAX_RESENDS = 12;

/** Unrelated requests per engine that run at the same time; they take longer than the time until the first crash. */
const UNRELATED_PER_ENGINE = 8;
const UNRELATED_TOKENS = 60;

type Case = {
	readonly name: string;
	/** Entries through which the caller sends the crashing request. */
	readonly via: (running: RunningFleet) => readonly EntryNode[];
	/** Called after the first crash. */
	readonly afterCrash: (running: RunningFleet) => Promise<void>;
};

/** Counters of all engines. An engine resets connections while it is down after a crash, so the read is retried. */
async function readTotals({fleet}: RunningFleet): Promise<ReadonlyArray<Readonly<Record<string, number>>>> {
	return Promise.all(fleet.endpoints.map(async node => {
		let counts: Readonly<Record<string, number>> = {};
		await waitUntil(`the engine of ${node.id} answers`, async () => {
			try {
				counts = await readCounts(fleet, node);
				return true;
			} catch {
				return false;
			}
		});
		return counts;
	}));
}

async function countCrashes(running: RunningFleet): Promise<number> {
	const counts = await readTotals(running);
	return counts.map(({crashes}) => crashes ?? 0).reduce((sum, crashes) => sum + crashes, 0);
}

/** The fingerprint that an entry computes for a chat request with one user message. */
function computeFingerprint(prompt: string): string {
	return hashHex(`drafting|${prompt}`);
}

/** The entry that counts the crashes of the request. */
function findHomeEntry(fleet: RunningFleet['fleet']): EntryNode {
	const [home] = suspectOwnersOf(computeFingerprint(CRASH_PROMPT), fleet.entries.map(({id}) => id));
	return fleet.entries.find(({id}) => id === home)!;
}

const cases: readonly Case[] = [
	{
		name: 'sent again through any of three entries',
		via: ({fleet}) => fleet.entries,
		async afterCrash() {
			// No further fault.
		},
	},
	{
		name: 'the entry that counts crashes of the fingerprint is killed after the first crash',
		via: ({fleet}) => fleet.entries.filter(entry => entry !== findHomeEntry(fleet)),
		async afterCrash({fleet}) {
			const home = findHomeEntry(fleet);
			await home.daemon.kill();
			// A run permit held by the killed entry expires once the entry is no longer in the platform's list.
			await fleet.unregister(home.id);
		},
	},
];

/** Sends the crashing request until it is refused as quarantined, each time through the next running entry. */
async function resend(running: RunningFleet, {via, afterCrash}: Case): Promise<readonly CallerResponse[]> {
	const answers: CallerResponse[] = [];
	let hasCrashed = false;
	const crashHandled = (async () => {
		await waitUntil('an engine crashed', async () => await countCrashes(running) > 0);
		await afterCrash(running);
		hasCrashed = true;
	})();
	for (let i = 0; i < MAX_RESENDS; i += 1) {
		const available = via(running).filter(({daemon}) => daemon.running);
		const answer = await running.caller.chat(available[i % available.length]!, {prompt: CRASH_PROMPT, stream: true, maxTokens: 8});
		answers.push(answer);
		if (errorOf(answer)?.code === 'quarantined' && hasCrashed) {
			break;
		}
	}

	await crashHandled;
	return answers;
}

function isStream({headers}: CallerResponse): boolean {
	return String(headers['content-type']).startsWith('text/event-stream');
}

async function checkUnrelated(t: Test, {fleet}: RunningFleet, answers: ReadonlyArray<{readonly entry: EntryNode; readonly answer: CallerResponse}>): Promise<void> {
	const runs = await Promise.all(fleet.endpoints.map(async node => readRuns(fleet, node)));
	// Callers of a killed entry lose their connection and would have to send again, so their requests are not checked.
	const retained = answers.filter(({entry}) => entry.daemon.running).map(({answer}) => answer);
	const failed = retained.filter(answer => answer.status !== 200 || answer.isIncomplete || (isStream(answer) && !isCompleteStream(answer)));
	t.same(failed.map(({status, text}) => ({status, end: text.slice(-250)})), [], `all ${retained.length} unrelated requests were answered`);
	const different = retained.filter(({requestId, bytes}) => runs.every(byId => byId.get(requestId)?.hash !== hashBytes(bytes)));
	t.same(different.map(({requestId}) => requestId), [], 'with the bytes that an engine generated for them');
	const shared = retained.filter(({requestId}) => runs.some(byId => byId.get(requestId)?.states.includes('lost')));
	t.ok(shared.length > 0, `${shared.length} of them shared a batch that crashed`);
}

await initHashing();
for (const testCase of cases) {
	await t.test(testCase.name, async t => {
		const engines = Array.from({length: ENGINES}, () => ({args: ['--step-ms', '20', '--hold-ms', '60000']}));
		const running = await startFleet({entries: ENTRIES, engines});
		const {fleet, caller} = running;
		await Promise.all(fleet.endpoints.map(async node => fleet.setFaults(node.backendUrl, {crashOn: CRASH_PROMPT})));
		const unrelated = Array.from({length: ENGINES * UNRELATED_PER_ENGINE}, async (_, i) => {
			const entry = fleet.entries[i % ENTRIES]!;
			return {entry, answer: await caller.chat(entry, {prompt: `innocent ${i}`, stream: i % 2 === 0, maxTokens: UNRELATED_TOKENS})};
		});
		await waitUntil('unrelated requests run on every engine', async () => {
			const counts = await readTotals(running);
			return counts.every(({requests}) => (requests ?? 0) > 0);
		});
		const answers = await resend(running, testCase);
		t.comment(answers.map(answer => `${answer.status} ${errorOf(answer)?.code ?? ''} ${errorOf(answer)?.outcome ?? ''}`).join(', '));
		const crashes = await countCrashes(running);
		t.ok(crashes >= 1 && crashes <= MAX_CRASHES, `${crashes} engines crashed, at most ${MAX_CRASHES}`);
		t.match(errorOf(answers.at(-1)!), {code: 'quarantined'}, 'the last attempt is refused as quarantined');
		await checkUnrelated(t, running, await Promise.all(unrelated));
		const liveEntries = fleet.entries.filter(({daemon}) => daemon.running);
		for (const entry of liveEntries) {
			const refused = await caller.chat(entry, {prompt: CRASH_PROMPT});
			t.match(errorOf(refused), {code: 'quarantined', outcome: 'not-run'}, `${entry.id} refuses it without running it`);
		}

		t.equal(await countCrashes(running), crashes, 'no further engine crashed');
		await stopFleet(running);
	});
}
