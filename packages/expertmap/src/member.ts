/**
 * The change protocol's part in one endpoint process. It fronts one engine, answers
 * the leader and the peers of the group, and ends holds without the leader.
 */
import {
	hasExecutedGo, hasVersionLoaded, isGated, type EngineState,
} from './engine-order.js';
import type {EngineResponse} from './engine-queue.js';
import {haveAllVoted, voteOf} from './gate-decision.js';
import {
	HOLD_TIMEOUT_MS, QUERY_INTERVAL_MS, STATE_POLL_INTERVAL_MS, RECONCILE_INTERVAL_MS,
} from './limits.js';
import {
	MemberCore, reasonOf, type MemberEffect, type MemberOptions,
} from './member-core.js';
import type {MapMessage, MapMessageOf, RefusalReason} from './messages.js';

/** What `status` shows to operators. */
export type MemberStatus = {
	/** Engine's state as last read; absent while the engine does not answer. */
	readonly state?: EngineState;
	/** Highest fence; absent until the platform or all peers have been heard. */
	readonly fence?: number;
	/** Version of the change whose gate is unresolved. */
	readonly changing?: number;
	/** Time since the engine was last seen to make a step, ms. */
	readonly stuckMs: number;
};

/** One member of a group. Each method returns the effects that the driver carries out, in order. */
export class MapMember {
	static create(options: MemberOptions, now: number): MapMember {
		return new MapMember(options, now);
	}

	readonly #core: MemberCore;
	#readAt = -Infinity;

	private constructor(options: MemberOptions, now: number) {
		this.#core = MemberCore.create(options, now);
	}

	/** What this member knows, for status output. */
	status(now: number): MemberStatus {
		const {
			state, fence, fenceKnown, change, movedAt,
		} = this.#core;
		return {
			...(state === undefined ? {} : {state}),
			...(fenceKnown ? {fence} : {}),
			...(change === undefined ? {} : {changing: change.version}),
			stuckMs: now - movedAt,
		};
	}

	/** Tells the fence that the platform's lease object holds. */
	raiseFence(fence: number, now: number): readonly MemberEffect[] {
		this.#core.fence = Math.max(this.#core.fence, fence);
		this.#core.fenceKnown = true;
		return this.#flush(now);
	}

	/** Replaces the ids of the other endpoints, as when an instance of the group is replaced. */
	setPeers(peers: readonly string[]): void {
		this.#core.views.setIds(peers);
	}

	/** Handles a message of a peer or of this process's own leader; messages of another group are ignored. */
	handleMessage(from: string, message: MapMessage, now: number): readonly MemberEffect[] {
		if (message.group === this.#core.options.group) {
			this.#dispatch(from, message, now);
		}

		return this.#flush(now);
	}

	/** Hands back the answer to an `order` or `read-state` effect. */
	handleEngineResponse(token: number, answer: EngineResponse, now: number): readonly MemberEffect[] {
		this.#core.engine.answered(token, answer, now);
		this.#core.resolve(now);
		return this.#flush(now);
	}

	/** Advances the time; to be called at least every 100 ms. */
	tick(now: number): readonly MemberEffect[] {
		const core = this.#core;
		core.engine.tick(now);
		const isUnsettled = core.change !== undefined || now - core.movedAt > RECONCILE_INTERVAL_MS;
		if (now - this.#readAt >= (isUnsettled ? STATE_POLL_INTERVAL_MS : RECONCILE_INTERVAL_MS)) {
			this.#readAt = now;
			core.engine.read((answer, at) => {
				core.adopt(answer, at);
				core.reconcile();
			});
		}

		if (this.#needsRound(now) && now - core.views.roundAt >= QUERY_INTERVAL_MS) {
			core.query(now);
		}

		core.resolve(now);
		core.reform(now);
		return this.#flush(now);
	}

