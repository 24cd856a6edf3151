/** An endpoint that stands still takes requests all the same, and reads them after their callers have left. */
import t, {type Test} from 'tap';
import {
	callRaw, chunk, FakeEndpoint, FakeRegistry, startGateway, streamHead, testConfig, testRoute,
} from '../gateway-harness.js';
import {sleep} from '#core';
import {waitUntil} from '#harness';

const TARGET_GAP_MS = 120;
const EVENT_INTERVAL_MS = 50;

/** Longer than the target gap, in ms. */
const PAUSE_MS = 400;

/** Time without an event after which callers leave, in ms. */
const PATIENCE_MS = 2000;

/** Time that an endpoint may need for the first event of a stream that is sent again, in ms. */
const RESUME_MS = 800;

/** Most events that a stream can have before its endpoint stands still. */
const EVENTS_BEFORE = 5;

/** Fewer than the endpoints that go on have free slots. */
const LATER_REQUESTS = 4;

const ENDPOINTS = 4;
const STANDING = 2;

/** Starts an entry with one stream at each endpoint; the first endpoints stand still after a while. */
async function startStreams(t: Test, {resumeMs = 0, areAgentsStanding = false, standsFrom = 'first event', slots = 4}: {readonly resumeMs?: number; readonly areAgentsStanding?: boolean; readonly standsFrom?: 'start' | 'first event'; readonly slots?: number} = {}) {
	let standing = standsFrom === 'start' ? STANDING : 0;
	const seenIds = new Set<string>();
	const endpoints = await Promise.all(Array.from({length: ENDPOINTS}, async (_, index) => FakeEndpoint.create(t, `e${index}`, async (socket, req) => {
		const isRepeated = seenIds.has(req.id);
		seenIds.add(req.id);
		await sleep(isRepeated ? resumeMs : 0);
		if (index >= standing) {
			socket.write(streamHead(req.id));
		}

		for (let event = Number(req.headers.get('x-last-event') ?? 0) + 1; !socket.destroyed; event += 1) {
			if (index >= standing) {
				socket.write(chunk(`id: ${event}\ndata: e\n\n`));
			}

			await sleep(EVENT_INTERVAL_MS);
		}
	})));
	const route = testRoute({kind: {kind: 'stream', resumable: true, targetGapMs: TARGET_GAP_MS}, timeoutMs: 8000, maxAttempts: 2});
	const registry = FakeRegistry.create(testConfig([route], 1, undefined, ['texts']), endpoints.map(endpoint => ({...endpoint.record(), slots})));
	const {port} = await startGateway(t, registry, {
		async probeGroup({id}) {
			if (!areAgentsStanding || Number(id.slice(1)) >= STANDING) {
				return true;
			}

			await sleep(PATIENCE_MS);
			return undefined;
		},
	});
	const send = async (id: string, forMs: number) => callRaw(port, `POST / HTTP/1.1\r\nHost: h\r\nX-Request-Id: ${id}\r\nX-Wait: 8000\r\nContent-Length: 0\r\n\r\n`, forMs);
	const streams = endpoints.map(async (_, index) => send(`s${index}`, PATIENCE_MS));
	await waitUntil('all streams have begun', () => endpoints.every(({received}) => received.length === 1), 1000);
	await sleep(2 * EVENT_INTERVAL_MS);
	return {
		send,
		/** Number of requests besides the first streams that the standing endpoints and the others received. */
		laterCounts() {
			const counts = endpoints.map(({received}) => received.length - 1);
			return {standing: counts.slice(0, STANDING), others: counts.slice(STANDING).reduce((sum, count) => sum + count, 0)};
		},
		streams: Promise.all(streams),
		pause(count: number) {
			standing = count;
		},
	};
}

/** Number of events that a caller has received. */
function countEvents(text: string): number {
	return text.split('data: e').length - 1;
}

await t.test('requests and silent streams are sent to the endpoints that go on', async t => {
	const {send, laterCounts, streams, pause} = await startStreams(t);
	pause(STANDING);
	await sleep(PAUSE_MS);
	await Promise.all(Array.from({length: LATER_REQUESTS}, async (_, index) => send(`q${index}`, 200)));
	t.same(laterCounts(), {standing: [0, 0], others: LATER_REQUESTS});
	await streams;
	t.same(laterCounts(), {standing: [0, 0], others: LATER_REQUESTS + STANDING});
});

await t.test('requests are sent to all endpoints while all are silent', async t => {
	const {send, laterCounts, streams, pause} = await startStreams(t);
	pause(ENDPOINTS);
	await sleep(PAUSE_MS);
	await Promise.all(Array.from({length: ENDPOINTS}, async (_, index) => send(`q${index}`, 200)));
	t.same(laterCounts(), {standing: [1, 1], others: 2});
	await streams;
});

const standstills = [
	{
		name: 'its endpoint stands still', areAgentsStanding: false, standsFrom: 'first event', slots: 4,
	},
	{
		name: 'its endpoint and the agent beside it stand still', areAgentsStanding: true, standsFrom: 'first event', slots: 4,
	},
	{
		name: 'its endpoint stands still before the first event', areAgentsStanding: false, standsFrom: 'start', slots: 4,
	},
	{
		name: 'its endpoint stands still before the first event, and the others have no place for new streams', areAgentsStanding: false, standsFrom: 'start', slots: 1,
	},
] as const;
for (const {name, ...conditions} of standstills) {
	await t.test(`a stream goes on before its caller leaves when ${name}`, async t => {
		const {streams, pause} = await startStreams(t, {resumeMs: RESUME_MS, ...conditions});
		pause(STANDING);
		for (const {text} of await streams) {
			t.ok(countEvents(text) > EVENTS_BEFORE, `${countEvents(text)} events`);
		}
	});
}
