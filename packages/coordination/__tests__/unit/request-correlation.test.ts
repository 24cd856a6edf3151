import {Buffer} from 'node:buffer';
import t from 'tap';
import xxhash from 'xxhash-wasm';
import {RequestCorrelation, type ResponseFrame, type FrameResult} from '#coordination';

const {h64ToString} = await xxhash();
const tag = {requestId: 'r', attempt: 1, source: 'x'};
const head = {...tag, kind: 'head'} as const;
const chunk = (offset: number, text: string, attempt = 1): ResponseFrame => ({
	...tag, attempt, kind: 'chunk', offset, bytes: Buffer.from(text),
});
const end = (text: string, attempt = 1): ResponseFrame => ({
	...tag, attempt, kind: 'end', totalBytes: text.length, hash: h64ToString(text),
});

await t.test('frames out of sequence are dropped and counted by reason', async t => {
	const cases: ReadonlyArray<readonly [string, readonly ResponseFrame[], Record<string, unknown>]> = [
		['unknown request', [{...head, requestId: 'other'}], {kind: 'dropped', reason: 'unknown-request'}],
		['earlier attempt', [{...head, attempt: 0}], {kind: 'dropped', reason: 'late-attempt'}],
		['attempt that was not begun', [{...head, attempt: 2}], {kind: 'dropped', reason: 'future-attempt'}],
		['another link', [{...head, source: 'y'}], {kind: 'dropped', reason: 'crossed'}],
		['duplicate head', [head, head], {kind: 'dropped', reason: 'duplicate'}],
		['bytes before the head', [chunk(0, 'ab')], {kind: 'dropped', reason: 'before-head'}],
		['end before the head', [end('')], {kind: 'dropped', reason: 'before-head'}],
		['duplicate chunk', [head, chunk(0, 'ab'), chunk(0, 'ab')], {kind: 'dropped', reason: 'duplicate', expected: 2}],
		['missing chunk', [head, chunk(0, 'ab'), chunk(4, 'ef')], {kind: 'dropped', reason: 'gap', expected: 2}],
		['overlapping chunk', [head, chunk(0, 'ab'), chunk(1, 'bc')], {kind: 'dropped', reason: 'overlap', expected: 2}],
		['frame after a refusal', [{...tag, kind: 'refused'}, head], {kind: 'dropped', reason: 'after-end'}],
		['complete response', [{...tag, kind: 'accepted'}, head, chunk(0, 'ab'), chunk(2, 'c'), end('abc')], {kind: 'complete', totalBytes: 3}],
		['empty response', [head, end('')], {kind: 'complete', totalBytes: 0}],
		['duplicate end', [head, end(''), end('')], {kind: 'dropped', reason: 'after-end'}],
		['matching hash, wrong length', [head, chunk(0, 'abc'), {
			...tag, kind: 'end', totalBytes: 4, hash: h64ToString('abc'),
		}], {kind: 'corrupt'}],
		['truncated response', [head, chunk(0, 'ab'), end('abc')], {kind: 'corrupt', received: 2}],
		['altered response of the same length', [head, chunk(0, 'axc'), end('abc')], {kind: 'corrupt', received: 3}],
	];
	for (const [name, frames, expected] of cases) {
		const requests = await RequestCorrelation.create();
		requests.begin('r', {attempt: 1, source: 'x', mode: 'restart'});
		const results = frames.map(frame => requests.receive(frame));
		t.match(results.at(-1), expected, name);
		const dropped = Object.values(requests.dropCounts).reduce((sum, count) => sum + count, 0);
		t.equal(dropped, 'reason' in expected ? 1 : 0, `${name}: counted`);
	}
});

await t.test('a further attempt continues only the same response', async t => {
	const newHead = {...head, attempt: 2};
	const cases: ReadonlyArray<readonly [string, 'restart' | 'resume', readonly ResponseFrame[], string, FrameResult['kind']]> = [
		['resume', 'resume', [chunk(3, 'de', 2), end('abcde', 2)], 'abcde', 'complete'],
		['restart with the same response', 'restart', [newHead, chunk(0, 'ab', 2), chunk(2, 'cde', 2), end('abcde', 2)], 'abcde', 'complete'],
		['restart with a different response', 'restart', [newHead, chunk(0, 'ab', 2), chunk(2, 'xde', 2)], 'abc', 'diverged'],
		['frames after a difference was found', 'restart', [newHead, chunk(0, 'axcde', 2), end('axcde', 2)], 'abc', 'dropped'],
		['restart with a shorter response', 'restart', [newHead, chunk(0, 'ab', 2), end('ab', 2)], 'abc', 'diverged'],
		['resume of a different response', 'resume', [chunk(3, 'de', 2), end('xyzde', 2)], 'abcde', 'corrupt'],
	];
	for (const [name, mode, frames, text, last] of cases) {
		const requests = await RequestCorrelation.create();
		requests.begin('r', {attempt: 1, source: 'x', mode: 'restart'});
		requests.receive(head);
		requests.receive(chunk(0, 'abc'));
		t.same(requests.delivered('r'), {offset: 3, hash: h64ToString('abc'), resumable: true});
		requests.begin('r', {attempt: 2, source: 'x', mode});
		t.match(requests.receive(chunk(3, 'de')), {reason: 'late-attempt'});
		const results = frames.map(frame => requests.receive(frame));
		const bytes = results.flatMap(result => result.kind === 'bytes' ? [result.bytes] : []);
		t.equal(`abc${Buffer.concat(bytes).toString()}`, text, name);
		t.equal(results.at(-1)?.kind, last, name);
		requests.finish('r');
		t.equal(requests.size, 0);
	}

	const requests = await RequestCorrelation.create();
	requests.begin('r', {attempt: 2, source: 'x', mode: 'restart'});
	t.throws(() => {
		requests.begin('r', {attempt: 2, source: 'x', mode: 'resume'});
	}, /attempt 2 after 2/);
	requests.receive({...head, attempt: 2});
	requests.receive(chunk(0, 'abc', 2));
	requests.begin('r', {attempt: 3, source: 'x', mode: 'restart'});
	t.throws(() => {
		requests.begin('r', {attempt: 4, source: 'x', mode: 'resume'});
	}, /not fully compared/, 'a response that is not fully compared cannot be resumed');
});
