/** An incomplete event holds about its bytes, whatever its chunks; guards against small chunks that fill the heap before their bytes reach a limit. */
import t from 'tap';
import {EventSplitter} from '#dispatch';
import {measureHeldBytes} from '#harness';

const EVENT_BYTES = 1_000_000;

/** Memory for each byte, which grows in pieces. */
const MAX_HELD_PER_BYTE = 2;

/** Difference of two measurements of a process that does nothing. */
const TOLERANCE_BYTES = 1_000_000;

const cases = [
	{name: 'chunks of one byte', chunkBytes: 1},
	{name: 'chunks of ten bytes', chunkBytes: 10},
	{name: 'one chunk', chunkBytes: EVENT_BYTES},
] as const;

for (const {name, chunkBytes} of cases) {
	void t.test(`an event without end in ${name}`, t => {
		const splitter = EventSplitter.create();
		const before = measureHeldBytes();
		for (let bytes = 0; bytes < EVENT_BYTES; bytes += chunkBytes) {
			splitter.push(new Uint8Array(chunkBytes).fill(120));
		}

		const held = measureHeldBytes() - before;
		t.equal(splitter.pendingBytes, EVENT_BYTES);
		t.ok(held <= (MAX_HELD_PER_BYTE * EVENT_BYTES) + TOLERANCE_BYTES, `${held} bytes are held for ${EVENT_BYTES}`);
		t.end();
	});
}

void t.test('the rest of a chunk does not hold the events before it', t => {
	const splitter = EventSplitter.create();
	const before = measureHeldBytes();
	pushEvents(splitter);
	const held = measureHeldBytes() - before;
	t.equal(splitter.pendingBytes, 6);
	t.ok(held <= TOLERANCE_BYTES, `${held} bytes are held for 6`);
	t.end();
});

/** Pushes one chunk of many events and the beginning of another. */
function pushEvents(splitter: EventSplitter): void {
	splitter.push(new TextEncoder().encode(`${'data: x\n\n'.repeat(EVENT_BYTES)}data: `));
}
