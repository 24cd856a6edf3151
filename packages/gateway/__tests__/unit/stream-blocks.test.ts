/** How many events and comments of streams are read at a time; guards against an entry that has no time for other requests. */
import {Buffer} from 'node:buffer';
import {IncomingMessage, ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import t from 'tap';
import {CallerResponse} from '../../src/caller-response.js';
import {relayStream} from '../../src/stream-relay.js';
import {StreamProgress} from '../../src/stream-progress.js';
import {BufferBudget} from '#connections';
import {ScriptedResponse} from '#harness';

/** Events or comments of one read of the socket, which cannot be interrupted. */
const BLOCKS_PER_READ = 1000;

/** Blocks of all streams that may be read at once, beside one read of each. */
const MAX_BLOCKS = 25_000;

const STREAMS = 10;
const ROUNDS = 100;

/** Relays a stream to a caller that reads everything at once. */
function relay(buffers: BufferBudget): ScriptedResponse {
	const source = ScriptedResponse.create({'transfer-encoding': 'chunked'});
	const res = new ServerResponse(new IncomingMessage(new Socket()));
	res.write = () => true;
	const callerResponse = CallerResponse.create(res, {
		closesAfter: () => false, closeReason: () => undefined, onCut: () => undefined, reset: () => undefined,
	});
	void relayStream({
		res: source.res,
		exchange: {
			isBroken: false, checkIsBroken: async () => false, abort: () => undefined,
		},
		callerResponse,
		head: [],
		progress: StreamProgress.create(undefined),
		isResumable: false,
		silenceMs: undefined,
		signal: new AbortController().signal,
		buffers,
		claim: () => true,
		onSilent: () => undefined,
		onFirstEvent: () => undefined,
		onGap: () => undefined,
		onPaused: () => undefined,
	});
	return source;
}

const cases = [
	{name: 'events', block: 'data: x\n\n'},
	{name: 'comments', block: ': x\n\n'},
	{name: 'blank lines', block: '\n\n'},
] as const;

for (const {name, block} of cases) {
	for (const chunks of [1, 10]) {
		void t.test(`${name}, ${BLOCKS_PER_READ / chunks} in a chunk`, async t => {
			const buffers = BufferBudget.create();
			const sources = Array.from({length: STREAMS}, () => relay(buffers));
			const read = Array.from({length: chunks}, () => Buffer.from(block.repeat(BLOCKS_PER_READ / chunks)));
			let blocks = 0;
			for (let round = 0; round < ROUNDS; round += 1) {
				blocks += BLOCKS_PER_READ * sources.filter(source => source.read(read)).length;
				await nextTurn();
			}

			t.ok(blocks <= MAX_BLOCKS + (STREAMS * BLOCKS_PER_READ), `${blocks} blocks are read`);
		});
	}
}
