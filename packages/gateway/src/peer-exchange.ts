/**
 * Exchange of state between entries: requests in flight, the configuration and the age of its confirmation, endpoints that
 * leave, evacuated zones, what may crash endpoints, and the limits that endpoints name. The registry may respond to one entry and refuse another,
 * so each entry polls its peers when its own data becomes stale. An age is accepted only from a response, and counted from the time
 * at which the request was sent.
 */
import type {CrashGuard} from './crash-guard.js';
import type {EvacuationGuard} from './evacuation-guard.js';
import type {LimitGuard} from './limit-guard.js';
import {
	enterEra, recordConfigChange, type EntryState, type PeerSchedule,
} from './registry.js';
import type {MachineLimits} from '#connections';
import {
	createDeferred, InputError, isRevision, sleep, superviseTask,
} from '#core';
import {
	FleetConfig, MAX_EVACUATED_ZONES, PEER_LOAD_TTL_MS, type EndpointRecord, type EntryCount, type FleetConfigData, type Instant, type EndpointLimitReport, type EndpointTombstone, type LimitPermit, type LoadTracker, type InFlightCounts, type Reading,
} from '#dispatch';
import {RequestClient, RequestServer} from '#links';
import type {CauseReport, CrashCause} from '#quarantine';
import {hashHex, rendezvousOrder} from '#routing';

/** Request of one entry to another. */
export type PeerRequest = {
	/** `HOST:PORT` of the requesting entry; undefined for any other process. */
	readonly from: string | undefined;
	readonly load: InFlightCounts;
	/** Digest of the addresses of the reachable entries that the requesting one knows; undefined from an entry of an earlier version. */
	readonly peersDigest: string | undefined;
	/** Version that the requesting entry has; 0 for none. */
	readonly configVersion: number;
	/** Whether it needs the content of a newer version because it cannot read the registry. */
	readonly wantsConfig: boolean;
	/** Whether it needs the endpoints because it cannot read the registry or has none. */
	readonly wantsEndpoints: boolean;
	/** Undefined from an entry of an earlier version. */
	readonly crashCauses: readonly CauseReport[] | undefined;
	/** Causes of which the requesting entry would run a probe; undefined for none. */
	readonly probe: readonly CrashCause[] | undefined;
	/** Undefined from an entry of an earlier version. */
	readonly limits: readonly EndpointLimitReport[] | undefined;
	/** The endpoint for which the requesting entry wants a permit, with the limit that it knows of; undefined for none. */
	readonly permitFor: EndpointLimitReport | undefined;
	/** Age of its reading of evacuated zones, in ms, if it asks for a younger one; infinite if it has none. Absent from an entry of an earlier version. */
	readonly evacuationAgeMs?: number;
};

/** Response to a request. */
export type PeerResponse = {
	readonly load: InFlightCounts;
	/** Addresses of the reachable entries that the responding one knows; empty if the requesting entry knows the same ones. */
	readonly peers: readonly string[];
	readonly configVersion: number;
	/** Time since its version was last known to be the newest, in ms; undefined if it has none. */
	readonly configAgeMs: number | undefined;
	/** Its configuration, if requested and newer than that of the requesting entry. */
	readonly config: FleetConfigData | undefined;
	readonly left: readonly EndpointTombstone[];
	/** Its endpoints, if requested. */
	readonly endpoints: readonly EndpointRecord[] | undefined;
	/** Era of its endpoints; absent if the registry has none, and from an entry of an earlier version. */
	readonly era?: number;
	/** Whether it can read the registry. */
	readonly isRegisterInReach: boolean;
	/** Undefined from an entry of an earlier version. */
	readonly crashCauses: readonly CauseReport[] | undefined;
	/** Whether the requested probe may run now; false if none was requested. */
	readonly isProbeGranted: boolean;
	/** Undefined from an entry of an earlier version. */
	readonly limits: readonly EndpointLimitReport[] | undefined;
	/** The requested permit; undefined if none was requested, and from an entry of an earlier version. */
	readonly permit: LimitPermit | undefined;
	/** Its reading of evacuated zones, if one is asked for and this one is younger. */
	readonly evacuations?: PeerEvacuations;
};

