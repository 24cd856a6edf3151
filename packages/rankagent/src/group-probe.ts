/** Asks agents whether the group of the rank beside them runs; readings are free and fresh there. */
import type {AgentRequest} from './engine.js';
import type {Result} from '#core';
import {RequestClient} from '#links';
import type {RankState} from '#rankmap';

/** Time for an answer, in ms: a round trip across zones and a call of the engine. */
const ASK_TIMEOUT_MS = 250;

export class AgentGroupProbe {
	/** @param port - Port on which all agents of the deployment listen. */
	static create(port: number): AgentGroupProbe {
		return new AgentGroupProbe(port);
	}

	readonly #links = new Map<string, RequestClient>();
	readonly #port: number;

	private constructor(port: number) {
		this.#port = port;
	}

	/** Whether the group of the rank on `host` runs; undefined if its agent or engine does not answer. */
	async isRunning(host: string): Promise<boolean | undefined> {
		const request: AgentRequest = {kind: 'state'};
		const answer = await this.#linkTo(host).request(request, ASK_TIMEOUT_MS);
		if (answer.kind === 'failed') {
			return undefined;
		}

		const state = answer.value as Result<RankState, string>;
		return state.kind === 'ok' ? state.value.isOpen : undefined;
	}

	#linkTo(host: string): RequestClient {
		let link = this.#links.get(host);
		if (link === undefined) {
			link = RequestClient.create(`${host}:${this.#port}`);
			this.#links.set(host, link);
		}

		return link;
	}
}
