/**
 * State of a map member and its actions on the engine: go, cancel, re-form, reconcile,
 * and the decisions it makes without a leader. `MapMember` handles the messages.
 */
import {
	hasExecutedGo, isGated, type EngineOrder, type EngineState,
} from './engine-order.js';
import {
	EngineQueue, type ResponseHandler, type EngineResponse, type EngineEffect,
} from './engine-queue.js';
import {
	decideGate, type GatedChange, type ConfirmedOutcome,
} from './gate-decision.js';
import {HOLD_TIMEOUT_MS, QUERY_INTERVAL_MS, RESEND_INTERVAL_MS} from './limits.js';
import type {MapMessage, MapMessageOf, RefusalReason} from './messages.js';
import {PeerStates} from './peer-states.js';
import {isBarrierBroken, planReform, type ReformInput} from './reform.js';

/** Effect that the driver executes for a member. */
export type MemberEffect = EngineEffect | {readonly kind: 'send'; readonly to: string; readonly message: MapMessage};

/** Options of a member. */
export type MemberOptions = {
	readonly group: string;
	/** Id of this endpoint. */
	readonly id: string;
	/** Ids of the other endpoints of the group. */
	readonly peers: readonly string[];
	/** Returns a number in [0, 1). */
	readonly random: () => number;
};

/** Fields of a message that its responses repeat. */
type Subject = Pick<MapMessage, 'version' | 'step' | 'epoch'>;

/** Reason of refusal for an order that the engine did not execute. */
export function refusalReasonOf(response: EngineResponse): RefusalReason {
	return response.kind === 'refused' ? response.reason : 'engine-down';
}

/** State of one member; used by `MapMember` only. */
export class MemberCore {
	static create(options: MemberOptions, now: number): MemberCore {
		return new MemberCore(options, now);
	}

	readonly options: MemberOptions;
	readonly engine = EngineQueue.create();
	readonly peerStates: PeerStates;
	/** Versions of accepted `map-prepare` messages, with the epoch they are for. */
	readonly announced = new Map<number, number>();
	/** Outcomes of the current change that other members have confirmed. */
	readonly outcomes = new Map<string, ConfirmedOutcome>();
	readonly outbox: MemberEffect[] = [];
	/** Engine state as last read; undefined while the engine does not respond. */
	state: EngineState | undefined;
	change: GatedChange | undefined;
	/** The message that formed the current epoch, until that epoch has made a step. */
	pendingEpoch: MapMessageOf<'map-reform'> | undefined;
	fence = 0;
	fenceKnown = false;
	/** Time at which the engine's step or epoch was last seen to change, ms. */
	lastProgressAt: number;
	#lastSeen = {epoch: 0, step: 0};
	/** Last epoch in which this process has seen a step. */
	#lastSteppedEpoch = 0;
	#cancelSentAt = -Infinity;

	private constructor(options: MemberOptions, now: number) {
		this.options = options;
		this.peerStates = PeerStates.create(options.peers);
		this.lastProgressAt = now;
	}

	/** Ids of the other members of the engine's epoch. */
	get others(): readonly string[] {
		return (this.state?.members ?? []).filter(id => id !== this.options.id);
	}

	/** True if this member is the arbiter, or may be since the arbiter is unknown. */
	get mayBeArbiter(): boolean {
		return this.change?.arbiter === undefined || this.change.arbiter === this.options.id;
	}

	send(to: string, message: MapMessage): void {
		this.outbox.push({kind: 'send', to, message});
	}

	/** Common fields of messages about `subject`. */
	header(subject: Subject) {
		return {
			group: this.options.group, version: subject.version, step: subject.step, epoch: subject.epoch, fence: this.fence,
		};
	}

	refuse(to: string, subject: Subject, of: MapMessageOf<'map-refused'>['of'], reason: RefusalReason): void {
		this.send(to, {
			...this.header(subject), kind: 'map-refused', of, reason,
		});
	}

	/** Common fields of orders about `subject`, with the highest known fencing token. */
	orderFields(subject: Subject) {
		return {version: subject.version, epoch: subject.epoch, fence: this.fence};
	}

	/** Queues an order for the engine and applies the state in its response. */
	order(order: EngineOrder, handler: ResponseHandler): void {
		this.engine.order(order, (response, now) => {
			this.applyResponse(response, now);
			handler(response, now);
		});
	}

	/** Starts a query round to all peers. */
	query(now: number): void {
		const round = this.peerStates.startRound(now);
		const subject = this.change ?? {version: 0, step: 0, epoch: this.state?.epoch ?? 0};
		for (const id of this.peerStates.ids) {
			this.send(id, {...this.header(subject), kind: 'map-query', round});
		}
	}

	/** Sets the current change; confirmed outcomes of another change are discarded. */
	setChange(change: GatedChange): void {
		if (change.version !== this.change?.version || change.epoch !== this.change.epoch) {
			this.outcomes.clear();
		}

		this.change = change;
	}

