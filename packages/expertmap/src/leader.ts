/**
 * Coordinates changes of a group's expert map while its process holds the group's lease.
 * Its own engine receives `go` last. Once the first `go` is sent, the members alone
 * decide the outcome, so a leader may crash at any point.
 */
import type {ExpertMap} from './engine-order.js';
import {
	mostCommonEpoch, planJoin, settledVersion, type LeaderPhase, type MapRecord, type MapChange,
} from './leader-phase.js';
import {
	GO_TIMEOUT_MS, QUERY_INTERVAL_MS, RECONCILE_INTERVAL_MS, RECORD_RETRY_INTERVAL_MS, RESEND_INTERVAL_MS,
} from './limits.js';
import {
	EXPECTED_REPLIES, classifyRefusal, isBroadcastPhase, createBroadcast, recipientsOf, subjectOf, broadcastMessage, broadcastTimes, type Subject, type BroadcastPhase,
} from './leader-messages.js';
import type {
	LeaderEffect, LeaderOptions, ProposalRefusal, RecordResult,
} from './leader-options.js';
import type {MapMessage, MapMessageOf} from './messages.js';
import {PeerStates} from './peer-states.js';
import {nextEpoch} from './reform.js';
import {failed, ok, type Result} from '#core';

/** First round number of the leader, which separates its query rounds from those of the member in the same process. */
const FIRST_LEADER_ROUND = 1_000_000_000;

/** The leader of one group for the duration of one lease. */
export class MapLeader {
	static create(options: LeaderOptions, now: number): MapLeader {
		return new MapLeader(options, now);
	}

	readonly #options: LeaderOptions;
	readonly #peerStates: PeerStates;
	#record: MapRecord;
	#phase: LeaderPhase = {kind: 'settling'};
	#leaseUntil: number;
	#effects: LeaderEffect[] = [];
	#recordId = 0;

	private constructor(options: LeaderOptions, now: number) {
		this.#options = options;
		this.#peerStates = PeerStates.create(options.members, FIRST_LEADER_ROUND);
		this.#record = options.record;
		this.#leaseUntil = options.leaseUntil;
		// The first write invalidates a conditional update of the previous leader that may still be in flight.
		this.#writeRecord(options.record, now);
		this.#queryPeers(now);
	}

	/** Phase, for status output and for the rebalancer, which proposes a map only to an idle leader. */
	get phase(): LeaderPhase['kind'] {
		return this.#phase.kind;
	}

	/** The record as last confirmed by the platform. */
	get record(): MapRecord {
		return this.#record;
	}

	/** Extends the lease; has no effect once the phase is `lapsed`. */
	renew(leaseUntil: number): void {
		this.#leaseUntil = Math.max(this.#leaseUntil, leaseUntil);
	}

	/** Replaces the ids of the group's endpoints. */
	setMembers(members: readonly string[]): void {
		this.#peerStates.setIds(members);
	}

