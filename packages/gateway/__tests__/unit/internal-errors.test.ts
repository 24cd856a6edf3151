/** An exception while a request is handled ends that request alone, with a true answer; guards against an entry that ends with all that it has in progress. */
import t from 'tap';
import {
	callRaw, chunk, createRecordingLogger, FakeEndpoint, FakeRegistry, response, startGateway, streamHead, testConfig, testDialect, testRoute,
} from '../gateway-harness.js';
import type {RouteKind} from '#dispatch';
import type {Dialect} from '#gateway';

const fail = () => {
	throw new Error('a fault in this entry');
};

const atMostOnce: RouteKind = {kind: 'at-most-once'};
const cases: ReadonlyArray<{readonly name: string; readonly dialect: Partial<Dialect>; readonly kind: RouteKind; readonly status: number; readonly body: string; readonly received: number}> = [
	{
		name: 'while the request is decoded', dialect: {readRequest: fail}, kind: atMostOnce, status: 500, body: 'internal-error\n', received: 0,
	},
	{
		name: 'before the request is sent', dialect: {headersToEndpoint: fail}, kind: atMostOnce, status: 503, body: 'internal-error\n', received: 0,
	},
	{
		name: 'after it was sent', dialect: {readResponse: fail}, kind: atMostOnce, status: 502, body: 'unknown-outcome\n', received: 1,
	},
	{
		name: 'while the response is passed on', dialect: {headersToCaller: fail}, kind: atMostOnce, status: 502, body: 'unknown-outcome\n', received: 1,
	},
	{
		name: 'while a stream is passed on', dialect: {headersToCaller: fail}, kind: {kind: 'stream', resumable: false, targetGapMs: undefined}, status: 502, body: 'unknown-outcome\n', received: 1,
	},
];

for (const {name, dialect, kind, status, body, received} of cases) {
	void t.test(`an exception ${name}`, async t => {
		const endpoint = await FakeEndpoint.create(t, 'e1', (socket, {id}) => {
			socket.write(kind.kind === 'stream' ? streamHead(id) + chunk('id: 1\ndata: a\n\n') + chunk('') : response(id, 'whole'));
		});
		const {logger, lines} = createRecordingLogger();
		const faulty: Dialect = {
			...testDialect, ...dialect, readRequest: (method, path, ...headers) => path === '/faulty' ? (dialect.readRequest ?? testDialect.readRequest)(method, path, ...headers) : testDialect.readRequest(method, path, ...headers),
		};
		const {port, metrics} = await startGateway(t, FakeRegistry.create(testConfig([testRoute({kind})]), [endpoint.record()]), {dialect: faulty, logger});
		const result = await callRaw(port, 'POST /faulty HTTP/1.1\r\nHost: h\r\nX-Request-Id: q1\r\nContent-Length: 0\r\n\r\n', 800, body);
		t.match(result.text, new RegExp(`^HTTP/1.1 ${status} `, 'u'));
		t.ok(result.text.endsWith(body), result.text);
		t.equal(endpoint.received.length, received);
		t.equal(lines.filter(({message}) => message === 'internal error').length, 1, 'logged');
		t.match(await metrics.expose(), /mimosamount_internal_errors_total\{where="request"\} 1/u, 'counted');
	});
}
