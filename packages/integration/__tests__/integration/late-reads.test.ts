/** Guards against requests that an entry ends before their callers' deadline, because it was paused until they arrived. */
import {connect} from 'node:net';
import {text} from 'node:stream/consumers';
import {setTimeout as sleep} from 'node:timers/promises';
import t from 'tap';
import {type EntryNode} from '#harness';
import {CLERK_KEY, startFleet, stopFleet} from '#integration';

const DEADLINE_MS = 5000;

/** Time for which the entry is paused until the requests arrive; the time from then until an endpoint counts as silent fits in the rest. */
const PAUSE_MS = 2500;

/** Time after the requests at which the endpoints go on, if they do so before the deadline. */
const ENDPOINT_PAUSE_MS = 4200;

const calls = [
	{name: 'chat', line: 'POST /v1/chat/completions', body: JSON.stringify({model: 'drafting', max_tokens: 4, messages: [{role: 'user', content: 'x'}]})},
	{
		name: 'stream', line: 'POST /v1/chat/completions', body: JSON.stringify({
			model: 'drafting', max_tokens: 4, stream: true, messages: [{role: 'user', content: 'x'}],
		}),
	},
	{name: 'booking', line: 'POST /services/ledger/bookings', body: '{}'},
] as const;

/** Sends a request; returns its answer and the time until that was complete, in ms. */
async function call(entry: EntryNode, {line, body}: (typeof calls)[number]): Promise<{readonly answer: string; readonly elapsedMs: number}> {
	const socket = connect(Number(new URL(entry.url).port), '127.0.0.1');
	const sentAt = performance.now();
	socket.write([
		`${line} HTTP/1.1`,
		'Host: entry',
		'Connection: close',
		`Authorization: Bearer ${CLERK_KEY}`,
		'Content-Type: application/json',
		`X-Deadline-Ms: ${DEADLINE_MS}`,
		`Idempotency-Key: ${sentAt}`,
		`Content-Length: ${body.length}`,
		`\r\n${body}`,
	].join('\r\n'));
	return {answer: await text(socket), elapsedMs: performance.now() - sentAt};
}

const cases = [
	{
		name: 'endpoints go on before the deadline', endpointPauseMs: ENDPOINT_PAUSE_MS, answer: /^HTTP\/1\.1 20[01] /u, minMs: 0,
	},
	{
		name: 'endpoints go on after the deadline', endpointPauseMs: 2 * DEADLINE_MS, answer: /^HTTP\/1\.1 (504|409) [\s\S]*"code":"(deadline|outcome-unknown)"/u, minMs: DEADLINE_MS,
	},
] as const;

for (const {name, endpointPauseMs, answer: expected, minMs} of cases) {
	void t.test(name, async t => {
		const running = await startFleet({engines: [{}], services: [{service: 'ledger'}]});
		t.teardown(async () => stopFleet(running));
		const {entries: [entry], endpoints} = running.fleet;
		entry!.daemon.signal('SIGSTOP');
		await sleep(PAUSE_MS);
		for (const {daemon} of endpoints) {
			daemon.signal('SIGSTOP');
		}

		const pending = Promise.all(calls.map(async of => call(entry!, of)));
		setTimeout(() => {
			entry!.daemon.signal('SIGCONT');
		}, 50);
		setTimeout(() => {
			for (const {daemon} of endpoints) {
				daemon.signal('SIGCONT');
			}
		}, endpointPauseMs);
		const answers = await pending;
		for (const [i, {answer, elapsedMs}] of answers.entries()) {
			t.match(answer, expected, calls[i]!.name);
			t.ok(elapsedMs >= minMs, `${calls[i]!.name} ended after ${Math.round(elapsedMs)} ms`);
		}
	});
}
