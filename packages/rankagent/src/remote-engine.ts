/** Engine of a rank, accessed through its agent. */
import {CountsDecoder, type CountsResponse} from './counts-delta.js';
import type {AgentRequest, OrderResult, RankEngine} from './engine.js';
import {failed, ok, type Result} from '#core';
import type {RequestClient} from '#links';

/** Time limit for a response, in ms: a round trip across zones and a call to the engine. */
const REQUEST_TIMEOUT_MS = 300;

/** Time limit for counters and for maps, in ms: those of 63 ranks share one replica's network link of 5.6 Mbit/s. */
const BULK_TIMEOUT_MS = 1200;

/** The engine keeps the last counters as the base of the next delta, so use one engine for the lifetime of the client. */
export function createRemoteEngine(client: RequestClient): RankEngine {
	const countsDecoder = CountsDecoder.create();
	const send = async <Value>(request: AgentRequest, timeoutMs = REQUEST_TIMEOUT_MS): Promise<Result<Value, string>> => {
		const response = await client.request(request, timeoutMs);
		// The agent responds with the `Result` of its engine.
		return response.kind === 'failed' ? failed(response.failure) : response.value as Result<Value, string>;
	};

	return {
		state: async () => send({kind: 'state'}),
		async counts() {
			const response = await send<CountsResponse>({kind: 'counts', since: countsDecoder.lastTag}, BULK_TIMEOUT_MS);
			const reading = response.kind === 'failed' ? undefined : countsDecoder.decode(response.value);
			return response.kind === 'failed' ? response : (reading === undefined ? failed('counts are based on a lost response') : ok(reading));
		},
		holdings: async () => send({kind: 'holdings'}),
		async order(order) {
			const response = await send<OrderResult>({kind: 'order', order}, order.action.kind === 'prepare' ? BULK_TIMEOUT_MS : REQUEST_TIMEOUT_MS);
			return response.kind === 'failed' ? 'no-answer' : response.value;
		},
	};
}
