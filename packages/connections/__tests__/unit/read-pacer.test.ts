/** Which requests are read in a turn of the event loop; guards against turns that grow with the number of callers, and requests that are never read on. */
import {IncomingMessage} from 'node:http';
import {Socket} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import t from 'tap';
import {ReadPacer} from '../../src/read-pacer.js';

const CHUNK_BYTES = 64 * 1024;

function createRequests(count: number): readonly IncomingMessage[] {
	return Array.from({length: count}, () => new IncomingMessage(new Socket()));
}

await t.test('further requests wait for a later turn, and all are read on in their order', async t => {
	const pacer = ReadPacer.create();
	const requests = createRequests(12);
	const resumed: number[] = [];
	const waiting = requests.map((req, i) => pacer.take(req, CHUNK_BYTES, () => {
		resumed.push(i);
	})).flatMap((mayReadOn, i) => mayReadOn ? [] : [i]);
	t.ok(waiting.length > 0 && waiting.length < requests.length, `${waiting.length} wait`);
	for (const _ of requests) {
		await nextTurn();
	}

	t.same(resumed, waiting);
	t.ok(pacer.take(requests[0]!, CHUNK_BYTES, () => undefined), 'a later turn has room again');
});

await t.test('a request that has ended is not read on', async t => {
	const pacer = ReadPacer.create();
	const [first, second] = createRequests(2);
	pacer.take(first!, 10 * CHUNK_BYTES, () => undefined);
	t.notOk(pacer.take(second!, CHUNK_BYTES, () => {
		t.fail('read on');
	}));
	pacer.remove(second!);
	await nextTurn();
	await nextTurn();
});

await t.test('the number of requests that wait is bounded', async t => {
	const pacer = ReadPacer.create();
	const requests = createRequests(100);
	const waiting = requests.filter(req => !pacer.isFullFor(10 * CHUNK_BYTES) && !pacer.take(req, 10 * CHUNK_BYTES, () => undefined));
	t.ok(pacer.isFullFor(10 * CHUNK_BYTES));
	t.ok(waiting.length < requests.length / 4, `${waiting.length} wait`);
	t.notOk(pacer.isFullFor(CHUNK_BYTES), 'a request with few bytes waits in any case');
});

await t.test('chunks without bytes to speak of end a turn too', async t => {
	const pacer = ReadPacer.create();
	const [req] = createRequests(1);
	t.notOk(Array.from({length: 1000}, () => pacer.take(req!, 1, () => undefined)).every(Boolean));
});

const lastCases: ReadonlyArray<{readonly name: string; readonly others: number; readonly bytes: number; readonly isLast: boolean}> = [
	{
		name: 'a large body alone', others: 0, bytes: 10 * CHUNK_BYTES, isLast: false,
	},
	{
		name: 'a large body while others wait', others: 10, bytes: 10 * CHUNK_BYTES, isLast: true,
	},
	{
		name: 'a small body while others wait', others: 10, bytes: CHUNK_BYTES, isLast: false,
	},
];

for (const {name, others, bytes, isLast} of lastCases) {
	void t.test(`whether the connection closes: ${name}`, t => {
		const pacer = ReadPacer.create();
		for (const req of createRequests(others)) {
			pacer.take(req, CHUNK_BYTES, () => undefined);
		}

		t.equal(pacer.closesAfter(bytes), isLast);
		t.end();
	});
}