	/** Applies the engine state of a response. */
	applyResponse(response: EngineResponse, now: number): void {
		this.state = response.kind === 'no-answer' ? undefined : response.state;
		const {state} = this;
		if (state === undefined) {
			return;
		}

		this.fence = Math.max(this.fence, state.fence);
		if (state.epoch !== this.#lastSeen.epoch || state.step !== this.#lastSeen.step) {
			this.#lastSteppedEpoch = state.epoch === this.#lastSeen.epoch ? state.epoch : this.#lastSteppedEpoch;
			this.#lastSeen = {epoch: state.epoch, step: state.step};
			this.lastProgressAt = now;
		}

		if (this.#lastSteppedEpoch === state.epoch || this.pendingEpoch?.epoch !== state.epoch) {
			this.pendingEpoch = undefined;
		}

		this.#applyGate(state);
	}

	/** Orders `go` and, once the engine has confirmed it, reports this to `replyTo` and the arbiter. */
	go(subject: Subject, replyTo?: string): void {
		this.order({order: 'go', step: subject.step, ...this.orderFields(subject)}, response => {
			if (response.kind === 'done') {
				this.#reportOutcome(subject, 'map-gone', replyTo);
			} else if (replyTo !== undefined) {
				this.refuse(replyTo, subject, 'go', refusalReasonOf(response));
			}
		});
	}

	/** Cancels the gate, then drops the version, and only then responds `map-cancelled`. */
	cancel(subject: Subject, replyTo?: string): void {
		if (this.change?.version === subject.version) {
			this.change = {...this.change, cancelling: true};
		}

		const gate = this.state?.gate;
		if (gate === undefined || this.state === undefined || !isGated(this.state, subject.version)) {
			this.#drop(subject, replyTo);
			return;
		}

		this.order({order: 'cancel', step: gate.step, ...this.orderFields(subject)}, response => {
			if (response.kind === 'done') {
				this.#drop(subject, replyTo);
			} else {
				this.#reportFailedCancel(subject, response, replyTo);
			}
		});
	}

	/** Orders the engine to enter a new epoch; once it has entered, the initiator forwards the message to the other members. */
	enterEpoch(message: MapMessageOf<'map-reform'>, from: string): void {
		const {members, step} = message;
		this.order({
			order: 'reform', step, members, ...this.orderFields(message),
		}, response => {
			if (response.kind !== 'done') {
				this.refuse(from, message, 'reform', refusalReasonOf(response));
				return;
			}

			this.pendingEpoch = message;
			this.send(from, {...this.header(message), kind: 'map-reformed'});
			if (message.initiator === this.options.id) {
				for (const id of this.others) {
					this.send(id, message);
				}
			}
		});
	}

	/** Forwards the message of the current epoch to a member that has not entered it. */
	forwardReform(id: string, state: EngineState | undefined): void {
		const {pendingEpoch} = this;
		if (pendingEpoch !== undefined && state !== undefined && pendingEpoch.members.includes(id) && state.epoch < pendingEpoch.epoch) {
			this.send(id, pendingEpoch);
		}
	}

	/** Drops a version that was not announced for this epoch or a later one; does nothing while there is a gate. */
	reconcile(): void {
		const {state} = this;
		if (state === undefined || state.gate !== undefined || this.engine.hasOrder || this.#lastSteppedEpoch !== state.epoch) {
			return;
		}

		// Versions increase within an epoch, so one below the map in use comes from a late order, unless it is for joining a later epoch.
		const unannounced = state.prepared.find(version => {
			const epoch = this.announced.get(version) ?? -1;
			return epoch < state.epoch || (epoch === state.epoch && version < state.mapVersion);
		});
		if (unannounced !== undefined) {
			this.announced.delete(unannounced);
			this.order({order: 'drop', ...this.orderFields({version: unannounced, step: 0, epoch: state.epoch})}, () => undefined);
		}
	}

	/** True if no message of the leader about the current change has arrived for QUERY_INTERVAL_MS. */
	isLeaderSilent(now: number): boolean {
		return this.change !== undefined && now - this.change.lastLeaderMessageAt >= QUERY_INTERVAL_MS;
	}

	/** Decides on the engine's gate and executes the decision. */
	resolveGate(now: number): void {
		const {change, state} = this;
		if (change === undefined || state === undefined || this.engine.hasOrder) {
			return;
		}

		if (!isGated(state, change.version)) {
			this.#closeChangeIfOver(now);
			return;
		}

		const decision = decideGate({
			self: this.options.id, change, others: this.others, outcomes: this.outcomes, roundStates: this.peerStates.currentRoundStates, isLeaderSilent: this.isLeaderSilent(now),
		});
		switch (decision) {
			case 'go': {
				this.go(change);
				break;
			}

			case 'cancel': {
				this.cancel(change);
				break;
			}

			case 'request-cancel': {
				this.#requestCancel(change, now);
				break;
			}

			case 're-form': {
				this.tryReform(now, true);
				break;
			}

			case 'wait': {
				break;
			}
		}
	}

