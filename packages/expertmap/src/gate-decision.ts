/**
 * Decides what a member does about its engine's gate.
 *
 * The arbiter's engine (the engine of the leader that sent the gate) is released last
 * for both outcomes: with `go` only after all others have confirmed `go`, with
 * `cancel` only after all others have confirmed cancel and drop. While the outcomes of
 * the others differ, for example because the `go` of a crashed process reaches its engine
 * after another rank has cancelled, the arbiter's engine stays gated and no rank passes the gate step.
 */
import {hasExecutedGo, type EngineState} from './engine-order.js';

/** State of the change that a member's engine is gated for. */
export type GatedChange = {
	readonly version: number;
	readonly step: number;
	readonly epoch: number;
	/** Endpoint whose engine is released last; absent if unknown, as after a restart. */
	readonly arbiter?: string;
	/** Set once a query got a state as response before `go`: peers may cancel on that state, so the leader's `go` is refused. */
	readonly frozen: boolean;
	/** Set when the leader or the arbiter cancels the change. */
	readonly cancelling: boolean;
	/** Time of the leader's last message about this change, ms. */
	readonly lastLeaderMessageAt: number;
};

/** Final outcome of a change at one engine, as confirmed by that engine; it does not change within the epoch. */
export type ConfirmedOutcome = 'gone' | 'cancelled';

/** Input of the decision. */
export type GateDecisionInput = {
	readonly self: string;
	readonly change: GatedChange;
	readonly others: readonly string[];
	readonly outcomes: ReadonlyMap<string, ConfirmedOutcome>;
	/** Engine states received in the current query round, by id. */
	readonly roundStates: ReadonlyMap<string, EngineState>;
	/** True if no message of the leader has arrived for QUERY_INTERVAL_MS. */
	readonly isLeaderSilent: boolean;
};

/** Action on a gate. */
export type GateDecision = 'go' | 'cancel' | 'request-cancel' | 're-form' | 'wait';

/** Outcome that a state proves, if any: a rank that has executed `go` never reverts within the epoch. */
export function confirmedOutcome(state: EngineState, change: GatedChange): ConfirmedOutcome | undefined {
	return state.epoch === change.epoch && hasExecutedGo(state, change.version) ? 'gone' : undefined;
}

/** True if all others have confirmed the outcome, so that the arbiter may apply it to its own engine. */
export function haveAllConfirmed(input: Pick<GateDecisionInput, 'others' | 'outcomes'>, outcome: ConfirmedOutcome): boolean {
	return input.others.every(id => input.outcomes.get(id) === outcome);
}

function haveAllResponded(input: GateDecisionInput): boolean {
	return input.others.every(id => input.outcomes.get(id) === 'cancelled' || input.roundStates.get(id)?.epoch === input.change.epoch);
}

/** Decision of the arbiter, or of a member that may be the arbiter. */
function decideAsArbiter(input: GateDecisionInput): GateDecision {
	if (haveAllConfirmed(input, 'gone')) {
		return input.isLeaderSilent ? 'go' : 'wait';
	}

	if (haveAllConfirmed(input, 'cancelled')) {
		return 'cancel';
	}

	const outcomes = new Set(input.outcomes.values());
	if (outcomes.has('gone')) {
		return outcomes.has('cancelled') ? 're-form' : 'wait';
	}

	return input.change.cancelling || (input.isLeaderSilent && haveAllResponded(input)) ? 'request-cancel' : 'wait';
}

/** Decision of a member whose engine is gated and has not executed `go`. */
export function decideGate(input: GateDecisionInput): GateDecision {
	if (input.change.arbiter === undefined || input.change.arbiter === input.self) {
		return decideAsArbiter(input);
	}

	if (input.isLeaderSilent && [...input.outcomes.values()].includes('gone')) {
		return 'go';
	}

	return input.isLeaderSilent && haveAllResponded(input) ? 'cancel' : 'wait';
}
