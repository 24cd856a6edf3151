/**
 * Drives the expert map's change protocol in one endpoint process: its member always, and
 * a leader while this process holds the group's lease.
 */
import {setInterval} from 'node:timers/promises';
import {MapRecordStore} from './map-record-store.js';
import {Lease, type ObjectStore} from '#coordination';
import {mergeTeardowns, type Teardown} from '#core';
import {type EngineClient} from '#engine';
import {
	MapLeader, MapMember, mapMessageSchema, type ExpertMap, type LeaderEffect, type MapMessage, type MemberEffect, type MemberStatus,
} from '#expertmap';
import {type Peering} from '#peering';
import {type Logger, type Metrics} from '#telemetry';

/** Interval at which time advances; the protocol asks for at least 100 ms. */
const TICK_MS = 100;

/** Interval at which the holder renews its lease: 200 groups make 40 writes/s. */
const LEASE_INTERVAL_MS = 5000;

export type GroupAgentOptions = {
	readonly group: string;
	readonly peering: Peering;
	readonly engine: EngineClient;
	readonly store: ObjectStore;
	/** Name that this process uses for itself in leases; differs after each start. */
	readonly createId: () => string;
	readonly log: Logger;
	readonly metrics: Metrics;
	readonly signal: AbortSignal;
};

/** State of the group's map as this process sees it. */
export type GroupStatus = MemberStatus & {
	/** Phase of the leader; absent where this process does not lead. */
	readonly leading?: string;
};

export class GroupAgent {
	/** Starts the member, and tries for the lease when it is this process's turn. */
	static create(options: GroupAgentOptions): GroupAgent {
		const agent = new GroupAgent(options);
		void agent.#tick();
		void agent.#leaseRounds();
		return agent;
	}

	readonly #options: GroupAgentOptions;
	readonly #log: Logger;
	readonly #member: MapMember;
	readonly #lease: Lease;
	readonly #records: MapRecordStore;
	readonly #teardown: Teardown;
	#leader: MapLeader | undefined;
	#fenceLearned = false;

