/**
 * Guards against bookings that run twice, are lost without an error, or are reported as not run although they ran.
 * They come about when a process or the platform fails during a booking and the caller sends it again.
 */
import t, {type Test} from 'tap';
import {
	errorOf, waitUntil, type EntryNode, type CallerResponse,
} from '#harness';
import {
	baseRules, readCounts, startFleet, stopFleet, type RunningFleet,
} from '#integration';

type Case = {
	readonly name: string;
	readonly rules?: string;
	/** Sends the booking with idempotency key `k` while faults are injected, and returns all responses to its callers. */
	readonly run: (running: RunningFleet, first: EntryNode, second: EntryNode) => Promise<readonly CallerResponse[]>;
	/** Permitted numbers of runs of the booking. */
	readonly runs: readonly number[];
};

const RULE_WITH_LOOKUP = 'service ledger idempotency=required lookup=/bookings/by-key/{key} # asked by Ruwan: a booking is charged once';

async function sumCounts({fleet}: RunningFleet, name: 'calls' | 'runs'): Promise<number> {
	const counts = await Promise.all(fleet.endpoints.map(async node => readCounts(fleet, node)));
	let sum = 0;
	for (const count of counts) {
		sum += count[name] ?? 0;
	}

	return sum;
}

async function countRuns(running: RunningFleet): Promise<number> {
	return sumCounts(running, 'runs');
}

const cases: readonly Case[] = [
	{
		name: 'sent again through another entry',
		runs: [1],
		run: async ({caller}, first, second) => [await caller.book(first, 'k'), await caller.book(second, 'k')],
	},
	{
		name: 'sent ten times at once through both entries',
		runs: [1],
		run: async ({caller}, first, second) => Promise.all(Array.from({length: 10}, async (_, i) => caller.book(i % 2 === 0 ? first : second, 'k'))),
	},
	{
		name: 'entry killed while the booking runs, then sent again through another entry',
		runs: [1],
		async run(running, first, second) {
			const {fleet, caller} = running;
			await Promise.all(fleet.endpoints.map(async node => fleet.setFaults(node.backendUrl, {delayMs: 1500})));
			const lost = caller.book(first, 'k');
			await waitUntil('the booking has reached a service', async () => await sumCounts(running, 'calls') > 0);
			await first.daemon.kill();
			const resent = await caller.book(second, 'k');
			await waitUntil('the call that was sent has run', async () => await countRuns(running) === 1);
			return [await lost, resent, await caller.book(second, 'k')];
		},
	},
	{
		name: 'service closes the connection after it ran the booking',
		runs: [1],
		async run({fleet, caller}, first, second) {
			await Promise.all(fleet.endpoints.map(async node => fleet.setFaults(node.backendUrl, {dropAfterRun: 1})));
			return [await caller.book(first, 'k'), await caller.book(second, 'k')];
		},
	},
	{
		name: 'endpoint process killed while the booking runs, then sent again',
		// The service may detect the closed connection before it runs the booking, or not at all.
		runs: [0, 1],
		async run(running, first, second) {
			const {fleet, caller} = running;
			await Promise.all(fleet.endpoints.map(async node => fleet.setFaults(node.backendUrl, {delayMs: 1500})));
			const lost = caller.book(first, 'k');
			await waitUntil('a service has the booking', async () => await sumCounts(running, 'calls') > 0);
			await Promise.all(fleet.endpoints.map(async node => node.daemon.kill()));
			await Promise.all(fleet.endpoints.map(async node => fleet.restartEndpoint(node)));
			return [await lost, await caller.book(second, 'k')];
		},
	},
	{
		name: 'the answer to the claim is lost after the write took effect',
		runs: [1],
		async run({fleet, caller}, first, second) {
			await fleet.setFaults(fleet.platformUrl, {loseAnswers: 'after-write', loseCount: 1});
			return [await caller.book(first, 'k'), await caller.book(second, 'k')];
		},
	},
	{
		name: 'platform down, then up again',
		runs: [1],
		async run({fleet, caller}, first, second) {
			await fleet.setFaults(fleet.platformUrl, {down: true});
			const refused = await caller.book(first, 'k');
			await fleet.setFaults(fleet.platformUrl, {down: false});
			let answer = await caller.book(second, 'k');
			await waitUntil('the key can be claimed', async () => {
				answer = await caller.book(second, 'k');
				return answer.status === 201;
			});
			return [refused, answer];
		},
	},
];

/** Checks that the outcomes that callers were told agree with the service's own count. */
function checkOutcomes(t: Test, answers: readonly CallerResponse[], runs: number): void {
	const outcomes = answers.map(answer => (answer.status === 201 ? 'ran' : (answer.status === 0 ? 'lost' : errorOf(answer)?.outcome)));
	t.comment(`outcomes ${outcomes.join(', ')}; runs ${runs}`);
	const successes = answers.filter(answer => answer.status === 201);
	t.ok(successes.length === 0 || runs === 1, 'a booking that was answered ran once');
	t.equal(new Set(successes.map(answer => answer.text)).size, successes.length > 0 ? 1 : 0, 'all callers got the same answer');
	if (outcomes.every(outcome => outcome === 'not-run')) {
		t.equal(runs, 0, 'a booking reported as not run did not run');
	}
}

for (const {name, rules, run, runs: allowed} of cases) {
	await t.test(name, async t => {
		const running = await startFleet({entries: 2, services: [{service: 'ledger'}, {service: 'ledger'}], ...(rules === undefined ? {} : {rules})});
		const [first, second] = running.fleet.entries;
		const answers = await run(running, first!, second!);
		const runs = await countRuns(running);
		t.ok(allowed.includes(runs), `ran ${runs} times, allowed ${allowed.join(' or ')}`);
		checkOutcomes(t, answers, runs);
		await stopFleet(running);
	});
}

await t.test('an unknown outcome is looked up at the service if its rule sets a lookup path', async t => {
	const rules = baseRules().replace(/^service ledger.*$/mu, RULE_WITH_LOOKUP);
	const running = await startFleet({entries: 2, services: [{service: 'ledger'}], rules});
	const {fleet, caller} = running;
	await Promise.all(fleet.endpoints.map(async node => fleet.setFaults(node.backendUrl, {dropAfterRun: 1})));
	const first = await caller.book(fleet.entries[0]!, 'k');
	const again = await caller.book(fleet.entries[1]!, 'k');
	t.equal(first.status, 200, 'the caller is told that its booking ran');
	t.equal(again.status, 200);
	t.equal(await countRuns(running), 1);
	await stopFleet(running);
});

await t.test('an idempotency key that is reused for another booking is refused as not run', async t => {
	const running = await startFleet({entries: 1, services: [{service: 'ledger'}]});
	const {fleet, caller} = running;
	const entry = fleet.entries[0]!;
	await caller.book(entry, 'k', {notice: 'first'});
	const other = await caller.book(entry, 'k', {notice: 'second'});
	t.match(errorOf(other), {code: 'key-reused', outcome: 'not-run'});
	t.equal(await countRuns(running), 1);
	await stopFleet(running);
});
