/** A rank's engine reached through the agent beside it. */
import type {AgentRequest, OrderOutcome, RankEngine} from './engine.js';
import {failed, type Result} from '#core';
import type {RequestLink} from '#links';

/** Time for an answer of another agent, in ms: a round trip across zones and a call of its engine. */
const ASK_TIMEOUT_MS = 300;

export function engineBehind(link: RequestLink): RankEngine {
	const ask = async <Value>(request: AgentRequest): Promise<Result<Value, string>> => {
		const answer = await link.ask(request, ASK_TIMEOUT_MS);
		// The agent answers with the result of its engine.
		return answer.kind === 'failed' ? failed(answer.failure) : answer.value as Result<Value, string>;
	};

	return {
		state: async () => ask({kind: 'state'}),
		counts: async () => ask({kind: 'counts'}),
		holdings: async () => ask({kind: 'holdings'}),
		async order(order) {
			const answer = await ask<OrderOutcome>({kind: 'order', order});
			return answer.kind === 'failed' ? 'no-answer' : answer.value;
		},
	};
}
