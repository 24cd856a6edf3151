/* eslint-disable camelcase, no-void, require-unicode-regexp, unicorn/prevent-abbreviations -- names of the wire; the rules that xo.config.js switches off for TypeScript */
/**
 * Stand-in of a group of model replicas that make all passes together: reports, counts, orders and maps, as the page of the
 * protocol describes them. It serves no requests; its load is made up, and shifts from time to time.
 */
import {once} from 'node:events';
import {readdirSync, readFileSync, readlinkSync} from 'node:fs';
import {createServer} from 'node:http';

/** Experts of the service, as in `sites/bantay-cells.toml`. */
export const ENGINE = {
	sets: 4, experts: 72, placements: 8, spare: 3, expert_mb: 780, bandwidth_mbps: 180_000, report_lag_ms: 200,
};

const PASS_MS = 60;

/** Time to copy one expert, in ms. */
const COPY_MS = ENGINE.expert_mb * 8 / ENGINE.bandwidth_mbps * 1000;

/** Tokens that a rank counts for each set in a pass. */
const TOKENS_PER_PASS = 400;

export class Group {
	/**
	 * Starts the replicas, one on each host.
	 *
	 * @param options - `onOrder`, `onReport` and `onPass` are called with what happened.
	 */
	static async create(hosts, options) {
		const group = new Group(hosts, options);
		await Promise.all(group.ranks.map(async rank => group.#listen(rank)));
		group.#timer = setInterval(() => {
			group.#pass();
		}, PASS_MS);
		return group;
	}

	ranks;
	step = 10;
	/** Passes that began while two ranks had different maps. */
	brokenPasses = [];
	/** Pids of the processes beside the ranks; their reports are fresh. */
	agentPids = [];
	#options;
	#popular = [];
	#timer;

	constructor(hosts, options) {
		this.#options = options;
		this.ranks = hosts.map((host, rank) => ({
			rank,
			host,
			born: Date.now(),
			sequence: 0,
			version: 0,
			map: initialMap(hosts.length)[rank],
			highest: 0,
			prepared: undefined,
			copying: undefined,
			armed: undefined,
			held: undefined,
			counts: Array.from({length: ENGINE.sets * ENGINE.experts}, () => 0),
			history: [],
		}));
		this.shiftDemand();
	}

	/** Makes other experts popular. */
	shiftDemand() {
		this.#popular = Array.from({length: ENGINE.sets}, () => Array.from({length: 3}, () => Math.floor(Math.random() * ENGINE.experts)));
	}

	close() {
		clearInterval(this.#timer);
		for (const {server} of this.ranks) {
			server.closeAllConnections();
			server.close();
		}
	}

	/** Its entry in the store. */
	entry(rank, service) {
		return {
			service, address: rank.address, zone: 'batangas', version: '1', batch_slots: 12, state: 'ready', warmup_remaining_ms: 0, sequence: 1, born: rank.born,
		};
	}

	async #listen(rank) {
		rank.server = createServer((request, res) => {
			void this.#serve(rank, request, res);
		});
		rank.server.keepAliveTimeout = 5000;
		rank.server.listen(0, rank.host);
		await once(rank.server, 'listening');
		rank.address = `${rank.host}:${rank.server.address().port}`;
	}

	/** Begins a pass, unless a rank holds it. */
	#pass() {
		const next = this.step + 1;
		if (this.ranks.some(rank => rank.held === next)) {
			return;
		}

		this.step = next;
		for (const rank of this.ranks) {
			if (rank.armed?.step === next) {
				rank.version = rank.armed.version;
				rank.map = rank.prepared.map;
				rank.armed = undefined;
				this.#remember(rank);
			}
		}

		const versions = new Set(this.ranks.map(({version}) => version));
		if (versions.size > 1) {
			this.brokenPasses.push(next);
		}

