/** Endpoints that one request reaches, and the requests that all endpoints get beyond the first of each, however an attempt fails. */
import t from 'tap';
import {
	callRaw, chunk, FakeEndpoint, FakeRegistry, response, startGateway, streamHead, testConfig, testRoute, type ReceivedRequest, type Script,
} from '../gateway-harness.js';
import {worstExcess} from '../retry-rule.js';
import type {Route} from '#dispatch';

const ENDPOINTS = 6;
const REQUESTS = 30;
const rule = {fraction: 0.2, windowMs: 10_000, slack: 100};

/** Share of the slack that one entry may use. */
const ENTRY_SLACK = 4;

const lookup: Route['kind'] = {kind: 'idempotent'};
const order: Route['kind'] = {kind: 'at-most-once'};
const stream: Route['kind'] = {kind: 'stream', resumable: true, targetGapMs: undefined};

const reset: Script = socket => socket.resetAndDestroy();
const refuse: Script = (socket, {id}) => socket.write(response(id, '', '503 Full', 'X-Not-Run: 1\r\n'));
const misdirect: Script = (socket, {id}) => socket.write(response(id, '', '421 Misdirected Request'));
const fail: Script = (socket, {id}) => socket.write(response(id, 'no', '500 Internal Server Error'));
const truncate: Script = (socket, {id}) => socket.end(response(id, 'long body').slice(0, -3));
const unsigned: Script = (socket, {id}) => socket.write(response(id, 'ok', '200 OK', ''));
const spoil: Script = socket => socket.end('no response\r\n\r\n');
const breakStream: Script = (socket, {id, headers}) => {
	const next = Number(headers.get('x-last-event') ?? 0) + 1;
	socket.end(`${streamHead(id)}${chunk(`id: ${next}\ndata: a\n\n`)}`);
};

const cases: ReadonlyArray<{readonly name: string; readonly kind: Route['kind']; readonly script: Script; readonly maxRuns: 'one' | 'attempts'}> = [
	{
		name: 'a reset after the request', kind: lookup, script: reset, maxRuns: 'attempts',
	},
	{
		name: 'a reset of a request that may run once', kind: order, script: reset, maxRuns: 'one',
	},
	{
		name: 'a refusal', kind: lookup, script: refuse, maxRuns: 'attempts',
	},
	{
		name: 'a refusal of a request that may run once', kind: order, script: refuse, maxRuns: 'attempts',
	},
	{
		name: 'an address of another endpoint', kind: lookup, script: misdirect, maxRuns: 'attempts',
	},
	{
		name: 'a failure', kind: lookup, script: fail, maxRuns: 'attempts',
	},
	{
		name: 'a truncated response', kind: lookup, script: truncate, maxRuns: 'attempts',
	},
	{
		name: 'an unsigned response', kind: lookup, script: unsigned, maxRuns: 'attempts',
	},
	{
		name: 'bytes that are no response', kind: lookup, script: spoil, maxRuns: 'attempts',
	},
	{
		name: 'a stream that breaks after each event', kind: stream, script: breakStream, maxRuns: 'attempts',
	},
	{
		name: 'a stream that is reset', kind: stream, script: reset, maxRuns: 'attempts',
	},
];

t.jobs = 3;
for (const {name, kind, script, maxRuns} of cases) {
	for (const maxAttempts of [1, 3]) {
		void t.test(`${name}, at most ${maxAttempts} attempts`, {buffered: true}, async t => {
			const arrivals: Array<ReceivedRequest & {readonly at: number}> = [];
			let isFailing = false;
			const endpoints = await Promise.all(Array.from({length: ENDPOINTS}, async (_, i) => FakeEndpoint.create(t, `e${i}`, (socket, req) => {
				arrivals.push({...req, at: performance.now()});
				return isFailing ? script(socket, req) : socket.write(kind.kind === 'stream' ? `${streamHead(req.id)}${chunk('id: 1\ndata: a\n\n')}${chunk('')}` : response(req.id, 'ok'));
			})));
			const {port} = await startGateway(t, FakeRegistry.create(testConfig([testRoute({kind, maxAttempts})]), endpoints.map(endpoint => endpoint.record())));
			const requests: number[] = [];
			const sendAll = async () => Promise.all(Array.from({length: REQUESTS}, async () => {
				const id = `q${requests.push(performance.now())}`;
				return callRaw(port, `POST /${id} HTTP/1.1\r\nHost: h\r\nX-Request-Id: ${id}\r\nContent-Length: 0\r\n\r\n`, 2500, '\r\n\r\n');
			}));

			// Served requests leave idle connections, on which the failing ones are sent where that is allowed.
			await sendAll();
			isFailing = true;
			await sendAll();

			const countOf = new Map<string, number>();
			const repeats: number[] = [];
			for (const {id, at} of arrivals) {
				const count = (countOf.get(id) ?? 0) + 1;
				countOf.set(id, count);
				if (count > 1) {
					repeats.push(at);
				}
			}

			const most = Math.max(...countOf.values());
			t.ok(most <= (maxRuns === 'one' ? 1 : maxAttempts), `${most} arrivals of one request`);
			t.ok(repeats.length <= Math.max(ENTRY_SLACK, rule.fraction * requests.length), `${repeats.length} repeats of ${requests.length} requests`);
			t.ok(worstExcess({requests, repeats}, rule) <= 0, 'the bound of all entries is kept');
			t.ok(maxAttempts === 1 || maxRuns === 'one' || repeats.length > 0, 'retries are made');
		});
	}
}
