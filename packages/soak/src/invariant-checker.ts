/**
 * Checks the platform's guarantees against the events that callers and back ends report while the soak test runs. An attempt
 * has ended once its outcome is known. A back end may still run it after that, except when it was refused as not run.
 */
import type {
	Attempt, AttemptOutcome, BackEndObserver, LossJudgement, Run, SoakBounds,
} from './types.js';

/** Statuses which guarantee that the request has not run and never will. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

export type InvariantCheckerOptions = {
	readonly bounds: SoakBounds;
	/** Monotonic clock, in ms. */
	readonly now: () => number;
};

type AttemptRecord = {readonly attempt: Attempt; received: number; readonly runs: Run[]; outcome: AttemptOutcome | undefined};

/** Totals of a soak test. */
export type SoakCounts = {readonly attempts: number; readonly served: number; readonly refused: number; readonly failed: number; readonly repeats: number; readonly excusedLosses: Readonly<Record<string, number>>};

export class InvariantChecker implements BackEndObserver {
	static create(options: InvariantCheckerOptions): InvariantChecker {
		return new InvariantChecker(options);
	}

	readonly violations: string[] = [];
	readonly #records = new Map<string, AttemptRecord>();
	/** Times of requests and retries, for the check of the retry budget. */
	readonly #sent: number[] = [];
	readonly #repeats: number[] = [];
	#replayedAt: number | undefined;
	/** Number of losses by the reason that excuses them. */
	readonly #excusedLosses: Record<string, number> = {};
	readonly #options: InvariantCheckerOptions;

	private constructor(options: InvariantCheckerOptions) {
		this.#options = options;
	}

