/* eslint-disable camelcase, no-await-in-loop, unicorn/prevent-abbreviations -- names of the wire; the rules that xo.config.js switches off for TypeScript */
/**
 * One of three entries is restarted, and lists the servers in two pages. A server of the first page leaves between the two: its
 * registration is removed, and it goes on for a while. The entry watches from the revision of the second page, so it never learns
 * of it.
 */
import {once} from 'node:events';
import {
	call, hasTrouble, runCase, statusOf, until, wait,
} from '../lib/deployment.mjs';
import {Replica} from '../lib/replica.mjs';

/** Bounds of `grown/bantay-cells-grown.toml`. */
const BOUNDS = {
	contact_ms: 4000, ack_timeout_ms: 6000, catch_up_s: 6, drain_ms: 3000, config_apply_ms: 3000, outer_ms: 6000, budget_slack: 132, recovery_s: 15,
};

/** Servers of the sheet: 63 of the model and 4 of the depot, of which the first 50 are on the first page. */
const MODEL_SERVERS = 63;
const DEPOT_SERVERS = 4;
const LEAVING = 'i-0a1';

/** The leaving server goes on for this long beyond the bound, in ms ("at times many seconds"). */
const LINGER_MS = 6000;

/** Without the disruption the server leaves this long after the list, in ms. */
const LATER_MS = 500;

const ENTRIES = [10, 11, 12];
const RESTARTED = 10;

/** Clients of each entry. */
const CLIENTS = 2;
const WORK_MS = 60;

/** Clients go on for this long after the server has gone, in ms. */
const AFTER_MS = 500;

await runCase(import.meta.dirname, async deployment => {
	const {store} = deployment;
	const startServer = async (id, service, machine) => Replica.create(deployment.address(machine), {
		id,
		service,
		onRun({id: requestId}) {
			deployment.record(`${id} runs ${requestId}`);
		},
		async work(request, res, {id: requestId}) {
			await wait(WORK_MS);
			res.writeHead(200, {'X-Request-Id': requestId, 'X-Replica-Signature': `s.${id}`, 'Content-Length': 2}).end('ok');
		},
	});
	const model = await Promise.all(Array.from({length: MODEL_SERVERS}, async (_, n) => startServer(`i-${100 + n}`, 'mimosa-serve', 100 + n)));
	const depot = await Promise.all(Array.from({length: DEPOT_SERVERS}, async (_, n) => startServer(`i-0a${n}`, 'depot-app', 30 + n)));
	deployment.configure(4, [{
		name: 'pack-reorder', hostname: 'ficu95.example', path_prefix: '/puxa403/', type: 'non_idempotent', service: 'depot-app', timeout_ms: 1200, target_latency_ms: 150, max_attempts: 1, priority: 2,
	}], [{name: 'depot-app', max_connections: 77}, {name: 'mimosa-serve', max_connections: 220}]);
	for (const server of [...model, ...depot]) {
		store.put('servers', server.id, server.entry());
	}

	const leaving = depot.find(({id}) => id === LEAVING);
	const entries = ENTRIES.map(machine => deployment.startEntry(machine, ENTRIES));
	await Promise.all(ENTRIES.map(async machine => deployment.ready(machine)));
	await wait(1000);
	deployment.record(`SIGTERM to edge-${RESTARTED}`);
	entries[ENTRIES.indexOf(RESTARTED)].kill('SIGTERM');
	await once(entries[ENTRIES.indexOf(RESTARTED)], 'exit');

	let ackedAt;
	const leave = () => {
		store.remove('servers', LEAVING);
		ackedAt = Date.now();
		deployment.record(`the store removes ${LEAVING}`);
	};

	let pages = 0;
	store.onPage = ({kind, after, page}) => {
		if (kind !== 'servers' || pages === 2) {
			return;
		}

		pages += 1;
		deployment.record(`edge-${RESTARTED} lists the servers after '${after}': ${page.items.length} items, at ${page.at}${page.has_more ? ', has more' : ''}`);
		if (hasTrouble && pages === 1) {
			leave();
		} else if (!hasTrouble && pages === 2) {
			setTimeout(leave, LATER_MS);
		}
	};

	const restartedAt = Date.now();
	deployment.startEntry(RESTARTED, ENTRIES);
	await deployment.ready(RESTARTED);
	await until('the server leaves', () => ackedAt !== undefined);
	const end = ackedAt + BOUNDS.drain_ms + LINGER_MS;
	const sentAt = new Map();
	const sentTo = new Map();
	const statuses = {};
	setTimeout(() => {
		deployment.record(`${LEAVING} ends`);
		leaving.close();
	}, end - Date.now());
	await Promise.all(Array.from({length: CLIENTS * ENTRIES.length}, async (_, client) => {
		const machine = ENTRIES[client % ENTRIES.length];
		for (let n = 0; Date.now() < end + AFTER_MS; n += 1) {
			const id = `c${client}-${n}`;
			sentAt.set(id, Date.now());
			sentTo.set(id, machine);
			deployment.record(`${id} is sent to edge-${machine}`);
			const result = await call({host: deployment.address(machine), port: deployment.ports.frontend}, {path: '/puxa403/2f', id}).done;
			const status = statusOf(result);
			statuses[status] = (statuses[status] ?? 0) + 1;
			const at = leaving.runs.find(run => run.id === id)?.at;
			deployment.record(`${id} gets ${status === 0 ? 'no answer' : status}${status === 200 || at === undefined ? '' : `; ${LEAVING} ran it ${at - ackedAt} ms after it had left`}`);
		}
	}));
	const inTouchFrom = restartedAt + BOUNDS.contact_ms;
	const late = leaving.runs.filter(({id, at}) => at > ackedAt + BOUNDS.drain_ms && sentAt.get(id) > inTouchFrom);
	for (const {id, at} of late) {
		deployment.record(`${LEAVING} runs ${id} ${at - ackedAt} ms after the acknowledgement, sent by its client to edge-${sentTo.get(id)} ${at - sentAt.get(id)} ms before, ${sentAt.get(id) - restartedAt} ms after the start of edge-${RESTARTED}`);
	}

	for (const {id, runs} of depot) {
		deployment.record(`${id} ran ${runs.length} requests, ${runs.filter(({at}) => at > ackedAt + BOUNDS.drain_ms).length} of them later than the bound`);
	}

	deployment.record(`answers: ${JSON.stringify(statuses)}; requests that reached ${LEAVING} more than ${BOUNDS.drain_ms} ms after the acknowledgement: ${late.length}`);
	for (const server of [...model, ...depot].filter(({id}) => id !== LEAVING)) {
		server.close();
	}

	return late.length > 0;
}, BOUNDS);
