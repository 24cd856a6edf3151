/**
 * Answers that belong to another request: a refusal that a faulty endpoint writes once more on a kept connection, and text in a
 * stream that is no event of it. A caller must neither be told that a request did not run that did, nor find such text in its stream.
 */
import type {Socket} from 'node:net';
import t from 'tap';
import {
	callRaw, chunk, FakeEndpoint, FakeRegistry, response, startGateway, streamHead, testConfig, testRoute, type Script,
} from '../gateway-harness.js';
import type {RouteKind} from '#dispatch';

const resumable: RouteKind = {kind: 'stream', resumable: true, targetGapMs: undefined};
const notResumable: RouteKind = {kind: 'stream', resumable: false, targetGapMs: undefined};

const refusal = (headers: string) => `HTTP/1.1 503 Service Unavailable\r\n${headers}X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n`;

const refusalCases: ReadonlyArray<{readonly name: string; readonly kind: RouteKind; readonly headers: string}> = [
	{name: 'without an id, idempotent', kind: {kind: 'idempotent'}, headers: ''},
	{name: 'with the id of another request, idempotent', kind: {kind: 'idempotent'}, headers: 'X-Request-Id: q1\r\n'},
	{name: 'without an id, stream', kind: resumable, headers: ''},
];

for (const {name, kind, headers} of refusalCases) {
	await t.test(`a refusal once more on a kept connection: ${name}`, async t => {
		const complete = (id: string) => kind.kind === 'stream' ? `${streamHead(id)}${chunk('id: 1\ndata: a\n\n')}${chunk('')}` : response(id, 'whole');
		const sockets = new Set<Socket>();
		const endpoint = await FakeEndpoint.create(t, 'e1', (socket, {id}) => {
			sockets.add(socket);
			// The endpoint runs the second request, but a copy of an earlier refusal takes the place of its answer.
			socket.write(id === 'q1' ? complete(id) : refusal(headers));
		});
		const {port} = await startGateway(t, FakeRegistry.create(testConfig([testRoute({kind})]), [endpoint.record()]));
		const call = async (id: string, until: string) => callRaw(port, `POST / HTTP/1.1\r\nHost: h\r\nX-Request-Id: ${id}\r\nContent-Length: 0\r\n\r\n`, 800, until);
		await call('q1', kind.kind === 'stream' ? '0\r\n\r\n' : 'whole');
		const {text} = await call('q2', 'unknown-outcome\n');
		t.equal(sockets.size, 1, 'the connection was kept');
		t.equal(endpoint.received.length, 2);
		t.match(text, /^HTTP\/1\.1 502 /u, 'the caller is not told that the request did not run');
	});
}

const event = (id: number) => `id: ${id}\ndata: ${id}\n\n`;

/** What the first endpoint sends after the head of its stream. `needsIds`: only a stream whose events need ids shows that it is not its own. */
const streamCases: ReadonlyArray<{readonly name: string; readonly body: string; readonly needsIds?: boolean}> = [
	{name: 'an event without an id as the first one', body: chunk('data: of another\n\n'), needsIds: true},
	{name: 'a head and a body of another answer', body: chunk(event(1)) + chunk('HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: q0\r\nX-Not-Run: 1\r\n\r\n') + chunk('busy\n\n')},
	{name: 'an event without an id', body: chunk(event(1)) + chunk('data: of another\n\n')},
	{name: 'an error text', body: chunk(event(1)) + chunk('{"error": "failed"}\n\n')},
	{name: 'an event that skips others', body: chunk(event(1)) + chunk(event(4))},
	{name: 'events that begin anew', body: chunk(event(1) + event(2)) + chunk(event(1) + event(2) + event(3))},
	{name: 'a skipped event, and a complete end', body: chunk(event(1)) + chunk(event(3)) + chunk('')},
];

