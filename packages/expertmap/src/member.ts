/**
 * Member side of the change protocol, in one endpoint process. It controls one engine, responds
 * to the leader and the peers of the group, and resolves gates without the leader.
 */
import {
	hasExecutedGo, hasVersionLoaded, isGated, type EngineState,
} from './engine-order.js';
import type {EngineResponse} from './engine-queue.js';
import {haveAllConfirmed, confirmedOutcome} from './gate-decision.js';
import {
	HOLD_TIMEOUT_MS, QUERY_INTERVAL_MS, STATE_POLL_INTERVAL_MS, RECONCILE_INTERVAL_MS,
} from './limits.js';
import {
	MemberCore, refusalReasonOf, type MemberEffect, type MemberOptions,
} from './member-core.js';
import type {MapMessage, MapMessageOf, RefusalReason} from './messages.js';

/** Status shown to operators. */
export type MemberStatus = {
	/** Engine state as last read; absent while the engine does not respond. */
	readonly state?: EngineState;
	/** Highest known fencing token; absent until the platform or all peers have responded. */
	readonly fence?: number;
	/** Version of the change that is not resolved yet. */
	readonly changing?: number;
	/** Time since the engine's step or epoch was last seen to change, ms. */
	readonly stuckMs: number;
};

/** One member of a group. The driver must execute the effects that methods return, in order. */
export class MapMember {
	static create(options: MemberOptions, now: number): MapMember {
		return new MapMember(options, now);
	}

	readonly #core: MemberCore;
	#lastReadAt = -Infinity;

	private constructor(options: MemberOptions, now: number) {
		this.#core = MemberCore.create(options, now);
	}

	/** State of this member, for status output. */
	status(now: number): MemberStatus {
		const {
			state, fence, fenceKnown, change, lastProgressAt,
		} = this.#core;
		return {
			...(state === undefined ? {} : {state}),
			...(fenceKnown ? {fence} : {}),
			...(change === undefined ? {} : {changing: change.version}),
			stuckMs: now - lastProgressAt,
		};
	}

	/** Raises the known fencing token to that of the platform's lease object. */
	raiseFence(fence: number, now: number): readonly MemberEffect[] {
		this.#core.fence = Math.max(this.#core.fence, fence);
		this.#core.fenceKnown = true;
		return this.#takeEffects(now);
	}

	/** Replaces the ids of the other endpoints, for example when an instance of the group is replaced. */
	setPeers(peers: readonly string[]): void {
		this.#core.peerStates.setIds(peers);
	}

	/** Handles a message of a peer or of this process's own leader; messages of another group are ignored. */
	handleMessage(from: string, message: MapMessage, now: number): readonly MemberEffect[] {
		if (message.group === this.#core.options.group) {
			this.#dispatch(from, message, now);
		}

		return this.#takeEffects(now);
	}

	/** Handles the response to an `order` or `read-state` effect. */
	handleEngineResponse(token: number, response: EngineResponse, now: number): readonly MemberEffect[] {
		this.#core.engine.handleResponse(token, response, now);
		this.#core.resolveGate(now);
		return this.#takeEffects(now);
	}

	/** Advances the time; must be called at least every 100 ms. */
	tick(now: number): readonly MemberEffect[] {
		const core = this.#core;
		core.engine.tick(now);
		const isUnsettled = core.change !== undefined || now - core.lastProgressAt > RECONCILE_INTERVAL_MS;
		if (now - this.#lastReadAt >= (isUnsettled ? STATE_POLL_INTERVAL_MS : RECONCILE_INTERVAL_MS)) {
			this.#lastReadAt = now;
			core.engine.read((response, at) => {
				core.applyResponse(response, at);
				core.reconcile();
			});
		}

		if (this.#needsQueryRound(now) && now - core.peerStates.roundAt >= QUERY_INTERVAL_MS) {
			core.query(now);
		}

		core.resolveGate(now);
		core.tryReform(now);
		return this.#takeEffects(now);
	}

