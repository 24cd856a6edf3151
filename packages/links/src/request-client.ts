/** Request-response client over a WebSocket that is opened on demand; frames are MessagePack. */
import {pack, unpack} from 'msgpackr';
import {WebSocket} from 'ws';
import {MAX_FRAME_BYTES, MAX_FRAME_PARTS} from './request-server.js';
import {failed, ok, type Result} from '#core';

/** Time limit for establishing a connection, in ms. */
const CONNECT_TIMEOUT_MS = 500;

/** Fragments of an answer. Our servers send one; small ones take far more memory than their bytes. */
const MAX_FRAGMENTS = 16;

/** After this many consecutive unanswered requests the connection is closed; the next request opens a new one. */
const MAX_UNANSWERED = 2;

type Settle = (result: Result<unknown, string>) => void;

export class RequestClient {
	/** @param address - `HOST:PORT`. */
	static create(address: string): RequestClient {
		return new RequestClient(address);
	}

	readonly #pending = new Map<number, Settle>();
	#socket: WebSocket | undefined;
	#nextId = 1;
	#unansweredInRow = 0;
	readonly #address: string;

	private constructor(address: string) {
		this.#address = address;
	}

	/** Sends a request. Fails with the reason if no response arrives in time; the server may have handled the request nevertheless. */
	async request(request: unknown, timeoutMs: number): Promise<Result<unknown, string>> {
		const id = this.#nextId++;
		let socket: WebSocket;
		try {
			socket = this.#connect();
		} catch (error) {
			return failed((error as Error).message);
		}

		return new Promise(resolve => {
			const settle: Settle = result => {
				clearTimeout(timer);
				this.#pending.delete(id);
				resolve(result);
			};

			const timer = setTimeout(() => {
				this.#unansweredInRow += 1;
				if (this.#unansweredInRow >= MAX_UNANSWERED) {
					socket.terminate();
				}

				settle(failed('timeout'));
			}, timeoutMs);
			this.#pending.set(id, settle);
			const frame = pack({id, request});
			if (socket.readyState === WebSocket.OPEN) {
				socket.send(frame);
			} else {
				socket.once('open', () => {
					// A request that has timed out must not be sent late.
					if (this.#pending.has(id)) {
						socket.send(frame);
					}
				});
			}
		});
	}

	/** Closes the connection; pending requests fail. */
	close(): void {
		this.#socket?.terminate();
	}

	#connect(): WebSocket {
		if (this.#socket !== undefined) {
			return this.#socket;
		}

		const socket = new WebSocket(`ws://${this.#address}`, {
			handshakeTimeout: CONNECT_TIMEOUT_MS, perMessageDeflate: false, maxPayload: MAX_FRAME_BYTES, maxFragments: MAX_FRAGMENTS, maxBufferedChunks: MAX_FRAME_PARTS,
		});
		this.#socket = socket;
		this.#unansweredInRow = 0;
		socket.on('message', data => {
			this.#receive(data as Uint8Array);
		});
		socket.on('error', () => {
			// `close` follows and fails the pending requests.
		});
		socket.once('close', () => {
			if (this.#socket === socket) {
				this.#socket = undefined;
			}

			for (const settle of this.#pending.values()) {
				settle(failed('closed'));
			}
		});
		return socket;
	}

	#receive(data: Uint8Array): void {
		this.#unansweredInRow = 0;
		let frame: {id?: number; answer?: unknown; failure?: string} | undefined;
		try {
			frame = unpack(data) as typeof frame;
		} catch {
			// No later frame of this connection can be trusted; the pending requests fail as closed.
			this.#socket?.terminate();
			return;
		}

		if (typeof frame !== 'object' || frame === null) {
			this.#socket?.terminate();
			return;
		}

		const settle = this.#pending.get(Number(frame.id));
		if (settle === undefined) {
			return;
		}

		settle(frame.failure === undefined ? ok(frame.answer) : failed(frame.failure));
	}
}
