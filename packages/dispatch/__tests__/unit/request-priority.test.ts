import t from 'tap';
import {
	queueLimitFor, isLate, maxInFlightFor, effectivePriority, type PriorityInput,
} from '#dispatch';

const input = (changes: Partial<PriorityInput> = {}): PriorityInput => ({
	priority: 1, targetMs: 400, elapsedMs: 0, waitMs: 8022, timeoutMs: 8000, ...changes,
});

const cases: ReadonlyArray<{readonly name: string; readonly input: PriorityInput; readonly late: boolean; readonly priority: number}> = [
	{
		name: 'new request', input: input(), late: false, priority: 1,
	},
	{
		name: 'first attempt failed quickly', input: input({elapsedMs: 200}), late: false, priority: 1,
	},
	{
		name: 'waited until its target can no longer be met', input: input({elapsedMs: 300}), late: true, priority: 6,
	},
	{
		name: 'caller retried after a refusal', input: input({waitMs: 5500}), late: true, priority: 6,
	},
	{
		name: 'caller with a shorter deadline of its own', input: input({waitMs: 7100}), late: false, priority: 1,
	},
	{
		name: 'no wait time given', input: input({waitMs: undefined}), late: false, priority: 1,
	},
];
for (const {name, input, late, priority} of cases) {
	void t.test(name, t => {
		t.equal(isLate(input), late);
		t.equal(effectivePriority(input), priority);
		t.end();
	});
}

void t.test('after an outage, late requests leave capacity to those that can meet their target', t => {
	// The load: 200 late requests are retried within 2 s at 12 ranks of 8 slots each, among 38 new requests a second.
	const slots = 8;
	let inFlight = 0;
	let lateSent = 0;
	let newSent = 0;
	for (let i = 0; i < 276; i += 1) {
		const late = i % 276 < 200;
		if (inFlight < maxInFlightFor(slots * 12, late)) {
			inFlight += 1;
			lateSent += late ? 1 : 0;
			newSent += late ? 0 : 1;
		}
	}

	t.equal(lateSent, 72, 'three quarters of the slots');
	t.equal(newSent, 76, 'all new requests');
	t.end();
});

void t.test('all entries together queue requests for a quarter of the slots', t => {
	t.equal(queueLimitFor(96, 6) * 6, 24);
	t.equal(queueLimitFor(96, 0), 24);
	t.end();
});
