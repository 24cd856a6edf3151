/** How many small chunks of responses are read at a time; guards against an entry that has no time for other requests. */
import {Buffer} from 'node:buffer';
import {setImmediate as nextTurn} from 'node:timers/promises';
import t, {type Test} from 'tap';
import {BufferBudget, readResponseBody, type ResponseBody} from '#connections';
import {ScriptedResponse} from '#harness';

/** Chunks of one read of the socket, which cannot be interrupted. */
const CHUNKS_PER_READ = 1000;

/** Chunks of all responses that may be read at once, beside one read of each. */
const MAX_CHUNKS = 25_000;

const MIB = 1024 * 1024;

/** A response whose body is read until it is given up. */
class ReadResponse {
	static create(buffers: BufferBudget): ReadResponse {
		return new ReadResponse(buffers);
	}

	readonly source = ScriptedResponse.create();
	readonly body: Promise<ResponseBody>;
	isGivenUp = false;

	private constructor(buffers: BufferBudget) {
		this.body = readResponseBody({
			abort: () => {
				this.isGivenUp = true;
			},
			checkIsBroken: async () => false,
		}, this.source.res, {maxBytes: 8 * MIB, buffers});
	}

	get isPaused(): boolean {
		return this.source.socket.isPaused();
	}

	/** Reads once from the socket. Returns the number of chunks. */
	read(): number {
		const chunks = Array.from({length: CHUNKS_PER_READ}, () => new Uint8Array(10));
		return !this.isGivenUp && this.source.read(chunks) ? CHUNKS_PER_READ : 0;
	}
}

/** Reads from all responses by turns. Returns the number of chunks. */
async function readRounds(responses: readonly ReadResponse[], rounds: number): Promise<number> {
	let chunks = 0;
	for (let round = 0; round < rounds; round += 1) {
		for (const response of responses) {
			chunks += response.read();
		}

		await nextTurn();
	}

	return chunks;
}

/** Checks that a response of ordinary size is read at once. */
async function checkOrdinary(t: Test, buffers: BufferBudget): Promise<void> {
	const {source, body} = ReadResponse.create(buffers);
	source.read([Buffer.from('done')]);
	source.end();
	t.match(await body, {kind: 'complete', body: Buffer.from('done')});
	t.notOk(source.socket.isPaused());
}

const floods = [
	{name: 'one response', count: 1},
	{name: 'many responses', count: 30},
] as const;

for (const {name, count} of floods) {
	await t.test(`small chunks of ${name} are not read on without an end`, async t => {
		const buffers = BufferBudget.create();
		const responses = Array.from({length: count}, () => ReadResponse.create(buffers));
		const chunks = await readRounds(responses, 100);
		t.ok(chunks <= MAX_CHUNKS + (count * CHUNKS_PER_READ), `${chunks} chunks are read`);
		await checkOrdinary(t, buffers);
	});
}

await t.test('responses that are paused are read on in turn, and are whole', async t => {
	const buffers = BufferBudget.create();
	const responses = Array.from({length: 30}, () => ReadResponse.create(buffers));
	await readRounds(responses, 30);
	const paused = responses.filter(({isPaused}) => isPaused);
	t.ok(paused.length > 0, `${paused.length} are paused`);
	for (const _ of paused) {
		buffers.sweep();
	}

	t.same(paused.filter(({isPaused}) => isPaused), []);
	for (const {source} of responses) {
		source.end();
	}

	const bodies = await Promise.all(responses.map(async ({body}) => body));
	t.ok(bodies.every(body => body.kind === 'complete' && body.body.length > 0));
});

await t.test('the connection of a response that ends while it is paused is read on', async t => {
	const buffers = BufferBudget.create();
	const response = ReadResponse.create(buffers);
	await readRounds([response], 30);
	t.ok(response.isPaused);
	response.source.end();
	t.match(await response.body, {kind: 'complete'});
	t.notOk(response.isPaused);
});
