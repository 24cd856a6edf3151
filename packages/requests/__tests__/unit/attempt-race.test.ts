/** Attempts of one request that overlap: one winner, and what comes of the others is dropped. */
import {getEventListeners} from 'node:events';
import t from 'tap';
import {AttemptRace, type RacingAttempt} from '../../src/attempt-race.js';
import {sleep} from '#core';
import {collectGarbage} from '#harness';

type Pending = {readonly attempt: RacingAttempt<string>; readonly settle: (end: string) => void; readonly fail: (error: unknown) => void};

function createRace(timeoutMs = 10_000) {
	const [caller, stop] = [new AbortController(), new AbortController()];
	const lateErrors: unknown[] = [];
	const race = AttemptRace.create<string, string>({
		callerDisconnected: caller.signal, requestsEnded: stop.signal, timeoutMs, onLateError(error) {
			lateErrors.push(error);
		},
	});
	const start = () => {
		let pending: Pending | undefined;
		race.start(async attempt => new Promise((resolve, reject) => {
			pending = {attempt, settle: resolve, fail: reject};
		}));
		return pending!;
	};

	return {
		race, start, caller, stop, lateErrors,
	};
}

void t.test('the attempt that claims the caller aborts the others before it goes on; theirs is dropped', async t => {
	const {race, start, lateErrors} = createRace();
	const [first, second, third] = [start(), start(), start()];
	first.attempt.noteSilent('e1');
	first.attempt.noteSilent('e1');
	t.same(await race.next(), {kind: 'silent', source: 'e1'});
	t.ok(second.attempt.claim());
	t.same([first, second, third].map(({attempt}) => attempt.signal.aborted), [true, false, true]);
	t.notOk(first.attempt.claim());
	first.settle('lost');
	third.fail(new Error('late'));
	second.settle('won');
	t.same(await race.next(), {kind: 'ended', end: 'won'});
	t.notOk(race.isAnyOpen);
	t.equal(lateErrors.length, 1);
	race.close();
});

void t.test('a silent attempt that claims the caller is active again', async t => {
	const {race, start} = createRace();
	const {attempt} = start();
	attempt.noteSilent('e1');
	t.notOk(race.isAnyActive);
	t.ok(attempt.claim());
	t.ok(race.isAnyActive);
	race.close();
	t.notOk(attempt.claim());
});

for (const stop of ['caller-left', 'stopping', 'deadline'] as const) {
	void t.test(`all attempts are aborted, and nothing follows: ${stop}`, async t => {
		const setup = createRace(stop === 'deadline' ? 10 : 10_000);
		const {attempt, settle} = setup.start();
		if (stop !== 'deadline') {
			(stop === 'caller-left' ? setup.caller : setup.stop).abort();
		}

		t.same(await setup.race.next(), {kind: 'stopped', stop});
		t.equal(attempt.signal.reason, stop);
		t.notOk(attempt.claim());
		settle('ended');
		t.notOk(setup.race.isAnyOpen);
		setup.race.close();
	});
}

/** Ways in which races end. */
const ends = ['closed', 'caller-left', 'stopping', 'deadline'] as const;

const RACES = 3;

for (const end of ends) {
	void t.test(`signals keep no listener of races that have ended, with a garbage collection before: ${end}`, async t => {
		const [caller, answers, stop] = [new AbortController(), new AbortController(), new AbortController()];
		const races = Array.from({length: RACES}, () => AttemptRace.create<string, string>({
			callerDisconnected: caller.signal, answersDue: answers.signal, requestsEnded: stop.signal, timeoutMs: end === 'deadline' ? 10 : 10_000, onLateError: () => undefined,
		}));
		// Whatever a WeakRef refers to is kept until the end of the job that created it.
		await sleep(1);
		collectGarbage();
		switch (end) {
			case 'closed': {
				for (const race of races) {
					race.close();
				}

				break;
			}

			case 'caller-left': {
				caller.abort();
				break;
			}

			case 'stopping': {
				stop.abort();
				break;
			}

			case 'deadline': {
				await Promise.all(races.map(async race => race.next()));
				break;
			}
		}

		t.same([caller, answers, stop].map(({signal}) => getEventListeners(signal, 'abort').length), [0, 0, 0]);
	});
}
