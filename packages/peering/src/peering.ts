/**
 * A machine's place among its peers: its links, the rules and the directory, and who
 * told whom about them. Both roles run one. All state is one immutable snapshot in a
 * kernel; the roles listen to it.
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

/** Heartbeats to neighbouring entries and to machines of the same group. */
const NEIGHBOUR_HEARTBEAT_MS = 1000;

/** Heartbeats on all other links, each so many rounds; changes are announced at once. */
const OTHER_HEARTBEAT_ROUNDS = 15;

/** The traffic of the links is logged each so many rounds. */
const TRAFFIC_ROUNDS = 5;

/** A text that was asked for and did not come is asked for again after this time. */
const ASK_AGAIN_MS = 500;

/** A link that was not heard for this time is closed; it is longer than three slow heartbeats. */
const SILENT_LINK_MS = 50_000;

/** Seeds that did not answer the question for texts within this time count as unreachable. */
const SEED_LIMIT_MS = 3000;

/** What a machine knows. */
export type PeeringSnapshot = {
	readonly rules: TextHistory;
	readonly ruleSet: RuleSet;
	readonly machineList: TextHistory;
	readonly directory: Directory;
	/** When this machine last heard, directly or through peers, that its rules are the newest, ms since the epoch; 0 if never. */
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
	/** Addresses of peers to ask first, `IP:port`. */
	readonly seeds: readonly string[];
	readonly log: Logger;
	readonly metrics: Metrics;
	readonly signal: AbortSignal;
};

export class Peering {
	/**
	 * Starts listening for peers and dials the seeds.
	 *
	 * @throws Error when the address cannot be listened on.
	 */
	static async create(options: PeeringOptions): Promise<Peering> {
		const peering = new Peering(options);
		await peering.#listen();
		void peering.#beat();
		for (const seed of options.seeds) {
			void peering.#askSeed(seed);
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
	readonly #asked = new Map<'rules' | 'directory', {readonly version: number; readonly at: number}>();

	private constructor(options: PeeringOptions) {
		this.#options = options;
		this.#machine = options.machine;
		this.#log = options.log.part('peers');
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
				this.#refused(reason);
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

	/** This machine as it announces itself. */
	get machine(): Machine {
		return this.#machine;
	}

	/** Changes each time the process starts. */
	get incarnation(): string {
		return this.#options.incarnation;
	}

	/** Whether this machine may serve, by what it heard since its start. */
	get readiness(): Readiness {
		return readinessOf(this.kernel.snapshot);
	}

	/**
	 * Takes in rules. Rules that are not newer change nothing; rules that this version
	 * cannot read are logged and kept out, and the rules in force stay.
	 *
	 * @returns True if the rules were put in force.
	 */
	offerRules(version: number, text: string, source: 'platform' | 'peer'): boolean {
		return this.#adoptRules(this.kernel.snapshot.rules.with({version, text}), source);
	}

	/** Takes in the platform's list of machines. A list that is not newer changes nothing. */
	offerList(version: number, machines: readonly Machine[], text: string): void {
		this.#adoptList(this.kernel.snapshot.machineList.with({version, text}), machines);
	}

	/** Notes whether the platform answered. `confirmed` is true when it said which rules are the newest. */
	setPlatformState(state: SourceState, confirmed: boolean): void {
		this.kernel.update(prev => ({
			...prev,
			platform: prev.platform === 'answered' ? prev.platform : state,
			confirmedAt: confirmed ? Date.now() : prev.confirmedAt,
		}));
	}

	/** Tells all peers whether this machine is leaving. */
	setLeaving(leaving: boolean): void {
		this.#machine = {...this.#machine, state: leaving ? 'leaving' : 'live'};
		this.kernel.update(prev => ({...prev, leaving}));
		this.#broadcast({kind: 'leaving', leaving});
		this.#announce(this.#machine, this.#options.incarnation);
	}

	/** The open link to a machine, or a new one. @throws UnavailableError when it cannot be reached. */
	async linkTo(id: string): Promise<PeerLink> {
		const open = this.pool.linked(id);
		if (open !== undefined) {
			return open;
		}

		const machine = this.kernel.snapshot.directory.get(id);
		return this.pool.link(id, machine?.address ?? '');
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
				this.#refused(reason);
			},
			signal,
		});
		this.#machine = {...this.#machine, address: `${listen.host}:${server.port}`};
		this.kernel.update(prev => ({
			...prev, directory: prev.directory.withAnnouncement(this.#machine, this.#options.incarnation, Date.now()),
		}));
	}

	#refused(reason: string): void {
		const kind = reason.split(/[\d:]/u)[0]?.trim() ?? 'other';
		this.#options.metrics.count('peerRefusals', kind.slice(0, 60));
		this.#log.warn('peer refused', {reason});
	}

