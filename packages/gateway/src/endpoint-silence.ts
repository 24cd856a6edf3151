/**
 * Finds endpoints that stand still while others of their service go on: none of their streams has an event. What is sent to them
 * meanwhile is taken by their machines, and may be read only after its caller has left.
 */

/** A stream that was sent to an endpoint. */
export type ObservedStream = {
	readonly recordEvent: () => void;
	/** Called when it ends, or when its events are not read for a while; the next event opens it again. */
	readonly close: () => void;
};

/** Times without an event after which a stream is silent, in ms: from its request to its first event, and between later ones. */
export type SilenceLimits = {readonly firstMs: number; readonly laterMs: number};

type Stream = SilenceLimits & {readonly service: string; readonly endpointId: string; hasBegun: boolean; since: number};

export class EndpointSilence {
	/** @param now - Monotonic clock in ms. */
	static create(now: () => number): EndpointSilence {
		return new EndpointSilence(now);
	}

	readonly #streams = new Set<Stream>();
	readonly #now: () => number;

	private constructor(now: () => number) {
		this.#now = now;
	}

	/** Observes a stream from the time at which its request is sent. */
	openStream(service: string, endpointId: string, limits: SilenceLimits): ObservedStream {
		const stream: Stream = {
			...limits, service, endpointId, hasBegun: false, since: this.#now(),
		};
		this.#streams.add(stream);
		return {
			recordEvent: () => {
				stream.hasBegun = true;
				stream.since = this.#now();
				this.#streams.add(stream);
			},
			close: () => {
				this.#streams.delete(stream);
			},
		};
	}

	/** Endpoints of a service that send events, and those that are silent meanwhile. If all are silent, their group waits as a whole, and none counts. */
	endpointsOf(service: string): {readonly active: ReadonlySet<string>; readonly silent: ReadonlySet<string>} {
		const now = this.#now();
		const active = new Set<string>();
		const silent = new Set<string>();
		for (const stream of this.#streams) {
			if (stream.service !== service) {
				continue;
			}

			const isSilent = now - stream.since > (stream.hasBegun ? stream.laterMs : stream.firstMs);
			if (isSilent) {
				silent.add(stream.endpointId);
			} else if (stream.hasBegun) {
				active.add(stream.endpointId);
			}
		}

		return {active, silent: new Set(active.size === 0 ? [] : [...silent].filter(id => !active.has(id)))};
	}
}
