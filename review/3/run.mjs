/* eslint-disable camelcase, no-await-in-loop, require-unicode-regexp, unicorn/prevent-abbreviations -- names of the wire; the rules that xo.config.js switches off for TypeScript */
/**
 * Another writer adds an entry to the list of servers whose address can't be read as one: its port has a digit too many. Each
 * entry process that picks it ends, and ends again after each start.
 */
import {
	hasTrouble, runCase, until, wait,
} from '../lib/deployment.mjs';
import {KeptClient} from '../lib/kept-client.mjs';
import {Replica} from '../lib/replica.mjs';

const CLIENTS = 12;
const WORK_MS = 300;
const PLAY_MS = 15_000;

/** The entry of the other writer is added this long after the start of traffic, in ms. */
const ADDED_AFTER_MS = 3000;

/** Time until the platform starts a process again that has ended, in ms. */
const RESTART_MS = 500;

/** LOST is broken by more than this many requests. */
const ALLOWED = 3;

await runCase(import.meta.dirname, async deployment => {
	const runAt = new Map();
	const replicas = await Promise.all([1, 2, 3].map(async n => Replica.create(deployment.address(30 + n), {
		id: `i-depot${n}`,
		service: 'depot-app',
		async work(request, res, {id, replica}) {
			runAt.set(id, replica.id);
			deployment.record(`${replica.id} runs ${id}`);
			await wait(WORK_MS);
			res.writeHead(200, {'X-Request-Id': id, 'X-Replica-Signature': `s.${replica.id}`, 'Content-Length': 2}).end('ok');
		},
	})));
	deployment.configure(4, [{
		name: 'pack-reorder', hostname: 'ficu95.example', path_prefix: '/puxa403/', type: 'non_idempotent', service: 'depot-app', timeout_ms: 1200, target_latency_ms: 150, max_attempts: 1, priority: 2,
	}], [{name: 'depot-app', max_connections: 52}]);
	for (const replica of replicas) {
		deployment.store.put('servers', replica.id, replica.entry());
	}

	const end = Date.now() + PLAY_MS;
	const lost = [];
	let ends = 0;
	let reason;
	const keepRunning = () => {
		const entry = deployment.startEntry(10);
		entry.once('exit', () => {
			if (Date.now() < end) {
				ends += 1;
				reason ??= /\w*Error \[\w+\]: .*/u.exec(entry.log)?.[0];
				setTimeout(keepRunning, RESTART_MS);
			}
		});
	};

	keepRunning();
	await deployment.ready(10);
	if (hasTrouble) {
		setTimeout(() => {
			const entry = {...replicas[0].entry(), address: `${deployment.address(34)}:81200`};
			deployment.store.put('servers', 'x-1', entry);
			deployment.record(`another writer adds x-1 to the servers: ${JSON.stringify(entry)}`);
		}, ADDED_AFTER_MS);
	}

	const serve = async (client, connectionNumber) => {
		const connection = new KeptClient({host: deployment.address(10), port: deployment.ports.frontend}, waiting => {
			const replica = runAt.get(waiting?.id);
			if (waiting !== undefined && Date.now() < end) {
				deployment.record(`connection of client ${client} ends; ${waiting.id} has no answer, ran at ${replica ?? 'no replica'}, ${waiting.isKept ? 'kept' : 'new'} connection`);
				if (waiting.isKept && replica !== undefined) {
					lost.push(waiting.id);
				}
			}
		});
		for (let n = 0; connection.isOpen && Date.now() < end; n += 1) {
			const id = `c${client}-${connectionNumber}-${n}`;
			deployment.record(`${id} is sent by client ${client}`);
			const {status} = await connection.request({path: '/puxa403/2f', id});
			deployment.record(`${id} gets ${status === 0 ? 'no answer' : status}`);
		}

		connection.close();
	};

	await Promise.all(Array.from({length: CLIENTS}, async (_, client) => {
		for (let n = 0; Date.now() < end; n += 1) {
			await serve(client, n);
			await wait(200);
		}
	}));
	await until('the play is over', () => Date.now() >= end);
	for (const replica of replicas) {
		replica.close();
	}

	deployment.record(`the entry ended by itself ${ends} times${reason === undefined ? '' : `: ${reason}`}`);
	deployment.record(`requests on kept connections that a sound replica ran and that got no answer: ${lost.length}, allowed: ${ALLOWED}`);
	return lost.length > ALLOWED;
});
