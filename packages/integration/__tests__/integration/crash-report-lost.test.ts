/** Guards against a crash that is not counted because the entry that forwarded the request was killed before it reported the crash. */
import t from 'tap';
import {errorOf, waitUntil} from '#harness';
import {readCounts, startFleet, stopFleet} from '#integration';

const ENGINES = 6;
const CRASH_PROMPT = 'charge diagnosis that crashes';
const MAX_CRASHES = 3;
const MAX_RESENDS = 6;

/** Time that the engines hold the request, so that its entry can be paused before they crash. */
const STALL_MS = 3000;

await t.test('the entry that forwarded the crashing request is paused, then killed', async t => {
	const running = await startFleet({entries: 3, engines: Array.from({length: ENGINES}, () => ({}))});
	const {fleet, caller} = running;
	const sumCounts = async (name: 'crashes' | 'requests'): Promise<number> => {
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

	await Promise.all(fleet.endpoints.map(async node => fleet.setFaults(node.backendUrl, {crashOn: CRASH_PROMPT, stallMs: STALL_MS})));
	const [forwardingEntry, second, third] = fleet.entries;
	const lost = caller.chat(forwardingEntry!, {prompt: CRASH_PROMPT, stream: true, maxTokens: 8});
	await waitUntil('an engine has the request', async () => await sumCounts('requests') > 0);
	forwardingEntry!.daemon.signal('SIGSTOP');
	await waitUntil('the engine crashed', async () => await sumCounts('crashes') > 0);
	await forwardingEntry!.daemon.kill();
	await fleet.unregister(forwardingEntry!.id);
	await lost;
	const codes: Array<string | undefined> = [];
	for (let i = 0; i < MAX_RESENDS && !codes.includes('quarantined'); i += 1) {
		const answer = await caller.chat([second!, third!][i % 2]!, {prompt: CRASH_PROMPT, stream: true, maxTokens: 8});
		codes.push(errorOf(answer)?.code);
	}

	t.equal(codes.at(-1), 'quarantined', 'the last attempt is refused as quarantined');
	const crashes = await sumCounts('crashes');
	t.ok(crashes <= MAX_CRASHES, `${crashes} engines crashed, at most ${MAX_CRASHES}`);
	await stopFleet(running);
});
