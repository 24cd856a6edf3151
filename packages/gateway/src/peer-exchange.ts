/**
 * What entries tell one another: requests in flight, the configuration and how old its confirmation is, and endpoints
 * that leave. The register may serve one entry and turn its neighbour away, so each asks the others when
 * its own readings grow old. An age is only taken from an answer to one's own question, counted from when it was asked.
 */
import {recordConfigChange, type EntryState} from './registry.js';
import {sleep} from '#core';
import {
	FleetConfig, type EndpointRecord, type FleetConfigData, type Instant, type EndpointTombstone, type LoadTracker, type InFlightCounts,
} from '#dispatch';
import {RequestLink, RequestServer} from '#links';

/** Question of one entry to another. */
export type PeerRequest = {
	/** `HOST:PORT` of the entry that asks; undefined for another process. */
	readonly from: string | undefined;
	readonly load: InFlightCounts;
	/** Version that it has; 0 for none. */
	readonly configVersion: number;
	/** Whether it wants the content of a newer version because it cannot read the register. */
	readonly wantsConfig: boolean;
	/** Whether it cannot read the register and wants the endpoints. */
	readonly wantsEndpoints: boolean;
};

/** Answer to a question. */
export type PeerResponse = {
	readonly load: InFlightCounts;
	/** Addresses of the entries that it knows. */
	readonly peers: readonly string[];
	readonly configVersion: number;
	/** Time since its version was known to be the newest, in ms; undefined if it knows none. */
	readonly configAgeMs: number | undefined;
	/** Its configuration, if it was wanted and is newer than that of the asker. */
	readonly config: FleetConfigData | undefined;
	readonly left: readonly EndpointTombstone[];
	/** Its endpoints, if they were wanted. */
	readonly endpoints: readonly EndpointRecord[] | undefined;
	/** Whether it can read the register. */
	readonly isRegisterInReach: boolean;
};

export type PeerExchangeOptions = EntryState & {
	/** Own address, `HOST:PORT`. */
	readonly address: string;
	readonly host: string;
	readonly port: number;
	readonly seeds: readonly string[];
	readonly load: LoadTracker;
};

/** How often entries exchange their counts, in ms: several times while a request runs. */
const POLL_INTERVAL_MS = 200;

/** Age of the configuration's confirmation from which all peers are asked, in ms: two reads of the register have failed. */
const POLL_ALL_AGE_MS = 1800;

/** How often an entry that nobody reports to introduces itself, in ms. */
const ANNOUNCE_INTERVAL_MS = 2000;

/** Time for an answer, in ms: some round trips across zones of a busy entry. */
const POLL_TIMEOUT_MS = 400;

/** A peer that has not answered for so long is dropped until another peer names it, in ms. */
const PEER_EXPIRY_MS = 15_000;

type Peer = {readonly link: RequestLink; isReachable: boolean; lastContactAt: number; isPolling: boolean};

export class PeerExchange {
	/** Listens and begins to exchange, until the signal aborts. Rejects if the address is taken. */
	static async create(parts: PeerExchangeOptions, signal: AbortSignal): Promise<PeerExchange> {
		const exchange = new PeerExchange(parts);
		await RequestServer.create(parts.host, parts.port, async question => exchange.#handleRequest(question as PeerRequest), signal);
		void exchange.#run(signal);
		return exchange;
	}

	readonly #peers = new Map<string, Peer>();
	readonly #options: PeerExchangeOptions;

	private constructor(parts: PeerExchangeOptions) {
		this.#options = parts;
	}

	/** Entries in reach that this one asks with each report; the others ask this one. */
	get polledPeers(): number {
		return [...this.#peers].filter(([address, {isReachable: isReached}]) => isReached && this.#isPolled(address)).length;
	}

	#needsConfig(now: Instant): boolean {
		const {config} = this.#options;
		return config.ageMs(now) > POLL_ALL_AGE_MS || (config.isBehind && !config.isRegistryReachable);
	}

	#isPolled(address: string): boolean {
		return this.#options.address < address;
	}

	async #run(signal: AbortSignal): Promise<void> {
		let helloAt = Number.NEGATIVE_INFINITY;
		while (!signal.aborted) {
			const now = this.#options.now();
			const isHello = now.monotonicMs - helloAt >= ANNOUNCE_INTERVAL_MS;
			if (isHello) {
				helloAt = now.monotonicMs;
				this.#addPeers(this.#options.seeds);
			}

			const needsHelp = this.#needsConfig(now) || !this.#options.directory.isRegistryReachable;
			for (const [address, peer] of this.#peers) {
				// One of two entries asks; its question carries its own counts, the answer those of the other.
				if (!peer.isPolling && (needsHelp || isHello || this.#isPolled(address))) {
					void this.#poll(address, peer);
				}
			}

			await sleep(POLL_INTERVAL_MS, signal);
		}

		for (const {link} of this.#peers.values()) {
			link.close();
		}
	}

