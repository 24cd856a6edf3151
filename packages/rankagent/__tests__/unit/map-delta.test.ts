/** Maps that agents receive as differences: always the same map as sent whole, or none. */
import * as fc from 'fast-check';
import {pack, unpack} from 'msgpackr';
import t from 'tap';
import {ok} from '#core';
import {findFreePort} from '#harness';
import {RequestClient, RequestServer} from '#links';
import {
	createRemoteEngine, MapDecoder, MapEncoder, type AgentRequest, type MapDelta,
} from '#rankagent';
import {
	initialMap, planMap, type GroupMap, type RankOrder,
} from '#rankmap';
import {fuzzParameters} from '#tooling';

const shape = {
	ranks: 6, sets: 2, experts: 12, places: 3, spare: 2,
};

/** A map planned for demand that depends on a number. */
const mapFor = (demand: number): GroupMap => planMap(
	initialMap(shape),
	Array.from({length: shape.sets}, (_, set) => Array.from({length: shape.experts}, (_, expert) => 1 + (((expert * 7) + (set * 5) + (demand * 3)) % 11))),
	shape,
	{minGainPerRound: 0.05},
).map;

const throughWire = (delta: MapDelta) => unpack(pack(delta)) as MapDelta;

void t.test('the first map is encoded relative to the initial one', t => {
	const delta = throughWire(MapEncoder.create().encode(mapFor(1)));
	t.equal(delta.base, 0);
	t.same(MapDecoder.create().decode(10, delta), mapFor(1));
	t.end();
});

void t.test('an agent that lost its maps, or has another map by the same version, decodes none', t => {
	const encoder = MapEncoder.create();
	encoder.recordReceived(10, mapFor(1));
	const delta = throughWire(encoder.encode(mapFor(2)));
	t.equal(MapDecoder.create().decode(20, delta), undefined, 'restarted');
	const decoder = MapDecoder.create();
	decoder.record(10, mapFor(5));
	t.equal(decoder.decode(20, delta), undefined, 'another group');
	t.end();
});

void t.test('any series of maps, received or lost, by agents that restart, decodes to the maps sent or to none', t => {
	const event = fc.record({
		demand: fc.nat(10), isReceived: fc.boolean(), isAcknowledged: fc.boolean(), isRestarted: fc.boolean(),
	});
	fc.assert(fc.property(fc.array(event, {maxLength: 12}), events => {
		const encoder = MapEncoder.create();
		let decoder = MapDecoder.create();
		for (const [index, {demand, isReceived, isAcknowledged, isRestarted}] of events.entries()) {
			const version = index + 1;
			const map = mapFor(demand);
			decoder = isRestarted ? MapDecoder.create() : decoder;
			const decoded = isReceived ? decoder.decode(version, throughWire(encoder.encode(map))) : undefined;
			if (decoded !== undefined && isAcknowledged) {
				encoder.recordReceived(version, map);
			}

			if (decoded !== undefined) {
				t.same(decoded, map);
			}
		}
	}), fuzzParameters({seed: 20_261_204, runs: 100}));
	t.end();
});

const peerCases = [
	{name: 'an agent of this version', answer: 'begun', orders: ['prepare-delta']},
	{name: 'an agent without the base', answer: 'base-unknown', orders: ['prepare-delta', 'order']},
	{name: 'an agent of an earlier version', answer: undefined, orders: ['prepare-delta', 'order']},
] as const;

for (const {name, answer, orders} of peerCases) {
	void t.test(`a map reaches ${name}`, async t => {
		const port = await findFreePort();
		const controller = new AbortController();
		const received: AgentRequest[] = [];
		await RequestServer.create('127.0.0.1', port, async request => {
			received.push(request as AgentRequest);
			return (request as AgentRequest).kind === 'order' ? ok('begun') : (answer === undefined ? undefined : ok(answer));
		}, {signal: controller.signal, onError: () => undefined});
		const client = RequestClient.create(`127.0.0.1:${port}`);
		const engine = createRemoteEngine(client);
		const order = (version: number, map: GroupMap): RankOrder => ({
			rank: 1, epoch: 1, sequence: version, action: {kind: 'prepare', version, map},
		});
		t.equal(await engine.order(order(1, mapFor(1))), 'begun');
		t.same(received.map(({kind}) => kind), orders);
		const whole = received.find(request => request.kind === 'order');
		t.same(whole?.order, orders.length === 1 ? undefined : order(1, mapFor(1)));
		client.close();
		controller.abort();
	});
}
