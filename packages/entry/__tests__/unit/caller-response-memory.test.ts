/** A buffered response holds about its bytes, whatever the parts in which an endpoint sends it; guards against small parts that fill the heap. */
import {IncomingMessage, ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import t from 'tap';
import {CallerResponse} from '../../src/caller-response.js';
import {measureHeldBytes} from '#harness';

const BODY_BYTES = 200_000;

/** Memory for each byte, which grows in pieces. */
const MAX_HELD_PER_BYTE = 2;

/** Difference of two measurements of a process that does nothing. */
const TOLERANCE_BYTES = 1_000_000;

/** Those that hold the least come first: what is left of a case until it is collected would make the next one look small. */
const cases = [
	{name: 'one part', partBytes: BODY_BYTES},
	{name: 'parts of ten bytes', partBytes: 10},
	{name: 'parts of one byte', partBytes: 1},
] as const;

for (const {name, partBytes} of cases) {
	void t.test(name, t => {
		const res = CallerResponse.create(new ServerResponse(new IncomingMessage(new Socket())), 'q1', {
			onDelivered: () => undefined, closesAfter: () => false, onCutOff: () => undefined,
		});
		res.begin({status: 200, headers: {}});
		const before = measureHeldBytes();
		for (let bytes = 0; bytes < BODY_BYTES; bytes += partBytes) {
			res.write(new Uint8Array(partBytes).fill(120));
		}

		const held = measureHeldBytes() - before;
		t.ok(held <= (MAX_HELD_PER_BYTE * BODY_BYTES) + TOLERANCE_BYTES, `${held} bytes are held for ${BODY_BYTES}`);
		t.equal(res.takeBuffered().body.length, BODY_BYTES);
		t.end();
	});
}
