import t from 'tap';
import {
	Batch, CacheEventLog, createResponse, LaggedValue, parseFaultChange, parseInferenceRequest, PrefixCache, Run,
} from '#standins-engine';

function createRun(id: string, priority: number, maxTokens = 2): Run {
	const request = parseInferenceRequest('text', {model: 'drafting', prompt: 'p'.repeat(40), max_tokens: maxTokens});
	return Run.create({
		request, response: createResponse(request, id), priority, sequence: 0,
	});
}

await t.test('a lagged value is visible after its lag, never earlier', t => {
	const load = LaggedValue.create('none');
	load.record(100, 'a');
	load.record(200, 'b');
	t.same([load.read(150, 100), load.read(200, 100), load.read(299, 100), load.read(300, 100)], ['none', 'a', 'a', 'b']);
	t.end();
});

await t.test('cache events are delayed, and lost ones leave a gap that the reader can count', t => {
	const numbers = [0.9, 0.1, 0.9];
	const log = CacheEventLog.create(() => numbers.shift() ?? 0);
	for (const hash of ['a', 'b', 'c']) {
		log.append(100, {kind: 'stored', prefixHash: hash}, 0.5);
	}

	t.same(log.read(0, 150, 100), {next: 0, events: []});
	const page = log.read(0, 200, 100);
	t.same([page.next, page.events.map(event => event.prefixHash)], [3, ['a', 'c']]);
	t.same(log.read(page.next, 900, 100), {next: 3, events: []});
	t.end();
});

await t.test('the batch stays within its size, runs higher priorities first and respects the prefill budget', t => {
	const started: string[] = [];
	const batch = Batch.create({
		maxRunning: 2, prefillTokensPerStep: 15, onStart(run) {
			started.push(run.response.requestId);
		},
	});
	for (const [id, priority] of [['late', 1], ['a', 5], ['b', 5], ['urgent', 9]] as const) {
		batch.add(createRun(id, priority));
	}

	batch.admit();
	t.same(started, ['urgent', 'a']);
	t.equal(batch.step().generated.length, 1, '10 prompt tokens each: the budget of 15 finishes one prompt');
	t.equal(batch.step().generated.length, 2);
	batch.admit();
	t.same(started, ['urgent', 'a', 'b'], 'the finished run frees a slot for one');
	t.equal(batch.queuedTokens, 22, '12 of the queued run, 10 prompt tokens of the one that just joined');
	t.end();
});

await t.test('the prefix cache is bounded and evicts the longest of the least recently used prefixes', t => {
	const events: string[] = [];
	const cache = PrefixCache.create(3, event => {
		events.push(event.kind);
	});
	t.equal(cache.insert('a'.repeat(128)), 0);
	t.equal(cache.insert('a'.repeat(128)), 32);
	t.equal(cache.insert('b'.repeat(128)), 0);
	t.equal(cache.size, 3);
	t.equal(cache.insert('a'.repeat(128)), 16, 'the short prefix outlives the long one');
	t.equal(events.filter(kind => kind === 'evicted').length, 2);
	t.end();
});

await t.test('unknown faults and out-of-range values are rejected instead of being ignored', t => {
	for (const change of [{crashon: 'x'}, {slowFactor: 0}, {dropCacheEvents: 2}, {refuse: 200}, 3]) {
		t.throws(() => parseFaultChange(change), /faults/u, JSON.stringify(change));
	}

	t.end();
});
