import t from 'tap';
import {refreshAgeMs} from '#dispatch';

/** The shortest time in which a change must be in force, and the longest between two exchanges of entries, in ms. */
const [IN_FORCE_MS, EXCHANGE_MS] = [2000, 200];

const cases = [
	{asked: 0, before: undefined},
	{asked: 1, before: 0},
	{asked: 2, before: 1},
	{asked: 3, before: 2},
] as const;
for (const {asked, before} of cases) {
	void t.test(`an entry that asks ${asked} others`, async t => {
		const at = refreshAgeMs(asked);
		t.ok(at + EXCHANGE_MS < IN_FORCE_MS, 'learns of a change in time, and those that ask it too');
		t.ok(before === undefined || at > refreshAgeMs(before) + EXCHANGE_MS, 'lets the one before it read first');
	});
}

void t.test('beyond a few entries all wait equally long', async t => {
	t.equal(refreshAgeMs(300), refreshAgeMs(3));
});
