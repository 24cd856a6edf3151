/* eslint-disable camelcase, no-await-in-loop, require-unicode-regexp, unicorn/prevent-abbreviations -- names of the wire; the rules that xo.config.js switches off for TypeScript */
/**
 * A faulty replica spoils one byte in the head of one answer. The entry ends, and with it all requests that it has in progress at
 * sound replicas. `SPOIL=status` spoils a digit of the status in place of a byte of a header's name.
 */
import process from 'node:process';
import {
	hasTrouble, runCase, wait,
} from '../lib/deployment.mjs';
import {KeptClient} from '../lib/kept-client.mjs';
import {Replica} from '../lib/replica.mjs';

const CLIENTS = 12;
const WORK_MS = 300;

/** The faulty replica spoils one answer after this many sound ones: 1 in 31, below the 1 in 20 of the site file. */
const SOUND_ANSWERS = 30;

const isStatusSpoilt = process.env.SPOIL === 'status';

/** LOST is broken by more than this many requests. */
const ALLOWED = 3;

await runCase(import.meta.dirname, async deployment => {
	const runAt = new Map();
	let answersOfFaulty = 0;
	let spoilt = 0;
	const work = isFaulty => async (request, res, {id, replica}) => {
		runAt.set(id, replica.id);
		deployment.record(`${replica.id} runs ${id}`);
		await wait(WORK_MS);
		if (!isFaulty) {
			res.writeHead(200, {'X-Request-Id': id, 'X-Replica-Signature': `s.${replica.id}`, 'Content-Length': 2}).end('ok');
			return;
		}

		answersOfFaulty += 1;
		const isSpoilt = hasTrouble && spoilt === 0 && answersOfFaulty > SOUND_ANSWERS;
		if (isSpoilt) {
			spoilt += 1;
			deployment.record(`${replica.id} spoils a byte of its answer ${answersOfFaulty}, to ${id}`);
		}

		const status = isSpoilt && isStatusSpoilt ? '000' : '200';
		const contentType = isSpoilt && !isStatusSpoilt ? 'Content Type' : 'Content-Type';
		request.socket.write(`HTTP/1.1 ${status} OK\r\nX-Request-Id: ${id}\r\nX-Replica-Signature: s.${replica.id}\r\n${contentType}: text/plain\r\nContent-Length: 2\r\n\r\nok`);
	};

	const replicas = await Promise.all([1, 2, 3].map(async n => Replica.create(deployment.address(30 + n), {id: `i-depot${n}`, service: 'depot-app', work: work(n === 3)})));
	deployment.configure(4, [{
		name: 'pack-reorder', hostname: 'ficu95.example', path_prefix: '/puxa403/', type: 'non_idempotent', service: 'depot-app', timeout_ms: 1200, target_latency_ms: 150, max_attempts: 1, priority: 2,
	}], [{name: 'depot-app', max_connections: 52}]);
	for (const replica of replicas) {
		deployment.store.put('servers', replica.id, replica.entry());
	}

	const entry = deployment.startEntry(10);
	await deployment.ready(10);
	const isOver = () => entry.exitCode !== null || answersOfFaulty > 3 * SOUND_ANSWERS;
	const lost = [];
	let isClosing = false;
	await Promise.all(Array.from({length: CLIENTS}, async (_, client) => {
		const connection = new KeptClient({host: deployment.address(10), port: deployment.ports.frontend}, waiting => {
			if (isClosing || waiting === undefined) {
				return;
			}

			const replica = runAt.get(waiting.id);
			deployment.record(`connection of client ${client} ends; ${waiting.id} has no answer, ran at ${replica ?? 'no replica'}, ${waiting.isKept ? 'kept' : 'new'} connection`);
			if (waiting.isKept && replica !== undefined && replica !== 'i-depot3') {
				lost.push(waiting.id);
			}
		});
		for (let n = 0; connection.isOpen && !isOver(); n += 1) {
			const id = `c${client}-${n}`;
			deployment.record(`${id} is sent by client ${client}`);
			const {status} = await connection.request({path: '/puxa403/2f', id});
			deployment.record(`${id} gets ${status === 0 ? 'no answer' : status}`);
		}
	}));
	isClosing = true;
	await wait(500);
	if (entry.exitCode !== null) {
		deployment.record(`the entry ended by itself: ${/\w*Error \[\w+\]: .*/u.exec(entry.log)?.[0]}`);
	}

	deployment.record(`answers of the faulty replica: ${answersOfFaulty}, spoilt: ${spoilt}; requests on kept connections that a sound replica ran and that got no answer: ${lost.length}, allowed: ${ALLOWED}`);
	return lost.length > ALLOWED;
});
