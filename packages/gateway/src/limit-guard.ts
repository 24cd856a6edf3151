/** Keeps requests from endpoints that have reached the limit they name, or the rate of their warm-up, together with the other entries. */
import type {ResponseHead} from './dialect.js';
import type {EntryEventLog} from './event-log.js';
import type {
	EndpointLimitReport, EndpointLimits, EndpointRecord, LimitPermit,
} from '#dispatch';

/** Why endpoints count as cold: their registration or a response says so, they have started or their zone serves again. */
export type ColdSource = 'register' | 'answer' | 'start' | 'zone';

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

/** Maximum number of endpoints that a line on cold endpoints names. */
const MAX_NAMED = 3;

export class LimitGuard {
	static create(options: LimitGuardOptions): LimitGuard {
		return new LimitGuard(options);
	}

	readonly #options: LimitGuardOptions;

	private constructor(options: LimitGuardOptions) {
		this.#options = options;
	}

	/** Whether a request to an endpoint needs a permit of the entry that grants those of the endpoint. */
	isLimited(endpointId: string): boolean {
		return this.#options.limits.needsPermit(endpointId, this.#options.now());
	}

	/** Notes how many entries share the rates of endpoints; called regularly. */
	noteEntries(): void {
		this.#options.limits.warmup?.noteEntries(this.#options.now());
	}

	/** Whether an endpoint is known to be cold. */
	isCold(endpointId: string): boolean {
		return this.#options.limits.warmup?.isCold(endpointId, this.#options.now()) ?? false;
	}

	/** Whether this entry has to wait for the warm-up rate of an endpoint: its part is used up, or a permit that it needs was denied a moment ago. */
	isPartUsed(endpointId: string): boolean {
		const {limits, now} = this.#options;
		const {warmup} = limits;
		const at = now();
		if (warmup === undefined) {
			return false;
		}

		return (warmup.needsPermit(endpointId, at) ? limits : warmup).waitMs(endpointId, at) > 0;
	}

	/** Marks endpoints as cold from now on, for the time that their service names. Has no effect on a service without a warm-up. */
	markCold(endpointIds: readonly string[], source: ColdSource = 'zone'): void {
		const {limits: {warmup}, now} = this.#options;
		this.#logCold(endpointIds.filter(id => warmup?.markCold(id, now()) === true), source);
	}

	/** Records how long a registration says that its endpoint stays cold. When it was written is not known, so the time counts from now. */
	recordRegistration({id, warmupRemainingMs = 0}: EndpointRecord): void {
		this.#recordCold(id, warmupRemainingMs, 'register');
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

	/** Records the limit that an endpoint names, and how long it stays cold. Only a signed response without a limit ends it: refusals need not name it. */
	record(endpointId: string, {limitPerS, isSigned, isMisdirected, warmupMs = 0}: ResponseHead): void {
		if (isMisdirected) {
			return;
		}

		this.#recordCold(endpointId, warmupMs, 'answer');
		if (limitPerS === undefined && !isSigned) {
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
	 * @param reachable - Number of entries that can be reached, including this one.
	 */
	takePermit({id, needsWarmupPermit}: EndpointLimitReport, share: number, reachable: number): LimitPermit {
		return this.#options.limits.takePermit(id, share, this.#options.now(), needsWarmupPermit === true ? reachable : undefined);
	}

	#recordCold(endpointId: string, remainingMs: number, source: ColdSource): void {
		const {limits: {warmup}, now} = this.#options;
		if (warmup?.record(endpointId, remainingMs, now()) === true) {
			this.#logCold([endpointId], source);
		}
	}

	#logCold(endpointIds: readonly string[], source: ColdSource): void {
		const {limits: {warmup}, events, now} = this.#options;
		if (warmup !== undefined && endpointIds.length > 0) {
			events.record({
				kind: 'endpoints-cold', endpoints: endpointIds.length, first: endpointIds.slice(0, MAX_NAMED), coldMs: Math.round(warmup.coldMs(endpointIds[0]!, now())), source,
			});
		}
	}

	#log(endpointId: string, source: 'response' | 'peer'): void {
		this.#options.events.record({
			kind: 'endpoint-limit', endpoint: endpointId, perSecond: this.#options.limits.limitOf(endpointId), source,
		});
	}
}