		this.#options.onPass?.({step: next, versions: this.ranks.map(({version}) => version)});
		for (const rank of this.ranks) {
			this.#count(rank);
		}
	}

	#count(rank) {
		for (let set = 0; set < ENGINE.sets; set += 1) {
			for (let expert = 0; expert < ENGINE.experts; expert += 1) {
				const weight = this.#popular[set].includes(expert) ? 0.2 : 0.4 / (ENGINE.experts - 3);
				rank.counts[(set * ENGINE.experts) + expert] += Math.round(TOKENS_PER_PASS * weight);
			}
		}
	}

	/** Keeps the state for reports that are not fresh. */
	#remember(rank) {
		rank.history.push({at: Date.now(), state: this.#stateOf(rank)});
		if (rank.history.length > 200) {
			rank.history.shift();
		}
	}

	#stateOf(rank) {
		return {
			sequence: rank.sequence, map: rank.version, prepared: rank.prepared?.version, armed: rank.armed, held: rank.held, busy: rank.copying !== undefined,
		};
	}

	async #serve(rank, request, res) {
		res.on('error', () => undefined);
		let text = '';
		request.setEncoding('utf8').on('data', chunk => {
			text += chunk;
		});
		await once(request, 'end');
		const isOwn = this.#isOwnAgent(rank, request.socket);
		if (request.url === '/v1/report') {
			await this.#options.beforeReport?.({rank, isOwn});
			send(res, 200, this.#report(rank, isOwn));
			this.#options.onReport?.({rank, isOwn});
		} else if (request.url.startsWith('/v1/picked')) {
			send(res, 200, request.url.includes('lists')
				? {map: {version: rank.version, experts: rank.map}, prepared: rank.prepared === undefined ? undefined : {version: rank.prepared.version, experts: rank.prepared.map}, born: rank.born}
				: {
					step: this.step, epoch: 1, counts: rank.counts, born: rank.born,
				});
		} else if (request.url === '/v1/order') {
			const order = JSON.parse(text);
			const status = this.#order(rank, order);
			this.#options.onOrder?.({
				rank, order, status, isOwn,
			});
			send(res, status, {});
		} else {
			send(res, 404, {});
		}
	}

	#report(rank, isOwn) {
		const asOf = Date.now() - ENGINE.report_lag_ms;
		const state = isOwn ? this.#stateOf(rank) : (rank.history.findLast(({at}) => at <= asOf)?.state ?? {sequence: 0, map: 0, busy: false});
		return {
			stage: 'both', models: [{name: 'm', version: 1, adapters: []}], queued: 0, running: 8, kv_used: 41_000, kv_total: 372_000, handles: 0, pace: 1, group: {
				name: 'g1', epoch: 1, rank: rank.rank, state: 'open',
			}, size: this.ranks.length, step: this.step, born: rank.born, ...state,
		};
	}

	#order(rank, {operation, version, step, map, epoch, expected}) {
		if ((epoch !== undefined && epoch !== 1) || (expected !== undefined && expected !== rank.sequence)) {
			return 409;
		}

		const status = this.#execute(rank, {
			operation, version, step, map,
		});
		if (status === 202) {
			rank.sequence += 1;
			this.#remember(rank);
		}

		return status;
	}

	#execute(rank, {operation, version, step, map}) {
		switch (operation) {
			case 'prepare': {
				return this.#prepare(rank, version, map);
			}

			case 'arm': {
				if (rank.armed?.version === version && rank.armed.step === step) {
					return 200;
				}

				if (rank.prepared?.version !== version || step <= this.step) {
					return 409;
				}

				rank.armed = {version, step};
				return 202;
			}

			case 'hold': {
				if (rank.held === step) {
					return 200;
				}

				if (rank.held !== undefined || step <= this.step) {
					return 409;
				}

				rank.held = step;
				return 202;
			}

			case 'go': {
				if (rank.held !== step) {
					return 409;
				}

				rank.held = undefined;
				return 202;
			}

			default: {
				return 400;
			}
		}
	}

	#prepare(rank, version, map) {
		if (version <= rank.highest || rank.armed !== undefined || rank.copying !== undefined) {
			return rank.prepared?.version === version ? 200 : 409;
		}

		const own = map.map(set => set[rank.rank]);
		const held = rank.prepared === undefined ? [rank.map] : [rank.map, rank.prepared.map];
		const added = own.map((experts, set) => experts.filter(expert => !held.some(sets => sets[set].includes(expert))).length);
		if (added.some(count => count > ENGINE.spare) || own.some(experts => experts.length > ENGINE.placements)) {
			return 409;
		}

		rank.highest = version;
		rank.copying = version;
		const copied = added.reduce((sum, count) => sum + count, 0);
		setTimeout(() => {
			rank.copying = undefined;
			rank.prepared = {version, map: own};
			rank.preparedAt = Date.now();
			this.#remember(rank);
			this.#options.onPrepared?.({rank, version, copied});
		}, 1 + (copied * COPY_MS));
		return 202;
	}

	/** Whether a connection comes from the process beside the rank: only its reports are fresh. */
	#isOwnAgent(rank, socket) {
		socket.isOwnAgent ??= ownsSocket(this.agentPids[rank.rank], socket);
		return socket.isOwnAgent;
	}
}

function initialMap(ranks) {
	return Array.from({length: ranks}, (_, rank) => Array.from({length: ENGINE.sets}, () => Array.from({length: ENGINE.experts}, (_, expert) => expert).filter(expert => expert % ranks === rank)));
}

/** Whether a process holds the other end of a connection. */
function ownsSocket(pid, {remotePort, localPort, remoteAddress, localAddress}) {
	const line = readFileSync('/proc/net/tcp', 'utf8').split('\n').find(entry => {
		const [, local, remote] = entry.trim().split(/\s+/u);
		return local === hexAddress(remoteAddress, remotePort) && remote === hexAddress(localAddress, localPort);
	});
	const inode = line?.trim().split(/\s+/u)[9];
	try {
		return readdirSync(`/proc/${pid}/fd`).some(fd => {
			try {
				return readlinkSync(`/proc/${pid}/fd/${fd}`) === `socket:[${inode}]`;
			} catch {
				// Closed meanwhile.
				return false;
			}
		});
	} catch {
		// The process has ended.
		return false;
	}
}

function hexAddress(address, port) {
	const bytes = address.replace('::ffff:', '').split('.').map(Number).toReversed();
	return `${bytes.map(byte => byte.toString(16).padStart(2, '0')).join('')}:${port.toString(16).padStart(4, '0')}`.toUpperCase();
}

function send(res, status, body) {
	res.writeHead(status, {'Content-Type': 'application/json'}).end(JSON.stringify(body));
}
