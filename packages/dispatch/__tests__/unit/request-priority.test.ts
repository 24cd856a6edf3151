import t from 'tap';
import {
	queueLimitFor, isLate, maxInFlightFor, effectivePriority, type PriorityInput,
} from '#dispatch';

const input = (changes: Partial<PriorityInput> = {}): PriorityInput => ({
	priority: 1, targetMs: 400, elapsedMs: 0, waitMs: 8022, timeoutMs: 8000, ...changes,
});

const cases: ReadonlyArray<{readonly name: string; readonly input: PriorityInput; readonly late: boolean; readonly urgency: number}> = [
	{
		name: 'fresh', input: input(), late: false, urgency: 1,
	},
	{
		name: 'first try failed fast', input: input({elapsedMs: 200}), late: false, urgency: 1,
	},
	{
		name: 'waited past its target', input: input({elapsedMs: 300}), late: true, urgency: 6,
	},
	{
		name: 'caller came back after a refusal', input: input({waitMs: 5500}), late: true, urgency: 6,
	},
	{
		name: 'caller tells no time', input: input({waitMs: undefined}), late: false, urgency: 1,
	},
];
for (const {name, input, late, urgency} of cases) {
	void t.test(name, t => {
		t.equal(isLate(input), late);
		t.equal(effectivePriority(input), urgency);
		t.end();
	});
}

void t.test('after a stop, late requests leave places to those that can be on time', t => {
	// The load: a backlog of 200 late requests returns to 12 ranks of 8 slots within 2 s, among 38 new ones a second.
	const slots = 8;
	let inFlight = 0;
	let lateSent = 0;
	let freshSent = 0;
	for (let i = 0; i < 276; i += 1) {
		const late = i % 276 < 200;
		if (inFlight < maxInFlightFor(slots * 12, late)) {
			inFlight += 1;
			lateSent += late ? 1 : 0;
			freshSent += late ? 0 : 1;
		}
	}

	t.equal(lateSent, 72, 'three quarters of the slots');
	t.equal(freshSent, 76, 'all new ones');
	t.end();
});

void t.test('the entries together let a quarter of the slots wait', t => {
	t.equal(queueLimitFor(96, 6) * 6, 24);
	t.equal(queueLimitFor(96, 0), 24);
	t.end();
});
