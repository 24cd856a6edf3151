/**
 * Simulates a group of endpoint processes, engines, links and a platform in virtual time,
 * with fault injection. Drives MapMember and MapLeader as the daemon does.
 */
import {unsafeUniformIntDistribution, xoroshiro128plus, type RandomGenerator} from 'pure-rand';
import {
	MapLeader, MapMember,
	type EngineResponse, type EngineEffect, type LeaderEffect, type MapMessage, type MapRecord, type MemberEffect,
} from '#expertmap';
import {EngineRank, LockStepGroup} from '#standins-engine';

const TICK_MS = 10;
const STEP_MS = 50;
const LEASE_MS = 3000;
/** Upper bound on the time an engine is held: the hold timeout of 5 s, a start delay of 500 ms for each of five members, one query, one state read and one engine timeout. */
const MAX_HOLD_MS = 5000 + 2500 + 500 + 1000 + 1000;
const map = {slots: []};

type Process = {
	readonly id: string;
	readonly incarnation: number;
	readonly member: MapMember;
	leader: MapLeader | undefined;
	/** Version of the platform record that the leader's next write must find. */
	recordVersion: number;
	pausedUntil: number;
	isAlive: boolean;
};

type Event = {at: number; readonly seq: number; readonly source: string; readonly run: () => void};

export class GroupSimulation {
	readonly ids: readonly string[];
	now = 0;
	loss = 0;
	duplication = 0;
	maxDelayMs = 5;
	/** Delay of orders in an engine's socket, ms, by endpoint. */
	readonly socketDelayMs = new Map<string, number>();
	/** Endpoints that are partitioned from the others. */
	partitioned = new Set<string>();
	isPlatformUp = true;
	/** Number of changes still to be proposed; an idle leader accepts the next one. */
	proposals = 0;
	/** Violations of the invariants that are checked at every tick. */
	readonly violations: string[] = [];
	record: MapRecord = {installed: {version: 1, map}, highest: 1, fence: 0};
	readonly group: LockStepGroup;
	readonly #random: RandomGenerator;
	readonly #processes = new Map<string, Process>();
	readonly #heldSince = new Map<string, number>();
	#events: Event[] = [];
	#seq = 0;
	#incarnations = 0;
	#recordVersion = 1;
	#lease = {holder: '', until: 0, fence: 0};
	#faultFreeSince = 0;
	#epoch = 1;
	readonly #pastEpochs = new Set<number>();

