/** Requests that follow one another on a connection; guards against responses that are lost, spoilt or waited for when it closes. */
import {connect} from 'node:net';
import t, {type Test} from 'tap';
import {
	chunk, FakeEndpoint, FakeRegistry, response, startGateway, streamHead, testConfig, testRoute, type Script,
} from '../gateway-harness.js';
import {sleep} from '#core';

const EVENTS = 10;

const answersLater: Script = (socket, {id}) => {
	setTimeout(() => {
		socket.write(response(id, `whole ${id}`));
	}, 400);
};

const streams: Script = async (socket, {id}) => {
	socket.write(streamHead(id));
	for (let event = 1; event <= EVENTS; event += 1) {
		await sleep(50);
		socket.write(chunk(`id: ${event}\ndata: ${event}\n\n`));
	}

	socket.write(chunk(''));
};

/** More than a connection takes from a caller that reads late. */
const LONG_BODY_BYTES = 3_000_000;

const answersLong: Script = (socket, {id}) => {
	socket.write(response(id, 'x'.repeat(LONG_BODY_BYTES)));
};

const silent: Script = () => undefined;

const call = (id: string) => `POST / HTTP/1.1\r\nHost: h\r\nX-Request-Id: ${id}\r\nContent-Length: 0\r\n\r\n`;

/** Starts an entry before one endpoint, and connects to it. */
async function startConnected(t: Test, script: Script) {
	const endpoint = await FakeEndpoint.create(t, 'e1', script);
	const kind = script === streams ? {kind: 'stream', resumable: false, targetGapMs: undefined} as const : {kind: 'at-most-once'} as const;
	const {gateway, port} = await startGateway(t, FakeRegistry.create(testConfig([testRoute({kind, timeoutMs: 5000})]), [endpoint.record()]), {graceMs: 2400});
	const socket = connect(port, '127.0.0.1');
	t.teardown(() => {
		socket.destroy();
	});
	const caller = {text: '', isEnded: false};
	socket.on('error', () => undefined).on('data', data => {
		caller.text += data.toString('latin1');
	}).on('end', () => {
		caller.isEnded = true;
	});
	const waitFor = async (condition: () => boolean) => {
		while (!condition()) {
			await sleep(10);
		}
	};

	return {
		endpoint, gateway, socket, caller, waitFor,
	};
}

void t.test('requests that were passed on before a stop are all answered', async t => {
	const {endpoint, gateway, socket, caller, waitFor} = await startConnected(t, answersLater);
	socket.write(call('q0') + call('q1'));
	await waitFor(() => endpoint.received.length === 2);
	await gateway.stop();
	await waitFor(() => caller.isEnded);
	t.match(caller.text, /whole q0HTTP\/1\.1 200 .*Connection: close.*whole q1$/su);
});

const spoiltBody = 'POST / HTTP/1.1\r\nHost: h\r\nX-Request-Id: q1\r\nTransfer-Encoding: chunked\r\n\r\nspoilt\r\n';

const surplus = [
	{name: 'a request that crosses the close of its connection is not passed on', isStopping: true, bytes: call('q1')},
	{name: 'bytes that are no request leave the response in progress whole', isStopping: false, bytes: 'no request\r\n\r\n'},
	{name: 'the head of a request that ends in its middle leaves the response in progress whole', isStopping: false, bytes: 'POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n'},
	{
		name: 'a request with a spoilt body leaves the response in progress whole', isStopping: false, bytes: spoiltBody,
	},
];

for (const {name, isStopping, bytes} of surplus) {
	void t.test(name, async t => {
		const {endpoint, gateway, socket, caller, waitFor} = await startConnected(t, streams);
		const stopped = isStopping ? gateway.stop() : undefined;
		socket.write(call('q0'));
		await waitFor(() => caller.text.includes('data: 2'));
		socket.write(bytes);
		await waitFor(() => caller.isEnded);
		t.match(caller.text, /data: 10\n\n\r\n0\r\n\r\n$/u);
		t.equal(caller.text.split('HTTP/1.1').length, 2, 'one response');
		t.equal(endpoint.received.length, 1);
		await stopped;
	});
}

void t.test('requests that wait for the response to an earlier one end with their connection', async t => {
	const {endpoint, gateway, socket, waitFor} = await startConnected(t, silent);
	socket.write(call('q0') + call('q1'));
	await waitFor(() => endpoint.received.length === 1);
	t.match(gateway.describeOpen(), {openRequests: 2});
	socket.destroy();
	await sleep(200);
	t.equal(endpoint.received.length, 1, 'none is passed on after that');
	t.match(gateway.describeOpen(), {openRequests: 0});
});

for (const bytes of [call('q1'), 'no request\r\n\r\n']) {
	void t.test('bytes that are not read do not cut the response that closes its connection', async t => {
		const {endpoint, gateway, socket, caller, waitFor} = await startConnected(t, answersLong);
		const stopped = gateway.stop();
		socket.pause();
		socket.write(call('q0'));
		await waitFor(() => endpoint.received.length === 1);
		await sleep(200);
		socket.write(bytes);
		await sleep(400);
		socket.resume();
		await waitFor(() => caller.isEnded || socket.destroyed);
		t.equal(caller.text.length - caller.text.indexOf('\r\n\r\n') - 4, LONG_BODY_BYTES);
		await stopped;
	});
}
