/**
 * Leads changes of a group's expert map while its process holds the group's lease.
 * Its own engine receives `go` last. Once the first `go` is sent, the members alone
 * decide the outcome, so a leader that stops at any point does no harm.
 */
import type {ExpertMap} from './engine-order.js';
import {
	mainEpoch, planJoin, settledVersion, type LeaderPhase, type MapRecord, type Round,
} from './leader-phase.js';
import {
	GO_TIMEOUT_MS, QUERY_INTERVAL_MS, RECONCILE_INTERVAL_MS, RECORD_RETRY_INTERVAL_MS, RESEND_INTERVAL_MS,
} from './limits.js';
import {
	AWAITED, consequenceOf, isTally, newTally, receiversOf, subjectOf, tallyMessage, tallyTimes, type Subject, type TallyPhase,
} from './leader-messages.js';
import type {
	LeaderEffect, LeaderOptions, ProposalRefusal, RecordOutcome,
} from './leader-options.js';
import type {MapMessage, MapMessageOf} from './messages.js';
import {PeerViews} from './peer-states.js';
import {nextEpoch} from './reform.js';
import {failed, ok, type Result} from '#core';

/** Distinguishes the leader's rounds of queries from those of the member in the same process. */
const FIRST_ROUND = 1_000_000_000;

/** The leader of one group for the time of one lease. */
export class MapLeader {
	static create(options: LeaderOptions, now: number): MapLeader {
		return new MapLeader(options, now);
	}

	readonly #options: LeaderOptions;
	readonly #views: PeerViews;
	#record: MapRecord;
	#phase: LeaderPhase = {kind: 'settling'};
	#leaseUntil: number;
	#effects: LeaderEffect[] = [];
	#recordId = 0;

	private constructor(options: LeaderOptions, now: number) {
		this.#options = options;
		this.#views = PeerViews.create(options.members, FIRST_ROUND);
		this.#record = options.record;
		this.#leaseUntil = options.leaseUntil;
		// The first write makes a conditional update fail that the leader before may still have under way.
		this.#save(options.record, now);
		this.#query(now);
	}

	/** Phase, for status output and for the planner, which proposes only to an idle leader. */
	get phase(): LeaderPhase['kind'] {
		return this.#phase.kind;
	}

	/** The record as last confirmed by the platform. */
	get record(): MapRecord {
		return this.#record;
	}

	/** Extends the lease; without effect once it has ended. */
	renew(leaseUntil: number): void {
		this.#leaseUntil = Math.max(this.#leaseUntil, leaseUntil);
	}

	/** Replaces the ids of the group's endpoints. */
	setMembers(members: readonly string[]): void {
		this.#views.setIds(members);
	}

