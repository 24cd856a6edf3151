/**
 * Bounds what the connections to a server of messages hold: messages that are received or handled, and the connections themselves.
 * Whoever connects may stop in the middle of a message.
 */
import type {Socket} from 'node:net';
import {
	CallerBudget, callerBudgetBytes, FREE_BYTES_PER_REQUEST, type CallerShare,
} from './caller-budget.js';
import {SWEEP_INTERVAL_MS} from './chunk-pacer.js';
import {ConnectionBound, type ConnectionUse} from './connection-bound.js';
import {ReadPacer} from './read-pacer.js';
import {guardCallback, type ErrorListener} from '#core';

/** Memory that a chunk takes beside its bytes, in bytes; a message may arrive in many small ones. */
const CHUNK_OVERHEAD_BYTES = 512;

/** Longest time without a byte of a message that has begun, in ms; more than a pause of another machine. */
const STALL_MS = 15_000;

export type MessageBoundOptions = {
	/** Memory of the machine, in bytes; undefined if it is not known. */
	readonly memoryBytes: number | undefined;
	readonly maxConnections: number;
	/** Monotonic clock in ms. */
	readonly now: () => number;
	readonly onError: ErrorListener;
};

/** Stops and resumes the reading of messages. */
export type MessageSource = {
	readonly pause: () => void;
	readonly resume: () => void;
};

/** Counts the messages of one connection. */
export type MessageCounter = {
	/** Notes that a message is complete. Returns a function that gives back what it holds, called when it was handled. */
	readonly completeMessage: () => () => void;
};

export class MessageBound {
	/** @param signal - Ends the checks for connections that have stopped. */
	static create(options: MessageBoundOptions, signal: AbortSignal): MessageBound {
		return new MessageBound(options, signal);
	}

	readonly #budget: CallerBudget;
	readonly #connections: ConnectionBound<Socket>;
	readonly #pacer = ReadPacer.create();
	/** Connections whose current message is incomplete. */
	readonly #reading = new Set<Socket>();
	/** Number of messages that are handled, by connection. */
	readonly #handled = new Map<Socket, number>();
	readonly #now: () => number;

	private constructor({memoryBytes, maxConnections, now, onError}: MessageBoundOptions, signal: AbortSignal) {
		this.#budget = CallerBudget.create(callerBudgetBytes(memoryBytes));
		this.#connections = ConnectionBound.create(maxConnections, socket => this.#useOf(socket));
		this.#now = now;
		const timer = setInterval(guardCallback(() => {
			// Messages have no chunks of their own.
			this.#budget.sweep({stallMs: STALL_MS, framingBytes: Infinity}, now());
		}, onError), SWEEP_INTERVAL_MS);
		signal.addEventListener('abort', () => {
			clearInterval(timer);
		}, {once: true});
	}

	/** Counts a connection, and closes the least useful one if there are too many. */
	addConnection(socket: Socket): void {
		const displaced = this.#connections.add(socket);
		socket.once('close', () => {
			this.#connections.remove(socket);
			this.#reading.delete(socket);
			this.#handled.delete(socket);
		});
		displaced?.destroy();
	}

	/** Counts and paces the bytes of messages on a connection, which is closed if they are too many. */
	countMessages(socket: Socket, source: MessageSource): MessageCounter {
		let share: CallerShare | undefined;
		let bytes = 0;
		// Before the listener that completes a message with this chunk.
		socket.prependListener('data', (chunk: Uint8Array) => {
			bytes += chunk.length + CHUNK_OVERHEAD_BYTES;
			share ??= this.#openShare(socket, () => bytes);
			if (share.resize(bytes, this.#now()) && bytes > FREE_BYTES_PER_REQUEST) {
				this.#pace(socket, source, {chunkBytes: chunk.length, messageBytes: bytes});
			}
		});
		socket.once('close', () => {
			this.#pacer.remove(socket);
			share?.release();
		});
		return {
			completeMessage: () => {
				const completed = share;
				share = undefined;
				bytes = 0;
				completed?.settle();
				this.#connections.touch(socket);
				this.#reading.delete(socket);
				this.#addHandled(socket, 1);
				return () => {
					completed?.release();
					this.#addHandled(socket, -1);
				};
			},
		};
	}

	#openShare(socket: Socket, bytes: () => number): CallerShare {
		this.#reading.add(socket);
		return this.#budget.open({
			headBytes: 0,
			bodyBytes: bytes,
			receivedBytes: bytes,
			onRefused() {
				socket.destroy();
			},
			// Reading is paused only for chunks, which are not counted.
			onResumed: () => undefined,
		}, this.#now());
	}

	#pace(socket: Socket, source: MessageSource, {chunkBytes, messageBytes}: {readonly chunkBytes: number; readonly messageBytes: number}): void {
		if (this.#pacer.take(socket, chunkBytes, source.resume)) {
			return;
		}

		if (this.#pacer.isFullFor(messageBytes)) {
			this.#pacer.remove(socket);
			socket.destroy();
		} else {
			source.pause();
		}
	}

	#useOf(socket: Socket): ConnectionUse {
		return this.#handled.has(socket) ? 'handling' : (this.#reading.has(socket) ? 'reading' : 'idle');
	}

	#addHandled(socket: Socket, change: 1 | -1): void {
		const messages = (this.#handled.get(socket) ?? 0) + change;
		if (messages > 0 && !socket.destroyed) {
			this.#handled.set(socket, messages);
		} else {
			this.#handled.delete(socket);
		}
	}
}
