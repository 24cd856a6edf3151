/**
 * Decides what a member does with the gate its engine holds.
 *
 * The arbiter's engine (the engine of the leader that sent the gate) is released last
 * in both directions: with `go` only after all others have confirmed `go`, with
 * `cancel` only after all others have confirmed cancel and drop. While others disagree,
 * for instance because a dead process's `go` reaches its engine after another rank has
 * cancelled, the arbiter holds and no rank passes the gate step.
 */
import {hasExecutedGo, type EngineState} from './engine-order.js';

/** What a member remembers of the change its engine is gated for. */
export type Change = {
	readonly version: number;
	readonly step: number;
	readonly epoch: number;
	/** Endpoint whose engine is released last; absent while unknown after a restart. */
	readonly arbiter?: string;
	/** Set once a query was answered with "not gone"; the leader's `go` is then refused. */
	readonly frozen: boolean;
	/** Set when the leader or the arbiter wants the change undone. */
	readonly cancelling: boolean;
	/** Last message of the leader about this change, ms. */
	readonly heardAt: number;
};

/** Lasting facts that engines have confirmed within the epoch. */
export type Vote = 'gone' | 'cancelled';

/** What the decision rests on. */
export type GateView = {
	readonly self: string;
	readonly change: Change;
	readonly others: readonly string[];
	readonly votes: ReadonlyMap<string, Vote>;
	/** States that answer the current round of queries, by id. */
	readonly answers: ReadonlyMap<string, EngineState>;
	/** True if the leader has been silent for HOLD_QUERY_MS. */
	readonly quiet: boolean;
};

/** What to do with a held gate. */
export type GateDecision = 'go' | 'cancel' | 'ask-to-cancel' | 're-form' | 'wait';

/** Adds a state's testimony to the votes: a rank that has gone never returns within the epoch. */
export function voteOf(state: EngineState, change: Change): Vote | undefined {
	return state.epoch === change.epoch && hasExecutedGo(state, change.version) ? 'gone' : undefined;
}

/** True if the arbiter may pass `go` to its own engine. */
export function haveAllVoted(view: Pick<GateView, 'others' | 'votes'>, vote: Vote): boolean {
	return view.others.every(id => view.votes.get(id) === vote);
}

function haveAllAnswered(view: GateView): boolean {
	return view.others.every(id => view.votes.get(id) === 'cancelled' || view.answers.get(id)?.epoch === view.change.epoch);
}

/** Decision of the member whose engine is released last, or may be that member. */
function decideAsLast(view: GateView): GateDecision {
	if (haveAllVoted(view, 'gone')) {
		return view.quiet ? 'go' : 'wait';
	}

	if (haveAllVoted(view, 'cancelled')) {
		return 'cancel';
	}

	const votes = new Set(view.votes.values());
	if (votes.has('gone')) {
		return votes.has('cancelled') ? 're-form' : 'wait';
	}

	return view.change.cancelling || (view.quiet && haveAllAnswered(view)) ? 'ask-to-cancel' : 'wait';
}

/** Decision of a member whose engine is gated and has not gone. */
export function decideGate(view: GateView): GateDecision {
	if (view.change.arbiter === undefined || view.change.arbiter === view.self) {
		return decideAsLast(view);
	}

	if (view.quiet && [...view.votes.values()].includes('gone')) {
		return 'go';
	}

	return view.quiet && haveAllAnswered(view) ? 'cancel' : 'wait';
}
