/** A server that breaks off in the middle of a message, and responses to cut. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

/** How a connection ends: closed, closed after a pause, or reset. */
export type ConnectionEnd = 'fin' | 'late-fin' | 'rst';

/** A message stops after `position` bytes, and its connection ends. */
export type Cut = {readonly position: number; readonly end: ConnectionEnd};

/** Pause before a late end, in ms, in which the reader has handled all bytes. */
const LATE_END_MS = 20;

/** Number of cuts that are tried at once. */
const MAX_CONCURRENT_CUTS = 20;

const ENDS: readonly ConnectionEnd[] = ['fin', 'late-fin', 'rst'];

/** Runs a check for every position before the end of a message, with every end of the connection. */
export async function forEachCut(message: Uint8Array | string, check: (cut: Cut) => Promise<void>): Promise<void> {
	const cuts = ENDS.flatMap(end => Array.from({length: message.length}, (_, position): Cut => ({position, end})));
	const workers = Array.from({length: MAX_CONCURRENT_CUTS}, async () => {
		for (let cut = cuts.pop(); cut !== undefined; cut = cuts.pop()) {
			await check(cut);
		}
	});
	await Promise.all(workers);
}

/** Sends a message up to a cut and ends the connection. */
export async function sendCut(socket: Socket, message: Uint8Array | string, {position, end}: Cut): Promise<void> {
	const part = Buffer.from(message).subarray(0, position);
	if (part.length > 0) {
		await new Promise(resolve => {
			socket.write(part, resolve);
		});
	}

	switch (end) {
		case 'fin': {
			socket.end();
			return;
		}

		case 'late-fin': {
			await sleep(LATE_END_MS);
			socket.end();
			return;
		}

		case 'rst': {
			socket.resetAndDestroy();
		}
	}
}

export type CuttingServerOptions = {
	/** Messages in response to the data that a client sends on a connection, in order; the last one is cut. */
	readonly replies: ReadonlyArray<Uint8Array | string | ((data: string) => string)>;
	readonly cut: Cut;
};

/** Sends complete messages in response to what it receives, except for the last one on each connection. */
export class CuttingServer {
	static async create(options: CuttingServerOptions): Promise<CuttingServer> {
		const server = new CuttingServer(options);
		server.#server.listen(0, '127.0.0.1');
		await once(server.#server, 'listening');
		return server;
	}

	/** Number of messages that were cut. */
	cuts = 0;
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();

	private constructor({replies, cut}: CuttingServerOptions) {
		this.#server = createServer(socket => {
			let received = 0;
			this.#sockets.add(socket);
			socket.on('error', () => undefined);
			socket.on('data', data => {
				const reply = replies[received];
				received += 1;
				if (reply === undefined) {
					return;
				}

				const message = typeof reply === 'function' ? reply(data.toString('latin1')) : reply;
				if (received < replies.length) {
					socket.write(message);
					return;
				}

				this.cuts += 1;
				void sendCut(socket, message, cut);
			});
		});
	}

	/** `HOST:PORT`. */
	get address(): string {
		return `127.0.0.1:${this.port}`;
	}

	get port(): number {
		return (this.#server.address() as AddressInfo).port;
	}

	close(): void {
		this.#server.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}
}

/** A complete HTTP response. */
export type HttpMessage = {
	readonly name: string;
	readonly message: string;
	/** Whether the body may be read to the end of the connection. */
	readonly isUnframed: boolean;
};

/** Responses with the same body in each way to delimit it, with interim responses, and without a body. `headers` ends with a line break, or is empty. */
export function createResponses(headers: string, body: string): readonly HttpMessage[] {
	const half = Math.floor(body.length / 2);
	const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
	const chunks = `${chunk(body.slice(0, half))}${chunk(body.slice(half))}`;
	const length = `Content-Length: ${body.length}\r\n`;
	const ok = `HTTP/1.1 200 OK\r\n${headers}`;
	return [
		{name: 'with a length', message: `${ok}${length}\r\n${body}`, isUnframed: false},
		{name: 'with a length and close', message: `${ok}Connection: close\r\n${length}\r\n${body}`, isUnframed: false},
		{name: 'with a length, HTTP/1.0', message: `HTTP/1.0 200 OK\r\n${headers}${length}\r\n${body}`, isUnframed: false},
		{name: 'with a length and an offer to upgrade', message: `${ok}Connection: upgrade\r\nUpgrade: other\r\n${length}\r\n${body}`, isUnframed: false},
		{name: 'after interim responses', message: `HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n${ok}${length}\r\n${body}`, isUnframed: false},
		{name: 'in chunks', message: `${ok}Transfer-Encoding: chunked\r\n\r\n${chunks}0\r\n\r\n`, isUnframed: false},
		{name: 'in chunks, with close', message: `${ok}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n${chunks}0\r\n\r\n`, isUnframed: false},
		{name: 'in chunks, with trailers', message: `${ok}Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n${chunks}0\r\nX-Sum: 12\r\n\r\n`, isUnframed: false},
		{name: 'without a length', message: `${ok}\r\n${body}`, isUnframed: true},
		{name: 'without a length, HTTP/1.0', message: `HTTP/1.0 200 OK\r\n${headers}\r\n${body}`, isUnframed: true},
		{name: 'with a transfer coding that delimits nothing', message: `${ok}Transfer-Encoding: identity\r\n\r\n${body}`, isUnframed: true},
		{name: 'with a transfer coding over chunks', message: `${ok}Transfer-Encoding: chunked, gzip\r\n\r\n${body}`, isUnframed: false},
	];
}