	#flush(now: number): readonly MemberEffect[] {
		const call = this.#core.engine.next(now);
		const effects = this.#core.outbox.splice(0);
		return call === undefined ? effects : [...effects, call];
	}

	#needsRound(now: number): boolean {
		const core = this.#core;
		const isStuck = now - core.movedAt >= HOLD_TIMEOUT_MS - (2 * QUERY_INTERVAL_MS);
		return core.isQuiet(now) || core.forming !== undefined || isStuck || !core.fenceKnown;
	}

	#dispatch(from: string, message: MapMessage, now: number): void {
		switch (message.kind) {
			case 'map-prepare': {
				this.#onPrepare(from, message);
				break;
			}

			case 'map-gate': {
				this.#onGate(from, message, now);
				break;
			}

			case 'map-go': {
				this.#onGo(from, message, now);
				break;
			}

			case 'map-cancel': {
				this.#onCancel(from, message, now);
				break;
			}

			case 'map-query': {
				this.#onQuery(from, message);
				break;
			}

			case 'map-state': {
				this.#onState(from, message, now);
				break;
			}

			case 'map-reform': {
				this.#onReform(from, message);
				break;
			}

			case 'map-gone':
			case 'map-cancelled': {
				this.#onVote(from, message, now);
				break;
			}

			case 'map-prepared':
			case 'map-gated':
			case 'map-refused':
			case 'map-reformed': {
				break;
			}
		}
	}

	/** Checks a leader's fence against the highest known, and remembers a higher one. */
	#fenceRefusal(fence: number): RefusalReason | undefined {
		const core = this.#core;
		if (!core.fenceKnown) {
			return 'fence-unknown';
		}

		if (fence < core.fence) {
			return 'fence';
		}

		core.fence = fence;
		return undefined;
	}

	#epochRefusal(isRight: (epoch: number) => boolean): RefusalReason | undefined {
		const {state} = this.#core;
		if (state === undefined) {
			return 'engine-down';
		}

		return isRight(state.epoch) ? undefined : 'epoch';
	}

	#onPrepare(from: string, message: MapMessageOf<'map-prepare'>): void {
		const core = this.#core;
		const reason = this.#fenceRefusal(message.fence) ?? this.#epochRefusal(epoch => message.epoch >= epoch);
		if (reason !== undefined) {
			core.refuse(from, message, 'prepare', reason);
			return;
		}

		core.announced.set(message.version, message.epoch);
		core.order({order: 'prepare', map: message.map, ...core.fields(message)}, answer => {
			if (answer.kind !== 'done') {
				core.announced.delete(message.version);
				core.refuse(from, message, 'prepare', reasonOf(answer));
			} else if (hasVersionLoaded(answer.state, message.version)) {
				core.send(from, {...core.header(message), kind: 'map-prepared'});
			}
		});
	}

	#onGate(from: string, message: MapMessageOf<'map-gate'>, now: number): void {
		const core = this.#core;
		const {change} = core;
		const isOther = change !== undefined && (change.version !== message.version || change.step !== message.step);
		const reason = this.#fenceRefusal(message.fence)
			?? this.#epochRefusal(epoch => message.epoch === epoch)
			?? (isOther ? 'busy' : undefined)
			?? (change?.cancelling === true ? 'too-late' : undefined);
		if (reason !== undefined) {
			core.refuse(from, message, 'gate', reason);
			return;
		}

		core.setChange({
			version: message.version, step: message.step, epoch: message.epoch, arbiter: message.arbiter, frozen: change?.frozen ?? false, cancelling: false, heardAt: now,
		});
		core.order({order: 'gate', step: message.step, ...core.fields(message)}, answer => {
			if (answer.kind === 'done') {
				core.send(from, {...core.header(message), kind: 'map-gated'});
				return;
			}

			core.refuse(from, message, 'gate', reasonOf(answer));
			if (core.state !== undefined && core.state.gate === undefined && core.change?.version === message.version) {
				core.change = undefined;
			}
		});
	}

	#onGo(from: string, message: MapMessageOf<'map-go'>, now: number): void {
		const core = this.#core;
		const reason = this.#goRefusal(message);
		if (reason !== undefined) {
			core.refuse(from, message, 'go', reason);
			return;
		}

		if (core.change !== undefined) {
			core.change = {...core.change, heardAt: now};
		}

		core.go(message, from);
	}

	#goRefusal(message: MapMessageOf<'map-go'>): RefusalReason | undefined {
		const {change, state, others, votes, mayBeArbiter} = this.#core;
		if (state?.epoch === message.epoch && hasExecutedGo(state, message.version)) {
			return undefined;
		}

		if (change?.version !== message.version || change.epoch !== message.epoch || change.step !== message.step) {
			return 'no-gate';
		}

		if (mayBeArbiter) {
			return haveAllVoted({others, votes}, 'gone') ? undefined : 'not-last';
		}

		return this.#fenceRefusal(message.fence) ?? (change.frozen || change.cancelling ? 'frozen' : undefined);
	}

	#onCancel(from: string, message: MapMessageOf<'map-cancel'>, now: number): void {
		const core = this.#core;
		const reason = this.#epochRefusal(epoch => message.epoch === epoch);
		if (reason !== undefined || core.state === undefined) {
			core.refuse(from, message, 'cancel', reason ?? 'engine-down');
			return;
		}

		const isLast = isGated(core.state, message.version) && core.mayBeArbiter;
		if (!isLast) {
			core.cancel(message, from);
			return;
		}

		if (core.change !== undefined && from === core.options.id) {
			core.change = {...core.change, cancelling: true};
		}

		core.refuse(from, message, 'cancel', 'not-last');
		core.resolve(now);
	}

	#onQuery(from: string, message: MapMessageOf<'map-query'>): void {
		const core = this.#core;
		core.fence = Math.max(core.fence, message.fence);
		core.engine.read((answer, now) => {
			core.adopt(answer, now);
			const change = core.change?.version === message.version ? core.change : undefined;
			if (change !== undefined) {
				core.change = {...change, frozen: true};
			}

			core.send(from, {
				...core.header(message),
				kind: 'map-state',
				round: message.round,
				...(core.state === undefined ? {} : {state: core.state}),
				...(change?.arbiter === undefined ? {} : {arbiter: change.arbiter}),
			});
		});
	}

	#onState(from: string, message: MapMessageOf<'map-state'>, now: number): void {
		const core = this.#core;
		core.views.answered(from, message.round, message.state, now);
		core.fence = Math.max(core.fence, message.fence);
		core.fenceKnown ||= core.views.haveAllAnswered;
		if (core.change?.version === message.version && core.change.arbiter === undefined && message.arbiter !== undefined) {
			core.change = {...core.change, arbiter: message.arbiter};
		}

		const vote = message.state === undefined || core.change === undefined ? undefined : voteOf(message.state, core.change);
		if (vote !== undefined) {
			core.votes.set(from, vote);
		}

		core.forward(from, message.state);
		core.resolve(now);
	}

	#onVote(from: string, message: MapMessageOf<'map-gone' | 'map-cancelled'>, now: number): void {
		const core = this.#core;
		if (core.change?.version === message.version && core.change.epoch === message.epoch) {
			core.votes.set(from, message.kind === 'map-gone' ? 'gone' : 'cancelled');
			core.resolve(now);
		}
	}

	#onReform(from: string, message: MapMessageOf<'map-reform'>): void {
		const core = this.#core;
		const reason = this.#reformRefusal(message);
		if (reason === undefined) {
			core.enter(message, from);
		} else {
			core.refuse(from, message, 'reform', reason);
		}
	}

	/**
	 * Only a member of the present epoch can call the others into a new one: it has left
	 * the present epoch itself, which therefore makes no further step. An endpoint that
	 * joins follows the leader that had it load the map for this epoch.
	 */
	#reformRefusal(message: MapMessageOf<'map-reform'>): RefusalReason | undefined {
		const {
			state, options, fence, fenceKnown, announced,
		} = this.#core;
		if (fenceKnown && message.fence < fence) {
			return 'fence';
		}

		const isInvited = state?.members.includes(message.initiator) === true || announced.get(message.version) === message.epoch;
		return this.#epochRefusal(epoch => message.epoch >= epoch && isInvited && message.members.includes(options.id));
	}
}
