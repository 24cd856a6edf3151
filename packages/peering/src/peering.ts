/**
 * Gossip between machines: keeps links to peers and distributes the rules and the directory over them. Entries
 * and endpoints both run it. Its state is one immutable snapshot in a kernel, to which other parts listen.
 */
import {setInterval} from 'node:timers/promises';
import {Kernel} from '#core';
import {
	Directory, neighboursOf, parseMachine, parseMachines, readinessOf, TextHistory, type Machine, type Readiness, type SourceState,
} from '#membership';
import {
	LinkPool, PeerServer, type Message, type MessageOf, type PeerIdentity, type PeerLink,
} from '#protocol';
import {createRuleSet, parseRules, type RuleSet} from '#rules';
import {type Logger, type Metrics} from '#telemetry';

/** Interval of heartbeats to neighbouring entries and to machines of the same group. */
const NEIGHBOUR_HEARTBEAT_MS = 1000;

/** Heartbeats are sent on all other links once in this many rounds; changes are announced immediately. */
const SLOW_HEARTBEAT_ROUNDS = 15;

/** The traffic of the links is logged once in this many rounds. */
const TRAFFIC_LOG_ROUNDS = 5;

/** A requested text that has not arrived may be requested again after this time. */
const REQUEST_RETRY_MS = 500;

/** A link on which nothing was received for this time is closed; longer than three intervals of slow heartbeats. */
const LINK_TIMEOUT_MS = 50_000;

/** A seed that does not send the requested texts within this time counts as unreachable. */
const SEED_TIMEOUT_MS = 3000;

/** State of a machine: configuration, membership and the states of their sources. */
export type PeeringSnapshot = {
	readonly rules: TextHistory;
	readonly ruleSet: RuleSet;
	readonly machineList: TextHistory;
	readonly directory: Directory;
	/** Time when the rules were last confirmed to be the newest, by the platform or through peers, ms since the epoch; 0 if never. */
	readonly confirmedAt: number;
	readonly platform: SourceState;
	readonly seeds: ReadonlyMap<string, SourceState>;
	readonly leaving: boolean;
};

export type PeeringOptions = {
	readonly machine: Machine;
	readonly incarnation: string;
	readonly listen: {readonly host: string; readonly port: number};
	readonly sharedKey: string;
	/** Addresses of the peers to query at startup, `IP:port`. */
	readonly seeds: readonly string[];
	readonly log: Logger;
	readonly metrics: Metrics;
	readonly signal: AbortSignal;
};

export class Peering {
	/**
	 * Starts to listen for peers and queries the seeds.
	 *
	 * @throws Error if listening on the address fails.
	 */
	static async create(options: PeeringOptions): Promise<Peering> {
		const peering = new Peering(options);
		await peering.#listen();
		void peering.#runHeartbeats();
		for (const seed of options.seeds) {
			void peering.#querySeed(seed);
		}

		return peering;
	}

	readonly kernel: Kernel<PeeringSnapshot>;
	readonly pool: LinkPool;
	#machine: Machine;
	readonly #options: PeeringOptions;
	readonly #log: Logger;
	#round = 0;
	#closedBytes = 0;
	readonly #requestedTexts = new Map<'rules' | 'directory', {readonly version: number; readonly at: number}>();

	private constructor(options: PeeringOptions) {
		this.#options = options;
		this.#machine = options.machine;
		this.#log = options.log.child('peers');
		this.kernel = Kernel.create<PeeringSnapshot>({
			rules: TextHistory.create(),
			ruleSet: createRuleSet([]),
			machineList: TextHistory.create(),
			directory: Directory.create(),
			confirmedAt: 0,
			platform: 'asking',
			seeds: new Map(options.seeds.map(seed => [seed, 'asking'])),
			leaving: false,
		});
		this.pool = LinkPool.create({
			sharedKey: options.sharedKey,
			identity: () => this.#identity(),
			onRefused: reason => {
				this.#reportRefusal(reason);
			},
			signal: options.signal,
		});
		this.pool.registerLinkListener(link => {
			this.#onLink(link);
		});
		this.pool.registerCloseListener(({counts}) => {
			this.#closedBytes += counts.bytesSent + counts.bytesReceived;
		});
		options.metrics.registerGauge('link_bytes', 'Bytes on all peer links since the start, both directions.', () => this.linkBytes);
		options.metrics.registerGauge('links', 'Open peer links.', () => this.pool.links.length);
	}

	/** This machine as announced to peers. */
	get machine(): Machine {
		return this.#machine;
	}

