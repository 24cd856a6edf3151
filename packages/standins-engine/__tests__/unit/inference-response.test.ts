import {Buffer} from 'node:buffer';
import t from 'tap';
import fc from 'fast-check';
import {InputError} from '#core';
import {
	createResponse, createRandom, expectedResponseBytes, parseInferenceRequest, prefixHashes, Run, type RunReader,
} from '#standins-engine';

const chat = {model: 'drafting', messages: [{role: 'user', content: 'prepare a notice'}]};

// The checks of resumed streams and of responses rely on the body and the id determining every byte.
const bodies = [
	{name: 'chat', kind: 'chat', body: chat},
	{name: 'streamed chat', kind: 'chat', body: {...chat, stream: true, stream_options: {include_usage: true}}},
	{name: 'text', kind: 'text', body: {model: 'drafting', prompt: ['a', 'b'], max_tokens: 3}},
	{
		name: 'streamed text', kind: 'text', body: {
			model: 'drafting', prompt: 'x', stream: true, max_completion_tokens: 5,
		},
	},
] as const;
await t.test('the same body and id give the same bytes; another id or body gives different ones', t => {
	for (const {name, kind, body} of bodies) {
		const bytes = Buffer.from(expectedResponseBytes(kind, body, 'r1'));
		t.ok(bytes.equals(expectedResponseBytes(kind, structuredClone(body), 'r1')), name);
		t.notOk(bytes.equals(expectedResponseBytes(kind, body, 'r2')), name);
		t.notOk(bytes.equals(expectedResponseBytes(kind, {...body, seed: 4}, 'r1')), name);
		t.equal(bytes.includes('data: [DONE]\n\n'), 'stream' in body, name);
	}

	t.end();
});

await t.test('streamed and unstreamed responses have the same text, of the requested length', t => {
	const responses = [true, false].map(stream => createResponse(parseInferenceRequest('chat', {...chat, stream, max_tokens: 9}), 'r'));
	t.equal(responses[0]?.text, responses[1]?.text);
	t.same(responses.map(response => response.tokens), [9, 9]);
	t.end();
});

await t.test('a body that does not match the schema is rejected with an InputError', t => {
	for (const body of [{}, {model: 'm'}, {...chat, n: 2}, {...chat, max_tokens: 0}, {...chat, messages: []}, null]) {
		t.throws(() => expectedResponseBytes('chat', body, 'r'), InputError, JSON.stringify(body));
	}

	t.end();
});

function collect(): {readonly reader: RunReader; readonly bytes: () => Uint8Array; readonly ends: string[]} {
	const chunks: Uint8Array[] = [];
	const ends: string[] = [];
	return {
		reader: {
			write(bytes) {
				chunks.push(bytes);
			},
			end() {
				ends.push('done');
			},
			abort(state) {
				ends.push(state);
			},
		},
		bytes: () => Buffer.concat(chunks),
		ends,
	};
}

await t.test('a reader that attaches at any offset and any progress receives exactly the remaining bytes', t => {
	const request = parseInferenceRequest('chat', {...chat, stream: true});
	const expected = Buffer.from(expectedResponseBytes('chat', {...chat, stream: true}, 'r'));
	fc.assert(fc.property(fc.nat({max: expected.length}), fc.nat({max: 90}), (offset, progress) => {
		const run = Run.create({
			request, response: createResponse(request, 'r'), priority: 0, sequence: 0,
		});
		const {reader, bytes, ends} = collect();
		for (let step = 0; step < progress && !run.finished; step++) {
			run.generateToken();
		}

		run.attach(offset, reader);
		while (!run.finished) {
			run.generateToken();
		}

		return expected.subarray(offset).equals(bytes()) && ends.join(',') === 'done';
	}), {seed: 7, numRuns: 300});
	t.end();
});

await t.test('the same seed gives the same numbers, all in range', t => {
	const [a, b] = [createRandom(5), createRandom(5)];
	const numbers = Array.from({length: 50}, () => a.next());
	t.same(numbers, Array.from({length: 50}, () => b.next()));
	t.ok(numbers.every(value => value >= 0 && value < 1));
	t.end();
});

await t.test('prompts with a common prefix share the hashes of its whole blocks', t => {
	const [a, b] = [prefixHashes('s'.repeat(130) + 'a'.repeat(70)), prefixHashes('s'.repeat(130) + 'b'.repeat(70))];
	t.same(a.slice(0, 2), b.slice(0, 2));
	t.not(a[2], b[2]);
	t.end();
});
