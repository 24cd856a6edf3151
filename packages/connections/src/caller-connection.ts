/** The connection of one caller: its open responses in the order of their requests, and when it closes. */
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** Time for which a connection is kept after its last response, in ms, unless the caller closes it: what was written has mostly arrived then. */
const LINGER_MS = 2000;

/** Bytes that are read and dropped meanwhile. In chunks of one byte they take about 50 ms; a caller that reads while it sends needs none. */
const MAX_DRAIN_BYTES = 256 * 1024;

/** Connections that are kept after their last response while their callers may send on, at most. */
const MAX_UNDRAINED = 16;

/** Interval at which they are counted, in ms. */
const DRAIN_CHECK_MS = 20;

/** Whether a connection closes after a response: if no later request was taken, or in any case, for a reason. */
export type CloseWish
	= | {readonly kind: 'keep' | 'close'}
		| {readonly kind: 'must-close'; readonly reason: string};

export type CallerConnectionOptions = {
	/** Called when the connection is closed with bytes that could not be written. */
	readonly onUnsent: (bytes: number) => void;
	/** Connections of the server whose callers may send on after their last response. */
	readonly undrained: UndrainedConnections;
};

/** Connections whose callers may send on after their last response; the kernel may hold some hundred KiB of each. */
export class UndrainedConnections {
	static create(): UndrainedConnections {
		return new UndrainedConnections();
	}

	/** The oldest first. */
	readonly #sockets = new Set<Socket>();

	/** Adds a connection; closes the oldest one if there are too many. */
	add(socket: Socket): void {
		if (socket.destroyed || this.#sockets.has(socket)) {
			return;
		}

		this.#sockets.add(socket);
		socket.once('close', () => {
			this.#sockets.delete(socket);
		});
		const [oldest] = this.#sockets;
		if (oldest !== undefined && this.#sockets.size > MAX_UNDRAINED) {
			// Its 'close' follows only in a later turn.
			this.#sockets.delete(oldest);
			oldest.destroy();
		}
	}
}

export class CallerConnection {
	static create(socket: Socket, options: CallerConnectionOptions): CallerConnection {
		return new CallerConnection(socket, options);
	}

	#open: ServerResponse[] = [];
	/** Open responses whose head was sent or is about to be. */
	readonly #begun = new WeakSet<ServerResponse>();
	/** The response that closes the connection, whatever was taken after it. */
	#last: ServerResponse | undefined;
	/** Wake requests that wait for their turn. */
	#wakers: Array<() => void> = [];
	/** Whether no more requests are taken, since it closes after those that are open. */
	#isClosing = false;
	#isLingering = false;
	/** Whether a request was not read to its end, or the caller sends on after the last one. */
	#isUndrained = false;
	#closeReason: string | undefined;
	readonly #options: CallerConnectionOptions;
	readonly #socket: Socket;

	private constructor(socket: Socket, options: CallerConnectionOptions) {
		this.#socket = socket;
		this.#options = options;
		// Node calls it after the last response.
		socket.destroySoon = () => {
			this.#linger();
		};

		socket.once('close', () => {
			// Node closes only the response that is being written, not those that wait for it.
			for (const res of this.#open.filter(res => res.socket === null)) {
				res.emit('close');
			}

			this.#wake();
		});
	}

	/** Whether the last response is written, and what the caller sends is dropped until it closes. */
	get isLingering(): boolean {
		return this.#isLingering && !this.#socket.destroyed;
	}

	/** Why this entry closes the connection; undefined if it does not, or Node does. */
	get closeReason(): string | undefined {
		return this.#closeReason;
	}

	/** Notes why the connection closes before the responses that are open; the first reason counts. */
	noteClose(reason: string): void {
		this.#closeReason ??= reason;
	}

	/** Takes a request. Returns false if the connection closes before its response. */
	take(res: ServerResponse): boolean {
		if (this.#isClosing) {
			this.#isUndrained = true;
			this.#countUndrained();
			return false;
		}

		this.#open.push(res);
		res.once('close', () => {
			this.#isUndrained ||= !res.req.complete;
			// Node ends the connection before the response is closed.
			this.#countUndrained();
			this.#open = this.#open.filter(other => other !== res);
			this.#wake();
			this.#closeIfDone();
		});
		return true;
	}