/** A reading of evacuated zones, with the time since it was asked for in ms. The era is absent if the registry has none, and from an entry of an earlier version. */
type PeerEvacuations = Reading & {readonly zones: readonly string[]; readonly ageMs: number};

/** What a request asks for beside the exchange of state. */
type PeerQuestion = {readonly probe?: readonly CrashCause[]; readonly permitFor?: EndpointLimitReport};

export type PeerExchangeOptions = EntryState & {
	/** Address of this entry, `HOST:PORT`. */
	readonly address: string;
	readonly host: string;
	readonly port: number;
	readonly seeds: readonly string[];
	readonly load: LoadTracker;
	readonly crashGuard: CrashGuard;
	readonly limitGuard: LimitGuard;
	/** Undefined if zones are not evacuated in this deployment. */
	readonly evacuations: EvacuationGuard | undefined;
	readonly machine?: MachineLimits | undefined;
};

/** Interval at which entries exchange their load, in ms: several times during a request. */
const POLL_INTERVAL_MS = 200;

/** Number of other entries up to which that interval holds; it grows with their number beyond, so that what an entry sends does not. */
const PEERS_PER_INTERVAL = 17;

/** Longest interval, in ms: counts of a peer expire after two of them. */
const MAX_POLL_INTERVAL_MS = PEER_LOAD_TTL_MS / 2;

/** Longest name of a zone, in characters: that of a DNS name. */
const MAX_ZONE_LENGTH = 253;

/** Age of the configuration's confirmation from which all peers are polled, in ms: two reads of the registry have failed by then. */
const POLL_ALL_AGE_MS = 1800;

/** Interval at which an entry polls all its peers and seeds to announce itself, in ms. */
const ANNOUNCE_INTERVAL_MS = 2000;

/** Delay of an announcement, in ms: all requests that an endpoint broke off are covered by one. */
const ANNOUNCE_DELAY_MS = 5;

/** Timeout of a poll, in ms: a few round trips across zones to a busy entry. */
const POLL_TIMEOUT_MS = 400;

/** Timeout of a request for a permit, in ms: a caller waits for it, so another entry is asked soon. */
const PERMIT_TIMEOUT_MS = 100;

/** Number of entries asked for a permit in vain after which the own bucket is used: an entry that is cut off would ask each of the others. */
const MAX_PERMIT_TIMEOUTS = 3;

/** Time without a response after which a peer is removed until another peer names it, in ms. */
const PEER_EXPIRY_MS = 15_000;

type Peer = {readonly link: RequestClient; isReachable: boolean; lastContactAt: number; isPolling: boolean};

