/** Messages that a leader repeats until all endpoints have acknowledged them, and the classification of refusals. */
import type {LeaderPhase, MapChange} from './leader-phase.js';
import {
	GATE_TIMEOUT_MS, GO_TIMEOUT_MS, HOLD_TIMEOUT_MS, PREPARE_TIMEOUT_MS, RECONCILE_INTERVAL_MS, RESEND_INTERVAL_MS,
} from './limits.js';
import type {MapMessage, MapMessageOf} from './messages.js';

/** The change or epoch that a message is about. */
export type Subject = Pick<MapMessage, 'version' | 'step' | 'epoch'>;

/** A phase in which a message is repeated until it is acknowledged. */
export type BroadcastPhase = Extract<LeaderPhase, MapChange & {readonly sentAt: number}>;

/** Kind of message that acknowledges the message of each broadcast phase. */
export const EXPECTED_REPLIES = {
	preparing: 'map-prepared', joining: 'map-prepared', gating: 'map-gated', going: 'map-gone', cancelling: 'map-cancelled',
} as const;

/** Reasons of refusal that may no longer apply when the message is repeated. */
const RETRYABLE_REASONS: ReadonlySet<string> = new Set(['fence-unknown', 'engine-down', 'busy', 'not-last']);

/** True if the phase repeats a message until it is acknowledged. */
export function isBroadcastPhase(phase: LeaderPhase): phase is BroadcastPhase {
	return 'plan' in phase && 'acknowledged' in phase;
}

/** Progress of a broadcast that begins now and has sent nothing yet. */
export function createBroadcast(now: number): Pick<BroadcastPhase, 'since' | 'sentAt' | 'acknowledged'> {
	return {since: now, sentAt: -Infinity, acknowledged: new Set()};
}

/** Timeout of the phase and interval at which its message is repeated, ms. Messages with a map are large and repeated less often. */
export function broadcastTimes(phase: BroadcastPhase, prepareTimeoutMs = PREPARE_TIMEOUT_MS): {readonly timeoutMs: number; readonly resendMs: number} {
	const timeouts = {
		preparing: prepareTimeoutMs, joining: prepareTimeoutMs, gating: GATE_TIMEOUT_MS, going: GO_TIMEOUT_MS, cancelling: HOLD_TIMEOUT_MS,
	};
	const isLarge = phase.kind === 'preparing' || phase.kind === 'joining';
	return {timeoutMs: timeouts[phase.kind], resendMs: isLarge ? RECONCILE_INTERVAL_MS : RESEND_INTERVAL_MS};
}

/**
 * Endpoints to which the message is repeated. The leader's own engine receives `go` last:
 * until all others have executed it, that engine keeps the group at the gate.
 */
export function recipientsOf(phase: BroadcastPhase, self: string): readonly string[] {
	const unacknowledged = phase.members.filter(id => !phase.acknowledged.has(id));
	return phase.kind === 'going' && unacknowledged.length > 1 ? unacknowledged.filter(id => id !== self) : unacknowledged;
}

/** Version, step and epoch of the phase's messages. */
export function subjectOf(phase: BroadcastPhase): Subject {
	return {version: phase.plan.version, step: 'step' in phase ? phase.step : 0, epoch: phase.epoch};
}

/** The message that the phase repeats. */
export function broadcastMessage(phase: BroadcastPhase, header: Omit<MapMessageOf<'map-go'>, 'kind'>, self: string): MapMessage {
	switch (phase.kind) {
		case 'preparing':
		case 'joining': {
			return {...header, kind: 'map-prepare', map: phase.plan.map};
		}

		case 'gating': {
			return {...header, kind: 'map-gate', arbiter: self};
		}

		case 'going': {
			return {...header, kind: 'map-go'};
		}

		case 'cancelling': {
			return {...header, kind: 'map-cancel'};
		}
	}
}

/** Action on a refusal: cancel the change, determine its outcome (`settle`), or keep repeating the message. */
export function classifyRefusal(phase: BroadcastPhase, message: MapMessageOf<'map-refused'>): 'cancel' | 'settle' | 'repeat' {
	const isForThisChange = message.version === phase.plan.version && message.epoch === phase.epoch;
	if (!isForThisChange || RETRYABLE_REASONS.has(message.reason)) {
		return 'repeat';
	}

	const isOfChange = (phase.kind === 'preparing' && message.of === 'prepare') || (phase.kind === 'gating' && message.of === 'gate');
	if (isOfChange) {
		return 'cancel';
	}

	return phase.kind === 'cancelling' || phase.kind === 'joining' ? 'settle' : 'repeat';
}