	/**
	 * Waits until the responses to all earlier requests have begun: a response without a length can't be followed by another. Returns
	 * whether a response to this request can still be sent.
	 */
	async awaitTurn(res: ServerResponse): Promise<boolean> {
		while (this.#isAnswerable(res) && this.#open.slice(0, this.#open.indexOf(res)).some(earlier => !this.#begun.has(earlier))) {
			await new Promise<void>(resolve => {
				this.#wakers.push(resolve);
			});
		}

		return this.#isAnswerable(res);
	}

	/**
	 * Decides whether the connection closes after a response whose head is about to be sent; requests that were taken after it are
	 * answered first unless it must.
	 */
	closesAfter(res: ServerResponse, wish: CloseWish): boolean {
		const isLast = this.#open.at(-1) === res;
		switch (wish.kind) {
			case 'keep': {
				break;
			}

			case 'close': {
				this.#isClosing ||= isLast;
				break;
			}

			case 'must-close': {
				this.#isClosing = true;
				this.#last = res;
				if (!isLast) {
					this.noteClose(wish.reason);
				}
			}
		}

		this.#begun.add(res);
		this.#wake();
		return this.#last === res || (this.#isClosing && isLast);
	}

	/** Takes no more requests after bytes that are none, and closes after the responses in progress. Returns false if there are none. */
	closeAfterOpen(): boolean {
		// Only the last request can be the one whose bytes are spoilt.
		this.#open = this.#open.filter(({req}) => req.complete);
		if (this.#open.length === 0) {
			return false;
		}

		this.#isClosing = true;
		return true;
	}

	/** Resets the connection, so that what was sent does not look complete. */
	reset(): void {
		// Node's own reset begins with it, and must not send an end first.
		this.#socket.destroySoon = () => {
			this.#socket.destroy();
		};

		this.#socket.resetAndDestroy();
	}

	/** Sends a last response that belongs to no request. */
	endWith(response: string): void {
		this.#socket.write(response);
		this.#linger();
	}

	#isAnswerable(res: ServerResponse): boolean {
		return !this.#socket.destroyed && this.#open.includes(res) && (this.#last === undefined || this.#last === res);
	}

	#wake(): void {
		const wakers = this.#wakers;
		this.#wakers = [];
		for (const wake of wakers) {
			wake();
		}
	}

	/** A response whose head was sent before it was known that the connection closes does not close it. */
	#closeIfDone(): void {
		if (this.#isClosing && this.#open.length === 0) {
			this.#linger();
		}
	}

	#countUndrained(): void {
		if (this.#isLingering && this.#isUndrained) {
			this.#options.undrained.add(this.#socket);
		}
	}

	/** Reads on for a while: if a connection is closed with unread bytes, or is sent more, the kernel drops what the caller has not received. */
	#linger(): void {
		if (this.#isLingering) {
			return;
		}

		this.#isLingering = true;
		this.#isClosing = true;
		this.#socket.end();
		this.#socket.resume();
		this.#countUndrained();
		const bytesBefore = this.#socket.bytesRead;
		const drainTimer = setInterval(() => {
			const drainedBytes = this.#socket.bytesRead - bytesBefore;
			if (drainedBytes > 0) {
				this.#isUndrained = true;
				this.#countUndrained();
			}

			if (drainedBytes > MAX_DRAIN_BYTES) {
				clearInterval(drainTimer);
				this.#socket.pause();
			}
		}, DRAIN_CHECK_MS);
		const timer = setTimeout(() => {
			// A socket that was closed before does not emit 'close' again.
			clearInterval(drainTimer);
			const unsentBytes = this.#socket.writableLength;
			if (unsentBytes > 0) {
				this.#options.onUnsent(unsentBytes);
			}

			this.noteClose('closing connection');
			this.#socket.destroy();
		}, LINGER_MS);
		this.#socket.once('close', () => {
			clearTimeout(timer);
			clearInterval(drainTimer);
		});
	}
}