	#onLink(link: PeerLink): void {
		link.registerMessage('heartbeat', message => {
			this.#onHeartbeat(link, message);
		});
		link.registerMessage('textWant', message => {
			const history = message.topic === 'rules' ? this.kernel.snapshot.rules : this.kernel.snapshot.machineList;
			link.send({kind: 'text', topic: message.topic, ...history.updateFrom(message.have)});
		});
		link.registerMessage('text', message => {
			this.#onText(link, message);
		});
		link.registerMessage('announce', message => {
			this.#onAnnounce(link, message);
		});
		link.registerMessage('leaving', message => {
			this.#onLeaving(link, message.leaving);
		});
		link.send({kind: 'announce', machine: this.#machine, incarnation: this.#options.incarnation});
		link.send(this.#heartbeat());
	}

	#heartbeat(): Message {
		const {rules, machineList: list, confirmedAt} = this.kernel.snapshot;
		return {
			kind: 'heartbeat',
			rulesVersion: rules.newest.version,
			directoryVersion: list.newest.version,
			confirmedAgeMs: confirmedAt === 0 ? Number.MAX_SAFE_INTEGER : Math.max(0, Date.now() - confirmedAt),
		};
	}

	#onHeartbeat(link: PeerLink, message: MessageOf<'heartbeat'>): void {
		const {rules, machineList: list, confirmedAt} = this.kernel.snapshot;
		if (message.rulesVersion > rules.newest.version && this.#mayAsk('rules', message.rulesVersion)) {
			link.send({kind: 'textWant', topic: 'rules', have: rules.newest.version});
		}

		if (message.directoryVersion > list.newest.version && this.#mayAsk('directory', message.directoryVersion)) {
			link.send({kind: 'textWant', topic: 'directory', have: list.newest.version});
		}

		const peerConfirmedAt = Date.now() - message.confirmedAgeMs;
		if (message.rulesVersion === rules.newest.version && peerConfirmedAt > confirmedAt) {
			this.kernel.update(prev => ({...prev, confirmedAt: peerConfirmedAt}));
		}
	}

	/**
	 * True if a text should be asked for now. All peers announce a new version at once; asking each
	 * of them would bring the same text as many times as there are links.
	 */
	#mayAsk(topic: 'rules' | 'directory', version: number): boolean {
		const asked = this.#asked.get(topic);
		const now = Date.now();
		if (asked !== undefined && asked.version >= version && now - asked.at < ASK_AGAIN_MS) {
			return false;
		}

