/** Messages that a leader repeats until all endpoints have answered, and how it reads refusals. */
import type {LeaderPhase, Round} from './leader-phase.js';
import {
	GATE_TIMEOUT_MS, GO_TIMEOUT_MS, HOLD_TIMEOUT_MS, PREPARE_TIMEOUT_MS, RECONCILE_INTERVAL_MS, RESEND_INTERVAL_MS,
} from './limits.js';
import type {MapMessage, MapMessageOf} from './messages.js';

/** What a message is about. */
export type Subject = Pick<MapMessage, 'version' | 'step' | 'epoch'>;

/** A phase that waits for answers to repeated messages. */
export type TallyPhase = Extract<LeaderPhase, Round & {readonly sentAt: number}>;

/** Answer that each such phase waits for. */
export const AWAITED = {
	preparing: 'map-prepared', joining: 'map-prepared', gating: 'map-gated', going: 'map-gone', cancelling: 'map-cancelled',
} as const;

/** Refusals that repeating the message may overcome. */
const TEMPORARY: ReadonlySet<string> = new Set(['fence-unknown', 'engine-down', 'busy', 'not-last']);

/** True if the phase waits for answers to repeated messages. */
export function isTally(phase: LeaderPhase): phase is TallyPhase {
	return 'plan' in phase && 'done' in phase;
}

/** The tally of a phase that begins now and has sent nothing yet. */
export function newTally(now: number): Pick<TallyPhase, 'since' | 'sentAt' | 'done'> {
	return {since: now, sentAt: -Infinity, done: new Set()};
}

/** How long the phase may take and how often it repeats its message, ms. A map is large and is repeated less often. */
export function tallyTimes(phase: TallyPhase, prepareLimitMs = PREPARE_TIMEOUT_MS): {readonly limitMs: number; readonly resendMs: number} {
	const limits = {
		preparing: prepareLimitMs, joining: prepareLimitMs, gating: GATE_TIMEOUT_MS, going: GO_TIMEOUT_MS, cancelling: HOLD_TIMEOUT_MS,
	};
	const isLarge = phase.kind === 'preparing' || phase.kind === 'joining';
	return {limitMs: limits[phase.kind], resendMs: isLarge ? RECONCILE_INTERVAL_MS : RESEND_INTERVAL_MS};
}

/**
 * Endpoints to which the message is repeated. The leader's own engine goes last: until
 * all others have gone, it holds the group at the gate.
 */
export function receiversOf(phase: TallyPhase, self: string): readonly string[] {
	const waiting = phase.members.filter(id => !phase.done.has(id));
	return phase.kind === 'going' && waiting.length > 1 ? waiting.filter(id => id !== self) : waiting;
}

/** Version, step and epoch of the phase's messages. */
export function subjectOf(phase: TallyPhase): Subject {
	return {version: phase.plan.version, step: 'step' in phase ? phase.step : 0, epoch: phase.epoch};
}

/** The message that the phase repeats. */
export function tallyMessage(phase: TallyPhase, header: Omit<MapMessageOf<'map-go'>, 'kind'>, self: string): MapMessage {
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

/** What a refusal means for the change: undo it, find out how it stands, or go on repeating. */
export function consequenceOf(phase: TallyPhase, message: MapMessageOf<'map-refused'>): 'cancel' | 'settle' | 'repeat' {
	const isAbout = message.version === phase.plan.version && message.epoch === phase.epoch;
	if (!isAbout || TEMPORARY.has(message.reason)) {
		return 'repeat';
	}

	const isOfChange = (phase.kind === 'preparing' && message.of === 'prepare') || (phase.kind === 'gating' && message.of === 'gate');
	if (isOfChange) {
		return 'cancel';
	}

	return phase.kind === 'cancelling' || phase.kind === 'joining' ? 'settle' : 'repeat';
}
