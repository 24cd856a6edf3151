/** Guards against answers whose connection ends without a line that says who ended it, and against bytes that cut a begun answer. */
import {connect} from 'node:net';
import t from 'tap';
import {waitUntil} from '#harness';
import {CLERK_KEY, startFleet, stopFleet} from '#integration';

/** At 20 ms per step, a stream that is open when the caller does something else. */
const BODY = JSON.stringify({
	model: 'drafting', max_tokens: 100, stream: true, messages: [{role: 'user', content: 'x'}],
});

const CALL = `POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer ${CLERK_KEY}\r\nContent-Type: application/json\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}`;

const cases = [
	{
		name: 'the caller leaves', act: 'leave', isWhole: false, line: 'caller left',
	},
	{
		name: 'the caller ends its sending side', act: 'end', isWhole: false, line: 'caller left',
	},
	{
		name: 'bytes follow that are no request', act: 'write', isWhole: true, line: 'input skipped',
	},
] as const;

void t.test('a stream during which', async t => {
	const running = await startFleet({engines: [{args: ['--step-ms', '20']}]});
	const {fleet} = running;
	t.teardown(async () => stopFleet(running));
	const entry = fleet.entries[0]!;
	for (const {name, act, isWhole, line} of cases) {
		const socket = connect(Number(new URL(entry.url).port), '127.0.0.1');
		let text = '';
		let isClosed = false;
		socket.on('error', () => undefined).on('data', data => {
			text += data.toString('latin1');
		}).on('close', () => {
			isClosed = true;
		});
		socket.write(CALL);
		await waitUntil('the stream has begun', async () => text.includes('data: '));
		if (act === 'leave') {
			socket.destroy();
		} else if (act === 'end') {
			socket.end();
		} else {
			socket.write('no request\r\n\r\n');
		}

		await waitUntil('the connection is closed', async () => isClosed);
		t.equal(text.includes('data: [DONE]'), isWhole, `${name}: ${text.slice(-200)}`);
		await waitUntil(`${name}: ${line}`, async () => entry.daemon.output.filter(output => output.includes(line)).length > (act === 'end' ? 1 : 0));
	}
});
