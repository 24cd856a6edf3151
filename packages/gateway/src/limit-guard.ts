/** Keeps requests from endpoints that have reached the limit they name, together with the other entries. */
import type {ResponseHead} from './dialect.js';
import type {EntryEventLog} from './event-log.js';
import type {EndpointLimitReport, EndpointLimits, LimitPermit} from '#dispatch';

export type LimitGuardOptions = {
	readonly limits: EndpointLimits;
	/** Asks the entry that grants the permits of an endpoint. */
	readonly requestPermit: (endpointId: string) => Promise<LimitPermit>;
	/** Tells other entries of new limits. */
	readonly announce: () => void;
	readonly events: EntryEventLog;
	/** Monotonic clock in ms. */
	readonly now: () => number;
};

export class LimitGuard {
	static create(options: LimitGuardOptions): LimitGuard {
		return new LimitGuard(options);
	}

	readonly #options: LimitGuardOptions;

	private constructor(options: LimitGuardOptions) {
		this.#options = options;
	}

	/** Whether an endpoint names a limit. */
	isLimited(endpointId: string): boolean {
		return this.#options.limits.limitOf(endpointId) !== undefined;
	}

	/** Whether a request may be sent to an endpoint now. */
	async admit(endpointId: string, requestId: string): Promise<boolean> {
		const {limits, requestPermit, events, now} = this.#options;
		if (!this.isLimited(endpointId)) {
			return true;
		}

		const permit = await requestPermit(endpointId);
		if (permit.kind === 'granted') {
			return true;
		}

		limits.recordDenial(endpointId, permit.retryAfterMs, now());
		events.record({
			kind: 'permit-denied', requestId, endpoint: endpointId, perSecond: limits.limitOf(endpointId), retryAfterMs: permit.retryAfterMs,
		});
		return false;
	}

	/** Records the limit that an endpoint names. Only a signed response without one ends it: refusals need not name it. */
	record(endpointId: string, {limitPerS, isSigned, isMisdirected}: ResponseHead): void {
		if (isMisdirected || (limitPerS === undefined && !isSigned)) {
			return;
		}

		const {limits, announce, now} = this.#options;
		if (limits.record(endpointId, limitPerS, now())) {
			this.#log(endpointId, 'response');
			announce();
		}
	}

	/** Forgets an endpoint that has ended or restarted. */
	forget(endpointId: string): void {
		this.#options.limits.forget(endpointId);
	}

	/** Limits that changed lately, for other entries. */
	reports(): readonly EndpointLimitReport[] {
		return this.#options.limits.reports(this.#options.now());
	}

	/** What this entry knows of the limit of an endpoint, for the entry that grants its permits. */
	reportOf(endpointId: string): EndpointLimitReport {
		return this.#options.limits.reportOf(endpointId, this.#options.now());
	}

	/** Takes over what another entry knows. */
	merge(reports: readonly EndpointLimitReport[]): void {
		for (const endpointId of this.#options.limits.merge(reports, this.#options.now())) {
			this.#log(endpointId, 'peer');
		}
	}

	/**
	 * Takes a permit; called on the entry that grants those of the endpoint.
	 *
	 * @param share - Share of the limit that this entry may grant, in (0, 1].
	 */
	takePermit(endpointId: string, share: number): LimitPermit {
		return this.#options.limits.takePermit(endpointId, share, this.#options.now());
	}

	#log(endpointId: string, source: 'response' | 'peer'): void {
		this.#options.events.record({
			kind: 'endpoint-limit', endpoint: endpointId, perSecond: this.#options.limits.limitOf(endpointId), source,
		});
	}
}
