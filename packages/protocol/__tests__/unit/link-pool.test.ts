import {once} from 'node:events';
import {setTimeout} from 'node:timers/promises';
import t from 'tap';
import {UnavailableError} from '#core';
import {LinkPool, PeerServer, type PeerIdentity} from '#protocol';

/** Longer than a closing handshake on loopback, in ms. */
const CLOSE_TIMEOUT_MS = 3000;

const identity = (id: string): PeerIdentity => ({
	id, role: 'entry', region: 'r', zone: 'z', address: '127.0.0.1:1', incarnation: 'i',
});

async function createServer(signal: AbortSignal, sharedKey = 'key-of-the-fleet', id = 'server') {
	const refused: string[] = [];
	const onRefused = (reason: string) => {
		refused.push(reason);
	};

	const pool = LinkPool.create({
		sharedKey, identity: () => identity(id), onRefused, signal,
	});
	const server = await PeerServer.create({
		host: '127.0.0.1',
		port: 0,
		sharedKey,
		identity: () => identity(id),
		onLink(link) {
			pool.add(link);
		},
		onRefused,
		signal,
	});
	return {pool, address: `127.0.0.1:${server.port}`, refused};
}

function createClient(signal: AbortSignal, sharedKey = 'key-of-the-fleet') {
	const onRefused = (reason: string) => {
		t.comment(reason);
	};

	return LinkPool.create({
		sharedKey, identity: () => identity('client'), onRefused, signal,
	});
}

await t.test('concurrent callers share one dial, and an ask message gets its answer', async t => {
	const controller = new AbortController();
	const {pool, address} = await createServer(controller.signal);
	pool.registerAskHandler('double', async payload => Number(payload) * 2);
	const client = createClient(controller.signal);
	const [a, b] = await Promise.all([client.getOrDial('server', address), client.getOrDial('server', address)]);
	t.equal(a, b);
	t.equal(await client.ask(a, 'double', 21), 42);
	await t.rejects(client.ask(a, 'no such topic', 1, 100), UnavailableError);
	controller.abort();
	if (!a.closed.aborted) {
		await once(a.closed, 'abort');
	}

	t.equal(a.send({kind: 'bye', reason: 'late'}), false, 'send on a closed link reports that the message was not sent');
	await t.rejects(client.ask(a, 'double', 1), UnavailableError);
});

await t.test('a peer with a different shared key gets no link', async t => {
	const stop = new AbortController();
	const {pool, address, refused} = await createServer(stop.signal);
	const client = createClient(stop.signal, 'key-of-another-fleet');
	await t.rejects(client.dial(address));
	t.match(refused.join(','), /wrong proof/u);
	t.equal(pool.links.length, 0);
	stop.abort();
});

await t.test('an unreachable peer is not dialled again immediately', async t => {
	const stop = new AbortController();
	const {address} = await createServer(stop.signal);
	const port = Number(address.split(':')[1]);
	stop.abort();
	const client = createClient(new AbortController().signal);
	await t.rejects(client.dial(`127.0.0.1:${port === 65_535 ? port - 1 : port + 1}`));
	await t.rejects(client.dial(`127.0.0.1:${port === 65_535 ? port - 1 : port + 1}`), /recent dial of peer .* failed/u);
});

await t.test('links that two peers opened to one another at the same time all close when one of them stops', async t => {
	const [stopFirst, stopSecond] = [new AbortController(), new AbortController()];
	const first = await createServer(stopFirst.signal, 'key-of-the-fleet', 'first');
	const second = await createServer(stopSecond.signal, 'key-of-the-fleet', 'second');
	const dialled = await first.pool.dial(second.address);
	await second.pool.dial(first.address);
	while (first.pool.findLink('second') === dialled) {
		await setTimeout(5);
	}

	stopFirst.abort();
	await Promise.race([dialled.closed.aborted || once(dialled.closed, 'abort'), setTimeout(CLOSE_TIMEOUT_MS)]);
	t.ok(dialled.closed.aborted, 'the link that the accepted one replaced is closed');
	stopSecond.abort();
});

await t.test('a link to a peer remains in use when another one to the same peer closes', async t => {
	const [stopFirst, stopSecond] = [new AbortController(), new AbortController()];
	const first = await createServer(stopFirst.signal, 'key-of-the-fleet', 'first');
	const second = await createServer(stopSecond.signal, 'key-of-the-fleet', 'second');
	const dialled = await first.pool.dial(second.address);
	const replacing = await second.pool.dial(first.address);
	while (first.pool.findLink('second') === dialled) {
		await setTimeout(5);
	}

	replacing.terminate();
	while (first.pool.findLink('second') !== undefined && first.pool.findLink('second') !== dialled) {
		await setTimeout(5);
	}

	t.equal(first.pool.findLink('second'), dialled);
	stopFirst.abort();
	stopSecond.abort();
});
