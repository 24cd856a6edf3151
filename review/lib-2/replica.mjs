/* eslint no-await-in-loop: "off", no-void: "off", unicorn/no-process-exit: "off" -- steps that follow one another; a crash */
/**
 * A replica as a process: `node replica.mjs JSON` with `host`, `id`, `port` and `slots`. What it answers follows from the path of a
 * request. It tells its parent what arrives, runs and ends.
 */
import {createServer} from 'node:net';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';

const {
	host, id: replicaId, port = 0, slots = 8,
} = JSON.parse(process.argv[2]);

const LINK_BYTES_PER_MS = 14_000 / 8;

let running = 0;
const waiting = [];

function tell(event) {
	process.send({...event, replica: replicaId, at: Date.now()}, () => undefined);
}

/** Reads requests with a length or without a body, one after another. */
const server = createServer({noDelay: true}, socket => {
	let received = '';
	let isBusy = false;
	socket.on('error', () => undefined);
	const next = async () => {
		const headEnd = received.indexOf('\r\n\r\n');
		if (isBusy || headEnd === -1) {
			return;
		}

		const head = received.slice(0, headEnd);
		const bodyBytes = Number(/^content-length: (\d+)/imv.exec(head)?.[1] ?? 0);
		if (received.length < headEnd + 4 + bodyBytes) {
			return;
		}

		received = received.slice(headEnd + 4 + bodyBytes);
		isBusy = true;
		await serve(socket, head);
		isBusy = false;
		await next();
	};

	socket.setEncoding('latin1').on('data', text => {
		received += text;
		void next();
	});
});

function headerOf(head, name) {
	return new RegExp(`^${name}: *(.*)$`, 'imv').exec(head)?.[1];
}

async function serve(socket, head) {
	const requestId = headerOf(head, 'x-request-id');
	const own = `X-Request-Id: ${requestId}\r\n`;
	if (headerOf(head, 'x-expect-replica') !== replicaId) {
		socket.write(`HTTP/1.1 421 Misdirected Request\r\n${own}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`);
		return;
	}

	tell({kind: 'arrived', requestId});
	running += 1;
	if (running > slots) {
		await new Promise(resolve => {
			waiting.push(resolve);
		});
	}

	if (!socket.destroyed) {
		tell({kind: 'ran', requestId});
		const url = new URL(head.split(' ')[1], 'http://replica.example');
		await respond(socket, {
			own, url, lastEventId: Number(headerOf(head, 'last-event-id') ?? 0),
		});
		tell({kind: 'ended', requestId, isBrokenOff: socket.destroyed});
	}

	running -= 1;
	waiting.shift()?.();
}

/** `work`: ms before the answer; `events` and `gap`: length of a stream and ms between two events. */
async function respond(socket, {own, url, lastEventId}) {
	const {searchParams: query} = url;
	const signed = `HTTP/1.1 200 OK\r\n${own}X-Replica-Signature: signed-by-${replicaId}\r\n`;
	const stream = `${signed}Content-Type: text/event-stream\r\n`;
	const chunked = 'Transfer-Encoding: chunked\r\n\r\n';
	await sleep(Number(query.get('work') ?? 20));
	switch (query.get('answer')) {
		// An event stream with neither a length nor chunks, which ends with its connection.
		case 'unframed': {
			socket.write(`${stream}Connection: close\r\n\r\n`);
			await sendEvents(socket, query, lastEventId, text => text);
			socket.end();
			return;
		}

		// A whole body with neither a length nor chunks, which ends with its connection.
		case 'unframed-body': {
			socket.write(`${signed}Content-Type: text/plain\r\nConnection: close\r\n\r\n`);
			socket.end('x'.repeat(Number(query.get('bytes'))));
			return;
		}

		case 'events': {
			socket.write(stream + chunked);
			await sendEvents(socket, query, lastEventId, asChunk);
			socket.write('0\r\n\r\n');
			return;
		}

		// The first event is written, then the process crashes.
		case 'crash': {
			socket.write(stream + chunked);
			socket.write(asChunk(eventOf(lastEventId + 1)));
			await sleep(20);
			process.exit(1);
			return;
		}

		// Bytes without end, in chunks of one byte, until the caller closes.
		case 'endless-body': {
			socket.write(`${signed.replace('200 OK', '500 Internal Server Error')}Content-Type: text/plain\r\n${chunked}`);
			await sendWithoutEnd(socket, '1\r\nx\r\n');
			return;
		}

		case 'endless-event': {
			socket.write(stream + chunked);
			await sendWithoutEnd(socket, '1\r\nx\r\n');
			return;
		}

		default: {
			socket.write(`${signed}Content-Length: 4\r\n\r\ndone`);
		}
	}
}

function eventOf(number) {
	return `id: ${number}\ndata: piece ${number}\n\n`;
}

function asChunk(text) {
	return `${text.length.toString(16)}\r\n${text}\r\n`;
}

async function sendEvents(socket, query, lastEventId, encode) {
	for (let number = lastEventId + 1; number <= Number(query.get('events')) && !socket.destroyed; number += 1) {
		await sleep(Number(query.get('gap')));
		socket.write(encode(eventOf(number)));
	}
}

/** Sends no faster than the link of a machine beside a replica, of 14 Mbit/s. */
async function sendWithoutEnd(socket, unit) {
	const startedAt = performance.now();
	let bytes = 0;
	while (!socket.destroyed) {
		const block = unit.repeat(Math.floor((((performance.now() - startedAt) * LINK_BYTES_PER_MS) - bytes) / unit.length));
		bytes += block.length;
		if (block !== '' && !socket.write(block)) {
			await new Promise(resolve => {
				socket.once('drain', resolve).once('close', resolve);
			});
		}

		await sleep(10);
	}
}

process.on('disconnect', () => {
	process.exit(0);
});
server.listen(port, host, () => {
	tell({kind: 'listening', port: server.address().port});
});
