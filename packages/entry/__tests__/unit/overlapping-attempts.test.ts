/** What follows an attempt that is silent: it goes on, whatever becomes of those beside it. */
import t from 'tap';
import {type CallerResponse} from '../../src/caller-response.js';
import {checkPatience, makeAttempts, type RequestAttempt} from '../../src/overlapping-attempts.js';
import {createDeferred} from '#core';

type End = 'done' | 'denied' | 'refused';

const cases: ReadonlyArray<{
	readonly name: string;
	/** How the attempts after the first one end; `answers`: the first one, which is silent, delivers before it. */
	readonly others: ReadonlyArray<End | 'answers'>;
	readonly winner: number;
}> = [
	{name: 'the retry is denied, then the first answers', others: ['denied', 'answers'], winner: 1},
	{name: 'the retry is denied, then granted and answered', others: ['denied', 'done'], winner: 3},
	{name: 'the retry is refused, then the first answers', others: ['refused', 'denied', 'answers'], winner: 1},
	{name: 'the retry answers', others: ['done'], winner: 2},
];

for (const {name, others, winner} of cases) {
	void t.test(name, async t => {
		const first = createDeferred<void>();
		const attempts: RequestAttempt[] = [];
		const result = await makeAttempts<{readonly end: End; readonly number: number}, number>({
			async attempt(attempt) {
				const number = attempts.push(attempt);
				if (number === 1) {
					attempt.noteSilent({replicaId: 'e1', reason: 'stalled'});
					await first.promise;
					return {end: 'done', number};
				}

				const end = others[number - 2]!;
				if (end === 'answers') {
					t.ok(attempts[0]!.claim());
					t.ok(attempt.signal.aborted, 'the other is not needed any more');
					first.resolve();
					return {end: 'denied', number};
				}

				return {end, number: end === 'done' && attempt.claim() ? number : 0};
			},
			onSilent() {
				// The attempts decide here.
			},
			nextStep({end, number}) {
				return end === 'refused' ? {kind: 'retry', delayMs: 0} : {kind: end === 'done' ? 'end' : 'give-up', result: number};
			},
			callerDisconnected: undefined,
			onLateError(error) {
				t.fail(String(error));
			},
		});
		t.equal(result, winner);
		t.equal(attempts[0]!.signal.aborted, winner !== 1);
	});
}

const MINUTE_MS = 60_000;

/** What ends an attempt that is open; times in ms relative to now. */
const patienceCases: ReadonlyArray<{
	readonly name: string;
	readonly response: Partial<CallerResponse>;
	readonly sendBy: number;
	readonly endAt: number;
	readonly isFinal: boolean | undefined;
}> = [
	{
		name: 'no answer, before the deadline', response: {streaming: false}, sendBy: MINUTE_MS, endAt: MINUTE_MS, isFinal: undefined,
	},
	{
		name: 'no answer, perhaps after the deadline', response: {streaming: false}, sendBy: -1, endAt: MINUTE_MS, isFinal: false,
	},
	{
		name: 'no answer, surely after the deadline', response: {streaming: false}, sendBy: -MINUTE_MS, endAt: -1, isFinal: true,
	},
	{
		name: 'begun stream, after the deadline', response: {streaming: true, progressAt: performance.now()}, sendBy: -MINUTE_MS, endAt: -MINUTE_MS, isFinal: undefined,
	},
	{
		name: 'begun stream, silent for longer than another attempt is made', response: {streaming: true, progressAt: performance.now() - (2 * MINUTE_MS)}, sendBy: -MINUTE_MS, endAt: -MINUTE_MS, isFinal: false,
	},
];

for (const {name, response, sendBy, endAt, isFinal} of patienceCases) {
	void t.test(name, async t => {
		t.equal(checkPatience({sendBy: Date.now() + sendBy, endAt: performance.now() + endAt}, response as CallerResponse)?.isFinal, isFinal);
	});
}