	sent(attempt: Attempt): void {
		this.#records.set(attempt.id, {
			attempt, received: 0, runs: [], outcome: undefined,
		});
		this.#sent.push(attempt.sentAt);
	}

	readonly received = (id: string): void => {
		const record = this.#records.get(id);
		if (record === undefined) {
			this.#reportViolation(`a back end received ${id}, which no caller sent`);
			return;
		}

		record.received += 1;
		if (record.received > 1) {
			this.#repeats.push(this.#now());
			this.#checkRetryBudget();
		}

		if (record.received > this.#options.bounds.maxAttempts) {
			this.#reportViolation(`${describe(record)} was sent to ${record.received} back ends`);
		}
	};

	readonly ran = (run: Run): void => {
		const record = this.#records.get(run.requestId);
		if (record === undefined) {
			return;
		}

		record.runs.push(run);
		const {attempt, runs, outcome} = record;
		if (attempt.kind === 'at-most-once' && runs.length > 1) {
			this.#reportViolation(`${describe(record)} ran at ${runs.map(({backEnd}) => backEnd).join(' and ')}`);
		}

		if (outcome?.kind === 'answer' && NOT_RUN_STATUSES.has(outcome.status)) {
			this.#reportViolation(`${describe(record)} was answered ${outcome.status} and ran later at ${run.backEnd}`);
		}

		const {workspace, revokedAt} = attempt.key;
		if (run.workspace !== workspace) {
			this.#reportViolation(`${describe(record)} of ${workspace} ran for ${String(run.workspace)}`);
		}

		const sinceRevocationMs = revokedAt === undefined ? 0 : this.#now() - revokedAt;
		if (sinceRevocationMs > this.#options.bounds.revokeMs) {
			this.#reportViolation(`${describe(record)} ran ${Math.round(sinceRevocationMs)} ms after its key was revoked`);
		}
	};

	/** Sets the time of the events that follow, which are reported in the order of their times after they occurred. */
	replayAt(at: number): void {
		this.#replayedAt = at;
	}

	/** Records the outcome of an attempt and checks it; `loss` judges an end without a complete answer. */
	ended(id: string, outcome: AttemptOutcome, loss: LossJudgement): void {
		const record = this.#records.get(id)!;
		record.outcome = outcome;
		if (record.received > 0 && (outcome.kind === 'closed' || (outcome.kind === 'stream' && !outcome.isComplete))) {
			this.#checkLoss(record, outcome, loss);
		}

		switch (outcome.kind) {
			case 'answer': {
				this.#checkAnswer(record, outcome);
				break;
			}

			case 'stream': {
				this.#checkStream(record, outcome);
				break;
			}

			case 'hung': {
				this.#reportViolation(`${describe(record)} had no answer long after its deadline`);
				break;
			}

			// A closed connection gives no guarantee to check.
			case 'closed':
		}
	}

	counts(): SoakCounts {
		const outcomes = [...this.#records.values()].map(({outcome}) => outcome);
		const served = outcomes.filter(outcome => isServed(outcome)).length;
		const refused = outcomes.filter(outcome => outcome?.kind === 'answer' && NOT_RUN_STATUSES.has(outcome.status)).length;
		return {
			attempts: outcomes.length, served, refused, failed: outcomes.length - served - refused, repeats: this.#repeats.length, excusedLosses: this.#excusedLosses,
		};
	}

	#now(): number {
		return this.#replayedAt ?? this.#options.now();
	}

	#checkLoss(record: AttemptRecord, outcome: Extract<AttemptOutcome, {kind: 'closed' | 'stream'}>, loss: LossJudgement): void {
		switch (loss.kind) {
			case 'excused': {
				this.#excusedLosses[loss.reason] = (this.#excusedLosses[loss.reason] ?? 0) + 1;
				break;
			}

			case 'fault': {
				const {attempt} = record;
				const received = outcome.kind === 'closed' ? outcome.reason : `${outcome.events.length} of ${attempt.events} events`;
				this.#reportViolation(`${describe(record)} (${attempt.style}) was passed on and its connection ended ${Math.round(this.#now() - attempt.sentAt)} ms after it was sent (${received}): ${loss.detail}`);
			}
		}
	}

	#checkAnswer(record: AttemptRecord, {status, body, isSigned}: Extract<AttemptOutcome, {kind: 'answer'}>): void {
		const {attempt, runs} = record;
		if (NOT_RUN_STATUSES.has(status) && runs.length > 0) {
			this.#reportViolation(`${describe(record)} was answered ${status} and had run at ${runs[0]!.backEnd}`);
		}

		if (status === 200 && (!isSigned || body !== `answer to ${attempt.id}`)) {
			this.#reportViolation(`${describe(record)} was answered with ${JSON.stringify(body.slice(0, 60))}, signed: ${isSigned}`);
		}

		if (status === 404 || (status === 401 && attempt.key.revokedAt === undefined)) {
			this.#reportViolation(`${describe(record)} was denied with ${status}`);
		}
	}

	#checkStream(record: AttemptRecord, {events, isComplete}: Extract<AttemptOutcome, {kind: 'stream'}>): void {
		const {attempt} = record;
		const mismatch = events.findIndex(({id, data}, i) => id !== i + 1 || data !== `${attempt.id}-${id}`);
		if (mismatch !== -1) {
			this.#reportViolation(`${describe(record)} has ${JSON.stringify(events[mismatch])} as event ${mismatch + 1}`);
		}

		if (isComplete && events.length !== attempt.events) {
			this.#reportViolation(`${describe(record)} ended normally after ${events.length} of ${attempt.events} events`);
		}
	}

	#checkRetryBudget(): void {
		const {fraction, slack, windowMs} = this.#options.bounds.retry;
		const since = this.#now() - windowMs;
		const repeats = this.#repeats.filter(at => at >= since).length;
		// Requests of the previous window count too, since a retry may fall into the window after that of its request.
		const requests = this.#sent.filter(at => at >= since - windowMs).length;
		if (repeats > (requests * fraction) + slack) {
			this.#reportViolation(`${repeats} repeats for ${requests} requests`);
		}
	}

	#reportViolation(description: string): void {
		this.violations.push(`${Math.round(this.#now())} ms: ${description}`);
	}
}

/** Whether the caller received the complete response. */
export function isServed(outcome: AttemptOutcome | undefined): boolean {
	return (outcome?.kind === 'answer' && outcome.status === 200) || (outcome?.kind === 'stream' && outcome.isComplete);
}

function describe({attempt}: AttemptRecord): string {
	return `${attempt.kind} request ${attempt.id} at ${attempt.entry}`;
}
