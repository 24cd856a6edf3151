/** The bodies of responses hold about their bytes, whatever their chunks; guards against small chunks that fill the heap before their bytes reach a limit. */
import {setImmediate as nextTurn} from 'node:timers/promises';
import t from 'tap';
import {BufferBudget, readResponseBody} from '#connections';
import {measureHeldBytes, ScriptedResponse} from '#harness';

/** Memory for each byte, which grows in pieces. */
const MAX_HELD_PER_BYTE = 2;

/** Difference of two measurements of a process that does nothing. */
const TOLERANCE_BYTES = 1_000_000;

const MIB = 1024 * 1024;

/** Those that hold the least come first: what is left of a case until it is collected would make the next one look small. */
const cases = [
	{
		name: 'one chunk', responses: 1, chunkBytes: 200_000, bodyBytes: 200_000,
	},
	{
		name: 'chunks of ten bytes', responses: 1, chunkBytes: 10, bodyBytes: 200_000,
	},
	{
		name: 'chunks of one byte', responses: 20, chunkBytes: 1, bodyBytes: 10_000,
	},
] as const;

for (const {name, responses, chunkBytes, bodyBytes} of cases) {
	await t.test(`bodies without end in ${name}`, async t => {
		const exchange = {
			abort() {
				t.fail('given up');
			},
			checkIsBroken: async () => false,
		};
		const buffers = BufferBudget.create();
		const sources = Array.from({length: responses}, () => ScriptedResponse.create());
		const reading = sources.map(async ({res}) => readResponseBody(exchange, res, {maxBytes: 8 * MIB, buffers}));
		await nextTurn();
		const before = measureHeldBytes();
		for (const {res} of sources) {
			for (let bytes = 0; bytes < bodyBytes; bytes += chunkBytes) {
				res.push(new Uint8Array(chunkBytes).fill(120));
			}
		}

		await nextTurn();
		const held = measureHeldBytes() - before;
		const allBytes = responses * bodyBytes;
		t.ok(held <= (MAX_HELD_PER_BYTE * allBytes) + TOLERANCE_BYTES, `${held} bytes are held for ${allBytes}`);
		for (const source of sources) {
			source.end();
		}

		const bodies = await Promise.all(reading);
		t.same(bodies.map(body => body.kind === 'complete' ? body.body.length : 0), sources.map(() => bodyBytes));
	});
}
