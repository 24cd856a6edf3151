/** Guards against a request that crashes engine after engine, and against harm to requests that shared its batches. */
import t, {type Test} from 'tap';
import {
	errorOf, isWhole, waitUntil, type EntryNode, type Received,
} from '#harness';
import {
	countsOf, runsOn, startFleet, stopFleet, type Running,
} from '#integration';
import {suspectOwnersOf} from '#quarantine';
import {hashHex, initHashing} from '#routing';
import {hashBytes} from '#standins-engine';

const ENGINES = 6;
const ENTRIES = 3;
const POISON = 'charge diagnosis that crashes';

/** A request crashes at most this many engines (section 6.7). */
const MAX_CRASHES = 3;

/** Resends of the caller; more than it takes to be quarantined. */
const MAX_RESENDS = 12;

/** Requests in progress while the crashing one runs; they outlast its first crash. */
const INNOCENTS = 8;
const INNOCENT_TOKENS = 60;

type Case = {
	readonly name: string;
	/** Entries through which the caller sends the crashing request. */
	readonly via: (running: Running) => readonly EntryNode[];
	/** Runs once the first crash was counted. */
	readonly afterCrash: (running: Running) => Promise<void>;
};

/** Totals of all engines. An engine resets connections while it is down after a crash, so the question is repeated. */
async function totalsOf({fleet}: Running): Promise<ReadonlyArray<Readonly<Record<string, number>>>> {
	return Promise.all(fleet.endpoints.map(async node => {
		let counts: Readonly<Record<string, number>> = {};
		await waitUntil(`the engine of ${node.id} answers`, async () => {
			try {
				counts = await countsOf(fleet, node);
				return true;
			} catch {
				return false;
			}
		});
		return counts;
	}));
}

async function crashesOf(running: Running): Promise<number> {
	const counts = await totalsOf(running);
	return counts.map(({crashes}) => crashes ?? 0).reduce((sum, crashes) => sum + crashes, 0);
}

/** Fingerprint as an entry makes it of a chat request with one user message. */
function fingerprintOf(prompt: string): string {
	return hashHex(`drafting|${prompt}`);
}

/** The entry that counts the crashes of the request. */
function homeOf(fleet: Running['fleet']): EntryNode {
	const [home] = suspectOwnersOf(fingerprintOf(POISON), fleet.entries.map(({id}) => id));
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
		name: 'the home entry of the fingerprint is killed in between',
		via: ({fleet}) => fleet.entries.filter(entry => entry !== homeOf(fleet)),
		async afterCrash({fleet}) {
			const home = homeOf(fleet);
			await home.daemon.kill();
			// A permission that the killed entry held ends once the platform's list no longer names it.
			await fleet.unregister(home.id);
		},
	},
];

/** Sends the crashing request until it is refused as quarantined, each time through the next living entry. */
async function resend(running: Running, {via, afterCrash}: Case): Promise<readonly Received[]> {
	const answers: Received[] = [];
	let hit = false;
	const watcher = (async () => {
		await waitUntil('an engine crashed', async () => await crashesOf(running) > 0);
		await afterCrash(running);
		hit = true;
	})();
	for (let i = 0; i < MAX_RESENDS; i += 1) {
		const living = via(running).filter(({daemon}) => daemon.running);
		const answer = await running.caller.chat(living[i % living.length]!, {prompt: POISON, stream: true, maxTokens: 8});
		answers.push(answer);
		if (errorOf(answer)?.code === 'quarantined' && hit) {
			break;
		}
	}

	await watcher;
	return answers;
}

function isStream({headers}: Received): boolean {
	return String(headers['content-type']).startsWith('text/event-stream');
}

async function checkInnocents(t: Test, {fleet}: Running, answers: ReadonlyArray<{readonly entry: EntryNode; readonly answer: Received}>): Promise<void> {
	const runs = await Promise.all(fleet.endpoints.map(async node => runsOn(fleet, node)));
	// A caller of an entry that was killed loses its connection and sends again.
	const kept = answers.filter(({entry}) => entry.daemon.running).map(({answer}) => answer);
	const failed = kept.filter(answer => answer.status !== 200 || answer.broken || (isStream(answer) && !isWhole(answer)));
	t.same(failed.map(({status, text}) => ({status, end: text.slice(-250)})), [], `all ${kept.length} innocent requests were answered`);
	const different = kept.filter(({requestId, bytes}) => runs.every(byId => byId.get(requestId)?.hash !== hashBytes(bytes)));
	t.same(different.map(({requestId}) => requestId), [], 'with the bytes that an engine made for them');
	const shared = kept.filter(({requestId}) => runs.some(byId => byId.get(requestId)?.states.includes('lost')));
	t.ok(shared.length > 0, `${shared.length} of them shared a batch that crashed`);
}

await initHashing();
for (const testCase of cases) {
	await t.test(testCase.name, async t => {
		const engines = Array.from({length: ENGINES}, () => ({args: ['--step-ms', '20', '--hold-ms', '60000']}));
		const running = await startFleet({entries: ENTRIES, engines});
		const {fleet, caller} = running;
		await Promise.all(fleet.endpoints.map(async node => fleet.faults(node.backendUrl, {crashOn: POISON})));
		const innocents = Array.from({length: ENGINES * INNOCENTS}, async (_, i) => {
			const entry = fleet.entries[i % ENTRIES]!;
			return {entry, answer: await caller.chat(entry, {prompt: `innocent ${i}`, stream: i % 2 === 0, maxTokens: INNOCENT_TOKENS})};
		});
		await waitUntil('innocent requests run on every engine', async () => {
			const counts = await totalsOf(running);
			return counts.every(({requests}) => (requests ?? 0) > 0);
		});
		const answers = await resend(running, testCase);
		t.comment(answers.map(answer => `${answer.status} ${errorOf(answer)?.code ?? ''} ${errorOf(answer)?.outcome ?? ''}`).join(', '));
		const crashes = await crashesOf(running);
		t.ok(crashes >= 1 && crashes <= MAX_CRASHES, `${crashes} engines crashed, at most ${MAX_CRASHES}`);
		t.match(errorOf(answers.at(-1)!), {code: 'quarantined'}, 'the request is refused in the end');
		await checkInnocents(t, running, await Promise.all(innocents));
		const living = fleet.entries.filter(({daemon}) => daemon.running);
		for (const entry of living) {
			const refused = await caller.chat(entry, {prompt: POISON});
			t.match(errorOf(refused), {code: 'quarantined', outcome: 'not-run'}, `${entry.id} refuses it without a run`);
		}

		t.equal(await crashesOf(running), crashes, 'no engine crashed after that');
		await stopFleet(running);
	});
}
