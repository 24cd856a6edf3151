/** Counters between agents: changes only, and whole again after anything that was lost. */
import {pack} from 'msgpackr';
import t from 'tap';
import {CountsReceiver, CountsSender} from '../../src/count-changes.js';

const cases: ReadonlyArray<{readonly name: string; readonly readings: ReadonlyArray<{readonly epoch: number; readonly counts: readonly number[]; readonly isLost?: boolean}>}> = [
	{name: 'each answer follows on the last', readings: [{epoch: 1, counts: [5, 0]}, {epoch: 1, counts: [9, 2]}, {epoch: 1, counts: [9, 2]}]},
	{name: 'an answer is lost', readings: [{epoch: 1, counts: [5, 0]}, {epoch: 1, counts: [9, 2], isLost: true}, {epoch: 1, counts: [12, 3]}, {epoch: 1, counts: [13, 3]}]},
	{name: 'the rank started again', readings: [{epoch: 1, counts: [500, 10]}, {epoch: 2, counts: [1, 0]}, {epoch: 2, counts: [4, 0]}]},
];
for (const {name, readings} of cases) {
	void t.test(name, async t => {
		const [sender, receiver] = [CountsSender.create(), CountsReceiver.create()];
		for (const {isLost, ...reading} of readings) {
			const answer = sender.answer(reading, receiver.since);
			if (!isLost) {
				t.same(receiver.take(answer), reading);
			}
		}
	});
}

void t.test('a second asker gets whole counters, and the first again after it', async t => {
	const sender = CountsSender.create();
	const [first, second] = [CountsReceiver.create(), CountsReceiver.create()];
	for (const [counts, asker] of [[[1], first], [[2], second], [[3], first], [[4], first]] as const) {
		t.same(asker.take(sender.answer({epoch: 1, counts}, asker.since)), {epoch: 1, counts});
	}
});

void t.test('an answer that follows on another is not taken', async t => {
	t.equal(CountsReceiver.create().take({
		epoch: 1, tag: 7, since: 6, counts: [1],
	}), undefined);
});

void t.test('counters of 63 ranks in the time of a turn on a link of 5.6 Mbit/s', async t => {
	const sender = CountsSender.create();
	const counts = Array.from({length: 8 * 252}, (_, i) => 1_000_000 + (i * 37));
	const {tag} = sender.answer({epoch: 1, counts}, undefined);
	// In 300 ms a rank counts some dozen tokens for most experts and hundreds for a few.
	const later = sender.answer({epoch: 1, counts: counts.map((value, i) => value + (i % 10 === 0 ? 700 : 40))}, tag);
	const linkBytesPerMs = 700;
	t.ok(pack(later).length * 62 < linkBytesPerMs * 300, `${pack(later).length} bytes a rank`);
});
