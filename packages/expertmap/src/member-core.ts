/**
 * State of a map member and its actions at the engine: go, cancel, re-form, reconcile,
 * and the decisions it takes without a leader. `MapMember` handles the messages.
 */
import {
	hasExecutedGo, isGated, type EngineOrder, type EngineState,
} from './engine-order.js';
import {
	EngineQueue, type ResponseHandler, type EngineResponse, type EngineEffect,
} from './engine-queue.js';
import {
	decideGate, type Change, type Vote,
} from './gate-decision.js';
import {HOLD_TIMEOUT_MS, QUERY_INTERVAL_MS, RESEND_INTERVAL_MS} from './limits.js';
import type {MapMessage, MapMessageOf, RefusalReason} from './messages.js';
import {PeerViews} from './peer-states.js';
import {isBarrierBroken, planReform, type ReformInput} from './reform.js';

/** What the driver does for a member. */
export type MemberEffect = EngineEffect | {readonly kind: 'send'; readonly to: string; readonly message: MapMessage};

/** Settings of a member. */
export type MemberOptions = {
	readonly group: string;
	/** Id of this endpoint. */
	readonly id: string;
	/** Ids of the other endpoints of the group. */
	readonly peers: readonly string[];
	/** Returns a number in [0, 1). */
	readonly random: () => number;
};

/** The part of a message that answers repeat. */
type Subject = Pick<MapMessage, 'version' | 'step' | 'epoch'>;

/** The reason to report for an order that the engine did not execute. */
export function reasonOf(answer: EngineResponse): RefusalReason {
	return answer.kind === 'refused' ? answer.reason : 'engine-down';
}

/** Shared state of one member; used by `MapMember` only. */
export class MemberCore {
	static create(options: MemberOptions, now: number): MemberCore {
		return new MemberCore(options, now);
	}

	readonly options: MemberOptions;
	readonly engine = EngineQueue.create();
	readonly views: PeerViews;
	/** Versions announced by an accepted `map-prepare`, with the epoch they are for. */
	readonly announced = new Map<number, number>();
	/** Votes of the others on the present change. */
	readonly votes = new Map<string, Vote>();
	readonly outbox: MemberEffect[] = [];
	/** Engine's state as last read; undefined while the engine does not answer. */
	state: EngineState | undefined;
	change: Change | undefined;
	/** Content of the present epoch until it has made a step. */
	forming: MapMessageOf<'map-reform'> | undefined;
	fence = 0;
	fenceKnown = false;
	/** Last time the engine was seen in another step than before, ms. */
	movedAt: number;
	#seen = {epoch: 0, step: 0};
	/** Epoch in which this process has seen a step. */
	#steppedIn = 0;
	#askedAt = -Infinity;

	private constructor(options: MemberOptions, now: number) {
		this.options = options;
		this.views = PeerViews.create(options.peers);
		this.movedAt = now;
	}

	/** Ids of the other members of the engine's epoch. */
	get others(): readonly string[] {
		return (this.state?.members ?? []).filter(id => id !== this.options.id);
	}

	/** True if this member's engine may be the one that is released last. */
	get mayBeArbiter(): boolean {
		return this.change?.arbiter === undefined || this.change.arbiter === this.options.id;
	}

	send(to: string, message: MapMessage): void {
		this.outbox.push({kind: 'send', to, message});
	}

	/** Common fields of a message about `subject`. */
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

	/** Fields of an order about `subject`, with the highest fence known. */
	fields(subject: Subject) {
		return {version: subject.version, epoch: subject.epoch, fence: this.fence};
	}

	/** Gives an order to the engine and takes over the state in its answer. */
	order(order: EngineOrder, handler: ResponseHandler): void {
		this.engine.order(order, (answer, now) => {
			this.adopt(answer, now);
			handler(answer, now);
		});
	}

	/** Starts a round of queries to all peers. */
	query(now: number): void {
		const round = this.views.startRound(now);
		const subject = this.change ?? {version: 0, step: 0, epoch: this.state?.epoch ?? 0};
		for (const id of this.views.ids) {
			this.send(id, {...this.header(subject), kind: 'map-query', round});
		}
	}

	/** Remembers a change; votes on another one are void. */
	setChange(change: Change): void {
		if (change.version !== this.change?.version || change.epoch !== this.change.epoch) {
			this.votes.clear();
		}

		this.change = change;
	}