	/** Begins a change to `map`. On `ok`, the caller must execute the returned effects. */
	propose(map: ExpertMap, now: number): Result<readonly LeaderEffect[], ProposalRefusal> {
		if (this.#isLeaseExpired(now)) {
			return failed('lapsed');
		}

		const states = this.#peerStates.recentStates(now);
		const main = mostCommonEpoch(states);
		if (this.#phase.kind !== 'idle') {
			return failed('busy');
		}

		if (main?.members.includes(this.#options.id) !== true) {
			return failed('outside-epoch');
		}

		const seen = [...states.values()].flatMap(state => [state.mapVersion, ...state.prepared]);
		const version = Math.max(this.#record.highest, this.#record.installed.version, ...seen) + 1;
		const plan = {version, map};
		this.#writeRecord({installed: this.#record.installed, planned: plan}, now, {plan, epoch: main.epoch, members: main.members});
		return ok(this.#takeEffects());
	}

	/** Handles the result of a `record` effect. */
	handleRecordResult(id: number, result: RecordResult, now: number): readonly LeaderEffect[] {
		const phase = this.#phase;
		if (this.#isLeaseExpired(now) || phase.kind !== 'recording' || phase.id !== id) {
			return [];
		}

		if (result === 'conflict') {
			this.#phase = {kind: 'lapsed'};
		} else if (result === 'done') {
			this.#record = phase.value;
			this.#phase = phase.next === undefined
				? {kind: 'settling'}
				: {...phase.next, ...createBroadcast(now), kind: 'preparing'};
			this.#queryPeers(now);
		}

		return this.tick(now);
	}

	/** Handles a message of a member; kinds that are meant for members are ignored. */
	handleMessage(from: string, message: MapMessage, now: number): readonly LeaderEffect[] {
		if (this.#isLeaseExpired(now) || message.group !== this.#options.group) {
			return [];
		}

		if (message.kind === 'map-state') {
			this.#peerStates.recordState(from, message.round, message.state, now);
			this.#onState(from, message, now);
		} else if (message.kind === 'map-refused') {
			this.#onRefused(message, now);
		} else {
			this.#onAcknowledgement(from, message, now);
		}

		return this.tick(now);
	}

	/** Advances the time; must be called at least every 100 ms. */
	tick(now: number): readonly LeaderEffect[] {
		if (this.#isLeaseExpired(now)) {
			this.#phase = {kind: 'lapsed'};
			this.#effects = [];
			return [];
		}

		const needsFrequentQueries = this.#phase.kind === 'settling' || this.#phase.kind === 'inviting';
		if (now - this.#peerStates.roundAt >= (needsFrequentQueries ? QUERY_INTERVAL_MS : RECONCILE_INTERVAL_MS)) {
			this.#queryPeers(now);
		}

		this.#advance(now);
		return this.#takeEffects();
	}

	#isLeaseExpired(now: number): boolean {
		return this.#phase.kind === 'lapsed' || now >= this.#leaseUntil;
	}

	#takeEffects(): readonly LeaderEffect[] {
		const effects = this.#effects;
		this.#effects = [];
		return effects;
	}

	#advance(now: number): void {
		const phase = this.#phase;
		if (isBroadcastPhase(phase)) {
			this.#advanceBroadcast(phase, now);
			return;
		}

		switch (phase.kind) {
			case 'settling': {
				this.#settle(now);
				break;
			}

			case 'idle': {
				this.#beginJoin(now);
				break;
			}

			case 'inviting': {
				this.#invite(phase, now);
				break;
			}

			case 'recording': {
				if (now - phase.sentAt >= RECORD_RETRY_INTERVAL_MS) {
					this.#writeRecord(phase.value, now, phase.next);
				}

				break;
			}

			case 'asking': {
				if (now - phase.since >= GO_TIMEOUT_MS) {
					this.#cancel(phase, now);
				}

				break;
			}

			case 'lapsed': {
				break;
			}
		}
	}

	#advanceBroadcast(phase: BroadcastPhase, now: number): void {
		if (phase.members.every(id => phase.acknowledged.has(id))) {
			this.#onAllAcknowledged(phase, now);
			return;
		}

		const {timeoutMs, resendMs} = broadcastTimes(phase, this.#options.prepareTimeoutMs);
		if (now - phase.since >= timeoutMs) {
			if (phase.kind === 'preparing' || phase.kind === 'gating') {
				this.#cancel(phase, now);
			} else {
				this.#beginSettling(now);
			}
		} else if (now - phase.sentAt >= resendMs) {
			this.#phase = {...phase, sentAt: now};
			const message = broadcastMessage(phase, this.#header(subjectOf(phase)), this.#options.id);
			for (const id of recipientsOf(phase, this.#options.id)) {
				this.#send(id, message);
			}
		}
	}

	#onAllAcknowledged(phase: BroadcastPhase, now: number): void {
		const {plan, epoch, members} = phase;
		const round = {plan, epoch, members};
		switch (phase.kind) {
			case 'preparing': {
				this.#phase = {...round, kind: 'asking', since: now};
				this.#queryPeers(now);
				break;
			}

			case 'gating': {
				this.#startBroadcast({...phase, kind: 'going'}, now);
				break;
			}

			case 'going': {
				this.#beginSettling(now);
				break;
			}

			case 'cancelling': {
				this.#writeRecord({installed: this.#record.installed}, now);
				break;
			}

			case 'joining': {
				this.#phase = {
					kind: 'inviting', invitation: phase.invitation, version: plan.version, epoch, since: now, sentAt: -Infinity,
				};
				break;
			}
		}
	}

