/** Attempts at endpoints whose responses stop at any byte. */
import {Buffer} from 'node:buffer';
import t from 'tap';
import {runAttempt, type AttemptResult} from '../src/attempt.js';
import {response, testDialect} from './gateway-harness.js';
import {BufferBudget, ConnectionPool} from '#connections';
import type {EndpointRecord} from '#dispatch';
import {
	createResponses, CuttingServer, forEachCut, type Cut,
} from '#harness';

const BODY = '{"answer":"whole"}';
/** Attempts until one reaches the cut. */
const MAX_TRIES = 10;
const HEADERS = 'X-Request-Id: q1\r\nX-Signed: s\r\n';

const responses = [
	...createResponses(HEADERS, BODY),
	{name: 'no content', message: `HTTP/1.1 204 No Content\r\n${HEADERS}\r\n`, isUnframed: false},
	{name: 'a failure', message: response('q1', 'failed', '500 Internal Server Error'), isUnframed: false},
	{name: 'a refusal', message: response('q1', 'full', '503 Service Unavailable', 'X-Not-Run: 1\r\n'), isUnframed: false},
];

async function attempt(pool: ConnectionPool, address: string): Promise<AttemptResult> {
	const endpoint: EndpointRecord = {
		id: address, service: 'texts', address, zone: 'a', slots: 4, isLeaving: false, startedAt: 1, revision: 1,
	};
	return runAttempt({
		req: testDialect.readRequest('GET', '/', {host: 'h', 'x-request-id': 'q1'}, []),
		body: Buffer.alloc(0),
		endpoint,
		forwarding: {
			endpointId: 'e1', workspace: undefined, priority: 1, lastEventId: undefined,
		},
		isStream: false,
		mayReuseConnection: true,
		remainingMs: () => 5000,
		silenceMs: undefined,
		maySend: () => true,
		signal: AbortSignal.timeout(5000),
		buffers: BufferBudget.create(),
		onSending: () => undefined,
		onSilent: () => undefined,
		onHead: () => undefined,
		onResponse: () => undefined,
	}, pool, testDialect);
}

async function attemptCut(connection: 'kept' | 'new', message: string, cut: Cut): Promise<{readonly result: AttemptResult; readonly cuts: number}> {
	const stop = new AbortController();
	const server = await CuttingServer.create({replies: connection === 'kept' ? [response('q1', 'first'), message] : [message], cut});
	const pool = ConnectionPool.create(() => performance.now(), stop.signal);
	let result = await attempt(pool, server.address);
	// The first one on a kept connection is not cut, and a connection may fail before it is made.
	for (let tries = 0; server.cuts === 0 && tries < MAX_TRIES; tries += 1) {
		result = await attempt(pool, server.address);
	}

	server.close();
	stop.abort();
	return {result, cuts: server.cuts};
}

/** Registers a test of each kind of response, with a cut at every byte. */
export function testCutResponses(connection: 'kept' | 'new'): void {
	for (const {name, message, isUnframed} of responses) {
		void t.test(`${name}, on a ${connection} connection`, async t => {
			const headEnd = message.lastIndexOf('\r\n\r\n') + 4;
			const wrong: unknown[] = [];
			await forEachCut(message, async cut => {
				const {result, cuts} = await attemptCut(connection, message, cut);
				// Only the caller can judge an unframed body; it must not get another framing.
				const isTrue = result.kind === 'unknown'
					|| (result.kind === 'response' && isUnframed && result.isUnframed && cut.end !== 'rst' && cut.position >= headEnd)
					|| (result.kind === 'not-run' && cut.position >= headEnd);
				if (!isTrue || cuts !== 1) {
					wrong.push({...cut, cuts, result: result.kind});
				}
			});
			t.same(wrong, []);
			if (isUnframed) {
				const {result} = await attemptCut(connection, message, {position: message.length, end: 'fin'});
				t.match(result, {kind: 'response', isUnframed: true}, 'closed after its last byte');
			}
		});
	}
}
