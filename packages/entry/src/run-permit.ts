/**
 * Quarantine handling of one attempt: acquires a permit before it, and reports the result
 * after it.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {type AttemptResult} from './attempt.js';
import {createRefusal, type Refusal} from './refusal.js';
import {type Quarantine} from './quarantine.js';
import {type RunEnd} from '#quarantine';
import {type MessageOf} from '#protocol';

/** A request for permission to run one attempt. */
export type PermitRequest = {
	readonly fingerprint: string;
	/** Unique per attempt. */
	readonly permitId: string;
	/** When the attempt is not wanted any more, ms since the epoch. */
	readonly deadline: number;
	/** Aborted when the caller disconnects. */
	readonly signal: AbortSignal;
};

/** Permission for one attempt. */
export type Permit = {
	readonly kind: 'permit';
	readonly solo: MessageOf<'work'>['solo'];
	readonly id: string;
	readonly fingerprint: string;
	/** True if the fingerprint's owner recorded the permission and needs to know how the attempt ended. */
	readonly held: boolean;
};

/** Acquires a permit: a suspect waits for its owner's permission, other requests get a permit immediately. */
export async function acquirePermit(quarantine: Quarantine, {fingerprint, permitId, deadline, signal}: PermitRequest): Promise<Permit | Refusal> {
	const permit = (solo: Permit['solo'], held: boolean): Permit => ({
		kind: 'permit', solo, id: permitId, fingerprint, held,
	});
	if (!quarantine.isSuspect(fingerprint)) {
		return permit('shared', false);
	}

	while (!signal.aborted && Date.now() < deadline) {
		const permission = await quarantine.requestPermission(fingerprint, permitId);
		switch (permission.kind) {
			case 'run': {
				return permit(permission.suspect ? 'no-other-suspect' : 'shared', true);
			}

			case 'run-alone': {
				return permit('alone', true);
			}

			case 'wait': {
				await sleep(permission.retryAfterMs);
				break;
			}

			case 'refuse': {
				return createRefusal('quarantined', 'not-run', 'requests like this one crashed several engines', (permission.untilMs - Date.now()) / 1000);
			}
		}
	}

	return createRefusal('deadline', 'not-run', 'the deadline passed while the request waited to run apart from others');
}

/** Reports the result of an attempt to the fingerprint's owner. Must complete before anything else is done for the request. */
export async function reportRunEnd(quarantine: Quarantine, {fingerprint, id, held}: Permit, result: AttemptResult): Promise<void> {
	if (result.kind === 'failed' && result.crashId !== '') {
		await quarantine.reportCrash(fingerprint, id, {crashId: result.crashId, alone: result.alone});
	} else if (held) {
		await quarantine.reportEnd({fingerprint, permitId: id, how: runEndKind(result)});
	}
}

/** Maps the result of an attempt to the end of a suspect's run. */
function runEndKind(result: AttemptResult): RunEnd['how'] {
	switch (result.kind) {
		case 'done': {
			return 'finished';
		}

		case 'refused':
		case 'not-sent': {
			return 'not-run';
		}

		case 'failed':
		case 'link-lost':
		case 'corrupt':
		case 'cancelled': {
			return 'cancelled';
		}
	}
}
