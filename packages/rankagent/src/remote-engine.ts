/** Engine of a rank, accessed through its agent. */
import {CountsDecoder, type CountsResponse} from './counts-delta.js';
import type {
	AgentRequest, OrderResult, PrepareDeltaResponse, RankEngine,
} from './engine.js';
import {MapEncoder} from './map-delta.js';
import {failed, ok, type Result} from '#core';
import type {RequestClient} from '#links';
import type {RankOrder} from '#rankmap';

type PrepareAction = Extract<RankOrder['action'], {kind: 'prepare'}>;

/** Time limit for a response, in ms: a round trip across zones and a call to the engine. */
const REQUEST_TIMEOUT_MS = 300;

/** Time limit for counters and for maps, in ms: those of 63 ranks share one replica's network link of 5.6 Mbit/s. */
const BULK_TIMEOUT_MS = 1200;

/** The engine keeps the last counters and the last map as bases of the next deltas, so use one engine for the lifetime of the client. */
export function createRemoteEngine(client: RequestClient): RankEngine {
	const countsDecoder = CountsDecoder.create();
	const mapEncoder = MapEncoder.create();
	const send = async <Value>(request: AgentRequest, timeoutMs = REQUEST_TIMEOUT_MS): Promise<Result<Value, string>> => {
		const response = await client.request(request, timeoutMs);
		// The agent responds with the `Result` of its engine.
		return response.kind === 'failed' ? failed(response.failure) : response.value as Result<Value, string>;
	};

	const sendOrder = async (order: RankOrder, timeoutMs: number): Promise<OrderResult> => {
		const response = await send<OrderResult>({kind: 'order', order}, timeoutMs);
		return response.kind === 'failed' ? 'no-answer' : response.value;
	};

	/** Sends a map as differences, or whole if the agent does not know the map that they are based on. */
	const prepare = async (order: RankOrder, {version, map}: PrepareAction): Promise<OrderResult> => {
		const {rank, epoch, sequence} = order;
		const response = await client.request({
			kind: 'prepare-delta', rank, epoch, sequence, version, delta: mapEncoder.encode(map),
		} satisfies AgentRequest, BULK_TIMEOUT_MS);
		if (response.kind === 'failed') {
			return 'no-answer';
		}

		// An agent of an earlier version responds with nothing.
		const delta = response.value as Result<PrepareDeltaResponse, string> | undefined;
		const result = delta?.kind === 'ok' && delta.value !== 'base-unknown' ? delta.value : await sendOrder(order, BULK_TIMEOUT_MS);
		if (result === 'begun' || result === 'already') {
			mapEncoder.recordReceived(version, map);
		}

		return result;
	};

	return {
		state: async () => send({kind: 'state'}),
		async counts() {
			const response = await send<CountsResponse>({kind: 'counts', since: countsDecoder.lastTag}, BULK_TIMEOUT_MS);
			const reading = response.kind === 'failed' ? undefined : countsDecoder.decode(response.value);
			return response.kind === 'failed' ? response : (reading === undefined ? failed('counts are based on a lost response') : ok(reading));
		},
		holdings: async () => send({kind: 'holdings'}),
		order: async order => order.action.kind === 'prepare' ? prepare(order, order.action) : sendOrder(order, REQUEST_TIMEOUT_MS),
	};
}
