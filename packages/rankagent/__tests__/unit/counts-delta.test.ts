/** Counters between agents are sent as deltas, and in full after a lost response or a restart. */
import {pack} from 'msgpackr';
import t from 'tap';
import {CountsDecoder, CountsEncoder} from '../../src/counts-delta.js';

const cases: ReadonlyArray<{readonly name: string; readonly readings: ReadonlyArray<{readonly epoch: number; readonly counts: readonly number[]; readonly isLost?: boolean}>}> = [
	{name: 'each response is based on the last one', readings: [{epoch: 1, counts: [5, 0]}, {epoch: 1, counts: [9, 2]}, {epoch: 1, counts: [9, 2]}]},
	{name: 'a response is lost', readings: [{epoch: 1, counts: [5, 0]}, {epoch: 1, counts: [9, 2], isLost: true}, {epoch: 1, counts: [12, 3]}, {epoch: 1, counts: [13, 3]}]},
	{name: 'the rank restarted', readings: [{epoch: 1, counts: [500, 10]}, {epoch: 2, counts: [1, 0]}, {epoch: 2, counts: [4, 0]}]},
];
for (const {name, readings} of cases) {
	void t.test(name, async t => {
		const [encoder, decoder] = [CountsEncoder.create(), CountsDecoder.create()];
		for (const {isLost, ...reading} of readings) {
			const response = encoder.encode(reading, decoder.lastTag);
			if (!isLost) {
				t.same(decoder.decode(response), reading);
			}
		}
	});
}

void t.test('a second requester gets full counters, and so does the first one after it', async t => {
	const encoder = CountsEncoder.create();
	const [first, second] = [CountsDecoder.create(), CountsDecoder.create()];
	for (const [counts, decoder] of [[[1], first], [[2], second], [[3], first], [[4], first]] as const) {
		t.same(decoder.decode(encoder.encode({epoch: 1, counts}, decoder.lastTag)), {epoch: 1, counts});
	}
});

void t.test('a response based on an unknown one is rejected', async t => {
	t.equal(CountsDecoder.create().decode({
		epoch: 1, tag: 7, since: 6, counts: [1],
	}), undefined);
});

void t.test('the deltas of 63 ranks fit into the interval between two plans on a link of 5.6 Mbit/s', async t => {
	const encoder = CountsEncoder.create();
	const counts = Array.from({length: 8 * 252}, (_, i) => 1_000_000 + (i * 37));
	const {tag} = encoder.encode({epoch: 1, counts}, undefined);
	// In 300 ms a rank counts a few dozen tokens for most experts and hundreds for a few.
	const later = encoder.encode({epoch: 1, counts: counts.map((value, i) => value + (i % 10 === 0 ? 700 : 40))}, tag);
	const linkBytesPerMs = 700;
	t.ok(pack(later).length * 62 < linkBytesPerMs * 300, `${pack(later).length} bytes per rank`);
});
