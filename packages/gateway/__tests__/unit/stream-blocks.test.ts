/** How many events and comments of streams are read at a time; guards against an entry that has no time for other requests. */
import {Buffer} from 'node:buffer';
import {setImmediate as nextTurn} from 'node:timers/promises';
import t from 'tap';
import {RelayedStream} from '../relayed-stream.js';
import {BufferBudget} from '#connections';

/** Events or comments of one read of the socket, which cannot be interrupted. */
const BLOCKS_PER_READ = 1000;

/** Blocks of all streams that may be read at once, beside one read of each. */
const MAX_BLOCKS = 25_000;

const STREAMS = 10;
const ROUNDS = 100;

const cases = [
	{name: 'events', block: 'data: x\n\n'},
	{name: 'comments', block: ': x\n\n'},
	{name: 'blank lines', block: '\n\n'},
] as const;

for (const {name, block} of cases) {
	for (const chunks of [1, 10]) {
		void t.test(`${name}, ${BLOCKS_PER_READ / chunks} in a chunk`, async t => {
			const buffers = BufferBudget.create();
			const sources = Array.from({length: STREAMS}, () => RelayedStream.create(buffers).source);
			const read = Array.from({length: chunks}, () => Buffer.from(block.repeat(BLOCKS_PER_READ / chunks)));
			let blocks = 0;
			for (let round = 0; round < ROUNDS; round += 1) {
				blocks += BLOCKS_PER_READ * sources.filter(source => source.read(read)).length;
				await nextTurn();
			}

			t.ok(blocks <= MAX_BLOCKS + (STREAMS * BLOCKS_PER_READ), `${blocks} blocks are read`);
		});
	}
}