export class PeerExchange {
	/** Listens and exchanges state until the signal aborts. Rejects if the address is taken. */
	static async create(options: PeerExchangeOptions, signal: AbortSignal): Promise<PeerExchange> {
		const exchange = new PeerExchange(options);
		const onError = options.events.errorListener('peer-request');
		await RequestServer.create(options.host, options.port, async request => exchange.#handleRequest(readMessage<PeerRequest>(request)), {signal, onError, machine: options.machine});
		void superviseTask(async () => exchange.#run(signal), options.events.errorListener('peers'), signal);
		return exchange;
	}

	readonly #firstRound = createDeferred<void>();
	readonly #peers = new Map<string, Peer>();
	/** Seeds that have not been reached since the start. While there are any, entries that are cut off together may not know most of the others. */
	readonly #missingSeeds: Set<string>;
	#announceTimer: NodeJS.Timeout | undefined;
	/** Undefined after a change of the reachable peers. */
	#cachedDigest: string | undefined;
	readonly #options: PeerExchangeOptions;

	private constructor(options: PeerExchangeOptions) {
		this.#options = options;
		this.#missingSeeds = new Set(options.seeds.filter(seed => seed !== options.address));
	}

	/** Settles when each seed has answered the first poll, or has not in time. */
	get firstRound(): Promise<void> {
		return this.#firstRound.promise;
	}

	/** Number of reachable entries that this one polls regularly; the others poll this one. */
	get polledPeers(): number {
		return [...this.#peers].filter(([address, {isReachable}]) => isReachable && this.#isPolled(address)).length;
	}

	/** Number of entries that this one knows, including itself and those out of reach; complete once each seed has been reached since the start. */
	get knownEntries(): EntryCount {
		return {count: this.#knownOthers + 1, isComplete: this.#missingSeeds.size === 0};
	}

	/** How this entry exchanges its state now. */
	get schedule(): PeerSchedule {
		return {polledPeers: this.polledPeers, exchangeMs: pollIntervalMs(this.#peers.size)};
	}

	/**
	 * Asks whether a probe of these causes may run. The reachable entry with the smallest address grants the probes of all, so that no
	 * two run at the same time; an entry without peers grants its own.
	 */
	async requestProbe(causes: readonly CrashCause[]): Promise<boolean> {
		const granting = [...this.#peers]
			.filter(([address, {isReachable}]) => isReachable && address < this.#options.address)
			.toSorted(([a], [b]) => (a < b ? -1 : 1));
		for (const [address, peer] of granting) {
			const result = await peer.link.request(this.#createRequest(this.#options.now(), {probe: causes}), POLL_TIMEOUT_MS);
			if (result.kind === 'ok') {
				this.#options.crashGuard.merge((result.value as PeerResponse).crashCauses ?? []);
				return (result.value as PeerResponse).isProbeGranted;
			}

			this.#setReachable(address, peer, false);
		}

		return this.#options.crashGuard.takeProbe(causes);
	}

	/**
	 * Asks for a permit to send a request to an endpoint that names a limit, or warms up. For each endpoint one of the reachable entries grants
	 * the permits of all.
	 */
	async requestPermit(endpointId: string): Promise<LimitPermit> {
		const {address, limitGuard, now} = this.#options;
		let timeouts = 0;
		for (const granting of rendezvousOrder(endpointId, [address, ...this.#reachablePeers()], this.#peers.size + 1)) {
			if (granting === address || timeouts >= MAX_PERMIT_TIMEOUTS) {
				break;
			}

			// Other requests may have found meanwhile that the peer does not answer.
			const peer = this.#peers.get(granting);
			if (peer?.isReachable !== true) {
				continue;
			}

			const result = await peer.link.request(this.#createRequest(now(), {permitFor: limitGuard.reportOf(endpointId)}), PERMIT_TIMEOUT_MS);
			if (result.kind === 'ok') {
				return (result.value as PeerResponse).permit ?? this.#takePermit(limitGuard.reportOf(endpointId));
			}

			this.#setReachable(granting, peer, false);
			timeouts += 1;
		}

		return this.#takePermit(limitGuard.reportOf(endpointId));
	}

	/** Polls all reachable peers soon, so that they know what this entry knows before its next regular poll. */
	announce(): void {
		this.#announceTimer ??= setTimeout(() => {
			this.#announceTimer = undefined;
			for (const [address, peer] of this.#peers) {
				if (peer.isReachable) {
					void this.#poll(address, peer);
				}
			}
		}, ANNOUNCE_DELAY_MS).unref();
	}

	/** Number of other entries that this one knows, with the seeds that it has not reached for so long that they were removed. */
	get #knownOthers(): number {
		const {address, seeds} = this.#options;
		return this.#peers.size + seeds.filter(seed => seed !== address && !this.#peers.has(seed)).length;
	}

	#reachablePeers(): readonly string[] {
		return [...this.#peers].flatMap(([address, {isReachable}]) => isReachable ? [address] : []);
	}

	/** Digest of the reachable entries, including this one; computed anew only when they change, since each message needs it. */
	#peersDigest(): string {
		this.#cachedDigest ??= hashHex([this.#options.address, ...this.#reachablePeers()].toSorted().join(' '));
		return this.#cachedDigest;
	}

	#takePermit(report: EndpointLimitReport): LimitPermit {
		return this.#options.limitGuard.takePermit(report, this.#limitShare(), this.#reachablePeers().length + 1);
	}

	/** Share of a limit that this entry may grant, in (0, 1]: entries that it cannot reach may grant permits among themselves. */
	#limitShare(): number {
		return (this.#reachablePeers().length + 1) / (this.#peers.size + 1);
	}

	#needsConfig(now: Instant): boolean {
		const {config} = this.#options;
		return config.ageMs(now) > POLL_ALL_AGE_MS || (config.isBehind && (!config.isRegistryReachable || config.isRegistryBehind));
	}

	#needsEvacuations(now: Instant): boolean {
		return this.#options.evacuations?.state.mustAskAll(now) ?? false;
	}

	#isPolled(address: string): boolean {
		return this.#options.address < address;
	}

	async #run(signal: AbortSignal): Promise<void> {
		let announcedAt = Number.NEGATIVE_INFINITY;
		while (!signal.aborted) {
			const now = this.#options.now();
			const isAnnouncementDue = now.monotonicMs - announcedAt >= ANNOUNCE_INTERVAL_MS;
			if (isAnnouncementDue) {
				announcedAt = now.monotonicMs;
				this.#addPeers(this.#options.seeds);
			}

			const mustPollAll = this.#needsConfig(now) || this.#needsEvacuations(now) || !this.#options.directory.isRegistryReachable;
			const polls: Array<Promise<void>> = [];
			for (const [address, peer] of this.#peers) {
				// Of any two entries only the one with the smaller address polls regularly: the request carries its load, the response that of the other.
				if (!peer.isPolling && (mustPollAll || isAnnouncementDue || this.#isPolled(address))) {
					polls.push(this.#poll(address, peer));
				}
			}

			void Promise.all(polls).then(() => {
				this.#firstRound.resolve();
			});
			await sleep(pollIntervalMs(this.#peers.size), signal);
		}

		clearTimeout(this.#announceTimer);
		for (const {link} of this.#peers.values()) {
			link.close();
		}
	}

	async #poll(address: string, peer: Peer): Promise<void> {
		const sentAt = this.#options.now();
		peer.isPolling = true;
		try {
			const result = await peer.link.request(this.#createRequest(sentAt), POLL_TIMEOUT_MS);
			this.#setReachable(address, peer, result.kind === 'ok');
			if (result.kind === 'ok') {
				this.#applyResponse(address, readMessage<PeerResponse>(result.value), sentAt);
			}
		} catch (error) {
			this.#options.events.errorListener('peer-response')(error);
		} finally {
			peer.isPolling = false;
		}
	}

	#createRequest(now: Instant, question: PeerQuestion = {}): PeerRequest {
		const {
			address, config, directory, load, crashGuard, limitGuard,
		} = this.#options;
		const {probe, permitFor} = question;
		const isPoll = probe === undefined && permitFor === undefined;
		const evacuationAgeMs = isPoll ? this.#options.evacuations?.askAgeMs() : undefined;
		return {
			from: address,
			load: load.localCounts(),
			peersDigest: this.#peersDigest(),
			configVersion: config.current?.version ?? 0,
			wantsConfig: isPoll && this.#needsConfig(now),
			wantsEndpoints: isPoll && (!directory.isRegistryReachable || directory.size === 0),
			crashCauses: crashGuard.reports(),
			probe,
			limits: limitGuard.reports(),
			permitFor,
			...(evacuationAgeMs === undefined ? {} : {evacuationAgeMs}),
		};
	}

	#applyResponse(address: string, response: PeerResponse, sentAt: Instant): void {
		const {
			config, directory, load, crashGuard, limitGuard, events, now,
		} = this.#options;
		this.#applyEvacuations(response.evacuations, sentAt);
		limitGuard.merge(response.limits ?? []);
		load.updatePeer(address, response.load, now().monotonicMs);
		crashGuard.merge(response.crashCauses ?? []);
		this.#addPeers(response.peers);
		this.#missingSeeds.delete(address);
		config.noteKnownVersion(response.configVersion);
		if (response.configAgeMs !== undefined) {
			const asOf = {monotonicMs: sentAt.monotonicMs - response.configAgeMs, wallMs: sentAt.wallMs - response.configAgeMs};
			if (response.config === undefined) {
				config.confirm(response.configVersion, asOf);
			} else {
				const received = FleetConfig.create(response.config);
				if (config.update(received, asOf) === 'adopted') {
					recordConfigChange(received, 'peer', events);
				}
			}
		}

		for (const tombstone of response.left) {
			directory.addTombstone(tombstone);
		}

		if (response.endpoints !== undefined && (directory.size === 0 || (response.isRegisterInReach && !directory.isRegistryReachable))) {
			this.#applyEndpoints(response.endpoints, response.era);
		}
	}

	/** Takes over the reading of another entry; its age counts from when it was asked. One that cannot be read is skipped. */
	#applyEvacuations(reading: PeerEvacuations | undefined, sentAt: Instant): void {
		const {evacuations, events} = this.#options;
		if (reading === undefined || evacuations === undefined) {
			return;
		}

		if (!isEvacuationReading(reading)) {
			events.record({kind: 'skipped-input', where: 'peer-evacuations', detail: 'no reading'});
			return;
		}

		const {zones, revision, era, ageMs} = reading;
		evacuations.merge({
			zones, revision, era, asOf: {monotonicMs: sentAt.monotonicMs - ageMs, wallMs: sentAt.wallMs - ageMs},
		}, 'peer');
	}

	/** The reading for an entry whose own has an age; undefined if it asks for none or this one is not younger. */
	#evacuationsFor(askedAgeMs: unknown, now: Instant): PeerEvacuations | undefined {
		const state = this.#options.evacuations?.state;
		const ageMs = Math.ceil(state?.ageMs(now) ?? Infinity);
		if (state?.reading === undefined || typeof askedAgeMs !== 'number' || ageMs >= askedAgeMs) {
			return undefined;
		}

		const {zones, revision, era} = state.reading;
		return {
			zones, revision, ...(era === undefined ? {} : {era}), ageMs,
		};
	}

	/** Applies the endpoints of a peer, unless they are of an earlier era. */
	#applyEndpoints(endpoints: readonly EndpointRecord[], era: number | undefined): void {
		const {directory, now} = this.#options;
		if (era !== undefined && (!Number.isSafeInteger(era) || era < (directory.era ?? 0))) {
			return;
		}

		enterEra(era, this.#options);
		// Revisions of an entry of an earlier version may be of any era, so they count as those of the first one.
		directory.replaceAll(directory.era === era ? endpoints : endpoints.map(record => ({...record, era: 0})), now().monotonicMs);
	}

	async #handleRequest(request: PeerRequest): Promise<PeerResponse> {
		const {
			config, directory, load, crashGuard, limitGuard, now,
		} = this.#options;
		const at = now();
		limitGuard.merge([...(request.limits ?? []), ...(request.permitFor === undefined ? [] : [request.permitFor])]);
		crashGuard.merge(request.crashCauses ?? []);
		if (request.from !== undefined) {
			load.updatePeer(request.from, request.load, at.monotonicMs);
			config.noteKnownVersion(request.configVersion);
			this.#addPeers([request.from]);
		}

		const {current} = config;
		const evacuations = this.#evacuationsFor(request.evacuationAgeMs, at);
		return {
			load: load.localCounts(),
			peers: request.from !== undefined && request.peersDigest === this.#peersDigest() ? [] : this.#reachablePeers(),
			configVersion: current?.version ?? 0,
			configAgeMs: current === undefined ? undefined : config.ageMs(at),
			config: request.wantsConfig && current !== undefined && current.version > request.configVersion ? current.data : undefined,
			left: directory.tombstones(request.wantsEndpoints ? 'all' : 'recent'),
			endpoints: request.wantsEndpoints ? directory.records() : undefined,
			...(directory.era === undefined ? {} : {era: directory.era}),
			isRegisterInReach: directory.isRegistryReachable,
			crashCauses: crashGuard.reports(),
			isProbeGranted: request.probe !== undefined && crashGuard.takeProbe(request.probe),
			limits: limitGuard.reports(),
			permit: request.permitFor === undefined ? undefined : this.#takePermit(request.permitFor),
			...(evacuations === undefined ? {} : {evacuations}),
		};
	}

	#addPeers(addresses: readonly string[]): void {
		for (const address of addresses) {
			if (address !== this.#options.address && !this.#peers.has(address)) {
				this.#peers.set(address, {
					link: RequestClient.create(address), isReachable: false, lastContactAt: this.#options.now().monotonicMs, isPolling: false,
				});
			}
		}
	}

