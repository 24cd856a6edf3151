/* eslint-disable camelcase, no-void, unicorn/prevent-abbreviations -- names of the wire; the rules that xo.config.js switches off for TypeScript */
/** Stand-in of a replica that serves plain requests and event streams. */
import {once} from 'node:events';
import {createServer} from 'node:http';

export class Replica {
	/**
	 * Starts a replica on a free port of `host`.
	 *
	 * @param options - `work` answers a request that runs: it gets the request, the response and the body.
	 */
	static async create(host, options) {
		const replica = new Replica(options);
		replica.#server.keepAliveTimeout = 5000;
		replica.#server.listen(0, host);
		await once(replica.#server, 'listening');
		replica.address = `${host}:${replica.#server.address().port}`;
		return replica;
	}

	address = '';
	id;
	born = Date.now();
	/** Requests that ran here: id and time. */
	runs = [];
	#options;
	#server = createServer((request, res) => {
		void this.#serve(request, res);
	});

	constructor(options) {
		this.#options = options;
		this.id = options.id;
	}

	/** Its entry in the store. */
	entry(state = 'ready') {
		return {
			service: this.#options.service, address: this.address, zone: 'batangas', version: '1', batch_slots: 8, state, warmup_remaining_ms: 0, sequence: 1, born: this.born,
		};
	}

	close() {
		this.#server.closeAllConnections();
		this.#server.close();
	}

	async #serve(request, res) {
		request.on('error', () => undefined);
		res.on('error', () => undefined);
		let body = '';
		request.setEncoding('utf8').on('data', text => {
			body += text;
		});
		await Promise.race([once(request, 'end'), once(res, 'close')]).catch(() => undefined);
		if (!request.complete) {
			return;
		}

		const id = String(request.headers['x-request-id'] ?? '');
		if (request.headers['x-expect-replica'] !== undefined && request.headers['x-expect-replica'] !== this.id) {
			res.writeHead(421, {'X-Request-Id': id, 'X-Not-Executed': '1'}).end();
			return;
		}

		this.runs.push({id, at: Date.now()});
		this.#options.onRun?.({id, replica: this});
		await this.#options.work(request, res, {id, body, replica: this});
	}
}