	private constructor(options: GroupAgentOptions) {
		this.#options = options;
		this.#log = options.log.part('map');
		const {group, peering, store, createId} = options;
		const {id} = peering.machine;
		this.#member = MapMember.create({
			group, id, peers: this.#others(), random: Math.random,
		}, Date.now());
		this.#lease = Lease.create({
			store, name: `groups/${group}/lease`, holder: `${id}/${peering.incarnation}`, createId,
		});
		this.#records = MapRecordStore.create(store, `groups/${group}/map`, createId);
		this.#teardown = mergeTeardowns(
			peering.pool.registerLinkListener(link => {
				link.registerMessage('map', message => {
					if (message.group === group && this.#others().includes(link.peer.id)) {
						this.#receive(link.peer.id, message.payload);
					}
				});
			}),
			peering.kernel.registerUpdateListener((next, prev) => {
				if (next.directory !== prev.directory) {
					this.#member.setPeers(this.#others());
					this.#leader?.setMembers(this.#members());
				}
			}),
		);
	}

	/** What this process knows of its group's map. */
	get status(): GroupStatus {
		const status = this.#member.status(Date.now());
		return this.#leader === undefined ? status : {...status, leading: this.#leader.phase};
	}

	/** True while this process leads and could begin a change. */
	get mayPropose(): boolean {
		return this.#leader?.phase === 'idle';
	}

	/** Map in force by the platform's record, while this process leads. */
	get installed(): ExpertMap | undefined {
		return this.#leader?.record.installed.map;
	}

	/**
	 * Begins a change of the map.
	 *
	 * @returns False if this process does not lead or a change is in progress.
	 */
	propose(map: ExpertMap): boolean {
		const result = this.#leader?.propose(map, Date.now());
		if (result?.kind !== 'ok') {
			return false;
		}

		this.#log.info('change of the expert map begins');
		this.#options.metrics.count('mapChanges', 'begun');
		this.#carryOut(result.value);
		return true;
	}

	/** Gives the lease up, so that another process can lead at once. */
	async close(): Promise<void> {
		this.#teardown();
		this.#leader = undefined;
		await this.#lease.release();
	}

	#others(): readonly string[] {
		const {peering, group} = this.#options;
		return peering.kernel.snapshot.directory.groupMembers(group).map(({id}) => id).filter(id => id !== peering.machine.id);
	}

	#members(): readonly string[] {
		return [this.#options.peering.machine.id, ...this.#others()].toSorted();
	}

	#receive(from: string, payload: unknown): void {
		const parsed = mapMessageSchema.safeParse(payload);
		if (!parsed.success) {
			this.#options.metrics.count('peerRefusals', 'bad map message');
			return;
		}

		this.#deliver(from, parsed.data);
	}

	/** Gives a message to the member and to the leader; each ignores what does not concern it. */
	#deliver(from: string, message: MapMessage): void {
		const now = Date.now();
		this.#carryOut(this.#member.handleMessage(from, message, now));
		const leader = this.#leader;
		if (leader !== undefined) {
			this.#carryOut(leader.handleMessage(from, message, now));
		}
	}

	#carryOut(effects: ReadonlyArray<MemberEffect | LeaderEffect>): void {
		for (const effect of effects) {
			switch (effect.kind) {
				case 'send': {
					this.#send(effect.to, effect.message);
					break;
				}

				case 'order':
				case 'read-state': {
					void this.#callEngine(effect);
					break;
				}

				case 'record': {
					void this.#record(effect);
					break;
				}
			}
		}
	}

	#send(to: string, message: MapMessage): void {
		const {peering, group} = this.#options;
		if (to === peering.machine.id) {
			setImmediate(() => {
				this.#deliver(to, message);
			});
			return;
		}

		// A message without a link is lost; the protocol repeats it.
		peering.pool.linked(to)?.send({kind: 'map', group, payload: message});
	}

	async #callEngine(effect: Extract<MemberEffect, {readonly token: number}>): Promise<void> {
		const {engine} = this.#options;
		if (effect.kind === 'order') {
			const answer = await engine.order(effect.order);
			this.#log.info('order given to the engine', {
				order: effect.order.order, version: effect.order.version, answer: answer.kind === 'refused' ? answer.reason : answer.kind,
			});
			this.#carryOut(this.#member.handleEngineResponse(effect.token, answer, Date.now()));
			return;
		}

		const state = await engine.orderState();
		const answer = state.kind === 'ok' ? {kind: 'state', state: state.value} as const : {kind: 'no-answer'} as const;
		this.#carryOut(this.#member.handleEngineResponse(effect.token, answer, Date.now()));
	}

	async #record(effect: Extract<LeaderEffect, {readonly kind: 'record'}>): Promise<void> {
		const leader = this.#leader;
		const outcome = await this.#records.write(effect.record);
		if (leader !== undefined && leader === this.#leader) {
			this.#carryOut(leader.handleRecordOutcome(effect.id, outcome, Date.now()));
			this.#options.metrics.count('mapChanges', effect.record.planned === undefined ? `recorded-${outcome}` : `planned-${outcome}`);
		}
	}

	async #tick(): Promise<void> {
		const {signal} = this.#options;
		try {
			for await (const _ of setInterval(TICK_MS, undefined, {signal, ref: false})) {
				const now = Date.now();
				this.#carryOut(this.#member.tick(now));
				const leader = this.#leader;
				if (leader !== undefined) {
					this.#carryOut(leader.tick(now));
					this.#dropLapsed(leader);
				}
			}
		} catch (error) {
			if (!signal.aborted) {
				this.#log.error('map task failed', {err: error});
			}
		}
	}

	#dropLapsed(leader: MapLeader): void {
		if (leader.phase === 'lapsed' && this.#leader === leader) {
			this.#leader = undefined;
			this.#log.warn('lease lapsed; no longer leading');
		}
	}

	async #leaseRounds(): Promise<void> {
		const {signal} = this.#options;
		await this.#leaseRound();
		try {
			for await (const _ of setInterval(LEASE_INTERVAL_MS, undefined, {signal, ref: false})) {
				await this.#leaseRound();
			}
		} catch (error) {
			if (!signal.aborted) {
				this.#log.error('lease task failed', {err: error});
			}
		}
	}

	/** True if this process is the first of the group's members that it can reach. Others need not ask the platform. */
	get #isFirst(): boolean {
		const {peering} = this.#options;
		const linked = this.#others().filter(id => peering.pool.linked(id) !== undefined);
		return linked.every(id => id > peering.machine.id);
	}

	async #leaseRound(): Promise<void> {
		const {peering} = this.#options;
		if (!this.#fenceLearned) {
			await this.#learnFence();
		}

		const now = Date.now();
		if (!this.#isFirst || peering.machine.state === 'leaving' || peering.kernel.snapshot.leaving) {
			return;
		}

		const answer = await this.#lease.acquire(now);
		if (answer.kind === 'held' && this.#leader !== undefined) {
			this.#leader.renew(answer.until);
		} else if (answer.kind === 'held') {
			await this.#startLeading(answer.fence, answer.until);
		}
	}

	async #learnFence(): Promise<void> {
		const fence = await this.#records.readFence(`groups/${this.#options.group}/lease`);
		if (fence !== undefined) {
			this.#fenceLearned = true;
			this.#carryOut(this.#member.raiseFence(fence, Date.now()));
		}
	}

	async #startLeading(fence: number, leaseUntil: number): Promise<void> {
		const {group, peering, engine} = this.#options;
		const state = await engine.orderState();
		const record = state.kind === 'ok' ? await this.#records.load(state.value.mapVersion) : undefined;
		if (record === undefined) {
			return;
		}

		this.#leader = MapLeader.create({
			group, id: peering.machine.id, members: this.#members(), fence, leaseUntil, record, random: Math.random,
		}, Date.now());
		this.#log.info('leads the group', {group, fence});
		this.#carryOut(this.#leader.tick(Date.now()));
	}
}