	#setReachable(address: string, peer: Peer, isReachable: boolean): void {
		const now = this.#options.now().monotonicMs;
		if (isReachable !== peer.isReachable) {
			peer.isReachable = isReachable;
			this.#cachedDigest = undefined;
			this.#options.events.record({
				kind: 'dependency', dependency: `entry ${address}`, isReachable, detail: '',
			});
		}

		if (isReachable) {
			peer.lastContactAt = now;
		} else if (now - peer.lastContactAt > PEER_EXPIRY_MS) {
			peer.link.close();
			this.#peers.delete(address);
		}
	}
}

/**
 * A message of another entry; only its counts are checked, since they are kept and read by each later request.
 *
 * @throws InputError if it has none.
 */
function readMessage<Message extends {readonly load: InFlightCounts}>(value: unknown): Message {
	const load = typeof value === 'object' && value !== null && 'load' in value ? value.load : undefined;
	if (typeof load !== 'object' || load === null) {
		throw new InputError('message of another entry without counts');
	}

	return value as Message;
}

/** Whether the reading of another entry has the form and the size that an entry sends. */
function isEvacuationReading(value: unknown): value is PeerEvacuations {
	if (typeof value !== 'object' || value === null) {
		return false;
	}

	const {zones, revision, era, ageMs} = value as Readonly<Partial<Record<keyof PeerEvacuations, unknown>>>;
	return Array.isArray(zones) && zones.length <= MAX_EVACUATED_ZONES && zones.every(zone => typeof zone === 'string' && zone.length <= MAX_ZONE_LENGTH)
		&& isRevision(revision) && (era === undefined || (Number.isSafeInteger(era) && (era as number) >= 0)) && Number.isFinite(ageMs) && (ageMs as number) >= 0;
}

/** Interval at which an entry exchanges its load with a number of other entries, in ms. */
export function pollIntervalMs(peers: number): number {
	return Math.min(MAX_POLL_INTERVAL_MS, POLL_INTERVAL_MS * Math.max(1, peers / PEERS_PER_INTERVAL));
}

/** Timeout of a request from a process that is not an entry, in ms. */
const FETCH_TIMEOUT_MS = 300;

/** Fetches the known endpoints from the first of the entries that responds; undefined if none does. For processes that cannot read the registry. */
export async function fetchEndpointsFromEntries(addresses: readonly string[]): Promise<readonly EndpointRecord[] | undefined> {
	for (const address of addresses) {
		const link = RequestClient.create(address);
		const request: PeerRequest = {
			from: undefined, load: {}, peersDigest: undefined, configVersion: 0, wantsConfig: false, wantsEndpoints: true, crashCauses: [], probe: undefined, limits: [], permitFor: undefined,
		};
		const result = await link.request(request, FETCH_TIMEOUT_MS);
		link.close();
		const endpoints = result.kind === 'ok' ? (result.value as PeerResponse).endpoints : undefined;
		if (endpoints !== undefined && endpoints.length > 0) {
			return endpoints;
		}
	}

	return undefined;
}
