/** Asks another process of the system over a WebSocket that is opened on demand; frames are MessagePack. */
import {pack, unpack} from 'msgpackr';
import {WebSocket} from 'ws';
import {MAX_FRAME_BYTES} from './request-server.js';
import {failed, ok, type Result} from '#core';

/** Time to establish a connection, in ms. */
const CONNECT_TIMEOUT_MS = 500;

/** After this many requests in a row without an answer the connection counts as silent and is opened anew. */
const SILENT_AFTER = 2;

type Waiting = (result: Result<unknown, string>) => void;

export class RequestLink {
	/** @param address - `HOST:PORT`. */
	static create(address: string): RequestLink {
		return new RequestLink(address);
	}

	readonly #waiting = new Map<number, Waiting>();
	#socket: WebSocket | undefined;
	#nextId = 1;
	#unanswered = 0;
	readonly #address: string;

	private constructor(address: string) {
		this.#address = address;
	}

	/** Sends a request. Fails with the reason when there is no answer in time; the other side may have handled it all the same. */
	async ask(request: unknown, timeoutMs: number): Promise<Result<unknown, string>> {
		const id = this.#nextId++;
		const socket = this.#open();
		return new Promise(resolve => {
			const finish: Waiting = result => {
				clearTimeout(timer);
				this.#waiting.delete(id);
				resolve(result);
			};

			const timer = setTimeout(() => {
				this.#unanswered += 1;
				if (this.#unanswered >= SILENT_AFTER) {
					socket.terminate();
				}

				finish(failed('timeout'));
			}, timeoutMs);
			this.#waiting.set(id, finish);
			const frame = pack({id, request});
			if (socket.readyState === WebSocket.OPEN) {
				socket.send(frame);
			} else {
				socket.once('open', () => {
					// A request that was given up must not be sent late.
					if (this.#waiting.has(id)) {
						socket.send(frame);
					}
				});
			}
		});
	}

	/** Closes the connection; open requests fail. */
	close(): void {
		this.#socket?.terminate();
	}

	#open(): WebSocket {
		if (this.#socket !== undefined) {
			return this.#socket;
		}

		const socket = new WebSocket(`ws://${this.#address}`, {handshakeTimeout: CONNECT_TIMEOUT_MS, perMessageDeflate: false, maxPayload: MAX_FRAME_BYTES});
		this.#socket = socket;
		this.#unanswered = 0;
		socket.on('message', data => {
			this.#receive(data as Uint8Array);
		});
		socket.on('error', () => {
			// `close` follows and fails what is open.
		});
		socket.once('close', () => {
			if (this.#socket === socket) {
				this.#socket = undefined;
			}

			for (const finish of this.#waiting.values()) {
				finish(failed('closed'));
			}
		});
		return socket;
	}

	#receive(data: Uint8Array): void {
		this.#unanswered = 0;
		const frame = unpack(data) as {id?: number; answer?: unknown; failure?: string};
		const finish = this.#waiting.get(Number(frame.id));
		if (finish === undefined) {
			return;
		}

		finish(frame.failure === undefined ? ok(frame.answer) : failed(frame.failure));
	}
}
