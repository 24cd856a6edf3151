/** What an entry still holds of requests that have ended; guards against memory that grows with the number of requests. */
import {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import {queryObjects} from 'node:v8';
import t from 'tap';
import {
	callRaw, chunk, FakeEndpoint, FakeRegistry, response, startGateway, streamHead, testConfig, testRoute, type ReceivedRequest,
} from '../gateway-harness.js';
import {sleep} from '#core';
import {collectGarbage} from '#harness';

/** Rounds of requests after which the objects are counted for the first and for the second time. */
const ROUNDS = {first: 4, second: 10} as const;

/** Requests of a round, which are open at the same time. */
const CONCURRENT_REQUESTS = 10;

/** Time in which all requests of a round reach the endpoint, in ms. */
const ANSWER_MS = 30;

/** Objects that the second requests may leave: those of the last ones are still in use by the engine. */
const MAX_LEFT = 10;

const cases: ReadonlyArray<{readonly name: string; readonly path: string; readonly until: string; readonly script: (socket: Socket, req: ReceivedRequest) => void}> = [
	{
		name: 'answered', path: '/plain', until: 'done', script(socket, {id}) {
			socket.write(response(id, 'done'));
		},
	},
	{
		name: 'streamed', path: '/stream', until: '0\r\n\r\n', script(socket, {id}) {
			socket.write(`${streamHead(id)}${chunk('id: 1\ndata: x\n\n')}0\r\n\r\n`);
		},
	},
	{
		name: 'refused by the endpoint', path: '/plain', until: '\r\n\r\n', script(socket, {id}) {
			socket.write(response(id, '', '503 Service Unavailable', 'X-Not-Run: 1\r\n'));
		},
	},
	{
		name: 'broken off by the endpoint', path: '/plain', until: '\r\n\r\n', script(socket) {
			socket.destroy();
		},
	},
	{
		name: 'left by the caller', path: '/plain', until: '\r\n\r\n', script: () => undefined,
	},
	{
		name: 'for no route', path: '/none', until: '\r\n\r\n', script: () => undefined,
	},
];

for (const {name, path, until, script} of cases) {
	await t.test(`requests that were ${name}`, {timeout: 120_000}, async t => {
		const endpoint = await FakeEndpoint.create(t, 'e1', async (socket, req) => {
			await sleep(ANSWER_MS);
			// The entry has set up all requests of the round, and has not ended them.
			collectGarbage();
			script(socket, req);
		});
		const routes = [testRoute({name: 'plain', pathPrefix: '/plain'}), testRoute({name: 'stream', pathPrefix: '/stream', kind: {kind: 'stream', targetGapMs: 1000, resumable: true}})];
		const {port} = await startGateway(t, FakeRegistry.create(testConfig(routes), [endpoint.record()]));
		const send = async (rounds: number) => {
			for (let round = 0; round < rounds; round += 1) {
				await Promise.all(Array.from({length: CONCURRENT_REQUESTS}, async (_, i) => callRaw(port, `GET ${path} HTTP/1.1\r\nHost: h\r\nX-Request-Id: q${round}-${i}\r\nX-Wait: 500\r\n\r\n`, name === 'left by the caller' ? 60 : 600, until)));
			}

			await sleep(100);
			return {controllers: countObjects(AbortController), messages: countObjects(IncomingMessage)};
		};

		const first = await send(ROUNDS.first);
		const second = await send(ROUNDS.second);
		t.comment(`controllers ${first.controllers}, then ${second.controllers}; messages ${first.messages}, then ${second.messages}`);
		t.ok(second.controllers - first.controllers <= MAX_LEFT, `${second.controllers - first.controllers} more controllers`);
		t.ok(second.messages - first.messages <= MAX_LEFT, `${second.messages - first.messages} more messages`);
	});
}

/** Counts the reachable objects of a class. */
function countObjects(constructor: abstract new (...args: never[]) => unknown): number {
	return Number(queryObjects(constructor, {format: 'count'}));
}