		this.#asked.set(topic, {version, at: now});
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
					this.#adoptRules(result.history, 'peer');
					return;
				}

				this.#adoptListText(result.history);
			}
		}
	}

	#adoptListText(history: TextHistory): void {
		try {
			this.#adoptList(history, parseMachines(history.newest.text));
		} catch (error) {
			this.#refused(error instanceof Error ? error.message : 'directory not readable');
		}
	}

	#adoptList(history: TextHistory, machines: readonly Machine[]): void {
		if (history === this.kernel.snapshot.machineList) {
			return;
		}

		this.kernel.update(prev => ({...prev, machineList: history, directory: prev.directory.withList(history.newest.version, machines, Date.now())}));
		this.#broadcast(this.#heartbeat());
	}

	#adoptRules(history: TextHistory, source: 'platform' | 'peer'): boolean {
		if (history === this.kernel.snapshot.rules) {
			return false;
		}

		const {version, text} = history.newest;
		const parsed = parseRules(text, `rules version ${version}`);
		if (parsed.kind === 'failed') {
			this.#log.error('rules from a peer or the platform cannot be read; the rules in force stay', {version, findings: parsed.failure.length});
			this.#options.metrics.count('configChanges', 'unreadable');
			return false;
		}

		this.kernel.update(prev => ({...prev, rules: history, ruleSet: parsed.value}));
		this.#options.metrics.count('configChanges', source);
		this.#log.info('rules in force', {version, source});
		this.#broadcast(this.#heartbeat());
		return true;
	}

	#onAnnounce(link: PeerLink, message: MessageOf<'announce'>): void {
		let machine: Machine;
		try {
			machine = parseMachine(message.machine);
		} catch (error) {
			this.#refused(error instanceof Error ? error.message : 'announcement not readable');
			return;
		}

		// An endpoint speaks for itself only; entries pass announcements of others on.
		if (link.peer.role === 'endpoint' && machine.id !== link.peer.id) {
			this.#refused('announcement by another endpoint');
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

	#broadcast(message: Message, wanted: (link: PeerLink) => boolean = () => true): void {
		for (const link of this.pool.links) {
			if (wanted(link)) {
				link.send(message);
			}
		}
	}

	async #beat(): Promise<void> {
		try {
			for await (const _ of setInterval(NEIGHBOUR_HEARTBEAT_MS, undefined, {signal: this.#options.signal, ref: false})) {
				this.#round += 1;
				this.#keepNeighbours();
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

	/** Ids of the machines to which this one keeps a link for news. */
	#neighbours(): readonly string[] {
		const {directory} = this.kernel.snapshot;
		if (this.#machine.role === 'entry') {
			return neighboursOf(directory, this.#machine.id);
		}

		const group = this.#machine.group === undefined ? [] : directory.groupMembers(this.#machine.group);
		const others = group.map(machine => machine.id).filter(id => id !== this.#machine.id);
		// An endpoint is dialled by the entries that use it; it dials two itself, so that it is found while the platform's list lags.
		return [...others, ...neighboursOf(directory, this.#machine.id).slice(0, 2)];
	}

	#keepNeighbours(): void {
		for (const id of this.#neighbours()) {
			if (this.pool.linked(id) === undefined) {
				this.linkTo(id).catch(() => {
					this.#log.debug('neighbour cannot be reached', {peer: id});
				});
			}
		}

		for (const [seed, state] of this.kernel.snapshot.seeds) {
			if (state === 'unreachable' && this.readiness.kind === 'waiting') {
				void this.#askSeed(seed);
			}
		}
	}

	#sendHeartbeats(): void {
		const heartbeat = this.#heartbeat();
		const neighbours = new Set(this.#neighbours());
		const everybody = this.#round % OTHER_HEARTBEAT_ROUNDS === 0;
		this.#broadcast(heartbeat, link => everybody || neighbours.has(link.peer.id));
	}

	/** Bytes on all links since the start, both directions; closed links count too. */
	get linkBytes(): number {
		let bytes = this.#closedBytes;
		for (const {counts} of this.pool.links) {
			bytes += counts.bytesSent + counts.bytesReceived;
		}

		return bytes;
	}

	#logTraffic(): void {
		if (this.#round % TRAFFIC_ROUNDS === 0) {
			this.#log.info('link bytes', {bytes: this.linkBytes, links: this.pool.links.length});
		}
	}

	#closeSilentLinks(): void {
		const oldest = Date.now() - SILENT_LINK_MS;
		for (const link of this.pool.links) {
			if (link.heardAt < oldest) {
				this.#log.warn('link closed after silence', {peer: link.peer.id});
				link.terminate();
			}
		}
	}

	async #askSeed(seed: string): Promise<void> {
		const note = (state: SourceState) => {
			this.kernel.update(prev => ({...prev, seeds: new Map([...prev.seeds, [seed, state]])}));
		};

		if (seed === this.#machine.address) {
			note('unreachable');
			return;
		}

		try {
			const link = await this.pool.dial(seed);
			// The seed answers questions in order, so once it answers this one its texts have arrived.
			link.send({kind: 'textWant', topic: 'rules', have: this.kernel.snapshot.rules.newest.version});
			link.send({kind: 'textWant', topic: 'directory', have: this.kernel.snapshot.machineList.newest.version});
			await this.#texts(link);
			note('answered');
		} catch {
			note('unreachable');
		}
	}

	/** Waits until both texts came from a seed. A seed that holds nothing has not answered. */
	async #texts(link: PeerLink): Promise<void> {
		const limit = AbortSignal.any([link.closed, AbortSignal.timeout(SEED_LIMIT_MS)]);
		const missing = new Set(['rules', 'directory']);
		return new Promise((resolve, reject) => {
			const teardown = link.registerMessage('text', message => {
				if (message.version > 0 || message.topic === 'directory') {
					missing.delete(message.topic);
				}

				if (missing.size === 0) {
					teardown();
					resolve();
				}
			});
			limit.addEventListener('abort', () => {
				teardown();
				reject(new Error('seed did not answer'));
			}, {once: true});
		});
	}
}