for (const {name, body, needsIds = false} of streamCases) {
	await t.test(`a stream is resumed after the last sound event: ${name}`, async t => {
		let isFirst = true;
		const script: Script = (socket, req) => {
			if (isFirst) {
				isFirst = false;
				socket.write(streamHead(req.id) + body);
				return;
			}

			const last = Number(req.headers.get('x-last-event') ?? 0);
			const events = [1, 2, 3, 4, 5].filter(id => id > last).map(id => event(id));
			socket.write(streamHead(req.id) + chunk(events.join('')) + chunk(''));
		};

		const endpoints = await Promise.all(['e1', 'e2'].map(async id => FakeEndpoint.create(t, id, script)));
		const {port} = await startGateway(t, FakeRegistry.create(testConfig([testRoute({kind: resumable})]), endpoints.map(endpoint => endpoint.record())));
		const {text} = await callRaw(port, 'POST / HTTP/1.1\r\nHost: h\r\nX-Request-Id: q1\r\nContent-Length: 0\r\n\r\n', 1500, '0\r\n\r\n');
		t.same([...text.matchAll(/data: (.*)\n/gu)].map(match => match[1]), ['1', '2', '3', '4', '5'], 'each event once and in order');
		t.notMatch(text, /HTTP\/1\.1 503|busy|of another|failed/u);
	});

	if (needsIds) {
		continue;
	}

	await t.test(`a stream that must not be resumed is cut off: ${name}`, async t => {
		const endpoint = await FakeEndpoint.create(t, 'e1', (socket, {id}) => socket.write(streamHead(id) + body));
		const {port} = await startGateway(t, FakeRegistry.create(testConfig([testRoute({kind: notResumable})]), [endpoint.record()]));
		const {text, ended} = await callRaw(port, 'POST / HTTP/1.1\r\nHost: h\r\nX-Request-Id: q1\r\nContent-Length: 0\r\n\r\n', 1000);
		t.not(ended, 'open');
		t.notOk(text.endsWith('0\r\n\r\n'), 'does not look complete');
		t.notMatch(text, /HTTP\/1\.1 503|busy|of another|failed/u);
	});
}

/** What the endpoint answers at which a broken stream should resume. */
const resumeCases: ReadonlyArray<{readonly name: string; readonly answer: (id: string) => string}> = [
	{name: 'an error', answer: id => response(id, 'failed\n', '500 Internal Server Error')},
	{name: 'a refusal', answer: id => response(id, 'busy\n', '503 Service Unavailable', 'X-Not-Run: 1\r\n')},
	{name: 'a success that is no stream', answer: id => response(id, 'failed\n', '201 Created')},
	{name: 'a success with an error text', answer: id => response(id, '{"error": "failed"}\n\n')},
	{name: 'bytes that are no answer', answer: () => 'busy failed\r\n\r\n'},
];

for (const {name, answer} of resumeCases) {
	await t.test(`a stream that broke is cut off if the next endpoint sends ${name}`, async t => {
		let isFirst = true;
		const script: Script = (socket, {id}) => {
			if (isFirst) {
				isFirst = false;
				socket.write(streamHead(id) + chunk(event(1)));
				setTimeout(() => {
					socket.resetAndDestroy();
				}, 30);
				return;
			}

			socket.write(answer(id));
		};

		const endpoints = await Promise.all(['e1', 'e2'].map(async id => FakeEndpoint.create(t, id, script)));
		const {port} = await startGateway(t, FakeRegistry.create(testConfig([testRoute({kind: resumable})]), endpoints.map(endpoint => endpoint.record())));
		const {text, ended} = await callRaw(port, 'POST / HTTP/1.1\r\nHost: h\r\nX-Request-Id: q1\r\nContent-Length: 0\r\n\r\n', 1000);
		t.not(ended, 'open');
		t.match(text, /data: 1/u);
		t.notOk(text.endsWith('0\r\n\r\n'), 'does not look complete');
		t.notMatch(text, /busy|failed|HTTP\/1\.1 5/u);
	});
}