	/** Id of this process; changes with each start. */
	get incarnation(): string {
		return this.#options.incarnation;
	}

	/** Whether this machine may serve, given the responses received since its start. */
	get readiness(): Readiness {
		return readinessOf(this.kernel.snapshot);
	}

	/**
	 * Applies rules if they are newer than the rules in force. Rules that this software version cannot parse
	 * are logged and ignored.
	 *
	 * @returns Whether the rules were applied.
	 */
	offerRules(version: number, text: string, source: 'platform' | 'peer'): boolean {
		return this.#applyRules(this.kernel.snapshot.rules.with({version, text}), source);
	}

	/** Applies the platform's list of machines if it is newer than the current one. */
	offerList(version: number, machines: readonly Machine[], text: string): void {
		this.#applyList(this.kernel.snapshot.machineList.with({version, text}), machines);
	}

	/** Records whether the platform responded. `confirmed`: the response showed that the rules in force are the newest. */
	setPlatformState(state: SourceState, confirmed: boolean): void {
		this.kernel.update(prev => ({
			...prev,
			platform: prev.platform === 'answered' ? prev.platform : state,
			confirmedAt: confirmed ? Date.now() : prev.confirmedAt,
		}));
	}

	/** Sets whether this machine is leaving and announces it to all peers. */
	setLeaving(leaving: boolean): void {
		this.#machine = {...this.#machine, state: leaving ? 'leaving' : 'live'};
		this.kernel.update(prev => ({...prev, leaving}));
		this.#broadcast({kind: 'leaving', leaving});
		this.#announce(this.#machine, this.#options.incarnation);
	}

	/** Returns the open link to a machine, or opens one. @throws UnavailableError if the machine cannot be reached. */
	async linkTo(id: string): Promise<PeerLink> {
		const open = this.pool.findLink(id);
		if (open !== undefined) {
			return open;
		}

		const machine = this.kernel.snapshot.directory.get(id);
		return this.pool.getOrDial(id, machine?.address ?? '');
	}