	/** Takes over the engine's state from an answer. */
	adopt(answer: EngineResponse, now: number): void {
		this.state = answer.kind === 'no-answer' ? undefined : answer.state;
		const {state} = this;
		if (state === undefined) {
			return;
		}

		this.fence = Math.max(this.fence, state.fence);
		if (state.epoch !== this.#seen.epoch || state.step !== this.#seen.step) {
			this.#steppedIn = state.epoch === this.#seen.epoch ? state.epoch : this.#steppedIn;
			this.#seen = {epoch: state.epoch, step: state.step};
			this.movedAt = now;
		}

		if (this.#steppedIn === state.epoch || this.forming?.epoch !== state.epoch) {
			this.forming = undefined;
		}

		this.#adoptGate(state);
	}

	/** Passes `go` to the engine and tells `replyTo` and the arbiter once it is confirmed. */
	go(subject: Subject, replyTo?: string): void {
		this.order({order: 'go', step: subject.step, ...this.fields(subject)}, answer => {
			if (answer.kind === 'done') {
				this.#announce(subject, 'map-gone', replyTo);
			} else if (replyTo !== undefined) {
				this.refuse(replyTo, subject, 'go', reasonOf(answer));
			}
		});
	}

	/** Cancels the gate, then drops the version, and only then answers `map-cancelled`. */
	cancel(subject: Subject, replyTo?: string): void {
		if (this.change?.version === subject.version) {
			this.change = {...this.change, cancelling: true};
		}

		const gate = this.state?.gate;
		if (gate === undefined || this.state === undefined || !isGated(this.state, subject.version)) {
			this.#drop(subject, replyTo);
			return;
		}

		this.order({order: 'cancel', step: gate.step, ...this.fields(subject)}, answer => {
			if (answer.kind === 'done') {
				this.#drop(subject, replyTo);
			} else {
				this.#notCancelled(subject, answer, replyTo);
			}
		});
	}

	/** Orders the engine into a new epoch; once it has entered, passes the epoch on to the other members. */
	enter(message: MapMessageOf<'map-reform'>, from: string): void {
		const {members, step} = message;
		this.order({
			order: 'reform', step, members, ...this.fields(message),
		}, answer => {
			if (answer.kind !== 'done') {
				this.refuse(from, message, 'reform', reasonOf(answer));
				return;
			}

			this.forming = message;
			this.send(from, {...this.header(message), kind: 'map-reformed'});
			if (message.initiator === this.options.id) {
				for (const id of this.others) {
					this.send(id, message);
				}
			}
		});
	}

	/** Passes the present epoch on to a member that has not entered it. */
	forward(id: string, state: EngineState | undefined): void {
		const {forming} = this;
		if (forming !== undefined && state !== undefined && forming.members.includes(id) && state.epoch < forming.epoch) {
			this.send(id, forming);
		}
	}

	/** Drops versions that no change of this epoch has announced. A held gate is resolved first. */
	reconcile(): void {
		const {state} = this;
		if (state === undefined || state.gate !== undefined || this.engine.hasOrder || this.#steppedIn !== state.epoch) {
			return;
		}

		// Versions grow within an epoch, so one below the map in use is a late order, unless it is for joining a later epoch.
		const unknown = state.prepared.find(version => {
			const epoch = this.announced.get(version) ?? -1;
			return epoch < state.epoch || (epoch === state.epoch && version < state.mapVersion);
		});
		if (unknown !== undefined) {
			this.announced.delete(unknown);
			this.order({order: 'drop', ...this.fields({version: unknown, step: 0, epoch: state.epoch})}, () => undefined);
		}
	}

	/** True if the leader has not been heard about the present change for HOLD_QUERY_MS. */
	isQuiet(now: number): boolean {
		return this.change !== undefined && now - this.change.heardAt >= QUERY_INTERVAL_MS;
	}

