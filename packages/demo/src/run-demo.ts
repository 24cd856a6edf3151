/**
 * Demo: starts the stand-ins, two entries and three endpoints as separate processes,
 * sends drafting requests and a booking, prints the results and stops.
 */
import process from 'node:process';
import {request} from 'undici';
import {
	hashKey, TestFleet, waitUntil, type EntryNode,
} from '#harness';

const WORKSPACE_KEY = 'demo-key-of-the-clerks';

const RULES = `# Rules of the demo
model drafting versions=1 # asked by Nadeesha: the drafting model
workspace clerks key-sha256=${hashKey(WORKSPACE_KEY)} priority=5 # asked by Nadeesha: the clerks' desk
service ledger idempotency=required lookup=/bookings/by-key/{key} # asked by Ruwan: a booking is charged once
`;

function printLine(text: string): void {
	process.stdout.write(`${text}\n`);
}

async function send(entry: EntryNode, path: string, body: unknown, headers: Readonly<Record<string, string>> = {}) {
	const res = await request(`${entry.url}${path}`, {
		method: 'POST', headers: {'content-type': 'application/json', authorization: `Bearer ${WORKSPACE_KEY}`, ...headers}, body: JSON.stringify(body),
	});
	return {status: res.statusCode, text: await res.body.text(), requestId: String(res.headers['x-request-id'])};
}

async function isReady(entry: EntryNode): Promise<boolean> {
	const res = await request(`${entry.url}/readyz`);
	await res.body.dump();
	return res.statusCode === 200;
}

async function isServing(entry: EntryNode): Promise<boolean> {
	const {status} = await send(entry, '/v1/chat/completions', {model: 'drafting', max_tokens: 1, messages: [{role: 'user', content: 'ready?'}]});
	return status === 200;
}

async function runRequests(fleet: TestFleet): Promise<void> {
	const [first, second] = fleet.entries;
	if (first === undefined || second === undefined) {
		throw new Error('the demo needs two entries');
	}

	const chat = {model: 'drafting', max_tokens: 12, messages: [{role: 'user', content: 'Draft a notice: temple fair on Saturday at the Galle junction.'}]};
	const complete = await send(first, '/v1/chat/completions', chat);
	printLine(`whole answer through ${first.id}: ${complete.status}, ${complete.text.length} bytes, request ${complete.requestId}`);
	const streamed = await send(second, '/v1/chat/completions', {...chat, stream: true});
	const events = streamed.text.split('\n\n').filter(part => part.startsWith('data: ')).length;
	printLine(`streamed answer through ${second.id}: ${streamed.status}, ${events} events, ends with ${streamed.text.trim().split('\n').at(-1) ?? ''}`);

	const booking = {notice: 'temple fair', reading: 'Saturday 10:00', price: 1200};
	const idempotencyHeaders = {'idempotency-key': 'booking-0001'};
	const bookingResponse = await send(first, '/services/ledger/bookings', booking, idempotencyHeaders);
	printLine(`booking through ${first.id}: ${bookingResponse.status} ${bookingResponse.text}`);
	const repeated = await send(second, '/services/ledger/bookings', booking, idempotencyHeaders);
	printLine(`the same booking again through ${second.id}: ${repeated.status} ${repeated.text}`);
	const ledger = fleet.endpoints.find(({instance}) => instance.kind === 'service');
	printLine(`runs counted by the ledger: ${JSON.stringify(await fleet.readJson(`${ledger?.backendUrl ?? ''}/counts`))}`);
	const unauthorized = await request(`${first.url}/v1/models`, {headers: {authorization: 'Bearer no-such-key'}});
	printLine(`a wrong key: ${unauthorized.statusCode} ${await unauthorized.body.text()}`);
}

const fleet = await TestFleet.create();
try {
	printLine('starting: platform, 2 engines, 1 ledger, 3 endpoint processes, 2 entries');
	await fleet.putRules(1, RULES);
	await Promise.all([fleet.addEntry({zone: 'colombo-a'}), fleet.addEntry({zone: 'gampaha-b'})]);
	await fleet.addEngine({zone: 'colombo-a', args: ['--step-ms', '20']});
	await fleet.addEngine({zone: 'gampaha-b', args: ['--step-ms', '20']});
	await fleet.addService({zone: 'kalutara-c', service: 'ledger'});
	for (const entry of fleet.entries) {
		await waitUntil(`${entry.id} is ready`, async () => isReady(entry));
		await waitUntil(`${entry.id} reaches an engine`, async () => isServing(entry));
	}

	await runRequests(fleet);
	const codes = await fleet.stop();
	printLine(`stopped; exit codes of the daemons: ${codes.join(' ')}`);
	process.exitCode = codes.every(code => code === 0) ? 0 : 1;
} catch (error) {
	for (const child of fleet.children) {
		printLine(`--- ${child.name}\n${child.output.slice(-15).join('\n')}`);
	}

	await fleet.destroy();
	throw error;
}
