/**
 * Runs the change protocol of the expert map in one endpoint process: always as a member, and
 * as the leader while this process holds the group's lease.
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

/** Interval of the protocol's clock ticks; it requires one at least every 100 ms. */
const TICK_MS = 100;

/** Interval at which the holder renews its lease; 200 groups cause 40 writes/s. */
const LEASE_INTERVAL_MS = 5000;

export type GroupAgentOptions = {
	readonly group: string;
	readonly peering: Peering;
	readonly engine: EngineClient;
	readonly store: ObjectStore;
	/** Creates unique ids for writes to the lease and the map record. */
	readonly createId: () => string;
	readonly log: Logger;
	readonly metrics: Metrics;
	readonly signal: AbortSignal;
};

/** State of the group's map as known to this process. */
export type GroupStatus = MemberStatus & {
	/** Phase of the leader; absent if this process is not the leader. */
	readonly leading?: string;
};

export class GroupAgent {
	/** Starts the member, and tries to acquire the lease if this process is the lowest linked member. */
	static create(options: GroupAgentOptions): GroupAgent {
		const agent = new GroupAgent(options);
		void agent.#runTicks();
		void agent.#runLeaseTask();
		return agent;
	}

	readonly #options: GroupAgentOptions;
	readonly #log: Logger;
	readonly #member: MapMember;
	readonly #lease: Lease;
	readonly #recordStore: MapRecordStore;
	readonly #teardown: Teardown;
	#leader: MapLeader | undefined;
	#isFenceRead = false;