	async #poll(address: string, peer: Peer): Promise<void> {
		const {config, directory, load, now} = this.#options;
		const sentAt = now();
		const question: PeerRequest = {
			from: this.#options.address,
			load: load.localCounts(),
			configVersion: config.current?.version ?? 0,
			wantsConfig: this.#needsConfig(sentAt),
			wantsEndpoints: !directory.isRegistryReachable || directory.size === 0,
		};
		peer.isPolling = true;
		const result = await peer.link.ask(question, POLL_TIMEOUT_MS);
		peer.isPolling = false;
		this.#setReachable(address, peer, result.kind === 'ok');
		if (result.kind === 'ok') {
			this.#applyResponse(address, result.value as PeerResponse, sentAt);
		}
	}

	#applyResponse(address: string, answer: PeerResponse, sentAt: Instant): void {
		const {config, directory, load, events: journal, now} = this.#options;
		load.updatePeer(address, answer.load, now().monotonicMs);
		this.#addPeers(answer.peers);
		config.noteKnownVersion(answer.configVersion);
		if (answer.configAgeMs !== undefined) {
			const asOf = {monotonicMs: sentAt.monotonicMs - answer.configAgeMs, wallMs: sentAt.wallMs - answer.configAgeMs};
			if (answer.config === undefined) {
				config.confirm(answer.configVersion, asOf);
			} else {
				const received = FleetConfig.create(answer.config);
				if (config.update(received, asOf) === 'adopted') {
					recordConfigChange(received, 'peer', journal);
				}
			}
		}

		for (const left of answer.left) {
			directory.addTombstone(left);
		}

		if (answer.endpoints !== undefined && (directory.size === 0 || (answer.isRegisterInReach && !directory.isRegistryReachable))) {
			directory.replaceAll(answer.endpoints, now().monotonicMs);
		}
	}

	async #handleRequest(question: PeerRequest): Promise<PeerResponse> {
		const {config, directory, load, now} = this.#options;
		const at = now();
		if (question.from !== undefined) {
			load.updatePeer(question.from, question.load, at.monotonicMs);
			config.noteKnownVersion(question.configVersion);
			this.#addPeers([question.from]);
		}

		const {current} = config;
		return {
			load: load.localCounts(),
			peers: [...this.#peers].filter(([, peer]) => peer.isReachable).map(([address]) => address),
			configVersion: current?.version ?? 0,
			configAgeMs: current === undefined ? undefined : config.ageMs(at),
			config: question.wantsConfig && current !== undefined && current.version > question.configVersion ? current.data : undefined,
			left: directory.tombstones(),
			endpoints: question.wantsEndpoints ? directory.records() : undefined,
			isRegisterInReach: directory.isRegistryReachable,
		};
	}

	#addPeers(addresses: readonly string[]): void {
		for (const address of addresses) {
			if (address !== this.#options.address && !this.#peers.has(address)) {
				this.#peers.set(address, {
					link: RequestLink.create(address), isReachable: false, lastContactAt: this.#options.now().monotonicMs, isPolling: false,
				});
			}
		}
	}

	#setReachable(address: string, peer: Peer, isReached: boolean): void {
		const now = this.#options.now().monotonicMs;
		if (isReached !== peer.isReachable) {
			peer.isReachable = isReached;
			this.#options.events.record({
				kind: 'dependency', dependency: `entry ${address}`, isReachable: isReached, detail: '',
			});
		}

		if (isReached) {
			peer.lastContactAt = now;
		} else if (now - peer.lastContactAt > PEER_EXPIRY_MS) {
			peer.link.close();
			this.#peers.delete(address);
		}
	}
}

/** Time for an answer to a process that is no entry, in ms. */
const FETCH_TIMEOUT_MS = 300;

/** Asks entries for the endpoints that they know, one after the other; undefined if none answers. For processes that cannot read the register. */
export async function fetchEndpointsFromEntries(addresses: readonly string[]): Promise<readonly EndpointRecord[] | undefined> {
	for (const address of addresses) {
		const link = RequestLink.create(address);
		const question: PeerRequest = {
			from: undefined, load: {}, configVersion: 0, wantsConfig: false, wantsEndpoints: true,
		};
		const answer = await link.ask(question, FETCH_TIMEOUT_MS);
		link.close();
		const endpoints = answer.kind === 'ok' ? (answer.value as PeerResponse).endpoints : undefined;
		if (endpoints !== undefined && endpoints.length > 0) {
			return endpoints;
		}
	}

	return undefined;
}
