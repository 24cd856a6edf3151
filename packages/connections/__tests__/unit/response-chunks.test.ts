/** How many small chunks of responses are read at a time; guards against an entry that has no time for other requests. */
import {Buffer} from 'node:buffer';
import {IncomingMessage} from 'node:http';
import {Socket} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import t, {type Test} from 'tap';
import {BufferBudget, readResponseBody} from '#connections';

/** Chunks of one read of the socket, which cannot be interrupted. */
const CHUNKS_PER_READ = 1000;

/** Chunks of all responses that may be read at once, beside one read of each. */
const MAX_CHUNKS = 25_000;

const MIB = 1024 * 1024;

/** An exchange whose response is read until it is given up. */
class OpenResponse {
	static create(buffers: BufferBudget): OpenResponse {
		return new OpenResponse(buffers);
	}

	readonly socket = new Socket();
	readonly res = new IncomingMessage(this.socket);
	readonly body: Promise<Uint8Array | undefined>;
	isGivenUp = false;

	private constructor(buffers: BufferBudget) {
		this.body = readResponseBody({
			abort: () => {
				this.isGivenUp = true;
			},
			checkIsBroken: async () => false,
		}, this.res, {maxBytes: 8 * MIB, buffers});
		// As the socket of a connection does.
		this.socket.resume();
	}

	/** Reads once from the socket, unless that is paused. Returns the number of chunks that were read. */
	read(chunkBytes: number): number {
		if (this.socket.isPaused() || this.isGivenUp) {
			return 0;
		}

		for (let i = 0; i < CHUNKS_PER_READ; i += 1) {
			this.res.push(new Uint8Array(chunkBytes));
		}

		return CHUNKS_PER_READ;
	}

	end(): void {
		this.res.complete = true;
		this.res.push(null);
	}
}

async function readRounds(responses: readonly OpenResponse[], {rounds, chunkBytes}: {readonly rounds: number; readonly chunkBytes: number}): Promise<number> {
	let chunks = 0;
	for (let round = 0; round < rounds; round += 1) {
		for (const response of responses) {
			chunks += response.read(chunkBytes);
		}

		await nextTurn();
	}

	return chunks;
}

const floods = [
	{name: 'one response', count: 1},
	{name: 'many responses', count: 30},
] as const;

for (const {name, count} of floods) {
	await t.test(`small chunks of ${name} are not read on without an end`, async t => {
		const buffers = BufferBudget.create();
		const responses = Array.from({length: count}, () => OpenResponse.create(buffers));
		const chunks = await readRounds(responses, {rounds: 100, chunkBytes: 10});
		t.ok(chunks <= MAX_CHUNKS + (count * CHUNKS_PER_READ), `${chunks} chunks are read`);
		await checkOrdinary(t, buffers);
	});
}

await t.test('responses that are paused are read on in turn, and are whole', async t => {
	const buffers = BufferBudget.create();
	const responses = Array.from({length: 30}, () => OpenResponse.create(buffers));
	await readRounds(responses, {rounds: 30, chunkBytes: 10});
	const paused = responses.filter(({socket}) => socket.isPaused());
	t.ok(paused.length > 0, `${paused.length} are paused`);
	for (const _ of paused) {
		buffers.sweep();
	}

	t.same(paused.filter(({socket}) => socket.isPaused()), []);
	for (const response of responses) {
		response.end();
	}

	const bodies = await Promise.all(responses.map(async ({body}) => body));
	t.ok(bodies.every(body => body !== undefined && body.length > 0));
});

await t.test('the connection of a response that ends while it is paused is read on', async t => {
	const buffers = BufferBudget.create();
	const response = OpenResponse.create(buffers);
	await readRounds([response], {rounds: 30, chunkBytes: 10});
	t.ok(response.socket.isPaused());
	response.end();
	t.not(await response.body, undefined);
	t.notOk(response.socket.isPaused());
});

/** Checks that a response of ordinary size is read at once. */
async function checkOrdinary(t: Test, buffers: BufferBudget): Promise<void> {
	const {res, body, socket} = OpenResponse.create(buffers);
	res.push(Buffer.from('done'));
	res.complete = true;
	res.push(null);
	t.equal(Buffer.from(await body ?? []).toString(), 'done');
	t.notOk(socket.isPaused());
}
