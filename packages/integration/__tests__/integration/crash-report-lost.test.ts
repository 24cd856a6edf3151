/** Guards against a crash that is not counted because the entry that carried the request died before it reported it. */
import t from 'tap';
import {errorOf, waitUntil} from '#harness';
import {readCounts, startFleet, stopFleet} from '#integration';

const ENGINES = 6;
const POISON = 'charge diagnosis that crashes';
const MAX_CRASHES = 3;
const MAX_RESENDS = 6;

/** The engines hold the request for this time, so that its entry can be paused before they crash. */
const STALL_MS = 3000;

await t.test('the entry that carries the crashing request is paused, then killed', async t => {
	const running = await startFleet({entries: 3, engines: Array.from({length: ENGINES}, () => ({}))});
	const {fleet, caller} = running;
	const sum = async (name: 'crashes' | 'requests'): Promise<number> => {
		let total = 0;
		await waitUntil('all engines answer', async () => {
			try {
				const counts = await Promise.all(fleet.endpoints.map(async node => readCounts(fleet, node)));
				total = counts.map(count => count[name] ?? 0).reduce((a, b) => a + b, 0);
				return true;
			} catch {
				return false;
			}
		});
		return total;
	};

	await Promise.all(fleet.endpoints.map(async node => fleet.setFaults(node.backendUrl, {crashOn: POISON, stallMs: STALL_MS})));
	const [carrier, second, third] = fleet.entries;
	const lost = caller.chat(carrier!, {prompt: POISON, stream: true, maxTokens: 8});
	await waitUntil('an engine has the request', async () => await sum('requests') > 0);
	carrier!.daemon.signal('SIGSTOP');
	await waitUntil('the engine crashed', async () => await sum('crashes') > 0);
	await carrier!.daemon.kill();
	await fleet.unregister(carrier!.id);
	await lost;
	const codes: Array<string | undefined> = [];
	for (let i = 0; i < MAX_RESENDS && !codes.includes('quarantined'); i += 1) {
		const answer = await caller.chat([second!, third!][i % 2]!, {prompt: POISON, stream: true, maxTokens: 8});
		codes.push(errorOf(answer)?.code);
	}

	t.equal(codes.at(-1), 'quarantined', 'the request is refused in the end');
	const crashes = await sum('crashes');
	t.ok(crashes <= MAX_CRASHES, `${crashes} engines crashed, at most ${MAX_CRASHES}`);
	await stopFleet(running);
});