	/** Begins a change to `map`. On `ok`, the effects are to be carried out. */
	propose(map: ExpertMap, now: number): Result<readonly LeaderEffect[], ProposalRefusal> {
		if (this.#hasLapsed(now)) {
			return failed('lapsed');
		}

		const states = this.#views.recent(now);
		const main = mainEpoch(states);
		if (this.#phase.kind !== 'idle') {
			return failed('busy');
		}

		if (main?.members.includes(this.#options.id) !== true) {
			return failed('outside-epoch');
		}

		const seen = [...states.values()].flatMap(state => [state.mapVersion, ...state.prepared]);
		const version = Math.max(this.#record.highest, this.#record.installed.version, ...seen) + 1;
		const plan = {version, map};
		this.#save({installed: this.#record.installed, planned: plan}, now, {plan, epoch: main.epoch, members: main.members});
		return ok(this.#flush());
	}

	/** Hands back the outcome of a `record` effect. */
	handleRecordOutcome(id: number, outcome: RecordOutcome, now: number): readonly LeaderEffect[] {
		const phase = this.#phase;
		if (this.#hasLapsed(now) || phase.kind !== 'recording' || phase.id !== id) {
			return [];
		}

		if (outcome === 'conflict') {
			this.#phase = {kind: 'lapsed'};
		} else if (outcome === 'done') {
			this.#record = phase.value;
			this.#phase = phase.next === undefined
				? {kind: 'settling'}
				: {...phase.next, ...newTally(now), kind: 'preparing'};
			this.#query(now);
		}

		return this.tick(now);
	}

	/** Handles an answer; kinds that concern members only are ignored. */
	handleMessage(from: string, message: MapMessage, now: number): readonly LeaderEffect[] {
		if (this.#hasLapsed(now) || message.group !== this.#options.group) {
			return [];
		}

		if (message.kind === 'map-state') {
			this.#views.answered(from, message.round, message.state, now);
			this.#onState(from, message, now);
		} else if (message.kind === 'map-refused') {
			this.#onRefused(message, now);
		} else {
			this.#onDone(from, message, now);
		}

		return this.tick(now);
	}

	/** Advances the time; to be called at least every 100 ms. */
	tick(now: number): readonly LeaderEffect[] {
		if (this.#hasLapsed(now)) {
			this.#phase = {kind: 'lapsed'};
			this.#effects = [];
			return [];
		}

		const isAttentive = this.#phase.kind === 'settling' || this.#phase.kind === 'inviting';
		if (now - this.#views.roundAt >= (isAttentive ? QUERY_INTERVAL_MS : RECONCILE_INTERVAL_MS)) {
			this.#query(now);
		}

		this.#advance(now);
		return this.#flush();
	}

	#hasLapsed(now: number): boolean {
		return this.#phase.kind === 'lapsed' || now >= this.#leaseUntil;
	}

	#flush(): readonly LeaderEffect[] {
		const effects = this.#effects;
		this.#effects = [];
		return effects;
	}

	#advance(now: number): void {
		const phase = this.#phase;
		if (isTally(phase)) {
			this.#advanceTally(phase, now);
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
					this.#save(phase.value, now, phase.next);
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

	#advanceTally(phase: TallyPhase, now: number): void {
		if (phase.members.every(id => phase.done.has(id))) {
			this.#onAllDone(phase, now);
			return;
		}

		const {limitMs, resendMs} = tallyTimes(phase, this.#options.prepareTimeoutMs);
		if (now - phase.since >= limitMs) {
			if (phase.kind === 'preparing' || phase.kind === 'gating') {
				this.#cancel(phase, now);
			} else {
				this.#beginSettling(now);
			}
		} else if (now - phase.sentAt >= resendMs) {
			this.#phase = {...phase, sentAt: now};
			const message = tallyMessage(phase, this.#header(subjectOf(phase)), this.#options.id);
			for (const id of receiversOf(phase, this.#options.id)) {
				this.#send(id, message);
			}
		}
	}

	#onAllDone(phase: TallyPhase, now: number): void {
		const {plan, epoch, members} = phase;
		const round = {plan, epoch, members};
		switch (phase.kind) {
			case 'preparing': {
				this.#phase = {...round, kind: 'asking', since: now};
				this.#query(now);
				break;
			}

			case 'gating': {
				this.#begin({...phase, kind: 'going'}, now);
				break;
			}

			case 'going': {
				this.#beginSettling(now);
				break;
			}

			case 'cancelling': {
				this.#save({installed: this.#record.installed}, now);
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

	#begin(phase: TallyPhase, now: number): void {
		this.#phase = {...phase, ...newTally(now)};
		this.#advance(now);
	}

	#cancel({plan, epoch, members}: Round, now: number): void {
		const round = {plan, epoch, members};
		this.#begin({...round, ...newTally(now), kind: 'cancelling'}, now);
	}

	#onDone(from: string, message: MapMessage, now: number): void {
		const phase = this.#phase;
		if (!isTally(phase) || message.version !== phase.plan.version || message.epoch !== phase.epoch) {
			return;
		}

		if (message.kind === AWAITED[phase.kind]) {
			const done = new Set([...phase.done, from]);
			const isNextLast = phase.kind === 'going' && done.size === phase.members.length - 1;
			this.#phase = {...phase, done, sentAt: isNextLast ? -Infinity : phase.sentAt};
		} else if (phase.kind === 'cancelling' && message.kind === 'map-gone') {
			this.#beginSettling(now);
		}
	}

	#onRefused(message: MapMessageOf<'map-refused'>, now: number): void {
		const phase = this.#phase;
		if (!isTally(phase)) {
			return;
		}

		const consequence = consequenceOf(phase, message);
		if (consequence === 'cancel') {
			this.#cancel(phase, now);
		} else if (consequence === 'settle') {
			this.#beginSettling(now);
		}
	}

	#onState(from: string, message: MapMessageOf<'map-state'>, now: number): void {
		const phase = this.#phase;
		if (phase.kind !== 'asking' || from !== this.#options.id || message.round !== this.#views.round || message.state === undefined) {
			return;
		}

		if (message.state.epoch === phase.epoch) {
			const step = message.state.step + (this.#options.marginSteps ?? 10);
			this.#begin({
				...phase, ...newTally(now), kind: 'gating', step,
			}, now);
		} else {
			this.#cancel(phase, now);
		}
	}

	#beginSettling(now: number): void {
		this.#phase = {kind: 'settling'};
		this.#query(now);
	}

	/** Finds out from all engines of the epoch whether the planned map is in force, and records or undoes it. */
	#settle(now: number): void {
		if (mainEpoch(this.#views.recent(now)) === undefined) {
			this.#beginJoin(now);
			return;
		}

		const states = this.#views.answers;
		const main = mainEpoch(states);
		const {planned} = this.#record;
		const version = main === undefined ? undefined : settledVersion(main, states);
		if (main === undefined || version === undefined) {
			return;
		}

		if (planned !== undefined && version !== planned.version) {
			// An engine that has left the epoch drops the version when it joins again.
			const members = main.members.filter(id => states.get(id)?.epoch === main.epoch);
			this.#cancel({plan: planned, epoch: main.epoch, members}, now);
		} else if (planned === undefined) {
			this.#phase = {kind: 'idle'};
		} else {
			this.#save({installed: planned}, now);
		}
	}

	/** Lets endpoints outside the epoch, or all if it uses another map than the record, load the map in force. */
	#beginJoin(now: number): void {
		const states = this.#views.recent(now);
		const join = planJoin(this.#options.id, this.#views.ids, states, this.#record.installed.version);
		if (join === undefined) {
			return;
		}

		const epoch = nextEpoch([...states.values()].map(state => state.epoch), this.#options.random);
		const round = {plan: this.#record.installed, epoch, members: join.joiners};
		this.#begin({
			...round, ...newTally(now), kind: 'joining', invitation: join.invitation,
		}, now);
	}

	#invite(phase: Extract<LeaderPhase, {readonly kind: 'inviting'}>, now: number): void {
		const {invitation, version, epoch} = phase;
		const states = this.#views.recent(now);
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

	#save(content: Pick<MapRecord, 'installed' | 'planned'>, now: number, next?: Round): void {
		const highest = Math.max(this.#record.highest, content.installed.version, content.planned?.version ?? 0);
		const value = {...content, highest, fence: this.#options.fence};
		this.#recordId += 1;
		this.#phase = {
			kind: 'recording', id: this.#recordId, value, sentAt: now, ...(next === undefined ? {} : {next}),
		};
		this.#effects.push({kind: 'record', id: this.#recordId, record: value});
	}

	#query(now: number): void {
		const round = this.#views.startRound(now);
		for (const id of this.#views.ids) {
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