	#identity(): PeerIdentity {
		const {
			id, role, region, zone, address,
		} = this.#machine;
		return {
			id, role, region, zone, address, incarnation: this.#options.incarnation,
		};
	}

	async #listen(): Promise<void> {
		const {listen, sharedKey, signal} = this.#options;
		const server = await PeerServer.create({
			host: listen.host,
			port: listen.port,
			sharedKey,
			identity: () => this.#identity(),
			onLink: link => {
				this.pool.add(link);
			},
			onRefused: reason => {
				this.#reportRefusal(reason);
			},
			signal,
		});
		this.#machine = {...this.#machine, address: `${listen.host}:${server.port}`};
		this.kernel.update(prev => ({
			...prev, directory: prev.directory.withAnnouncement(this.#machine, this.#options.incarnation, Date.now()),
		}));
	}

	#reportRefusal(reason: string): void {
		const kind = reason.split(/[\d:]/u)[0]?.trim() ?? 'other';
		this.#options.metrics.count('peerRefusals', kind.slice(0, 60));
		this.#log.warn('peer refused', {reason});
	}

	#onLink(link: PeerLink): void {
		link.registerMessageHandler('heartbeat', message => {
			this.#onHeartbeat(link, message);
		});
		link.registerMessageHandler('textWant', message => {
			const history = message.topic === 'rules' ? this.kernel.snapshot.rules : this.kernel.snapshot.machineList;
			link.send({kind: 'text', topic: message.topic, ...history.updateFrom(message.have)});
		});
		link.registerMessageHandler('text', message => {
			this.#onText(link, message);
		});
		link.registerMessageHandler('announce', message => {
			this.#onAnnouncement(link, message);
		});
		link.registerMessageHandler('leaving', message => {
			this.#onLeaving(link, message.leaving);
		});
		link.send({kind: 'announce', machine: this.#machine, incarnation: this.#options.incarnation});
		link.send(this.#heartbeat());
	}

	#heartbeat(): Message {
		const {rules, machineList, confirmedAt} = this.kernel.snapshot;
		return {
			kind: 'heartbeat',
			rulesVersion: rules.newest.version,
			directoryVersion: machineList.newest.version,
			confirmedAgeMs: confirmedAt === 0 ? Number.MAX_SAFE_INTEGER : Math.max(0, Date.now() - confirmedAt),
		};
	}

	#onHeartbeat(link: PeerLink, message: MessageOf<'heartbeat'>): void {
		const {rules, machineList, confirmedAt} = this.kernel.snapshot;
		if (message.rulesVersion > rules.newest.version && this.#shouldRequest('rules', message.rulesVersion)) {
			link.send({kind: 'textWant', topic: 'rules', have: rules.newest.version});
		}

		if (message.directoryVersion > machineList.newest.version && this.#shouldRequest('directory', message.directoryVersion)) {
			link.send({kind: 'textWant', topic: 'directory', have: machineList.newest.version});
		}

		const peerConfirmedAt = Date.now() - message.confirmedAgeMs;
		if (message.rulesVersion === rules.newest.version && peerConfirmedAt > confirmedAt) {
			this.kernel.update(prev => ({...prev, confirmedAt: peerConfirmedAt}));
		}
	}

	/**
	 * Whether a text should be requested now. All peers announce a new version at the same time; a request
	 * to each of them would transfer the same text once for every link.
	 */
	#shouldRequest(topic: 'rules' | 'directory', version: number): boolean {
		const requested = this.#requestedTexts.get(topic);
		const now = Date.now();
		if (requested !== undefined && requested.version >= version && now - requested.at < REQUEST_RETRY_MS) {
			return false;
		}

		this.#requestedTexts.set(topic, {version, at: now});
		return true;
	}

	#onText(link: PeerLink, message: MessageOf<'text'>): void {
		const history = message.topic === 'rules' ? this.kernel.snapshot.rules : this.kernel.snapshot.machineList;
		const result = history.apply(message);
		switch (result.kind) {
			case 'old': {
				return;
			}

			case 'mismatch': {
				link.send({kind: 'textWant', topic: message.topic, have: 0});
				return;
			}

			case 'replaced': {
				if (message.topic === 'rules') {
					this.#applyRules(result.history, 'peer');
					return;
				}

				this.#applyListText(result.history);
			}
		}
	}

	#applyListText(history: TextHistory): void {
		try {
			this.#applyList(history, parseMachines(history.newest.text));
		} catch (error) {
			this.#reportRefusal(error instanceof Error ? error.message : 'directory not readable');
		}
	}

	#applyList(history: TextHistory, machines: readonly Machine[]): void {
		if (history === this.kernel.snapshot.machineList) {
			return;
		}

		this.kernel.update(prev => ({...prev, machineList: history, directory: prev.directory.withList(history.newest.version, machines, Date.now())}));
		this.#broadcast(this.#heartbeat());
	}

	#applyRules(history: TextHistory, source: 'platform' | 'peer'): boolean {
		if (history === this.kernel.snapshot.rules) {
			return false;
		}

		const {version, text} = history.newest;
		const parsed = parseRules(text, `rules version ${version}`);
		if (parsed.kind === 'failed') {
			this.#log.error('rules from a peer or the platform cannot be parsed; keeping the rules in force', {version, findings: parsed.failure.length});
			this.#options.metrics.count('configChanges', 'unreadable');
			return false;
		}

		this.kernel.update(prev => ({...prev, rules: history, ruleSet: parsed.value}));
		this.#options.metrics.count('configChanges', source);
		this.#log.info('rules in force', {version, source});
		this.#broadcast(this.#heartbeat());
		return true;
	}

	#onAnnouncement(link: PeerLink, message: MessageOf<'announce'>): void {
		let machine: Machine;
		try {
			machine = parseMachine(message.machine);
		} catch (error) {
			this.#reportRefusal(error instanceof Error ? error.message : 'announcement not readable');
			return;
		}

		// An endpoint may announce only itself; entries forward announcements of others.
		if (link.peer.role === 'endpoint' && machine.id !== link.peer.id) {
			this.#reportRefusal('announcement by another endpoint');
			return;
		}

		this.#announce(machine, message.incarnation);
	}

	#announce(machine: Machine, incarnation: string): void {
		const {directory} = this.kernel.snapshot;
		const next = directory.withAnnouncement(machine, incarnation, Date.now());
		if (next === directory) {
			return;
		}

		this.kernel.update(prev => ({...prev, directory: next}));
		if (this.#machine.role === 'entry' || machine.id === this.#machine.id) {
			this.#broadcast({kind: 'announce', machine, incarnation}, link => link.peer.role === 'entry' && link.peer.id !== machine.id);
		}
	}

	#onLeaving(link: PeerLink, leaving: boolean): void {
		const machine = this.kernel.snapshot.directory.get(link.peer.id);
		if (machine !== undefined) {
			this.#announce({...machine, state: leaving ? 'leaving' : 'live'}, link.peer.incarnation);
		}
	}

	#broadcast(message: Message, isRecipient: (link: PeerLink) => boolean = () => true): void {
		for (const link of this.pool.links) {
			if (isRecipient(link)) {
				link.send(message);
			}
		}
	}

	async #runHeartbeats(): Promise<void> {
		try {
			for await (const _ of setInterval(NEIGHBOUR_HEARTBEAT_MS, undefined, {signal: this.#options.signal, ref: false})) {
				this.#round += 1;
				this.#dialNeighbours();
				this.#sendHeartbeats();
				this.#closeSilentLinks();
				this.#logTraffic();
			}
		} catch (error) {
			if (!this.#options.signal.aborted) {
				this.#log.error('heartbeat task failed', {err: error});
			}
		}
	}

	/** Ids of the machines to which this machine keeps links to exchange updates. */
	#neighbourIds(): readonly string[] {
		const {directory} = this.kernel.snapshot;
		if (this.#machine.role === 'entry') {
			return neighboursOf(directory, this.#machine.id);
		}

		const group = this.#machine.group === undefined ? [] : directory.groupMembers(this.#machine.group);
		const others = group.map(machine => machine.id).filter(id => id !== this.#machine.id);
		// Entries dial the endpoints that they use. An endpoint dials two entries itself, so that it is found while the platform's list is outdated.
		return [...others, ...neighboursOf(directory, this.#machine.id).slice(0, 2)];
	}

	#dialNeighbours(): void {
		for (const id of this.#neighbourIds()) {
			if (this.pool.findLink(id) === undefined) {
				this.linkTo(id).catch(() => {
					this.#log.debug('neighbour cannot be reached', {peer: id});
				});
			}
		}

		for (const [seed, state] of this.kernel.snapshot.seeds) {
			if (state === 'unreachable' && this.readiness.kind === 'waiting') {
				void this.#querySeed(seed);
			}
		}
	}

	#sendHeartbeats(): void {
		const heartbeat = this.#heartbeat();
		const neighbours = new Set(this.#neighbourIds());
		const isSlowRound = this.#round % SLOW_HEARTBEAT_ROUNDS === 0;
		this.#broadcast(heartbeat, link => isSlowRound || neighbours.has(link.peer.id));
	}

	/** Bytes sent and received on all links since the start, including closed links. */
	get linkBytes(): number {
		let bytes = this.#closedBytes;
		for (const {counts} of this.pool.links) {
			bytes += counts.bytesSent + counts.bytesReceived;
		}

		return bytes;
	}

	#logTraffic(): void {
		if (this.#round % TRAFFIC_LOG_ROUNDS === 0) {
			this.#log.info('link bytes', {bytes: this.linkBytes, links: this.pool.links.length});
		}
	}

	#closeSilentLinks(): void {
		const oldest = Date.now() - LINK_TIMEOUT_MS;
		for (const link of this.pool.links) {
			if (link.lastReceivedAt < oldest) {
				this.#log.warn('link timed out and was closed', {peer: link.peer.id});
				link.terminate();
			}
		}
	}

	async #querySeed(seed: string): Promise<void> {
		const setSeedState = (state: SourceState) => {
			this.kernel.update(prev => ({...prev, seeds: new Map([...prev.seeds, [seed, state]])}));
		};

		if (seed === this.#machine.address) {
			setSeedState('unreachable');
			return;
		}

		try {
			const link = await this.pool.dial(seed);
			// A seed responds to requests in order; it counts as `answered` when both texts have arrived.
			link.send({kind: 'textWant', topic: 'rules', have: this.kernel.snapshot.rules.newest.version});
			link.send({kind: 'textWant', topic: 'directory', have: this.kernel.snapshot.machineList.newest.version});
			await this.#waitForTexts(link);
			setSeedState('answered');
		} catch {
			setSeedState('unreachable');
		}
	}

	/** Waits until a seed has sent both texts. A seed without rules (version 0) does not count as `answered`. */
	async #waitForTexts(link: PeerLink): Promise<void> {
		const timeout = AbortSignal.any([link.closed, AbortSignal.timeout(SEED_TIMEOUT_MS)]);
		const missing = new Set(['rules', 'directory']);
		return new Promise((resolve, reject) => {
			const teardown = link.registerMessageHandler('text', message => {
				if (message.version > 0 || message.topic === 'directory') {
					missing.delete(message.topic);
				}

				if (missing.size === 0) {
					teardown();
					resolve();
				}
			});
			timeout.addEventListener('abort', () => {
				teardown();
				reject(new Error('seed did not respond'));
			}, {once: true});
		});
	}
}
