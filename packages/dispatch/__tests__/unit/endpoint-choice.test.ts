import {Buffer} from 'node:buffer';
import t from 'tap';
import {
	chooseEndpoint, EndpointHealth, EventSplitter, LoadTracker, PEER_LOAD_TTL_MS, type Candidate,
} from '#dispatch';

const candidate = (id: string, changes: Partial<Candidate> = {}): Candidate => ({
	id, slots: 8, maxInFlight: 16, inFlight: 0, failureRatio: 0, isInBackoff: false, ...changes,
});

void t.test('placement', t => {
	const cases: ReadonlyArray<{readonly name: string; readonly candidates: readonly Candidate[]; readonly chosen: string | undefined}> = [
		{name: 'none', candidates: [], chosen: undefined},
		{name: 'the emptiest', candidates: [candidate('a', {inFlight: 3}), candidate('b', {inFlight: 1})], chosen: 'b'},
		{name: 'by share of its slots', candidates: [candidate('a', {inFlight: 3, slots: 8}), candidate('b', {inFlight: 2, slots: 4})], chosen: 'a'},
		{name: 'not one that failed a moment ago', candidates: [candidate('a', {isInBackoff: true}), candidate('b', {inFlight: 7})], chosen: 'b'},
		{name: 'unless there is no other', candidates: [candidate('a', {isInBackoff: true})], chosen: 'a'},
		{name: 'failures that are usual everywhere do not count', candidates: [candidate('a', {failureRatio: 0.25}), candidate('b', {inFlight: 1})], chosen: 'a'},
		{name: 'a failing one counts as full', candidates: [candidate('a', {failureRatio: 0.9}), candidate('b', {inFlight: 6})], chosen: 'b'},
	];
	for (const {name, candidates, chosen} of cases) {
		t.equal(chooseEndpoint(candidates, () => 0)?.id, chosen, name);
	}

	t.end();
});

void t.test('equal endpoints share the load of callers', t => {
	const counts = {a: 0, b: 0};
	let turn = 0;
	const next = () => {
		turn = (turn + 0.618) % 1;
		return turn;
	};

	for (let i = 0; i < 1000; i += 1) {
		const chosen = chooseEndpoint([candidate('a'), candidate('b')], next);
		counts[chosen!.id as 'a' | 'b'] += 1;
	}

	t.ok(Math.abs(counts.a - counts.b) < 100, `${counts.a} and ${counts.b}`);
	t.end();
});

void t.test('an endpoint is avoided longer with each failure in a row, and trusted again after an answer', t => {
	const health = EndpointHealth.create();
	health.record('a', 'broken', 0);
	t.ok(health.isInBackoff('a', 249));
	t.notOk(health.isInBackoff('a', 250));
	health.record('a', 'unreachable', 250);
	t.ok(health.isInBackoff('a', 749));
	for (let i = 0; i < 20; i += 1) {
		health.record('a', 'silent', 1000);
	}

	t.ok(health.isInBackoff('a', 2999));
	t.notOk(health.isInBackoff('a', 3000), 'never longer than the limit');
	health.record('a', 'answered', 3000);
	t.notOk(health.isInBackoff('a', 3000));
	t.end();
});

void t.test('counts of a peer that went silent are dropped', t => {
	const board = LoadTracker.create();
	const leave = board.startRequest('e');
	board.updatePeer('p', {e: 3}, 0);
	t.equal(board.inFlight('e', 100), 4);
	leave();
	leave();
	t.equal(board.inFlight('e', 100), 3, 'a request is counted off once');
	t.equal(board.inFlight('e', PEER_LOAD_TTL_MS + 1), 0);
	t.end();
});

void t.test('events are passed on whole, once, wherever the stream is cut', t => {
	const stream = 'id: 4\ndata: a\n\nid: 5\r\ndata: b\r\n\r\nx-versions: 3\nid: 6\ndata: c\n\nid: 7\nda';
	for (let cut = 0; cut <= stream.length; cut += 1) {
		const splitter = EventSplitter.create(4);
		const parts = [stream.slice(0, cut), stream.slice(cut)].map(text => splitter.push(Buffer.from(text)));
		const text = parts.map(({bytes: whole}) => Buffer.from(whole).toString()).join('');
		t.equal(text, 'id: 5\r\ndata: b\r\n\r\nx-versions: 3\nid: 6\ndata: c\n\n', `cut at ${cut}`);
		t.equal(splitter.lastId, 6);
		t.ok(splitter.pendingBytes > 0);
	}

	t.end();
});
