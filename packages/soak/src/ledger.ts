/**
 * Checks promises against what callers and back ends saw, while the soak runs. An attempt is settled once its outcome
 * is known; back ends may still run it later, which a refusal rules out.
 */
import type {
	Attempt, AttemptOutcome, BackEndObserver, Run, SoakBounds,
} from './types.js';

/** Statuses that say that the request has not run and never will. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

export type LedgerParts = {
	readonly bounds: SoakBounds;
	/** Steady ms. */
	readonly now: () => number;
};

type Record = {readonly attempt: Attempt; received: number; readonly runs: Run[]; outcome: AttemptOutcome | undefined};

/** Totals of a soak. */
export type LedgerCounts = {readonly attempts: number; readonly served: number; readonly refused: number; readonly failed: number; readonly repeats: number};

export class Ledger implements BackEndObserver {
	static create(parts: LedgerParts): Ledger {
		return new Ledger(parts);
	}

	readonly violations: string[] = [];
	readonly #records = new Map<string, Record>();
	/** Requests and repeats by time, for the budget. */
	readonly #sent: number[] = [];
	readonly #repeats: number[] = [];
	readonly #parts: LedgerParts;

	private constructor(parts: LedgerParts) {
		this.#parts = parts;
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
			this.#violate(`a back end received ${id}, which no caller sent`);
			return;
		}

		record.received += 1;
		if (record.received > 1) {
			this.#repeats.push(this.#parts.now());
			this.#checkBudget();
		}

		if (record.received > this.#parts.bounds.maxAttempts) {
			this.#violate(`${describe(record)} was sent to ${record.received} back ends`);
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
			this.#violate(`${describe(record)} ran at ${runs.map(({backEnd}) => backEnd).join(' and ')}`);
		}

		if (outcome?.kind === 'answer' && NOT_RUN_STATUSES.has(outcome.status)) {
			this.#violate(`${describe(record)} was answered ${outcome.status} and ran later at ${run.backEnd}`);
		}

		const {workspace, revokedAt} = attempt.key;
		if (run.workspace !== workspace) {
			this.#violate(`${describe(record)} of ${workspace} ran for ${String(run.workspace)}`);
		}

		const deadFor = revokedAt === undefined ? 0 : this.#parts.now() - revokedAt;
		if (deadFor > this.#parts.bounds.revokeMs) {
			this.#violate(`${describe(record)} ran ${Math.round(deadFor)} ms after its key was taken away`);
		}
	};

	/** Settles an attempt. */
	ended(id: string, outcome: AttemptOutcome): void {
		const record = this.#records.get(id)!;
		record.outcome = outcome;
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
				this.#violate(`${describe(record)} had no answer long after its deadline`);
				break;
			}

			// A closed connection promises nothing.
			case 'closed':
		}
	}

	counts(): LedgerCounts {
		const outcomes = [...this.#records.values()].map(({outcome}) => outcome);
		const served = outcomes.filter(outcome => isServed(outcome)).length;
		const refused = outcomes.filter(outcome => outcome?.kind === 'answer' && NOT_RUN_STATUSES.has(outcome.status)).length;
		return {
			attempts: outcomes.length, served, refused, failed: outcomes.length - served - refused, repeats: this.#repeats.length,
		};
	}

	#checkAnswer(record: Record, {status, body, isSigned}: Extract<AttemptOutcome, {kind: 'answer'}>): void {
		const {attempt, runs} = record;
		if (NOT_RUN_STATUSES.has(status) && runs.length > 0) {
			this.#violate(`${describe(record)} was answered ${status} and had run at ${runs[0]!.backEnd}`);
		}

		if (status === 200 && (!isSigned || body !== `answer to ${attempt.id}`)) {
			this.#violate(`${describe(record)} was answered with ${JSON.stringify(body.slice(0, 60))}, signed: ${isSigned}`);
		}

		if (status === 404 || (status === 401 && attempt.key.revokedAt === undefined)) {
			this.#violate(`${describe(record)} was denied with ${status}`);
		}
	}

	#checkStream(record: Record, {events, isComplete}: Extract<AttemptOutcome, {kind: 'stream'}>): void {
		const {attempt} = record;
		const wrong = events.findIndex(({id, data}, i) => id !== i + 1 || data !== `${attempt.id}-${id}`);
		if (wrong !== -1) {
			this.#violate(`${describe(record)} has ${JSON.stringify(events[wrong])} as event ${wrong + 1}`);
		}

		if (isComplete && events.length !== attempt.events) {
			this.#violate(`${describe(record)} ended in order after ${events.length} of ${attempt.events} events`);
		}
	}

	#checkBudget(): void {
		const {fraction, slack, windowMs} = this.#parts.bounds.retry;
		const since = this.#parts.now() - windowMs;
		const repeats = this.#repeats.filter(at => at >= since).length;
		// Requests of the window before count too, since a repeat may come late in the next.
		const requests = this.#sent.filter(at => at >= since - windowMs).length;
		if (repeats > (requests * fraction) + slack) {
			this.#violate(`${repeats} repeats for ${requests} requests`);
		}
	}

	#violate(what: string): void {
		this.violations.push(`${Math.round(this.#parts.now())} ms: ${what}`);
	}
}

/** Whether a caller got all that it asked for. */
export function isServed(outcome: AttemptOutcome | undefined): boolean {
	return (outcome?.kind === 'answer' && outcome.status === 200) || (outcome?.kind === 'stream' && outcome.isComplete);
}

function describe({attempt}: Record): string {
	return `${attempt.kind} request ${attempt.id} at ${attempt.entry}`;
}
