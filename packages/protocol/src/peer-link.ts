/**
 * An authenticated connection to a peer. The link owns its socket; messages that are sent
 * in the same event loop iteration are batched into one WebSocket message.
 */
import {Buffer} from 'node:buffer';
import {type WebSocket, type RawData} from 'ws';
import {
	MAX_MESSAGE_BYTES, type Message, type MessageKind, type MessageOf,
} from './messages.js';
import {type PeerIdentity, type Session} from './session.js';
import {type Teardown} from '#core';

/** A batch is flushed when its estimated size reaches this many bytes. */
const FLUSH_THRESHOLD_BYTES = MAX_MESSAGE_BYTES / 4;

/** Size estimate for messages without a variable-size payload. */
const FIXED_SIZE_ESTIMATE_BYTES = 128;

/** Handles messages of one kind. */
export type MessageHandler<Kind extends MessageKind> = (message: MessageOf<Kind>) => void;

/** Traffic counters of a link since it opened. */
export type LinkCounts = {
	readonly bytesSent: number;
	readonly bytesReceived: number;
	readonly messagesSent: number;
	readonly messagesReceived: number;
};

function estimateBytes(message: Message): number {
	if (message.kind === 'work') {
		return message.body.length;
	}

	if (message.kind === 'chunk') {
		return message.data.length;
	}

	if (message.kind === 'text') {
		return message.lines.reduce((sum, line) => sum + line.length, 0);
	}

	return FIXED_SIZE_ESTIMATE_BYTES;
}

/** Converts the data of a WebSocket message to one byte array. */
export function toBytes(data: RawData): Uint8Array {
	if (Array.isArray(data)) {
		return Buffer.concat(data);
	}

	return data instanceof ArrayBuffer ? new Uint8Array(data) : data;
}

export class PeerLink {
	/** Wraps an authenticated socket. `onRefused` is called with the reason when a message is rejected, before the link closes. */
	static create(options: {
		readonly socket: WebSocket;
		readonly session: Session;
		readonly peer: PeerIdentity;
		readonly onRefused: (reason: string) => void;
	}): PeerLink {
		return new PeerLink(options.socket, options.session, options.peer, options.onRefused);
	}

	readonly peer: PeerIdentity;
	readonly #socket: WebSocket;
	readonly #session: Session;
	readonly #onRefused: (reason: string) => void;
	readonly #closed = new AbortController();
	readonly #handlers = new Map<MessageKind, Set<(message: Message) => void>>();
	#sendQueue: Message[] = [];
	#sendQueueBytes = 0;
	#isFlushScheduled = false;
	#lastReceivedAt = Date.now();
	#counts: LinkCounts = {
		bytesSent: 0, bytesReceived: 0, messagesSent: 0, messagesReceived: 0,
	};

	private constructor(socket: WebSocket, session: Session, peer: PeerIdentity, onRefused: (reason: string) => void) {
		this.#socket = socket;
		this.#session = session;
		this.peer = peer;
		this.#onRefused = onRefused;
		socket.on('message', data => {
			this.#receive(toBytes(data));
		});
		socket.on('close', () => {
			this.#closed.abort();
		});
		socket.on('error', () => {
			socket.terminate();
		});
	}

	/** Aborted once the link is closed. */
	get closed(): AbortSignal {
		return this.#closed.signal;
	}

	/** Time of the last received message, in milliseconds since the epoch. */
	get lastReceivedAt(): number {
		return this.#lastReceivedAt;
	}

	get counts(): LinkCounts {
		return this.#counts;
	}

	/** Bytes that are queued or buffered in the socket and not sent yet. */
	get bufferedBytes(): number {
		return this.#socket.bufferedAmount + this.#sendQueueBytes;
	}

	/** Registers a handler for messages of one kind. */
	registerMessageHandler<Kind extends MessageKind>(kind: Kind, handler: MessageHandler<Kind>): Teardown {
		const handlers = this.#handlers.get(kind) ?? new Set();
		this.#handlers.set(kind, handlers);
		const untypedHandler = handler as (message: Message) => void;
		handlers.add(untypedHandler);
		return () => {
			handlers.delete(untypedHandler);
		};
	}

	/**
	 * Queues a message for sending.
	 *
	 * @returns False if the link is closed, in which case the message was definitely not sent.
	 */
	send(message: Message): boolean {
		if (this.#closed.signal.aborted || this.#socket.readyState !== this.#socket.OPEN) {
			return false;
		}

		this.#sendQueue.push(message);
		this.#sendQueueBytes += estimateBytes(message);
		if (this.#sendQueueBytes >= FLUSH_THRESHOLD_BYTES) {
			this.#flush();
		} else if (!this.#isFlushScheduled) {
			this.#isFlushScheduled = true;
			setImmediate(() => {
				this.#flush();
			});
		}

		return true;
	}

	/** Sends all queued messages and a `bye` message, then closes the connection. */
	close(reason: string): void {
		this.send({kind: 'bye', reason});
		this.#flush();
		this.#socket.close();
	}

	/** Closes the connection immediately, without sending queued messages. */
	terminate(): void {
		this.#socket.terminate();
	}

	#flush(): void {
		this.#isFlushScheduled = false;
		if (this.#sendQueue.length === 0 || this.#socket.readyState !== this.#socket.OPEN) {
			return;
		}

		const messages = this.#sendQueue;
		this.#sendQueue = [];
		this.#sendQueueBytes = 0;
		const data = this.#session.encode(messages);
		this.#counts = {
			...this.#counts,
			bytesSent: this.#counts.bytesSent + data.length,
			messagesSent: this.#counts.messagesSent + messages.length,
		};
		this.#socket.send(data);
	}

	#receive(data: Uint8Array): void {
		let messages: readonly Message[];
		try {
			messages = this.#session.decode(data);
		} catch (error) {
			const reason = error instanceof Error ? error.message : 'unreadable message';
			this.#onRefused(reason);
			this.close(reason.slice(0, 200));
			this.#closed.abort();
			this.#socket.terminate();
			return;
		}

		this.#lastReceivedAt = Date.now();
		this.#counts = {
			...this.#counts,
			bytesReceived: this.#counts.bytesReceived + data.length,
			messagesReceived: this.#counts.messagesReceived + messages.length,
		};
		for (const message of messages) {
			for (const handler of this.#handlers.get(message.kind) ?? []) {
				handler(message);
			}
		}
	}
}
