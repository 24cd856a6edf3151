/** Decides at which endpoints a request may be tried, and tracks what their responses say of further requests. */
import type {ResponseHead} from './dialect.js';
import type {EntryEventLog} from './event-log.js';
import type {EvacuationGuard} from './evacuation-guard.js';
import type {RefusalReason} from './refusals.js';
import {
	isClosed, type EndpointAvailability, type EndpointRecord, type Unavailability,
} from '#dispatch';

export type EndpointGateOptions = {
	readonly availability: EndpointAvailability;
	readonly events: EntryEventLog;
	/** Undefined if zones are not evacuated in this deployment. */
	readonly evacuations?: EvacuationGuard | undefined;
	/** Monotonic clock in ms. */
	readonly now: () => number;
};

/** An endpoint that may be chosen. */
export type OpenEndpoint = EndpointRecord & {/** Whether others are chosen before it. */ readonly isInBackoff: boolean};

/** Which of some endpoints are open, and why the others are not. */
export type PartitionedEndpoints = {readonly open: readonly OpenEndpoint[]; readonly refusal: {readonly reason: RefusalReason; readonly detail: string}};

/** Maximum number of endpoints that the detail of a refusal names. */
const MAX_NAMED = 3;

export class EndpointGate {
	static create(options: EndpointGateOptions): EndpointGate {
		return new EndpointGate(options);
	}

	readonly #options: EndpointGateOptions;

	private constructor(options: EndpointGateOptions) {
		this.#options = options;
	}

	/** Separates endpoints that may be chosen now from the others; `refusal` is for the case that none may. */
	partition(endpoints: readonly EndpointRecord[]): PartitionedEndpoints {
		const {availability, now} = this.#options;
		const open: OpenEndpoint[] = [];
		const closed: Array<{readonly id: string; readonly reason: Unavailability}> = [];
		for (const endpoint of endpoints) {
			const reason = availability.reasonAgainst(endpoint, now());
			if (isClosed(reason)) {
				closed.push({id: endpoint.id, reason});
			} else {
				open.push({...endpoint, isInBackoff: reason !== undefined});
			}
		}

		return {
			open,
			refusal: {
				reason: refusalFor(closed.map(({reason}) => reason)),
				detail: `none of ${endpoints.length} endpoints is open: ${closed.slice(0, MAX_NAMED).map(({id, reason}) => describe(id, reason)).join(', ')}`,
			},
		};
	}

	/** Waits until requests may be sent on the strength of what is known of evacuated zones, for `maxWaitMs` at most. */
	async awaitReading(maxWaitMs: number): Promise<void> {
		await this.#options.evacuations?.awaitReading(maxWaitMs);
	}

	/** Whether the zone of an endpoint is evacuated. */
	isEvacuated({zone}: EndpointRecord): boolean {
		return this.#options.evacuations?.isEvacuated(zone) ?? false;
	}

	/** Time until one of the endpoints may get a request, in ms, as far as known. */
	earliestMs(endpoints: readonly EndpointRecord[]): number {
		return this.#options.availability.earliestMs(endpoints, this.#options.now());
	}

	/** A pass for one attempt at an endpoint. */
	passTo(endpoint: EndpointRecord, requestId: string): EndpointPass {
		return EndpointPass.create(this.#options, endpoint, requestId);
	}
}

/** One attempt at an endpoint; ended by its owner in any case. */
export class EndpointPass {
	static create(options: EndpointGateOptions, endpoint: EndpointRecord, requestId: string): EndpointPass {
		return new EndpointPass(options, endpoint, requestId);
	}

	#isTrial = false;
	readonly #options: EndpointGateOptions;
	readonly #endpoint: EndpointRecord;
	readonly #requestId: string;

	private constructor(options: EndpointGateOptions, endpoint: EndpointRecord, requestId: string) {
		this.#options = options;
		this.#endpoint = endpoint;
		this.#requestId = requestId;
	}

	/** Whether the request may be sent; called right before, since the endpoint may have closed while the connection was opened. */
	maySend(): boolean {
		const admission = this.#options.availability.admit(this.#endpoint, this.#options.now());
		this.#isTrial = admission === 'trial';
		return admission !== 'closed';
	}

	/** Records what the endpoint says of further requests. Another one that has its address says nothing of it. */
	recordHead(head: ResponseHead): void {
		if (head.isMisdirected) {
			return;
		}

		const {availability, events, now} = this.#options;
		const change = availability.recordHead(this.#endpoint, head, {isTrial: this.#isTrial, now: now()});
		this.#isTrial = false;
		if (change !== undefined) {
			events.record({
				kind: 'endpoint-availability', requestId: this.#requestId, endpoint: this.#endpoint.id, change: change.kind, waitMs: change.kind === 'waiting' ? Math.round(change.waitMs) : undefined,
			});
		}
	}

	/** Ends the attempt; without a response, another request may be the trial. */
	end(): void {
		if (this.#isTrial) {
			this.#options.availability.endTrial(this.#endpoint);
			this.#isTrial = false;
		}
	}
}

/** Reason for a refusal, from the reasons against all endpoints. Evacuated ones are left out while there are others, of which one may open sooner. */
function refusalFor(reasons: readonly Unavailability[]): RefusalReason {
	const others = reasons.filter(({kind}) => kind !== 'evacuated');
	if (others.length === 0) {
		return reasons.length === 0 ? 'endpoint-limit' : 'zone-evacuated';
	}

	if (others.every(({kind}) => kind === 'unconfirmed')) {
		return 'evacuations-unknown';
	}

	return others.every(({kind}) => kind === 'limited') ? 'endpoint-limit' : 'endpoint-wait';
}

function describe(id: string, reason: Unavailability): string {
	switch (reason.kind) {
		case 'waiting':
		case 'limited': {
			return `${id} ${reason.kind} ${Math.ceil(reason.remainingMs)} ms`;
		}

		case 'leaving':
		case 'evacuated':
		case 'unconfirmed':
		case 'on-trial':
		case 'backoff': {
			return `${id} ${reason.kind}`;
		}
	}
}
