/** The slack of the retry budget is a bound over all entries that each entry keeps alone. */
import t from 'tap';
import {SlackShare} from '#gateway';

const SLACK = 194;

for (const {entries, spare} of [{entries: 1, spare: 0}, {entries: 6, spare: 2}, {entries: 24, spare: 0}, {entries: 35, spare: 7}, {entries: 340, spare: 40}]) {
	void t.test(`${entries} entries, and ${spare} that join, keep the slack together`, t => {
		const shares = Array.from({length: entries + spare}, () => SlackShare.create());
		for (const share of shares) {
			share.of(SLACK, entries);
		}

		const total = (seen: number) => shares.reduce((sum, share) => sum + share.of(SLACK, seen), 0);
		t.ok(total(entries) <= SLACK, `${total(entries)} of ${SLACK}`);
		t.ok(total(1) <= SLACK, `${total(1)} of ${SLACK} when no entry reaches another`);
		t.end();
	});
}
