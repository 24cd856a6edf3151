/** Each promise: what the ledger must report, and what it must let pass. */
import t from 'tap';
import {
	Ledger, readEvents, type Attempt, type AttemptOutcome, type CallerKey,
} from '#soak';

const REVOKE_MS = 5000;

type Step
	= | {readonly do: 'receive' | 'run'; readonly id?: string; readonly workspace?: string}
		| {readonly do: 'end'; readonly outcome: AttemptOutcome}
		| {readonly do: 'revoke'}
		| {readonly do: 'wait'; readonly ms: number};

const answer = (status: number, body = 'answer to r1', isSigned = true): Step => ({
	do: 'end', outcome: {
		kind: 'answer', status, body, isSigned,
	},
});
const stream = (ids: readonly number[], isComplete: boolean): Step => ({do: 'end', outcome: {kind: 'stream', events: ids.map(id => ({id, data: `r1-${id}`})), isComplete}});
const receive: Step = {do: 'receive'};
const run: Step = {do: 'run'};

const cases: ReadonlyArray<{readonly name: string; readonly kind: Attempt['kind']; readonly steps: readonly Step[]; readonly violation?: RegExp}> = [
	{name: 'a booking runs once', kind: 'at-most-once', steps: [receive, run, answer(200)]},
	{
		name: 'a booking runs twice', kind: 'at-most-once', steps: [receive, run, receive, run], violation: /ran at i-1 and i-1/u,
	},
	{name: 'a read runs twice', kind: 'idempotent', steps: [receive, run, receive, run, answer(200)]},
	{
		name: 'a read goes to three back ends', kind: 'idempotent', steps: [receive, receive, receive], violation: /sent to 3 back ends/u,
	},
	{name: 'a booking is refused and never runs', kind: 'at-most-once', steps: [answer(503)]},
	{
		name: 'a booking is refused after it ran', kind: 'at-most-once', steps: [receive, run, answer(503)], violation: /answered 503 and had run/u,
	},
	{
		name: 'a booking is refused and runs later', kind: 'at-most-once', steps: [answer(429), receive, run], violation: /answered 429 and ran later/u,
	},
	{name: 'a booking with an unknown outcome ran', kind: 'at-most-once', steps: [receive, run, answer(502)]},
	{
		name: 'an answer belongs to another request', kind: 'idempotent', steps: [receive, run, answer(200, 'answer to r2')], violation: /was answered with "answer to r2"/u,
	},
	{
		name: 'an answer has no signature', kind: 'idempotent', steps: [receive, run, answer(200, 'answer to r1', false)], violation: /signed: false/u,
	},
	{name: 'a stream breaks off', kind: 'stream', steps: [receive, run, stream([1, 2], false)]},
	{name: 'a stream is whole', kind: 'stream', steps: [receive, run, stream([1, 2, 3], true)]},
	{
		name: 'a stream lacks its end', kind: 'stream', steps: [receive, run, stream([1, 2], true)], violation: /ended in order after 2 of 3/u,
	},
	{
		name: 'a stream repeats an event', kind: 'stream', steps: [receive, run, stream([1, 2, 2], false)], violation: /as event 3/u,
	},
	{
		name: 'a stream skips an event', kind: 'stream', steps: [receive, run, stream([1, 3], false)], violation: /as event 2/u,
	},
	{
		name: 'nothing comes', kind: 'idempotent', steps: [{do: 'end', outcome: {kind: 'hung'}}], violation: /no answer/u,
	},
	{
		name: 'a request runs for another workspace', kind: 'idempotent', steps: [{do: 'run', workspace: 'w2'}], violation: /of w1 ran for w2/u,
	},
	{name: 'a key is taken away a moment ago', kind: 'idempotent', steps: [{do: 'revoke'}, {do: 'wait', ms: REVOKE_MS - 1}, run]},
	{
		name: 'a key is long dead', kind: 'idempotent', steps: [{do: 'revoke'}, {do: 'wait', ms: REVOKE_MS + 1}, run], violation: /after its key was taken away/u,
	},
	{
		name: 'a good key is denied', kind: 'idempotent', steps: [answer(401)], violation: /denied with 401/u,
	},
	{name: 'a dead key is denied', kind: 'idempotent', steps: [{do: 'revoke'}, answer(401)]},
	{
		name: 'a back end gets what nobody sent', kind: 'idempotent', steps: [{do: 'receive', id: 'r9'}], violation: /which no caller sent/u,
	},
];

for (const {name, kind, steps, violation} of cases) {
	void t.test(name, async t => {
		let now = 0;
		const key: CallerKey = {key: 'k', workspace: 'w1', revokedAt: undefined};
		const ledger = Ledger.create({bounds: {revokeMs: REVOKE_MS, maxAttempts: 2, retry: {fraction: 0.2, slack: 10, windowMs: 10_000}}, now: () => now});
		ledger.sent({
			id: 'r1', kind, entry: 'entry-1', key, waitMs: 1000, events: 3, sentAt: now,
		});
		for (const step of steps) {
			switch (step.do) {
				case 'receive': {
					ledger.received(step.id ?? 'r1');
					break;
				}

				case 'run': {
					ledger.ran({
						requestId: 'r1', backEnd: 'i-1', workspace: step.workspace ?? 'w1', path: '/',
					});
					break;
				}

				case 'end': {
					ledger.ended('r1', step.outcome);
					break;
				}

				case 'revoke': {
					key.revokedAt = now;
					break;
				}

				case 'wait': {
					now += step.ms;
				}
			}
		}

		t.equal(ledger.violations.length, violation === undefined ? 0 : 1, ledger.violations.join('; '));
		t.match(ledger.violations[0], violation);
	});
}

void t.test('repeats beyond the budget', async t => {
	const ledger = Ledger.create({bounds: {revokeMs: REVOKE_MS, maxAttempts: 2, retry: {fraction: 0.2, slack: 2, windowMs: 10_000}}, now: () => 0});
	for (let i = 0; i < 10; i += 1) {
		ledger.sent({
			id: `r${i}`, kind: 'idempotent', entry: 'entry-1', key: {key: 'k', workspace: 'w1', revokedAt: undefined}, waitMs: 1000, events: 3, sentAt: 0,
		});
		ledger.received(`r${i}`);
	}

	for (let i = 0; i < 4; i += 1) {
		ledger.received(`r${i}`);
	}

	t.same(ledger.violations, []);
	ledger.received('r4');
	t.match(ledger.violations, [/5 repeats for 10 requests/u]);
});

void t.test('events of a stream, without one that has not ended', async t => {
	t.same(readEvents('id: 1\ndata: a-1\n\nid: 2\ndata: a-2\n\nid: 3\nda'), [{id: 1, data: 'a-1'}, {id: 2, data: 'a-2'}]);
});
