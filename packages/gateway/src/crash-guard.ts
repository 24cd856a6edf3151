/** Keeps requests with a part that crashes endpoints away from them, and finds such parts. */
import type {ConnectionPool, ConnectionTarget} from './connection-pool.js';
import type {EntryEventLog} from './event-log.js';
import type {PartReport, SuspectParts} from '#quarantine';

export type CrashGuardOptions = {
	/** Unique name of this entry. */
	readonly entry: string;
	readonly suspects: SuspectParts;
	readonly pool: ConnectionPool;
	/** Asks the entry that grants the probes of all entries. */
	readonly requestProbe: (parts: readonly string[]) => Promise<boolean>;
	readonly events: EntryEventLog;
	/** Monotonic clock in ms. */
	readonly now: () => number;
};

/** Whether a request may be sent. */
export type PartAdmission
	= | {readonly kind: 'admitted'; /** Suspects that the request runs as a probe of. */ readonly probed: readonly string[]}
		| {readonly kind: 'refused'; readonly reason: 'suspect-part' | 'crashing-part'; readonly detail: string};

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
	 * Admits a request by its shared parts.
	 *
	 * @param granted - Parts that the request may be a probe of already: an earlier attempt of it reached no endpoint.
	 */
	async admit(parts: readonly string[], granted: readonly string[]): Promise<PartAdmission> {
		const {suspects, requestProbe, now} = this.#options;
		const verdict = suspects.verdict(parts, now());
		switch (verdict.kind) {
			case 'clear': {
				return {kind: 'admitted', probed: []};
			}

			case 'blocked': {
				return {kind: 'refused', reason: 'crashing-part', detail: `part ${verdict.part}`};
			}

			case 'wait': {
				return {kind: 'refused', reason: 'suspect-part', detail: `parts ${verdict.parts.join(' ')}`};
			}

			case 'probe': {
				if (verdict.parts.every(part => granted.includes(part))) {
					return {kind: 'admitted', probed: verdict.parts};
				}

				const isGranted = await requestProbe(verdict.parts);
				if (!isGranted) {
					return {kind: 'refused', reason: 'suspect-part', detail: `another probe of part ${verdict.parts.join(' ')} runs`};
				}

				this.#log(verdict.parts, 'probed', undefined);
				return {kind: 'admitted', probed: verdict.parts};
			}
		}
	}

	/** Records that an answer has begun on a request with these parts. */
	recordBegun(parts: readonly string[], probed: readonly string[]): void {
		this.#options.suspects.recordBegun(parts, this.#options.now());
		this.#log(probed, 'cleared', undefined);
	}

	/** Checks whether an endpoint crashed that ended a request before its answer began. */
	async checkCrash(endpoint: ConnectionTarget, parts: readonly string[], probed: readonly string[]): Promise<void> {
		if (parts.length === 0) {
			return;
		}

		const {entry, suspects, pool, now} = this.#options;
		const connection = await pool.acquire(endpoint, {isNewRequired: true, timeoutMs: CRASH_CHECK_TIMEOUT_MS});
		if (connection.kind === 'connected') {
			pool.release(endpoint, connection.socket, undefined);
			return;
		}

		if (connection.reason !== 'ECONNREFUSED') {
			return;
		}

		this.#crashes += 1;
		suspects.recordCrash(parts, probed, `${entry}-${now()}-${this.#crashes}`, now());
		this.#log(parts, 'suspected', endpoint.id);
		this.#log(probed.filter(part => suspects.verdict([part], now()).kind === 'blocked'), 'blocked', endpoint.id);
	}

	/** What this entry knows of suspects, for other entries. */
	reports(): readonly PartReport[] {
		return this.#options.suspects.reports(this.#options.now());
	}

	/** Takes over what another entry knows. */
	merge(reports: readonly PartReport[]): void {
		this.#log(this.#options.suspects.merge(reports, this.#options.now()), 'reported', undefined);
	}

	/** Takes the turn for a probe; called on the entry that grants the probes of all entries. */
	takeProbe(parts: readonly string[]): boolean {
		return this.#options.suspects.takeProbe(parts, this.#options.now());
	}

	#log(parts: readonly string[], change: 'suspected' | 'reported' | 'probed' | 'cleared' | 'blocked', endpoint: string | undefined): void {
		for (const part of parts) {
			this.#options.events.record({
				kind: 'part', part, change, endpoint,
			});
		}
	}
}
