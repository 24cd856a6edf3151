import t from 'tap';
import {refreshAgeMs} from '#dispatch';

/** The shortest time within which a change must take effect, and the longest time between two exchanges of entries, in ms. */
const [PROPAGATION_MS, EXCHANGE_MS] = [2000, 200];

const cases = [
	{polledPeers: 0, precedingPeers: undefined},
	{polledPeers: 1, precedingPeers: 0},
	{polledPeers: 2, precedingPeers: 1},
	{polledPeers: 3, precedingPeers: 2},
] as const;
for (const {polledPeers, precedingPeers} of cases) {
	void t.test(`an entry that polls ${polledPeers} others`, async t => {
		const ageMs = refreshAgeMs(polledPeers);
		t.ok(ageMs + EXCHANGE_MS < PROPAGATION_MS, 'reads a change early enough for itself and for the entries that poll it');
		t.ok(precedingPeers === undefined || ageMs > refreshAgeMs(precedingPeers) + EXCHANGE_MS, 'gives the preceding entry time to read first');
	});
}

void t.test('the delay is limited', async t => {
	t.equal(refreshAgeMs(300), refreshAgeMs(3));
});
