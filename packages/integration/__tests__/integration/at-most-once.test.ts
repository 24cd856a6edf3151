/** Guards against bookings that run twice, are lost silently, or are called not run though they ran. */
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
	/** Sends the booking with key `k`, with whatever faults, and returns all answers of its callers. */
	readonly run: (running: RunningFleet, first: EntryNode, second: EntryNode) => Promise<readonly CallerResponse[]>;
	/** Times that the booking may have run. */
	readonly runs: readonly number[];
};

const LOOKUP = 'service ledger idempotency=required lookup=/bookings/by-key/{key} # asked by Ruwan: a booking is charged once';

async function sumOf({fleet}: RunningFleet, name: 'calls' | 'runs'): Promise<number> {
	const counts = await Promise.all(fleet.endpoints.map(async node => readCounts(fleet, node)));
	let sum = 0;
	for (const count of counts) {
		sum += count[name] ?? 0;
	}

	return sum;
}

async function booked(running: RunningFleet): Promise<number> {
	return sumOf(running, 'runs');
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
		name: 'entry killed while the booking runs, then sent again',
		runs: [1],
		async run(running, first, second) {
			const {fleet, caller} = running;
			await Promise.all(fleet.endpoints.map(async node => fleet.setFaults(node.backendUrl, {delayMs: 1500})));
			const lost = caller.book(first, 'k');
			await waitUntil('the booking has reached a service', async () => await sumOf(running, 'calls') > 0);
			await first.daemon.kill();
			const resent = await caller.book(second, 'k');
			await waitUntil('the call that was sent has run', async () => await booked(running) === 1);
			return [await lost, resent, await caller.book(second, 'k')];
		},
	},
	{
		name: 'service drops the connection after it ran',
		runs: [1],
		async run({fleet, caller}, first, second) {
			await Promise.all(fleet.endpoints.map(async node => fleet.setFaults(node.backendUrl, {dropAfterRun: 1})));
			return [await caller.book(first, 'k'), await caller.book(second, 'k')];
		},
	},
	{
		name: 'endpoint process killed while the booking runs, then sent again',
		// The service sees its connection break before it ran the booking, or not at all.
		runs: [0, 1],
		async run(running, first, second) {
			const {fleet, caller} = running;
			await Promise.all(fleet.endpoints.map(async node => fleet.setFaults(node.backendUrl, {delayMs: 1500})));
			const lost = caller.book(first, 'k');
			await waitUntil('a service has the booking', async () => await sumOf(running, 'calls') > 0);
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

/** Outcomes must fit what the service counted. */
function check(t: Test, answers: readonly CallerResponse[], runs: number): void {
	const outcomes = answers.map(answer => (answer.status === 201 ? 'ran' : (answer.status === 0 ? 'lost' : errorOf(answer)?.outcome)));
	t.comment(`outcomes ${outcomes.join(', ')}; runs ${runs}`);
	const successes = answers.filter(answer => answer.status === 201);
	t.ok(successes.length === 0 || runs === 1, 'an answer was given for a booking that ran');
	t.equal(new Set(successes.map(answer => answer.text)).size, successes.length > 0 ? 1 : 0, 'all callers got the same outcome');
	if (outcomes.every(outcome => outcome === 'not-run')) {
		t.equal(runs, 0, 'all were told not-run, so it did not run');
	}
}

for (const {name, rules, run, runs: allowed} of cases) {
	await t.test(name, async t => {
		const running = await startFleet({entries: 2, services: [{service: 'ledger'}, {service: 'ledger'}], ...(rules === undefined ? {} : {rules})});
		const [first, second] = running.fleet.entries;
		const answers = await run(running, first!, second!);
		const runs = await booked(running);
		t.ok(allowed.includes(runs), `ran ${runs} times, allowed ${allowed.join(' or ')}`);
		check(t, answers, runs);
		await stopFleet(running);
	});
}

await t.test('a lost outcome is looked up at the service when its rule names a path', async t => {
	const rules = baseRules().replace(/^service ledger.*$/mu, LOOKUP);
	const running = await startFleet({entries: 2, services: [{service: 'ledger'}], rules});
	const {fleet, caller} = running;
	await Promise.all(fleet.endpoints.map(async node => fleet.setFaults(node.backendUrl, {dropAfterRun: 1})));
	const first = await caller.book(fleet.entries[0]!, 'k');
	const again = await caller.book(fleet.entries[1]!, 'k');
	t.equal(first.status, 200, 'the caller learns that its booking ran');
	t.equal(again.status, 200);
	t.equal(await booked(running), 1);
	await stopFleet(running);
});

await t.test('a key that is used again for another booking is refused as not run', async t => {
	const running = await startFleet({entries: 1, services: [{service: 'ledger'}]});
	const {fleet, caller} = running;
	const entry = fleet.entries[0]!;
	await caller.book(entry, 'k', {notice: 'first'});
	const other = await caller.book(entry, 'k', {notice: 'second'});
	t.match(errorOf(other), {code: 'key-reused', outcome: 'not-run'});
	t.equal(await booked(running), 1);
	await stopFleet(running);
});
