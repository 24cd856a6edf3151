/**
 * What entries tell one another: requests in flight, the configuration and how old its confirmation is, and endpoints
 * that leave. The register may serve one entry and turn its neighbour away, so each asks the others when
 * its own readings grow old. An age is only taken from an answer to one's own question, counted from when it was asked.
 */
import {tellAdopted, type Beliefs} from './register.js';
import {sleep} from '#core';
import {
	FleetConfig, type EndpointRecord, type FleetConfigParts, type Instant, type LeftEndpoint, type LoadBoard, type LoadCounts,
} from '#dispatch';
import {RequestClient, RequestServer} from '#links';

/** Question of one entry to another. */
export type PeerQuestion = {
	/** `HOST:PORT` of the entry that asks; undefined for another process. */
	readonly from: string | undefined;
	readonly load: LoadCounts;
	/** Version that it has; 0 for none. */
	readonly configVersion: number;
	/** Whether it wants the content of a newer version because it cannot read the register. */
	readonly wantsConfig: boolean;
	/** Whether it cannot read the register and wants the endpoints. */
	readonly wantsEndpoints: boolean;
};

/** Answer to a question. */
export type PeerAnswer = {
	readonly load: LoadCounts;
	/** Addresses of the entries that it knows. */
	readonly peers: readonly string[];
	readonly configVersion: number;
	/** Time since its version was known to be the newest, in ms; undefined if it knows none. */
	readonly configAgeMs: number | undefined;
	/** Its configuration, if it was wanted and is newer than that of the asker. */
	readonly config: FleetConfigParts | undefined;
	readonly left: readonly LeftEndpoint[];
	/** Its endpoints, if they were wanted. */
	readonly endpoints: readonly EndpointRecord[] | undefined;
	/** Whether it can read the register. */
	readonly isRegisterInReach: boolean;
};

export type PeerParts = Beliefs & {
	/** Own address, `HOST:PORT`. */
	readonly address: string;
	readonly host: string;
	readonly port: number;
	readonly seeds: readonly string[];
	readonly load: LoadBoard;
};

/** How often entries exchange their counts, in ms: several times while a request runs. */
const REPORT_MS = 200;

/** Age of the configuration's confirmation from which all peers are asked, in ms: two reads of the register have failed. */
const HELP_AGE_MS = 1800;

/** How often an entry that nobody reports to introduces itself, in ms. */
const HELLO_MS = 2000;

/** Time for an answer, in ms: some round trips across zones of a busy entry. */
const ANSWER_TIMEOUT_MS = 400;

/** A peer that has not answered for so long is dropped until another peer names it, in ms. */
const FORGET_AFTER_MS = 15_000;

type Peer = {readonly link: RequestClient; isReached: boolean; lastHeard: number; isAsking: boolean};

export class PeerExchange {
	/** Listens and begins to exchange, until the signal aborts. Rejects if the address is taken. */
	static async create(parts: PeerParts, signal: AbortSignal): Promise<PeerExchange> {
		const exchange = new PeerExchange(parts);
		await RequestServer.create(parts.host, parts.port, async question => exchange.#answer(question as PeerQuestion), signal);
		void exchange.#run(signal);
		return exchange;
	}

	readonly #peers = new Map<string, Peer>();
	readonly #parts: PeerParts;

	private constructor(parts: PeerParts) {
		this.#parts = parts;
	}

	/** Entries in reach that this one asks with each report; the others ask this one. */
	get asked(): number {
		return [...this.#peers].filter(([address, {isReached}]) => isReached && this.#asks(address)).length;
	}

	#needsConfig(now: Instant): boolean {
		const {config} = this.#parts;
		return config.ageMs(now) > HELP_AGE_MS || (config.isBehind && !config.isInReach);
	}

	#asks(address: string): boolean {
		return this.#parts.address < address;
	}

	async #run(signal: AbortSignal): Promise<void> {
		let helloAt = Number.NEGATIVE_INFINITY;
		while (!signal.aborted) {
			const now = this.#parts.now();
			const isHello = now.steadyMs - helloAt >= HELLO_MS;
			if (isHello) {
				helloAt = now.steadyMs;
				this.#learn(this.#parts.seeds);
			}

			const needsHelp = this.#needsConfig(now) || !this.#parts.directory.isInReach;
			for (const [address, peer] of this.#peers) {
				// One of two entries asks; its question carries its own counts, the answer those of the other.
				if (!peer.isAsking && (needsHelp || isHello || this.#asks(address))) {
					void this.#ask(address, peer);
				}
			}

			await sleep(REPORT_MS, signal);
		}

		for (const {link} of this.#peers.values()) {
			link.close();
		}
	}

