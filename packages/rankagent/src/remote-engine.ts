/** A rank's engine reached through the agent beside it. */
import {CountsReceiver, type CountsAnswer} from './count-changes.js';
import type {AgentRequest, OrderOutcome, RankEngine} from './engine.js';
import {failed, ok, type Result} from '#core';
import type {RequestClient} from '#links';

/** Time for an answer of another agent, in ms: a round trip across zones and a call of its engine. */
const ASK_TIMEOUT_MS = 300;

/** Time for counters, and for a map, in ms: those of 63 ranks pass over one replica's link of 5.6 Mbit/s at once. */
const BULK_TIMEOUT_MS = 1200;

/** Keeps what it was told of the counters, so one engine is used as long as its link. */
export function engineBehind(link: RequestClient): RankEngine {
	const counts = CountsReceiver.create();
	const ask = async <Value>(request: AgentRequest, timeoutMs = ASK_TIMEOUT_MS): Promise<Result<Value, string>> => {
		const answer = await link.request(request, timeoutMs);
		// The agent answers with the result of its engine.
		return answer.kind === 'failed' ? failed(answer.failure) : answer.value as Result<Value, string>;
	};

	return {
		state: async () => ask({kind: 'state'}),
		async counts() {
			const answer = await ask<CountsAnswer>({kind: 'counts', since: counts.since}, BULK_TIMEOUT_MS);
			const reading = answer.kind === 'failed' ? undefined : counts.take(answer.value);
			return answer.kind === 'failed' ? answer : (reading === undefined ? failed('counts follow on an answer that was lost') : ok(reading));
		},
		holdings: async () => ask({kind: 'holdings'}),
		async order(order) {
			const answer = await ask<OrderOutcome>({kind: 'order', order}, order.action.kind === 'prepare' ? BULK_TIMEOUT_MS : ASK_TIMEOUT_MS);
			return answer.kind === 'failed' ? 'no-answer' : answer.value;
		},
	};
}