	/**
	 * Forms a new epoch if the barrier has made no step for HOLD_TIMEOUT_MS. The reachable
	 * member with the lowest id starts; each further one waits QUERY_INTERVAL_MS longer.
	 *
	 * @param isMixed - Some ranks have executed `go` and others have cancelled: starts at once if all are reachable.
	 */
	tryReform(now: number, isMixed = false): void {
		const stalledMs = now - this.lastProgressAt;
		if (this.state === undefined || this.engine.hasOrder || (!isMixed && stalledMs < HOLD_TIMEOUT_MS)) {
			return;
		}

		const base = this.pendingEpoch?.base ?? this.#lastFormedMembers(this.state);
		const input: ReformInput = {
			self: this.options.id, state: this.state, base, peers: this.peerStates.recentStates(now), random: this.options.random,
		};
		const {epoch} = this.state;
		const isSuperseded = [...input.peers.values()].some(peer => peer.epoch > epoch && !peer.members.includes(this.options.id));
		const plan = isSuperseded || !isBarrierBroken(input) ? undefined : planReform(input);
		if (plan === undefined) {
			return;
		}

		const startDelayMs = plan.members.indexOf(this.options.id) * QUERY_INTERVAL_MS;
		const isDue = isMixed ? this.state.members.every(id => plan.members.includes(id)) : stalledMs >= HOLD_TIMEOUT_MS + startDelayMs;
		if (isDue) {
			const {version, step, members} = plan;
			const header = this.header({version, step, epoch: plan.epoch});
			this.enterEpoch({
				...header, kind: 'map-reform', members, base, initiator: this.options.id,
			}, this.options.id);
		}
	}

	/**
	 * Members of the last epoch known to have made a step. After a restart, this is unknown until
	 * a step is seen: the current epoch may not have formed completely, so all endpoints are returned.
	 */
	#lastFormedMembers(state: EngineState): readonly string[] {
		return this.#lastSteppedEpoch === state.epoch ? state.members : [this.options.id, ...this.peerStates.ids];
	}

	#applyGate(state: EngineState): void {
		const {change} = this;
		const isOver = change !== undefined
			&& (state.epoch !== change.epoch || state.step > change.step || state.mapVersion === change.version);
		if (isOver) {
			this.change = undefined;
		}

		// A gate that is unknown to this process: it was set before a restart, or by an order that was delayed in the socket.
		if (state.gate !== undefined && this.change === undefined) {
			this.setChange({
				version: state.gate.version, step: state.gate.step, epoch: state.epoch, frozen: true, cancelling: false, lastLeaderMessageAt: -Infinity,
			});
		}
	}

	#drop(subject: Subject, replyTo?: string): void {
		this.order({order: 'drop', ...this.orderFields(subject)}, response => {
			if (response.kind === 'done') {
				this.announced.delete(subject.version);
				this.#reportOutcome(subject, 'map-cancelled', replyTo);
			} else {
				this.#reportFailedCancel(subject, response, replyTo);
			}
		});
	}

	#reportFailedCancel(subject: Subject, response: EngineResponse, replyTo?: string): void {
		if (this.state !== undefined && hasExecutedGo(this.state, subject.version)) {
			this.#reportOutcome(subject, 'map-gone', replyTo);
		} else if (replyTo !== undefined) {
			this.refuse(replyTo, subject, 'cancel', refusalReasonOf(response));
		}
	}

	#reportOutcome(subject: Subject, kind: 'map-gone' | 'map-cancelled', replyTo?: string): void {
		const arbiter = this.change?.version === subject.version ? this.change.arbiter : undefined;
		for (const id of new Set([replyTo, arbiter])) {
			if (id !== undefined) {
				this.send(id, {...this.header(subject), kind});
			}
		}
	}

	/** Clears a change that was not made, once no engine of the epoch has a gate. */
	#closeChangeIfOver(now: number): void {
		const {currentRoundStates} = this.peerStates;
		const isOver = this.isLeaderSilent(now) && this.state?.gate === undefined
			&& this.others.every(id => currentRoundStates.get(id)?.epoch === this.state?.epoch && currentRoundStates.get(id)?.gate === undefined);
		if (isOver) {
			this.change = undefined;
		}
	}

	#requestCancel(change: GatedChange, now: number): void {
		if (now - this.#cancelSentAt < RESEND_INTERVAL_MS) {
			return;
		}

		this.#cancelSentAt = now;
		this.change = {...change, cancelling: true};
		for (const id of this.others.filter(id => this.outcomes.get(id) !== 'cancelled')) {
			this.send(id, {...this.header(change), kind: 'map-cancel'});
		}
	}
}
