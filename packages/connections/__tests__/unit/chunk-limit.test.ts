/** When a response is given up for its chunks; guards against callers that wait for a response that only costs time, and against refusing ordinary ones. */
import t from 'tap';
import {ChunkLimit} from '../../src/chunk-limit.js';

const cases = [
	{
		name: 'a body of 1 MiB in chunks of 1 KiB', chunkBytes: 1024, chunks: 1024, isGivenUp: false,
	},
	{
		name: 'a body of 8 MiB in chunks of four bytes', chunkBytes: 4, chunks: 2 * 1024 * 1024, isGivenUp: false,
	},
	{
		name: 'a body of 10,000 bytes in chunks of one byte', chunkBytes: 1, chunks: 10_000, isGivenUp: false,
	},
	{
		name: 'a body of 100,000 bytes in chunks of one byte', chunkBytes: 1, chunks: 100_000, isGivenUp: true,
	},
	{
		name: 'a stream of 100,000 events, one byte in a chunk', chunkBytes: 1, chunks: 3_000_000, chunksPerEvent: 30, isGivenUp: false,
	},
	{
		name: 'an event of 100,000 bytes in chunks of one byte', chunkBytes: 1, chunks: 100_000, chunksPerEvent: 100_000, isGivenUp: true,
	},
] as const;

for (const {name, chunkBytes, chunks, isGivenUp, ...events} of cases) {
	void t.test(name, t => {
		const chunksPerEvent = 'chunksPerEvent' in events ? events.chunksPerEvent : Infinity;
		const limit = ChunkLimit.create();
		let taken = 0;
		while (taken < chunks && limit.take(1, chunkBytes)) {
			taken += 1;
			if (taken % chunksPerEvent === 0) {
				limit.reset();
			}
		}

		t.equal(taken < chunks, isGivenUp, `${taken} chunks`);
		t.end();
	});
}