	private constructor(options: GroupAgentOptions) {
		this.#options = options;
		this.#log = options.log.child('map');
		const {group, peering, store, createId} = options;
		const {id} = peering.machine;
		this.#member = MapMember.create({
			group, id, peers: this.#otherMembers(), random: Math.random,
		}, Date.now());
		this.#lease = Lease.create({
			store, name: `groups/${group}/lease`, holder: `${id}/${peering.incarnation}`, createId,
		});
		this.#recordStore = MapRecordStore.create(store, `groups/${group}/map`, createId);
		this.#teardown = mergeTeardowns(
			peering.pool.registerLinkListener(link => {
				link.registerMessageHandler('map', message => {
					if (message.group === group && this.#otherMembers().includes(link.peer.id)) {
						this.#onMapMessage(link.peer.id, message.payload);
					}
				});
			}),
			peering.kernel.registerUpdateListener((next, prev) => {
				if (next.directory !== prev.directory) {
					this.#member.setPeers(this.#otherMembers());
					this.#leader?.setMembers(this.#members());
				}
			}),
		);
	}

	/** Current state of the group's map as known to this process. */
	get status(): GroupStatus {
		const status = this.#member.status(Date.now());
		return this.#leader === undefined ? status : {...status, leading: this.#leader.phase};
	}

	/** True while this process is the leader and no change is in progress. */
	get canPropose(): boolean {
		return this.#leader?.phase === 'idle';
	}

	/** The installed map according to the platform's record; undefined if this process is not the leader. */
	get installed(): ExpertMap | undefined {
		return this.#leader?.record.installed.map;
	}

	/**
	 * Starts a change of the map.
	 *
	 * @returns False if this process is not the leader or a change is in progress.
	 */
	propose(map: ExpertMap): boolean {
		const result = this.#leader?.propose(map, Date.now());
		if (result?.kind !== 'ok') {
			return false;
		}

		this.#log.info('expert map change started');
		this.#options.metrics.count('mapChanges', 'begun');
		this.#applyEffects(result.value);
		return true;
	}

	/** Releases the lease, so that another process can become the leader immediately. */
	async close(): Promise<void> {
		this.#teardown();
		this.#leader = undefined;
		await this.#lease.release();
	}

	#otherMembers(): readonly string[] {
		const {peering, group} = this.#options;
		return peering.kernel.snapshot.directory.groupMembers(group).map(({id}) => id).filter(id => id !== peering.machine.id);
	}

	#members(): readonly string[] {
		return [this.#options.peering.machine.id, ...this.#otherMembers()].toSorted();
	}

	#onMapMessage(from: string, payload: unknown): void {
		const parsed = mapMessageSchema.safeParse(payload);
		if (!parsed.success) {
			this.#options.metrics.count('peerRefusals', 'bad map message');
			return;
		}

		this.#handleMessage(from, parsed.data);
	}

	/** Passes a message to the member and the leader; each ignores messages meant for the other. */
	#handleMessage(from: string, message: MapMessage): void {
		const now = Date.now();
		this.#applyEffects(this.#member.handleMessage(from, message, now));
		const leader = this.#leader;
		if (leader !== undefined) {
			this.#applyEffects(leader.handleMessage(from, message, now));
		}
	}

	#applyEffects(effects: ReadonlyArray<MemberEffect | LeaderEffect>): void {
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
					void this.#writeRecord(effect);
					break;
				}
			}
		}
	}

	#send(to: string, message: MapMessage): void {
		const {peering, group} = this.#options;
		if (to === peering.machine.id) {
			setImmediate(() => {
				this.#handleMessage(to, message);
			});
			return;
		}

		// Without a link the message is lost; the protocol resends it.
		peering.pool.findLink(to)?.send({kind: 'map', group, payload: message});
	}

	async #callEngine(effect: Extract<MemberEffect, {readonly token: number}>): Promise<void> {
		const {engine} = this.#options;
		if (effect.kind === 'order') {
			const response = await engine.order(effect.order);
			this.#log.info('order sent to the engine', {
				order: effect.order.order, version: effect.order.version, answer: response.kind === 'refused' ? response.reason : response.kind,
			});
			this.#applyEffects(this.#member.handleEngineResponse(effect.token, response, Date.now()));
			return;
		}

		const state = await engine.orderState();
		const response = state.kind === 'ok' ? {kind: 'state', state: state.value} as const : {kind: 'no-answer'} as const;
		this.#applyEffects(this.#member.handleEngineResponse(effect.token, response, Date.now()));
	}

	async #writeRecord(effect: Extract<LeaderEffect, {readonly kind: 'record'}>): Promise<void> {
		const leader = this.#leader;
		const result = await this.#recordStore.write(effect.record);
		if (leader !== undefined && leader === this.#leader) {
			this.#applyEffects(leader.handleRecordResult(effect.id, result, Date.now()));
			this.#options.metrics.count('mapChanges', effect.record.planned === undefined ? `recorded-${result}` : `planned-${result}`);
		}
	}

	async #runTicks(): Promise<void> {
		const {signal} = this.#options;
		try {
			for await (const _ of setInterval(TICK_MS, undefined, {signal, ref: false})) {
				const now = Date.now();
				this.#applyEffects(this.#member.tick(now));
				const leader = this.#leader;
				if (leader !== undefined) {
					this.#applyEffects(leader.tick(now));
					this.#dropExpiredLeader(leader);
				}
			}
		} catch (error) {
			if (!signal.aborted) {
				this.#log.error('map task failed', {err: error});
			}
		}
	}

	#dropExpiredLeader(leader: MapLeader): void {
		if (leader.phase === 'lapsed' && this.#leader === leader) {
			this.#leader = undefined;
			this.#log.warn('lease expired; no longer the leader');
		}
	}

	async #runLeaseTask(): Promise<void> {
		const {signal} = this.#options;
		await this.#acquireLease();
		try {
			for await (const _ of setInterval(LEASE_INTERVAL_MS, undefined, {signal, ref: false})) {
				await this.#acquireLease();
			}
		} catch (error) {
			if (!signal.aborted) {
				this.#log.error('lease task failed', {err: error});
			}
		}
	}

	/** True if this process has the lowest id among the group members it is linked to. Other members need not query the platform. */
	get #isLowestLinkedMember(): boolean {
		const {peering} = this.#options;
		const linked = this.#otherMembers().filter(id => peering.pool.findLink(id) !== undefined);
		return linked.every(id => id > peering.machine.id);
	}

	async #acquireLease(): Promise<void> {
		const {peering} = this.#options;
		if (!this.#isFenceRead) {
			await this.#readFence();
		}

		const now = Date.now();
		if (!this.#isLowestLinkedMember || peering.machine.state === 'leaving' || peering.kernel.snapshot.leaving) {
			return;
		}

		const response = await this.#lease.acquire(now);
		if (response.kind === 'held' && this.#leader !== undefined) {
			this.#leader.renew(response.until);
		} else if (response.kind === 'held') {
			await this.#startLeading(response.fence, response.until);
		}
	}

	async #readFence(): Promise<void> {
		const fence = await this.#recordStore.readFence(`groups/${this.#options.group}/lease`);
		if (fence !== undefined) {
			this.#isFenceRead = true;
			this.#applyEffects(this.#member.raiseFence(fence, Date.now()));
		}
	}

	async #startLeading(fence: number, leaseUntil: number): Promise<void> {
		const {group, peering, engine} = this.#options;
		const state = await engine.orderState();
		const record = state.kind === 'ok' ? await this.#recordStore.load(state.value.mapVersion) : undefined;
		if (record === undefined) {
			return;
		}

		this.#leader = MapLeader.create({
			group, id: peering.machine.id, members: this.#members(), fence, leaseUntil, record, random: Math.random,
		}, Date.now());
		this.#log.info('became leader of the group', {group, fence});
		this.#applyEffects(this.#leader.tick(Date.now()));
	}
}