	constructor(count: number, seed: number) {
		this.ids = Array.from({length: count}, (_, index) => String.fromCodePoint(97 + index));
		this.#random = xoroshiro128plus(seed);
		this.group = LockStepGroup.create(this.ids.map(id => this.#createRank(id, 1)));
		for (const id of this.ids) {
			this.start(id);
		}
	}

	integer(min: number, max: number): number {
		return unsafeUniformIntDistribution(min, max, this.#random);
	}

	start(id: string): void {
		this.#incarnations += 1;
		const member = MapMember.create({
			group: 'g', id, peers: this.ids.filter(other => other !== id), random: () => this.integer(0, 999_999) / 1_000_000,
		}, this.now);
		this.#processes.set(id, {
			id, incarnation: this.#incarnations, member, leader: undefined, recordVersion: 0, pausedUntil: 0, isAlive: true,
		});
	}

	kill(id: string): void {
		const process = this.#processes.get(id);
		if (process !== undefined) {
			process.isAlive = false;
		}
	}

	restart(id: string): void {
		if (this.ids.includes(id) && this.#processes.get(id)?.isAlive !== true) {
			this.start(id);
		}
	}

	/** Pauses a process; its messages that are in flight are delayed by the same time. */
	pause(id: string, ms: number): void {
		const process = this.#processes.get(id);
		if (process !== undefined) {
			process.pausedUntil = this.now + ms;
			for (const event of this.#events.filter(event => event.source === id)) {
				event.at += ms;
			}
		}
	}

	killEngine(id: string): void {
		this.group.remove(id);
		this.#heldSince.delete(id);
	}

	restartEngine(id: string): void {
		if (this.ids.includes(id) && this.group.rank(id) === undefined) {
			this.group.add(this.#createRank(id, 0));
		}
	}

	/** Engine states and the phase of each leader, for messages of failed tests. */
	describe(): string {
		const states = this.ids.map(id => JSON.stringify(this.group.rank(id)?.state(this.now)));
		const phases = [...this.#processes.values()].map(process => `${process.id}:${process.leader?.phase ?? '-'}:${process.member.status(this.now).changing ?? '-'}`);
		return `${states.join('\n')}\n${phases.join(' ')} record ${this.record.installed.version} planned ${this.record.planned?.version ?? '-'} at ${this.now}`;
	}

	/** Endpoint whose leader is active, if any. */
	get leader(): string | undefined {
		return this.#running().find(process => process.leader !== undefined && process.leader.phase !== 'lapsed')?.id;
	}

	/** Proposes a change and runs until a leader is in the given phase, for at most 2 s. */
	runUntil(phase: MapLeader['phase']): void {
		this.proposals += 1;
		const end = this.now + 2000;
		while (this.now < end && !this.#running().some(process => process.leader?.phase === phase)) {
			this.run(TICK_MS);
		}
	}

	/** Ends all faults and restarts crashed processes and engines. */
	heal(): void {
		this.proposals = 0;
		this.loss = 0;
		this.duplication = 0;
		this.maxDelayMs = 5;
		this.socketDelayMs.clear();
		this.partitioned = new Set();
		this.isPlatformUp = true;
		for (const id of this.ids) {
			this.restart(id);
			this.restartEngine(id);
			this.group.stall(id, 0);
		}
	}

	/** True if no change is planned and all engines are in one epoch of all endpoints, without a gate, on the installed map. */
	get isSettled(): boolean {
		const states = this.ids.map(id => this.group.rank(id)?.state(this.now));
		return this.record.planned === undefined && states.every(state => state?.epoch === states[0]?.epoch && state?.gate === undefined
			&& state?.mapVersion === this.record.installed.version && state.prepared.length === 0 && state.members.length === this.ids.length);
	}

	run(ms: number): void {
		const end = this.now + ms;
		while (this.now < end) {
			this.now += TICK_MS;
			this.#deliver();
			for (const process of this.#running()) {
				this.#tick(process);
			}

			if (this.now % STEP_MS === 0) {
				this.#step();
			}

			this.#checkHoldTimes();
		}
	}

	#createRank(id: string, epoch: number): EngineRank {
		const kind = this.ids.indexOf(id) % 2 === 0 ? 'ignores-fence' : 'checks-fence';
		const members = epoch === 0 ? [] : this.ids;
		return EngineRank.create({
			id, kind, epoch, members, mapVersion: epoch, loadMs: 50,
		});
	}

	#running(): readonly Process[] {
		return [...this.#processes.values()].filter(process => process.isAlive && process.pausedUntil <= this.now);
	}

	#schedule(source: string, delay: number, run: () => void): void {
		this.#seq += 1;
		this.#events.push({
			at: this.now + delay, seq: this.#seq, source, run,
		});
	}

	#deliver(): void {
		const due = this.#events.filter(event => event.at <= this.now).toSorted((a, b) => (a.at - b.at) || (a.seq - b.seq));
		this.#events = this.#events.filter(event => event.at > this.now);
		for (const event of due) {
			event.run();
		}
	}

	#tick(process: Process): void {
		this.#updateLease(process);
		if (this.now % 50 === 0) {
			this.#execute(process, process.member.tick(this.now));
			this.#execute(process, process.leader?.tick(this.now) ?? []);
			this.#propose(process);
		}
	}

	#propose(process: Process): void {
		const result = this.proposals > 0 ? process.leader?.propose(map, this.now) : undefined;
		if (result?.kind === 'ok') {
			this.proposals -= 1;
			this.#execute(process, result.value);
		}
	}

	#updateLease(process: Process): void {
		if (!this.isPlatformUp || this.now % 500 !== 0) {
			return;
		}

		const lease = this.#lease;
		this.#execute(process, process.member.raiseFence(lease.fence, this.now));
		if (process.leader !== undefined && process.leader.phase !== 'lapsed' && lease.holder === `${process.incarnation}` && lease.until > this.now) {
			lease.until = this.now + LEASE_MS;
			process.leader.renew(lease.until);
		} else if (lease.until <= this.now && this.integer(0, 2) === 0) {
			this.#lease = {holder: `${process.incarnation}`, until: this.now + LEASE_MS, fence: lease.fence + 1};
			process.recordVersion = this.#recordVersion;
			process.leader = MapLeader.create({
				group: 'g', id: process.id, members: this.ids, fence: this.#lease.fence, leaseUntil: this.#lease.until,
				record: this.record, random: () => this.integer(0, 999_999) / 1_000_000, prepareTimeoutMs: 3000,
			}, this.now);
			this.#execute(process, process.member.raiseFence(this.#lease.fence, this.now));
		}
	}

	#execute(process: Process, effects: ReadonlyArray<MemberEffect | LeaderEffect>): void {
		for (const effect of effects) {
			switch (effect.kind) {
				case 'send': {
					this.#send(process, effect.to, effect.message);
					break;
				}

				case 'order':
				case 'read-state': {
					this.#callEngine(process, effect);
					break;
				}

				case 'record': {
					this.#writeRecord(process, effect);
					break;
				}
			}
		}
	}

	#send(from: Process, to: string, message: MapMessage): void {
		const target = this.#processes.get(to);
		const isLocal = from.id === to;
		if (target === undefined || (!isLocal && this.integer(1, 100) <= this.loss)) {
			return;
		}

		const copies = !isLocal && this.integer(1, 100) <= this.duplication ? 2 : 1;
		for (let copy = 0; copy < copies; copy++) {
			this.#schedule(from.id, isLocal ? 0 : this.integer(1, this.maxDelayMs), () => {
				this.#receive(from.id, target, message);
			});
		}
	}

	#receive(from: string, target: Process, message: MapMessage): void {
		if (!target.isAlive || (from !== target.id && this.partitioned.has(from) !== this.partitioned.has(target.id))) {
			return;
		}

		if (target.pausedUntil > this.now) {
			this.#schedule('', target.pausedUntil - this.now, () => {
				this.#receive(from, target, message);
			});
			return;
		}

		this.#execute(target, target.member.handleMessage(from, message, this.now));
		this.#execute(target, target.leader?.handleMessage(from, message, this.now) ?? []);
	}

	/** Calls an engine. The order takes effect even if the process has crashed in the meantime. */
	#callEngine(process: Process, effect: EngineEffect): void {
		const rank = this.group.rank(process.id);
		this.#schedule('', this.integer(1, 5) + (effect.kind === 'order' ? this.socketDelayMs.get(process.id) ?? 0 : 0), () => {
			const isUp = rank !== undefined && this.group.rank(process.id) === rank;
			const call = (): EngineResponse => {
				if (!isUp) {
					return {kind: 'no-answer'};
				}

				return effect.kind === 'order' ? rank.order(effect.order, this.now) : {kind: 'state', state: rank.state(this.now)};
			};

			this.#deliverResponse(process, effect.token, call());
		});
	}

	#deliverResponse(process: Process, token: number, response: EngineResponse): void {
		this.#schedule('', Math.max(1, process.pausedUntil - this.now), () => {
			if (process.pausedUntil > this.now) {
				this.#deliverResponse(process, token, response);
			} else if (process.isAlive) {
				this.#execute(process, process.member.handleEngineResponse(token, response, this.now));
			}
		});
	}

	#writeRecord(process: Process, effect: Extract<LeaderEffect, {readonly kind: 'record'}>): void {
		this.#schedule(process.id, this.integer(1, 20), () => {
			const isCurrent = process.recordVersion === this.#recordVersion;
			const result = this.isPlatformUp ? (isCurrent ? 'done' : 'conflict') : 'unavailable';
			if (result === 'done') {
				this.#recordVersion += 1;
				process.recordVersion = this.#recordVersion;
				this.record = effect.record;
			}

			if (process.isAlive && process.pausedUntil <= this.now) {
				this.#execute(process, process.leader?.handleRecordResult(effect.id, result, this.now) ?? []);
			}
		});
	}

	/** Runs the engines. Once an epoch has made a step, no earlier epoch may make another one, or two partitions would both serve. */
	#step(): void {
		for (const {epoch, step} of this.group.tick(this.now)) {
			if (this.#pastEpochs.has(epoch)) {
				this.violations.push(`step ${step} of epoch ${epoch} after a step of epoch ${this.#epoch}`);
			}

			if (epoch !== this.#epoch) {
				this.#pastEpochs.add(this.#epoch);
				this.#epoch = epoch;
			}
		}
	}

	/** Checks the upper bound on hold times, counted from the end of the last fault. */
	#checkHoldTimes(): void {
		const isFaultFree = this.loss === 0 && this.maxDelayMs <= 5 && this.partitioned.size === 0 && this.socketDelayMs.size === 0
			&& this.#running().length === this.ids.length && this.ids.every(id => this.group.rank(id) !== undefined);
		this.#faultFreeSince = isFaultFree ? this.#faultFreeSince : this.now;
		for (const id of this.ids) {
			const held = this.group.rank(id)?.isHeldAtGate === true;
			const since = held ? this.#heldSince.get(id) ?? this.now : undefined;
			if (since === undefined) {
				this.#heldSince.delete(id);
			} else {
				this.#heldSince.set(id, since);
				if (this.now - Math.max(since, this.#faultFreeSince) > MAX_HOLD_MS) {
					this.violations.push(`${id} held since ${since}, now ${this.now}`);
					this.#heldSince.set(id, this.now);
				}
			}
		}
	}
}
