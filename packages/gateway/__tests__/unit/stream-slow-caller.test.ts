/** Streams whose callers read slowly hold about their bytes, and arrive whole; guards against small chunks that fill the heap while callers don't read. */
import {Buffer} from 'node:buffer';
import {setImmediate as nextTurn} from 'node:timers/promises';
import t from 'tap';
import {RelayedStream} from '../relayed-stream.js';
import {BufferBudget} from '#connections';
import {measureHeldBytes} from '#harness';

const EVENT = 'data: x\n\n';

/** What one read of the socket brings after the caller has stopped reading. */
const EVENTS_PER_READ = 1000;

/** Memory for each byte, which grows in pieces. */
const MAX_HELD_PER_BYTE = 2;

/** Difference of two measurements of a process that does nothing. */
const TOLERANCE_BYTES = 1_000_000;

/** Those that hold the least come first: what is left of a case until it is collected would make the next one look small. */
const cases = [
	{name: 'one stream, an event in a chunk', streams: 1, chunkBytes: EVENT.length},
	{name: 'one stream, a byte in a chunk', streams: 1, chunkBytes: 1},
	{name: 'many streams, an event in a chunk', streams: 50, chunkBytes: EVENT.length},
	{name: 'many streams, a byte in a chunk', streams: 50, chunkBytes: 1},
] as const;

for (const {name, streams, chunkBytes} of cases) {
	await t.test(name, async t => {
		const buffers = BufferBudget.create();
		const relayed = Array.from({length: streams}, () => RelayedStream.create(buffers));
		for (const stream of relayed) {
			stream.isReading = false;
			stream.source.read([Buffer.from(EVENT)]);
		}

		await nextTurn();
		const before = measureHeldBytes();
		for (const {source} of relayed) {
			for (let at = 0; at < EVENTS_PER_READ * EVENT.length; at += chunkBytes) {
				const start = at % EVENT.length;
				source.res.push(Uint8Array.from(Buffer.from(EVENT.slice(start, start + chunkBytes))));
			}
		}

		const held = measureHeldBytes() - before;
		const allBytes = streams * EVENTS_PER_READ * EVENT.length;
		t.ok(held <= (MAX_HELD_PER_BYTE * allBytes) + TOLERANCE_BYTES, `${held} bytes are held for ${allBytes}`);
		for (const stream of relayed) {
			stream.source.end();
		}

		await nextTurn();
		for (const stream of relayed) {
			// What was held is written, and the caller stops reading once more.
			stream.drain();
		}

		await nextTurn();
		for (const stream of relayed) {
			stream.isReading = true;
			stream.drain();
		}

		t.match(await Promise.all(relayed.map(async ({result}) => result)), relayed.map(() => ({kind: 'complete'})));
		t.ok(relayed.every(({text}) => text === EVENT.repeat(1 + EVENTS_PER_READ)), 'all events arrive');
	});
}