	/** Decides on a held gate and acts on the decision. */
	resolve(now: number): void {
		const {change, state} = this;
		if (change === undefined || state === undefined || this.engine.hasOrder) {
			return;
		}

		if (!isGated(state, change.version)) {
			this.#closeIfOver(now);
			return;
		}

		const decision = decideGate({
			self: this.options.id, change, others: this.others, votes: this.votes, answers: this.views.answers, quiet: this.isQuiet(now),
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

			case 'ask-to-cancel': {
				this.#askToCancel(change, now);
				break;
			}

			case 're-form': {
				this.reform(now, true);
				break;
			}

			case 'wait': {
				break;
			}
		}
	}

	/**
	 * Forms a new epoch if the barrier has made no step for HOLD_LIMIT_MS. The reachable
	 * member with the lowest id begins; each further one waits HOLD_QUERY_MS longer.
	 *
	 * @param isMixed - Some ranks have gone and others have cancelled: begins at once if all can be reached.
	 */
	reform(now: number, isMixed = false): void {
		const stuckMs = now - this.movedAt;
		if (this.state === undefined || this.engine.hasOrder || (!isMixed && stuckMs < HOLD_TIMEOUT_MS)) {
			return;
		}

		const base = this.forming?.base ?? this.#lastFormed(this.state);
		const input: ReformInput = {
			self: this.options.id, state: this.state, base, peers: this.views.recent(now), random: this.options.random,
		};
		const {epoch} = this.state;
		const isLeftBehind = [...input.peers.values()].some(peer => peer.epoch > epoch && !peer.members.includes(this.options.id));
		const plan = isLeftBehind || !isBarrierBroken(input) ? undefined : planReform(input);
		if (plan === undefined) {
			return;
		}

		const turn = plan.members.indexOf(this.options.id) * QUERY_INTERVAL_MS;
		const isTurn = isMixed ? this.state.members.every(id => plan.members.includes(id)) : stuckMs >= HOLD_TIMEOUT_MS + turn;
		if (isTurn) {
			const {version, step, members} = plan;
			const header = this.header({version, step, epoch: plan.epoch});
			this.enter({
				...header, kind: 'map-reform', members, base, initiator: this.options.id,
			}, this.options.id);
		}
	}

	/**
	 * Members of the last epoch known to have made a step. After a restart that is unknown
	 * until a step is seen: the present epoch may not have formed, so all endpoints count.
	 */
	#lastFormed(state: EngineState): readonly string[] {
		return this.#steppedIn === state.epoch ? state.members : [this.options.id, ...this.views.ids];
	}

	#adoptGate(state: EngineState): void {
		const {change} = this;
		const isOver = change !== undefined
			&& (state.epoch !== change.epoch || state.step > change.step || state.mapVersion === change.version);
		if (isOver) {
			this.change = undefined;
		}

		// A gate that this process did not set: it was set before a restart, or by an order that was late in the socket.
		if (state.gate !== undefined && this.change === undefined) {
			this.setChange({
				version: state.gate.version, step: state.gate.step, epoch: state.epoch, frozen: true, cancelling: false, heardAt: -Infinity,
			});
		}
	}

	#drop(subject: Subject, replyTo?: string): void {
		this.order({order: 'drop', ...this.fields(subject)}, answer => {
			if (answer.kind === 'done') {
				this.announced.delete(subject.version);
				this.#announce(subject, 'map-cancelled', replyTo);
			} else {
				this.#notCancelled(subject, answer, replyTo);
			}
		});
	}

	#notCancelled(subject: Subject, answer: EngineResponse, replyTo?: string): void {
		if (this.state !== undefined && hasExecutedGo(this.state, subject.version)) {
			this.#announce(subject, 'map-gone', replyTo);
		} else if (replyTo !== undefined) {
			this.refuse(replyTo, subject, 'cancel', reasonOf(answer));
		}
	}

	#announce(subject: Subject, kind: 'map-gone' | 'map-cancelled', replyTo?: string): void {
		const arbiter = this.change?.version === subject.version ? this.change.arbiter : undefined;
		for (const id of new Set([replyTo, arbiter])) {
			if (id !== undefined) {
				this.send(id, {...this.header(subject), kind});
			}
		}
	}

	/** Forgets a change that was not made once no engine of the epoch is gated any more. */
	#closeIfOver(now: number): void {
		const {answers} = this.views;
		const isOver = this.isQuiet(now) && this.state?.gate === undefined
			&& this.others.every(id => answers.get(id)?.epoch === this.state?.epoch && answers.get(id)?.gate === undefined);
		if (isOver) {
			this.change = undefined;
		}
	}

	#askToCancel(change: Change, now: number): void {
		if (now - this.#askedAt < RESEND_INTERVAL_MS) {
			return;
		}

		this.#askedAt = now;
		this.change = {...change, cancelling: true};
		for (const id of this.others.filter(id => this.votes.get(id) !== 'cancelled')) {
			this.send(id, {...this.header(change), kind: 'map-cancel'});
		}
	}
}
