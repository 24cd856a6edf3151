/** The body of a response holds about its bytes, whatever its chunks; guards against small chunks that fill the heap before their bytes reach a limit. */
import {IncomingMessage} from 'node:http';
import {Socket} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import t from 'tap';
import {BufferBudget, readResponseBody} from '#connections';
import {measureHeldBytes} from '#harness';

const BODY_BYTES = 200_000;

/** Memory for each byte, which grows in pieces. */
const MAX_HELD_PER_BYTE = 2;

/** Difference of two measurements of a process that does nothing. */
const TOLERANCE_BYTES = 1_000_000;

const MIB = 1024 * 1024;

/** Those that hold the least come first: what is left of a case until it is collected would make the next one look small. */
const cases = [
	{name: 'one chunk', chunkBytes: BODY_BYTES},
	{name: 'chunks of ten bytes', chunkBytes: 10},
	{name: 'chunks of one byte', chunkBytes: 1},
] as const;

for (const {name, chunkBytes} of cases) {
	await t.test(`a body without end in ${name}`, async t => {
		const res = new IncomingMessage(new Socket());
		const exchange = {
			abort() {
				t.fail('given up');
			},
			checkIsBroken: async () => false,
		};
		const reading = readResponseBody(exchange, res, {maxBytes: 8 * MIB, buffers: BufferBudget.create()});
		const before = measureHeldBytes();
		for (let bytes = 0; bytes < BODY_BYTES; bytes += chunkBytes) {
			res.push(new Uint8Array(chunkBytes).fill(120));
			if (bytes === 0) {
				await nextTurn();
			}
		}

		await nextTurn();
		const held = measureHeldBytes() - before;
		t.ok(held <= (MAX_HELD_PER_BYTE * BODY_BYTES) + TOLERANCE_BYTES, `${held} bytes are held for ${BODY_BYTES}`);
		res.complete = true;
		res.push(null);
		const body = await reading;
		t.equal(body?.length, BODY_BYTES);
	});
}
