/**
 * The quarantine's part in one attempt: permission to run before it, and what became of
 * the run after it.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {type AttemptEnd} from './attempt.js';
import {refuse, type Refusal} from './refusal.js';
import {type Suspects} from './suspects.js';
import {type RunEnd} from '#quarantine';
import {type MessageOf} from '#protocol';

/** An attempt that may need permission. */
export type SuspectRun = {
	readonly fingerprint: string;
	/** Unique for each attempt. */
	readonly permitId: string;
	/** When the request's first byte is due, ms since the epoch. */
	readonly deadline: number;
	/** Aborted when the caller hangs up. */
	readonly signal: AbortSignal;
};

/** Permission for one attempt. */
export type Permit = {
	readonly kind: 'permit';
	readonly solo: MessageOf<'work'>['solo'];
	readonly id: string;
	readonly fingerprint: string;
	/** True if a home holds the permission and must be told how the attempt ended. */
	readonly held: boolean;
};

/** Asks for permission: a suspect waits for its home's answer, everything else runs at once. */
export async function askPermit(suspects: Suspects, {fingerprint, permitId, deadline, signal}: SuspectRun): Promise<Permit | Refusal> {
	const permit = (solo: Permit['solo'], held: boolean): Permit => ({
		kind: 'permit', solo, id: permitId, fingerprint, held,
	});
	if (!suspects.isSuspect(fingerprint)) {
		return permit('shared', false);
	}

	while (!signal.aborted && Date.now() < deadline) {
		const permission = await suspects.ask(fingerprint, permitId);
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
				return refuse('quarantined', 'not-run', 'requests like this one crashed several engines', (permission.untilMs - Date.now()) / 1000);
			}
		}
	}

	return refuse('deadline', 'not-run', 'the deadline passed while the request waited to run apart from others');
}

/** Tells the home how an attempt ended, before anything else is done for the request. */
export async function reportRunEnd(suspects: Suspects, {fingerprint, id, held}: Permit, end: AttemptEnd): Promise<void> {
	if (end.kind === 'failed' && end.crashId !== '') {
		await suspects.reportCrash(fingerprint, id, {crashId: end.crashId, alone: end.alone});
	} else if (held) {
		await suspects.reportEnd({fingerprint, permitId: id, how: howEnded(end)});
	}
}

/** What the end of an attempt says about a suspect's run. */
function howEnded(end: AttemptEnd): RunEnd['how'] {
	switch (end.kind) {
		case 'done': {
			return 'finished';
		}

		case 'refused':
		case 'not-sent': {
			return 'not-run';
		}

		case 'failed':
		case 'link-lost':
		case 'silent':
		case 'corrupt':
		case 'cancelled': {
			return 'cancelled';
		}
	}
}
