/** The one module that knows a plain service's interface. */
import {Backend, type BackendAnswer, type BackendRequest} from '#engine';

/** What a service says about a key that may have run. */
export type LookupAnswer
	= | {readonly kind: 'ran'; readonly status: number; readonly headers: Readonly<Record<string, string>>; readonly body: AsyncIterable<Uint8Array>}
		| {readonly kind: 'not-found'}
		| {readonly kind: 'unknown'};

const OK = 200;
const NOT_FOUND = 404;

/** Client of one plain service instance. */
export class ServiceClient {
	/** @param url - Base URL of the service on loopback. */
	static create(url: string): ServiceClient {
		return new ServiceClient(Backend.create(url));
	}

	readonly #backend: Backend;

	private constructor(backend: Backend) {
		this.#backend = backend;
	}

	/** Runs a call. The call is written at most once. */
	async run(req: BackendRequest): Promise<BackendAnswer> {
		return this.#backend.send(req);
	}

	/**
	 * Asks whether the call with a key has run.
	 *
	 * @param path - Lookup path of the service's rule with the key put in.
	 */
	async lookup(path: string, signal: AbortSignal): Promise<LookupAnswer> {
		const res = await this.#backend.send({
			method: 'GET', path, headers: {}, body: new Uint8Array(), signal,
		});
		if (res.kind !== 'head') {
			return {kind: 'unknown'};
		}

		if (res.status === OK) {
			return {
				kind: 'ran', status: res.status, headers: res.headers, body: res.body,
			};
		}

		return res.status === NOT_FOUND ? {kind: 'not-found'} : {kind: 'unknown'};
	}

	async close(): Promise<void> {
		await this.#backend.close();
	}
}
