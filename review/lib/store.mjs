/* eslint-disable camelcase, no-await-in-loop, no-void, unicorn/prevent-abbreviations -- names of the wire; the rules that xo.config.js switches off for TypeScript */
/** Stand-in of the platform's store: paged lists, watches and a history, as its page describes them. */
import {once} from 'node:events';
import {createServer} from 'node:http';

/** Objects per page of a list; `[discovery]` of the site files names 50. */
const PAGE_SIZE = 50;

/** Time of an answer, in ms; the deployment sheets name 4. */
const ANSWER_MS = 4;

export class Store {
	/** Starts a store on a free port of `host`. */
	static async create(host) {
		const store = new Store();
		store.#server.listen(0, host);
		await once(store.#server, 'listening');
		store.address = `${host}:${store.#server.address().port}`;
		return store;
	}

	address = '';
	/** Called after a page of a list was read and before it is sent. */
	onPage = () => undefined;
	#revision = 1;
	#compacted = 0;
	#objects = new Map();
	#history = [];
	#wakers = new Set();
	#server = createServer((request, res) => {
		void this.#serve(request, res);
	});

	/** Creates or replaces an object. The time of the return is that of the acknowledgement. */
	put(kind, name, spec) {
		this.#revision += 1;
		const object = {
			metadata: {
				name, revision: this.#revision, created: 0, finalizers: [], deleting: false,
			}, spec, status: {},
		};
		this.#kind(kind).set(name, object);
		this.#append(kind, object, false);
	}

	remove(kind, name) {
		const object = this.#kind(kind).get(name);
		this.#revision += 1;
		this.#kind(kind).delete(name);
		this.#append(kind, {...object, metadata: {...object.metadata, revision: this.#revision}}, true);
	}

	/** Drops the history: each watch is answered with 410. */
	compact() {
		this.#compacted = this.#revision;
		this.#history = [];
		this.#wake();
	}

	close() {
		this.#server.closeAllConnections();
		this.#server.close();
		this.#wake();
	}

	#kind(kind) {
		if (!this.#objects.has(kind)) {
			this.#objects.set(kind, new Map());
		}

		return this.#objects.get(kind);
	}

	#append(kind, object, removed) {
		this.#history.push({kind, object, removed});
		this.#wake();
	}

	#wake() {
		for (const wake of this.#wakers) {
			wake();
		}
	}

	async #serve(request, res) {
		res.on('error', () => undefined);
		const url = new URL(request.url, 'http://store');
		const [kind, name] = url.pathname.split('/').slice(3);
		await wait(ANSWER_MS);
		if (request.method !== 'GET') {
			res.writeHead(404).end('{}');
			return;
		}

		if (url.searchParams.has('watch')) {
			await this.#watch({kind, from: Number(url.searchParams.get('watch')), waitMs: Number(url.searchParams.get('wait_ms') ?? 0)}, res);
			return;
		}

		if (name !== undefined) {
			const object = this.#kind(kind).get(name);
			send(res, object === undefined ? 404 : 200, object ?? {});
			return;
		}

		const after = url.searchParams.get('after') ?? '';
		const rest = [...this.#kind(kind).values()].filter(({metadata}) => metadata.name > after).toSorted((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1));
		const page = {items: rest.slice(0, PAGE_SIZE), has_more: rest.length > PAGE_SIZE, at: this.#revision};
		send(res, 200, page);
		this.onPage({
			kind, after, page, from: request.socket.remotePort,
		});
	}

	async #watch({kind, from, waitMs}, res) {
		const deadline = Date.now() + waitMs;
		for (;;) {
			if (from < this.#compacted) {
				send(res, 410, {});
				return;
			}

			const events = this.#history.filter(change => change.kind === kind && change.object.metadata.revision > from);
			const left = deadline - Date.now();
			if (events.length > 0 || left <= 0 || res.destroyed) {
				send(res, 200, {events: events.map(({object, removed}) => ({object, removed})), at: this.#revision});
				return;
			}

			await new Promise(resolve => {
				const timer = setTimeout(resolve, left);
				const wake = () => {
					clearTimeout(timer);
					this.#wakers.delete(wake);
					resolve();
				};

				this.#wakers.add(wake);
				res.once('close', wake);
			});
		}
	}
}

function send(res, status, body) {
	res.writeHead(status, {'Content-Type': 'application/json'}).end(JSON.stringify(body));
}

async function wait(ms) {
	return new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}