	async #ask(address: string, peer: Peer): Promise<void> {
		const {config, directory, load, now} = this.#parts;
		const sentAt = now();
		const question: PeerQuestion = {
			from: this.#parts.address,
			load: load.ownCounts(),
			configVersion: config.current?.version ?? 0,
			wantsConfig: this.#needsConfig(sentAt),
			wantsEndpoints: !directory.isInReach || directory.size === 0,
		};
		peer.isAsking = true;
		const result = await peer.link.request(question, ANSWER_TIMEOUT_MS);
		peer.isAsking = false;
		this.#noteReached(address, peer, result.kind === 'ok');
		if (result.kind === 'ok') {
			this.#take(address, result.value as PeerAnswer, sentAt);
		}
	}

	#take(address: string, answer: PeerAnswer, sentAt: Instant): void {
		const {config, directory, load, journal, now} = this.#parts;
		load.notePeer(address, answer.load, now().steadyMs);
		this.#learn(answer.peers);
		config.noteVersion(answer.configVersion);
		if (answer.configAgeMs !== undefined) {
			const asOf = {steadyMs: sentAt.steadyMs - answer.configAgeMs, wallMs: sentAt.wallMs - answer.configAgeMs};
			if (answer.config === undefined) {
				config.confirm(answer.configVersion, asOf);
			} else {
				const received = FleetConfig.create(answer.config);
				if (config.offer(received, asOf) === 'adopted') {
					tellAdopted(received, 'peer', journal);
				}
			}
		}

		for (const left of answer.left) {
			directory.noteLeft(left);
		}

		if (answer.endpoints !== undefined && (directory.size === 0 || (answer.isRegisterInReach && !directory.isInReach))) {
			directory.replaceAll(answer.endpoints, now().steadyMs);
		}
	}

	async #answer(question: PeerQuestion): Promise<PeerAnswer> {
		const {config, directory, load, now} = this.#parts;
		const at = now();
		if (question.from !== undefined) {
			load.notePeer(question.from, question.load, at.steadyMs);
			config.noteVersion(question.configVersion);
			this.#learn([question.from]);
		}

		const {current} = config;
		return {
			load: load.ownCounts(),
			peers: [...this.#peers].filter(([, peer]) => peer.isReached).map(([address]) => address),
			configVersion: current?.version ?? 0,
			configAgeMs: current === undefined ? undefined : config.ageMs(at),
			config: question.wantsConfig && current !== undefined && current.version > question.configVersion ? current.parts : undefined,
			left: directory.left(),
			endpoints: question.wantsEndpoints ? directory.records() : undefined,
			isRegisterInReach: directory.isInReach,
		};
	}

	#learn(addresses: readonly string[]): void {
		for (const address of addresses) {
			if (address !== this.#parts.address && !this.#peers.has(address)) {
				this.#peers.set(address, {
					link: RequestClient.create(address), isReached: false, lastHeard: this.#parts.now().steadyMs, isAsking: false,
				});
			}
		}
	}

	#noteReached(address: string, peer: Peer, isReached: boolean): void {
		const now = this.#parts.now().steadyMs;
		if (isReached !== peer.isReached) {
			peer.isReached = isReached;
			this.#parts.journal.record({
				kind: 'dependency', dependency: `entry ${address}`, isReachable: isReached, detail: '',
			});
		}

		if (isReached) {
			peer.lastHeard = now;
		} else if (now - peer.lastHeard > FORGET_AFTER_MS) {
			peer.link.close();
			this.#peers.delete(address);
		}
	}
}

/** Time for an answer to a process that is no entry, in ms. */
const OUTSIDE_TIMEOUT_MS = 300;

/** Asks entries for the endpoints that they know, one after the other; undefined if none answers. For processes that cannot read the register. */
export async function askEntriesForEndpoints(addresses: readonly string[]): Promise<readonly EndpointRecord[] | undefined> {
	for (const address of addresses) {
		const link = RequestClient.create(address);
		const question: PeerQuestion = {
			from: undefined, load: {}, configVersion: 0, wantsConfig: false, wantsEndpoints: true,
		};
		const answer = await link.request(question, OUTSIDE_TIMEOUT_MS);
		link.close();
		const endpoints = answer.kind === 'ok' ? (answer.value as PeerAnswer).endpoints : undefined;
		if (endpoints !== undefined && endpoints.length > 0) {
			return endpoints;
		}
	}

	return undefined;
}
