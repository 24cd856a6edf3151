/** Guards against answers that are lost as the endpoint process that has sent them stops, while the entry has not read them. */
import {setTimeout as sleep} from 'node:timers/promises';
import t from 'tap';
import {type Caller, type CallerResponse, type EntryNode} from '#harness';
import {startFleet, stopFleet} from '#integration';

/** Times after the calls, in ms: the answers end while the entry is paused. */
const STOP_AT_MS = 1500;
const PAUSE_AT_MS = 2000;
const RESUME_AT_MS = 6500;

/** Time that a booking takes, in ms; a stream of the service takes 4 s. */
const BOOKING_MS = 3500;

/** Tokens of a model's answer, at 20 ms per step. */
const TOKENS = 175;

type Call = {
	readonly name: string;
	readonly send: (caller: Caller, entry: EntryNode) => Promise<CallerResponse>;
	readonly end: RegExp;
};

const calls: readonly Call[] = [
	{name: 'stream of a service', end: /data: 80\n\n$/u, send: async (caller, entry) => caller.send(entry, {method: 'GET', path: '/services/ledger/bookings/events'})},
	{name: 'booking', end: /"state":"booked"/u, send: async (caller, entry) => caller.book(entry, 'k')},
	{name: 'stream of a model', end: /data: \[DONE\]\n\n$/u, send: async (caller, entry) => caller.chat(entry, {prompt: 'x', stream: true, maxTokens: TOKENS})},
	{name: 'chat', end: /"usage"/u, send: async (caller, entry) => caller.chat(entry, {prompt: 'x', maxTokens: TOKENS})},
];

void t.test('endpoint processes that stop while the entry is paused', async t => {
	const running = await startFleet({engines: [{args: ['--step-ms', '20']}], services: [{service: 'ledger'}]});
	t.teardown(async () => stopFleet(running));
	const {fleet, caller} = running;
	const entry = fleet.entries[0]!;
	const service = fleet.endpoints.find(({instance}) => instance.kind === 'service')!;
	await fleet.setFaults(service.backendUrl, {delayMs: BOOKING_MS});
	const pending = Promise.all(calls.map(async ({send}) => send(caller, entry)));
	await sleep(STOP_AT_MS);
	for (const {daemon} of fleet.endpoints) {
		daemon.signal('SIGTERM');
	}

	await sleep(PAUSE_AT_MS - STOP_AT_MS);
	entry.daemon.signal('SIGSTOP');
	await sleep(RESUME_AT_MS - PAUSE_AT_MS);
	entry.daemon.signal('SIGCONT');
	const answers = await pending;
	for (const [i, {name, end}] of calls.entries()) {
		t.match(answers[i]!.text.slice(-200), end, name);
		t.notOk(answers[i]!.isIncomplete, `${name} is complete`);
	}
});