	#takeEffects(now: number): readonly MemberEffect[] {
		const call = this.#core.engine.next(now);
		const effects = this.#core.outbox.splice(0);
		return call === undefined ? effects : [...effects, call];
	}

	#needsQueryRound(now: number): boolean {
		const core = this.#core;
		const isStalled = now - core.lastProgressAt >= HOLD_TIMEOUT_MS - (2 * QUERY_INTERVAL_MS);
		return core.isLeaderSilent(now) || core.pendingEpoch !== undefined || isStalled || !core.fenceKnown;
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
				this.#onOutcome(from, message, now);
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

	/** Checks a leader's fencing token against the highest known one, and records a higher one. */
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

	#epochRefusal(isExpected: (epoch: number) => boolean): RefusalReason | undefined {
		const {state} = this.#core;
		if (state === undefined) {
			return 'engine-down';
		}

		return isExpected(state.epoch) ? undefined : 'epoch';
	}

	#onPrepare(from: string, message: MapMessageOf<'map-prepare'>): void {
		const core = this.#core;
		const reason = this.#fenceRefusal(message.fence) ?? this.#epochRefusal(epoch => message.epoch >= epoch);
		if (reason !== undefined) {
			core.refuse(from, message, 'prepare', reason);
			return;
		}

		core.announced.set(message.version, message.epoch);
		core.order({order: 'prepare', map: message.map, ...core.orderFields(message)}, response => {
			if (response.kind !== 'done') {
				core.announced.delete(message.version);
				core.refuse(from, message, 'prepare', refusalReasonOf(response));
			} else if (hasVersionLoaded(response.state, message.version)) {
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
			version: message.version, step: message.step, epoch: message.epoch, arbiter: message.arbiter, frozen: change?.frozen ?? false, cancelling: false, lastLeaderMessageAt: now,
		});
		core.order({order: 'gate', step: message.step, ...core.orderFields(message)}, response => {
			if (response.kind === 'done') {
				core.send(from, {...core.header(message), kind: 'map-gated'});
				return;
			}

			core.refuse(from, message, 'gate', refusalReasonOf(response));
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
			core.change = {...core.change, lastLeaderMessageAt: now};
		}

		core.go(message, from);
	}

	#goRefusal(message: MapMessageOf<'map-go'>): RefusalReason | undefined {
		const {change, state, others, outcomes, mayBeArbiter} = this.#core;
		if (state?.epoch === message.epoch && hasExecutedGo(state, message.version)) {
			return undefined;
		}

		if (change?.version !== message.version || change.epoch !== message.epoch || change.step !== message.step) {
			return 'no-gate';
		}

		if (mayBeArbiter) {
			return haveAllConfirmed({others, outcomes}, 'gone') ? undefined : 'not-last';
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
		core.resolveGate(now);
	}

	#onQuery(from: string, message: MapMessageOf<'map-query'>): void {
		const core = this.#core;
		core.fence = Math.max(core.fence, message.fence);
		core.engine.read((response, now) => {
			core.applyResponse(response, now);
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
		core.peerStates.recordState(from, message.round, message.state, now);
		core.fence = Math.max(core.fence, message.fence);
		core.fenceKnown ||= core.peerStates.haveAllResponded;
		if (core.change?.version === message.version && core.change.arbiter === undefined && message.arbiter !== undefined) {
			core.change = {...core.change, arbiter: message.arbiter};
		}

		const outcome = message.state === undefined || core.change === undefined ? undefined : confirmedOutcome(message.state, core.change);
		if (outcome !== undefined) {
			core.outcomes.set(from, outcome);
		}

		core.forwardReform(from, message.state);
		core.resolveGate(now);
	}

	#onOutcome(from: string, message: MapMessageOf<'map-gone' | 'map-cancelled'>, now: number): void {
		const core = this.#core;
		if (core.change?.version === message.version && core.change.epoch === message.epoch) {
			core.outcomes.set(from, message.kind === 'map-gone' ? 'gone' : 'cancelled');
			core.resolveGate(now);
		}
	}

	#onReform(from: string, message: MapMessageOf<'map-reform'>): void {
		const core = this.#core;
		const reason = this.#reformRefusal(message);
		if (reason === undefined) {
			core.enterEpoch(message, from);
		} else {
			core.refuse(from, message, 'reform', reason);
		}
	}

	/**
	 * Only a member of the current epoch may initiate a new one: it has left the current
	 * epoch itself, which therefore makes no further step. An endpoint that joins accepts
	 * the epoch for which the leader had it load the map.
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
