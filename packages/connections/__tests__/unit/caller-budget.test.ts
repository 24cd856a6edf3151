/** A crowd of callers against one budget; guards against memory that grows with the crowd, and against refusals of ordinary callers. */
import t from 'tap';
import {
	CallerBudget, callerBudgetBytes, FREE_BYTES_PER_REQUEST, type CallerShare, type ReadRefusal,
} from '../../src/caller-budget.js';
import {SWEEP_INTERVAL_MS} from '../../src/chunk-pacer.js';

const KIB = 1024;
const MIB = 1024 * KIB;
const LIMITS = {stallMs: 18_000, framingBytes: 16 * KIB};

/** A caller that sends a part of its body at each sweep. */
type Caller = {bodyBytes: number; framingBytes: number; held: number; refusal: ReadRefusal | undefined; isPaused: boolean; readonly share: CallerShare};

function createCaller(budget: CallerBudget, now: number, headBytes = 0): Caller {
	const caller: Caller = {
		bodyBytes: 0, framingBytes: 0, held: 0, refusal: undefined, isPaused: false, share: budget.open({
			headBytes,
			bodyBytes: () => caller.bodyBytes,
			receivedBytes: () => caller.bodyBytes + caller.framingBytes,
			onRefused(reason) {
				caller.refusal = reason;
			},
			onResumed() {
				caller.isPaused = false;
			},
		}, now),
	};
	return caller;
}

function send(caller: Caller, bytes: number, now: number): void {
	if (caller.refusal === undefined) {
		caller.bodyBytes += bytes;
		caller.share.resize(caller.bodyBytes, now);
	}
}

void t.test('the budget follows the memory of the machine', t => {
	for (const {memoryMb, budgetMb} of [{memoryMb: 64, budgetMb: 16}, {memoryMb: 250, budgetMb: 19}, {memoryMb: 974, budgetMb: 200}, {memoryMb: 64_000, budgetMb: 512}]) {
		t.equal(callerBudgetBytes(memoryMb * MIB), budgetMb * MIB, `${memoryMb} MB`);
	}

	t.equal(callerBudgetBytes(), callerBudgetBytes(250 * MIB), 'a machine that is not known counts as the smallest');
	t.end();
});

void t.test('callers that stop are refused before those that send on', t => {
	const budget = CallerBudget.create(16 * MIB);
	const stopped = Array.from({length: 100}, () => createCaller(budget, 0));
	for (const caller of stopped) {
		send(caller, 4 * MIB, 0);
		t.ok(budget.usedBytes <= 16 * MIB);
	}

	let now = 0;
	const active = createCaller(budget, now);
	const small = Array.from({length: 1000}, () => createCaller(budget, now));
	for (let i = 0; i < 16; i += 1) {
		now += SWEEP_INTERVAL_MS;
		send(active, MIB / 4, now);
		for (const caller of small) {
			send(caller, FREE_BYTES_PER_REQUEST / 16, now);
		}

		budget.sweep(LIMITS, now);
		t.ok(budget.usedBytes <= 16 * MIB);
	}

	t.equal(active.refusal, undefined);
	t.equal(active.bodyBytes, 4 * MIB);
	t.same(small.filter(({refusal}) => refusal !== undefined), []);
	t.ok(stopped.every(({refusal}) => refusal === undefined || refusal === 'body-budget'));
	for (const {share} of [...stopped, active, ...small]) {
		share.release();
	}

	t.equal(budget.usedBytes, 0);
	t.equal(budget.readingRequests, 0);
	t.end();
});

void t.test('a request alone is served, and one that was read is not refused', t => {
	const budget = CallerBudget.create(MIB);
	const first = createCaller(budget, 0);
	send(first, 4 * MIB, 0);
	t.equal(first.refusal, undefined);
	first.share.settle();
	const second = createCaller(budget, 0, 16 * KIB);
	send(second, 0, 0);
	t.equal(first.refusal, undefined);
	t.equal(second.refusal, 'body-budget', 'a large head counts too');
	first.share.release();
	const third = createCaller(budget, 0);
	send(third, 4 * MIB, 0);
	t.equal(third.refusal, undefined);
	t.end();
});

const timeCases: ReadonlyArray<{readonly name: string; readonly bytesAt: (ms: number) => number; readonly framingBytes?: number; readonly refusal: ReadRefusal | undefined}> = [
	{name: 'a pause of the idle timeout', bytesAt: ms => ms === 0 || ms === 15_000 ? 100 : 0, refusal: undefined},
	{name: 'a longer pause', bytesAt: ms => ms === 0 || ms === 19_000 ? 100 : 0, refusal: 'body-timeout'},
	{name: 'a byte now and then', bytesAt: ms => ms % 10_000 === 0 ? 1 : 0, refusal: 'body-timeout'},
	{
		name: 'trailers without end', bytesAt: ms => ms === 0 ? 1 : 0, framingBytes: 17 * KIB, refusal: 'body-framing',
	},
	{
		name: 'chunks of one byte', bytesAt: ms => ms < 20_000 ? 10 * KIB : 0, framingBytes: 50 * KIB, refusal: undefined,
	},
];

for (const {name, bytesAt, framingBytes = 0, refusal} of timeCases) {
	void t.test(name, t => {
		const budget = CallerBudget.create(16 * MIB);
		const caller = createCaller(budget, 0);
		const endMs = refusal === undefined ? 20_000 : 60_000;
		for (let now = 0; now <= endMs; now += SWEEP_INTERVAL_MS) {
			send(caller, bytesAt(now), now);
			caller.framingBytes += bytesAt(now) > 0 ? framingBytes : 0;
			budget.sweep(LIMITS, now);
		}

		t.equal(caller.refusal, refusal);
		t.end();
	});
}

void t.test('a pause of the process does not make a body look stalled', t => {
	const budget = CallerBudget.create(16 * MIB);
	const caller = createCaller(budget, 0);
	budget.sweep(LIMITS, 0);
	budget.sweep(LIMITS, 600_000);
	t.equal(caller.refusal, undefined);
	t.end();
});

void t.test('many small chunks are paused, but not those of a request alone, and all are read on', t => {
	const budget = CallerBudget.create(16 * MIB);
	const alone = createCaller(budget, 0);
	t.ok(Array.from({length: 100_000}, () => alone.share.takeChunk()).every(Boolean));
	alone.share.release();
	const crowd = Array.from({length: 20}, () => createCaller(budget, 0));
	const ordinary = createCaller(budget, 0);
	for (const caller of crowd) {
		for (let i = 0; i < 10_000; i += 1) {
			caller.isPaused = !caller.share.takeChunk() || caller.isPaused;
		}
	}

	t.ok(crowd.filter(({isPaused}) => isPaused).length >= crowd.length - 2);
	t.ok(Array.from({length: 100}, () => ordinary.share.takeChunk()).every(Boolean), 'a request with few chunks is read on');
	for (let i = 1; i <= crowd.length; i += 1) {
		budget.sweep(LIMITS, i * SWEEP_INTERVAL_MS);
	}

	t.same(crowd.filter(({isPaused, refusal}) => isPaused || refusal !== undefined), []);
	t.end();
});