	#startBroadcast(phase: BroadcastPhase, now: number): void {
		this.#phase = {...phase, ...createBroadcast(now)};
		this.#advance(now);
	}

	#cancel({plan, epoch, members}: MapChange, now: number): void {
		const round = {plan, epoch, members};
		this.#startBroadcast({...round, ...createBroadcast(now), kind: 'cancelling'}, now);
	}

	#onAcknowledgement(from: string, message: MapMessage, now: number): void {
		const phase = this.#phase;
		if (!isBroadcastPhase(phase) || message.version !== phase.plan.version || message.epoch !== phase.epoch) {
			return;
		}

		if (message.kind === EXPECTED_REPLIES[phase.kind]) {
			const acknowledged = new Set([...phase.acknowledged, from]);
			const isOnlySelfLeft = phase.kind === 'going' && acknowledged.size === phase.members.length - 1;
			this.#phase = {...phase, acknowledged, sentAt: isOnlySelfLeft ? -Infinity : phase.sentAt};
		} else if (phase.kind === 'cancelling' && message.kind === 'map-gone') {
			this.#beginSettling(now);
		}
	}

	#onRefused(message: MapMessageOf<'map-refused'>, now: number): void {
		const phase = this.#phase;
		if (!isBroadcastPhase(phase)) {
			return;
		}

		const action = classifyRefusal(phase, message);
		if (action === 'cancel') {
			this.#cancel(phase, now);
		} else if (action === 'settle') {
			this.#beginSettling(now);
		}
	}

	#onState(from: string, message: MapMessageOf<'map-state'>, now: number): void {
		const phase = this.#phase;
		if (phase.kind !== 'asking' || from !== this.#options.id || message.round !== this.#peerStates.round || message.state === undefined) {
			return;
		}

		if (message.state.epoch === phase.epoch) {
			const step = message.state.step + (this.#options.marginSteps ?? 10);
			this.#startBroadcast({
				...phase, ...createBroadcast(now), kind: 'gating', step,
			}, now);
		} else {
			this.#cancel(phase, now);
		}
	}

	#beginSettling(now: number): void {
		this.#phase = {kind: 'settling'};
		this.#queryPeers(now);
	}

	/** Determines from all engines of the epoch whether the planned map is in use, and records or cancels it. */
	#settle(now: number): void {
		if (mostCommonEpoch(this.#peerStates.recentStates(now)) === undefined) {
			this.#beginJoin(now);
			return;
		}

		const states = this.#peerStates.currentRoundStates;
		const main = mostCommonEpoch(states);
		const {planned} = this.#record;
		const version = main === undefined ? undefined : settledVersion(main, states);
		if (main === undefined || version === undefined) {
			return;
		}

		if (planned !== undefined && version !== planned.version) {
			// An engine that has left the epoch drops the version when it rejoins.
			const members = main.members.filter(id => states.get(id)?.epoch === main.epoch);
			this.#cancel({plan: planned, epoch: main.epoch, members}, now);
		} else if (planned === undefined) {
			this.#phase = {kind: 'idle'};
		} else {
			this.#writeRecord({installed: planned}, now);
		}
	}

	/** Makes endpoints outside the epoch, or all if the epoch uses another map than the record, load the installed map. */
	#beginJoin(now: number): void {
		const states = this.#peerStates.recentStates(now);
		const join = planJoin(this.#options.id, this.#peerStates.ids, states, this.#record.installed.version);
		if (join === undefined) {
			return;
		}

		const epoch = nextEpoch([...states.values()].map(state => state.epoch), this.#options.random);
		const round = {plan: this.#record.installed, epoch, members: join.joiners};
		this.#startBroadcast({
			...round, ...createBroadcast(now), kind: 'joining', invitation: join.invitation,
		}, now);
	}

	#invite(phase: Extract<LeaderPhase, {readonly kind: 'inviting'}>, now: number): void {
		const {invitation, version, epoch} = phase;
		const states = this.#peerStates.recentStates(now);
		const isFormed = invitation.members.every(id => states.get(id)?.epoch === epoch);
		if (isFormed || now - phase.since >= GO_TIMEOUT_MS) {
			this.#beginSettling(now);
		} else if (now - phase.sentAt >= RESEND_INTERVAL_MS) {
			this.#phase = {...phase, sentAt: now};
			const {members, base, initiator, step} = invitation;
			this.#send(initiator, {
				...this.#header({version, step, epoch}), kind: 'map-reform', members, base, initiator,
			});
		}
	}

	#writeRecord(content: Pick<MapRecord, 'installed' | 'planned'>, now: number, next?: MapChange): void {
		const highest = Math.max(this.#record.highest, content.installed.version, content.planned?.version ?? 0);
		const value = {...content, highest, fence: this.#options.fence};
		this.#recordId += 1;
		this.#phase = {
			kind: 'recording', id: this.#recordId, value, sentAt: now, ...(next === undefined ? {} : {next}),
		};
		this.#effects.push({kind: 'record', id: this.#recordId, record: value});
	}

	#queryPeers(now: number): void {
		const round = this.#peerStates.startRound(now);
		for (const id of this.#peerStates.ids) {
			this.#send(id, {...this.#header({version: 0, step: 0, epoch: 0}), kind: 'map-query', round});
		}
	}

	#header(subject: Subject) {
		return {...subject, group: this.#options.group, fence: this.#options.fence};
	}

	#send(to: string, message: MapMessage): void {
		this.#effects.push({kind: 'send', to, message});
	}
}
