/** Asks agents whether the group of their rank runs; an agent reads the state of its engine fresh and at no cost to the group. */
import type {AgentRequest} from './engine.js';
import type {Result} from '#core';
import {RequestClient} from '#links';
import type {RankState} from '#rankmap';

/** Time limit for a response, in ms: a round trip across zones and a call to the engine. */
const REQUEST_TIMEOUT_MS = 250;

export class AgentGroupProbe {
	/** @param port - Port on which all agents of the deployment listen. */
	static create(port: number): AgentGroupProbe {
		return new AgentGroupProbe(port);
	}

	readonly #clients = new Map<string, RequestClient>();
	readonly #port: number;

	private constructor(port: number) {
		this.#port = port;
	}

	/** Whether the group of the rank on `host` runs; undefined if its agent or its engine does not respond. */
	async isRunning(host: string): Promise<boolean | undefined> {
		const request: AgentRequest = {kind: 'state'};
		const response = await this.#clientFor(host).request(request, REQUEST_TIMEOUT_MS);
		if (response.kind === 'failed') {
			return undefined;
		}

		const state = response.value as Result<RankState, string>;
		return state.kind === 'ok' ? state.value.isOpen : undefined;
	}

	#clientFor(host: string): RequestClient {
		let client = this.#clients.get(host);
		if (client === undefined) {
			client = RequestClient.create(`${host}:${this.#port}`);
			this.#clients.set(host, client);
		}

		return client;
	}
}
