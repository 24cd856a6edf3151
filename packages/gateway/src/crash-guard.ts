/** Keeps requests that crash endpoints away from them, and finds what does it: a part of their prompt, or the whole request. */
import type {EntryEventLog} from './event-log.js';
import type {ConnectionPool, ConnectionTarget} from '#connections';
import {
	splitCause, type CauseReport, type CrashCause, type CrashCauseKind, type CrashCauses,
} from '#quarantine';

export type CrashGuardOptions = {
	/** Unique name of this entry. */
	readonly entry: string;
	readonly suspects: CrashCauses;
	readonly pool: ConnectionPool;
	/** Asks the entry that grants the probes of all entries. */
	readonly requestProbe: (causes: readonly CrashCause[]) => Promise<boolean>;
	/** Tells other entries of new suspects. */
	readonly announce: () => void;
	readonly events: EntryEventLog;
	/** Monotonic clock in ms. */
	readonly now: () => number;
};

/** Whether a request may be sent. */
export type CauseAdmission
	= | {readonly kind: 'admitted'; /** Suspects that the request runs as a probe of. */ readonly probed: readonly CrashCause[]}
		| {readonly kind: 'refused'; readonly reason: `suspect-${CrashCauseKind}` | `crashing-${CrashCauseKind}`; readonly detail: string};

/** Timeout for connecting to an endpoint that may have crashed, in ms. */
const CRASH_CHECK_TIMEOUT_MS = 300;

export class CrashGuard {
	static create(options: CrashGuardOptions): CrashGuard {
		return new CrashGuard(options);
	}

	#crashes = 0;
	readonly #options: CrashGuardOptions;

	private constructor(options: CrashGuardOptions) {
		this.#options = options;
	}

	/**
	 * Admits a request by its causes.
	 *
	 * @param granted - Causes that the request may be a probe of already: an earlier attempt of it reached no endpoint.
	 */
	async admit(causes: readonly CrashCause[], granted: readonly CrashCause[]): Promise<CauseAdmission> {
		const {suspects, requestProbe, now} = this.#options;
		const verdict = suspects.verdict(causes, now());
		switch (verdict.kind) {
			case 'clear': {
				return {kind: 'admitted', probed: []};
			}

			case 'blocked': {
				return {kind: 'refused', reason: `crashing-${splitCause(verdict.cause).kind}`, detail: verdict.cause};
			}

			case 'wait': {
				return {kind: 'refused', reason: suspectReason(verdict.causes), detail: verdict.causes.join(' ')};
			}

			case 'probe': {
				if (verdict.causes.every(cause => granted.includes(cause))) {
					return {kind: 'admitted', probed: verdict.causes};
				}

				const isGranted = await requestProbe(verdict.causes);
				if (!isGranted) {
					return {kind: 'refused', reason: suspectReason(verdict.causes), detail: `another probe of ${verdict.causes.join(' ')} runs`};
				}

				this.#log(verdict.causes, 'probed', undefined);
				return {kind: 'admitted', probed: verdict.causes};
			}
		}
	}

	/** Records that an answer has begun on a request with these causes. */
	recordBegun(causes: readonly CrashCause[], probed: readonly CrashCause[]): void {
		this.#options.suspects.recordBegun(causes, this.#options.now());
		this.#log(probed, 'cleared', undefined);
	}

	/** Checks whether an endpoint crashed that ended a request before its answer began. */
	async checkCrash(endpoint: ConnectionTarget, causes: readonly CrashCause[], probed: readonly CrashCause[]): Promise<void> {
		const {
			entry, suspects, pool, announce, now,
		} = this.#options;
		const connection = await pool.acquire(endpoint, {isNewRequired: true, timeoutMs: CRASH_CHECK_TIMEOUT_MS});
		if (connection.kind === 'connected') {
			pool.release(endpoint, connection.socket, undefined);
			return;
		}

		if (connection.reason !== 'ECONNREFUSED') {
			return;
		}

		this.#crashes += 1;
		suspects.recordCrash(causes, probed, `${entry}-${now()}-${this.#crashes}`, now());
		announce();
		this.#log(causes, 'suspected', endpoint.id);
		this.#log(probed.filter(cause => suspects.verdict([cause], now()).kind === 'blocked'), 'blocked', endpoint.id);
	}

	/** What this entry knows of suspects, for other entries. */
	reports(): readonly CauseReport[] {
		return this.#options.suspects.reports(this.#options.now());
	}

	/** Takes over what another entry knows. */
	merge(reports: readonly CauseReport[]): void {
		this.#log(this.#options.suspects.merge(reports, this.#options.now()), 'reported', undefined);
	}

	/** Takes the turn for a probe; called on the entry that grants the probes of all entries. */
	takeProbe(causes: readonly CrashCause[]): boolean {
		return this.#options.suspects.takeProbe(causes, this.#options.now());
	}

	#log(causes: readonly CrashCause[], change: 'suspected' | 'reported' | 'probed' | 'cleared' | 'blocked', endpoint: string | undefined): void {
		for (const cause of causes) {
			this.#options.events.record({
				kind: 'crash-cause', cause, change, endpoint,
			});
		}
	}
}

function suspectReason([cause]: readonly CrashCause[]): `suspect-${CrashCauseKind}` {
	return `suspect-${splitCause(cause!).kind}`;
}
