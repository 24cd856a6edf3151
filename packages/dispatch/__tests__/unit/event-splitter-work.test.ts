/** The bytes that are copied grow with the length of an event, not with its square; guards against an event in small chunks that blocks the event loop. */
import {Buffer} from 'node:buffer';
import t from 'tap';
import {EventSplitter} from '#dispatch';
import {countCopiedBytes} from '#harness';

const EVENT_BYTES = 20_000;

/** Copies of each byte that are permitted: when it is held, when the event is joined, and when it is forwarded. */
const MAX_COPIES = 4;

const cases = [
	{name: 'chunks of one byte', sizes: [1]},
	{name: 'chunks of two bytes', sizes: [2]},
	{name: 'one byte after each larger chunk', sizes: [100, 1]},
	{name: 'larger chunks', sizes: [1000]},
] as const;

for (const {name, sizes} of cases) {
	void t.test(`one long event in ${name}`, t => {
		const event = Buffer.from(`id: 1\ndata: ${'x'.repeat(EVENT_BYTES)}\n\n`);
		const chunks: Uint8Array[] = [];
		for (let at = 0; at < event.length; at += chunks.at(-1)!.length) {
			chunks.push(event.subarray(at, at + sizes[chunks.length % sizes.length]!));
		}

		const copied = countCopiedBytes();
		t.teardown(copied.stop);
		const splitter = EventSplitter.create();
		const results = chunks.map(chunk => splitter.push(chunk));
		t.same(results.filter(({count}) => count > 0).map(({bytes}) => Buffer.from(bytes).toString()), [event.toString()]);
		t.ok(copied.bytes <= MAX_COPIES * event.length, `${copied.bytes} bytes are copied for ${event.length}`);
		t.end();
	});
}
