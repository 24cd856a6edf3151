/** Client of a plain service. No other module depends on the service's HTTP interface. */
import {Backend, type BackendResponse, type BackendRequest} from '#engine';

/** Result of looking up whether the call with a key has run. */
export type LookupResult
	= | {readonly kind: 'ran'; readonly status: number; readonly headers: Readonly<Record<string, string>>; readonly body: AsyncIterable<Uint8Array>}
		| {readonly kind: 'not-found'}
		| {readonly kind: 'unknown'};

const OK_STATUS = 200;
const NOT_FOUND_STATUS = 404;

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

	/** Runs a call. The call is sent at most once. */
	async run(req: BackendRequest): Promise<BackendResponse> {
		return this.#backend.send(req);
	}

	/**
	 * Queries whether the call with a key has run.
	 *
	 * @param path - Lookup path from the service's rule, with the key inserted.
	 */
	async lookup(path: string, signal: AbortSignal): Promise<LookupResult> {
		const res = await this.#backend.send({
			method: 'GET', path, headers: {}, body: new Uint8Array(), signal,
		});
		if (res.kind !== 'head') {
			return {kind: 'unknown'};
		}

		if (res.status === OK_STATUS) {
			return {
				kind: 'ran', status: res.status, headers: res.headers, body: res.body,
			};
		}

		return res.status === NOT_FOUND_STATUS ? {kind: 'not-found'} : {kind: 'unknown'};
	}

	async close(): Promise<void> {
		await this.#backend.close();
	}
}
