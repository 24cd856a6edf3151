/** Makes the attempts of one request: another one when one has failed, and one beside an attempt that is silent. */
import {type SilenceReason} from './attempt.js';
import {type Deadline} from './caller.js';
import {type CallerResponse} from './caller-response.js';
import {createRefusal, type Refusal} from './refusal.js';
import {sleep, type ErrorListener} from '#core';
import {AttemptRace, type RacingAttempt} from '#requests';

/** Interval at which an attempt beside silent ones is asked for again: the budget and the endpoints may allow it then. */
const ASK_AGAIN_INTERVAL_MS = 250;

/** A started stream without data for this time ends: it has no deadline, and its caller would not wait longer for its first byte by default. */
const MAX_STREAM_SILENCE_MS = 60_000;

/** A replica that has gone silent. */
export type SilentSource = {readonly replicaId: string; readonly reason: SilenceReason};

export type RequestAttempt = RacingAttempt<SilentSource>;

/** What follows an attempt that has ended. */
export type AttemptStep<Result>
	= | {readonly kind: 'retry'; readonly delayMs: number}
		/** The request ends with this result, unless an attempt that is still open answers it. */
		| {readonly kind: 'give-up'; readonly result: Result}
		| {readonly kind: 'end'; readonly result: Result};

export type OverlappingAttemptsOptions<End, Result> = {
	/** Makes one attempt; must settle soon after its signal aborts. */
	readonly attempt: (attempt: RequestAttempt) => Promise<End>;
	readonly onSilent: (source: SilentSource) => void;
	readonly nextStep: (end: End) => AttemptStep<Result>;
	/** Aborts all attempts; without it they go on after the caller has left. */
	readonly callerDisconnected: AbortSignal | undefined;
	/** Called with the exception of an attempt whose result is not needed. */
	readonly onLateError: ErrorListener;
};

/** Returns the result of the request; undefined if its caller has left. */
export async function makeAttempts<End, Result>(options: OverlappingAttemptsOptions<End, Result>): Promise<Result | undefined> {
	const race = AttemptRace.create<End, SilentSource>(options);
	const start = (delayMs: number) => {
		race.start(async attempt => {
			await sleep(delayMs, attempt.signal);
			return options.attempt(attempt);
		});
	};

	const handleEnd = (end: End): {readonly result: Result} | undefined => {
		const step = options.nextStep(end);
		if (step.kind === 'end' || (step.kind === 'give-up' && !race.isAnyOpen)) {
			return step;
		}

		if (!race.isAnyActive) {
			start(step.kind === 'retry' ? step.delayMs : ASK_AGAIN_INTERVAL_MS);
		}

		return undefined;
	};

	try {
		start(0);
		for (;;) {
			const event = await race.next();
			switch (event.kind) {
				case 'silent': {
					options.onSilent(event.source);
					if (!race.isAnyActive) {
						start(0);
					}

					break;
				}

				case 'ended': {
					const final = handleEnd(event.end);
					if (final !== undefined) {
						return final.result;
					}

					break;
				}

				case 'threw': {
					if (!race.isAnyOpen) {
						throw event.error;
					}

					options.onLateError(event.error);
					break;
				}

				case 'stopped': {
					return undefined;
				}
			}
		}
	} finally {
		race.close();
	}
}

/** Why no attempt may be made any more; undefined if one may. `isFinal`: those that are open end too, since the caller's deadline has surely passed. */
export function checkPatience({sendBy, endAt}: Deadline, response: CallerResponse): {readonly refusal: Refusal; readonly isFinal: boolean} | undefined {
	const now = performance.now();
	if (response.streaming) {
		return now - response.progressAt > MAX_STREAM_SILENCE_MS
			? {refusal: createRefusal('stream-lost', 'unknown', `the stream was silent for ${MAX_STREAM_SILENCE_MS / 1000} s`), isFinal: true}
			: undefined;
	}

	const isOver = now >= endAt;
	return isOver || Date.now() >= sendBy
		? {refusal: createRefusal('deadline', 'not-run', 'the deadline passed before an endpoint answered'), isFinal: isOver}
		: undefined;
}
