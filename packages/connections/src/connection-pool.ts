/** Connections to endpoints: one request at a time on each, reused only while they are certainly in a clean state. */
import {connect, type Socket} from 'node:net';
import {splitAddress} from '#core';

/** Result of acquiring a connection. */
export type AcquiredConnection
	= | {readonly kind: 'connected'; readonly socket: Socket; readonly isReused: boolean}
		| {readonly kind: 'failed'; readonly reason: string};

/** Where to connect. */
export type ConnectionTarget = {
	readonly id: string;
	/** `HOST:PORT`. */
	readonly address: string;
};

/** Timeout for establishing a connection, in ms: two round trips across zones and the first retransmission of a lost packet. */
const CONNECT_TIMEOUT_MS = 400;

/** Longest time that a connection is kept idle, in ms; endpoints close idle connections after timeouts of their own, so reusing older ones is not worth the risk. */
const MAX_IDLE_MS = 4000;

/** An idle connection is closed this long before the idle timeout that the endpoint announced, in ms, so that no request is sent while the endpoint closes it. */
const IDLE_MARGIN_MS = 700;

type IdleConnection = {readonly socket: Socket; readonly address: string; readonly expiresAt: number; readonly close: () => void};

export class ConnectionPool {
	/**
	 * @param now - Monotonic clock in ms.
	 * @param mayKeep - Whether connections to an endpoint are kept after a response.
	 */
	static create(now: () => number, signal: AbortSignal, mayKeep: (id: string) => boolean = () => true): ConnectionPool {
		return new ConnectionPool(now, signal, mayKeep);
	}

	readonly #now: () => number;
	readonly #mayKeep: (id: string) => boolean;
	readonly #idle = new Map<string, IdleConnection[]>();

	private constructor(now: () => number, signal: AbortSignal, mayKeep: (id: string) => boolean) {
		this.#now = now;
		this.#mayKeep = mayKeep;
		signal.addEventListener('abort', () => {
			for (const id of this.#idle.keys()) {
				this.closeIdle(id);
			}
		}, {once: true});
	}

	/**
	 * Reuses an idle connection or opens a new one.
	 *
	 * @param isNewRequired - Whether to open a new one in any case: an idle connection may be closing while the request is sent.
	 */
	async acquire(target: ConnectionTarget, {isNewRequired, timeoutMs}: {readonly isNewRequired: boolean; readonly timeoutMs: number}): Promise<AcquiredConnection> {
		const idleSocket = isNewRequired ? undefined : this.#takeIdle(target);
		if (idleSocket !== undefined) {
			return {kind: 'connected', socket: idleSocket, isReused: true};
		}

		return openConnection(target.address, Math.max(1, Math.min(timeoutMs, CONNECT_TIMEOUT_MS)));
	}

	/** Returns a connection after a complete response. `keepAliveMs` is the idle timeout that the endpoint announced. */
	release(target: ConnectionTarget, socket: Socket, keepAliveMs: number | undefined): void {
		const idleMs = Math.min(MAX_IDLE_MS, (keepAliveMs ?? MAX_IDLE_MS) - IDLE_MARGIN_MS);
		if (socket.destroyed || !socket.writable || idleMs <= 0 || socket.readableLength > 0 || !this.#mayKeep(target.id)) {
			socket.destroy();
			return;
		}

		const idleConnections = this.#idle.get(target.id) ?? [];
		const close = () => {
			socket.destroy();
			const index = idleConnections.findIndex(idle => idle.socket === socket);
			if (index !== -1) {
				idleConnections.splice(index, 1);
			}
		};

		// Data on an idle connection belongs to no request.
		socket.on('data', close).once('end', close).once('error', close);
		socket.setTimeout(idleMs, close);
		idleConnections.push({
			socket, address: target.address, expiresAt: this.#now() + idleMs, close,
		});
		this.#idle.set(target.id, idleConnections);
	}

	/** Closes the idle connections of an endpoint. */
	closeIdle(id: string): void {
		const idleConnections = this.#idle.get(id) ?? [];
		this.#idle.delete(id);
		for (const idle of idleConnections.splice(0)) {
			idle.close();
		}
	}

	#takeIdle(target: ConnectionTarget): Socket | undefined {
		const idleConnections = this.#idle.get(target.id);
		for (let idle = idleConnections?.pop(); idle !== undefined; idle = idleConnections?.pop()) {
			const {socket, close} = idle;
			socket.off('data', close).off('end', close).off('error', close);
			socket.setTimeout(0, close);
			if (!socket.destroyed && idle.address === target.address && idle.expiresAt > this.#now()) {
				return socket;
			}

			socket.destroy();
		}

		return undefined;
	}
}

async function openConnection(address: string, timeoutMs: number): Promise<AcquiredConnection> {
	let socket: Socket;
	try {
		socket = connect({...splitAddress(address), noDelay: true});
	} catch (error) {
		// Another entry may pass on an address that it did not check.
		return {kind: 'failed', reason: (error as NodeJS.ErrnoException).code ?? 'invalid address'};
	}

	return new Promise(resolve => {
		const finish = (result: AcquiredConnection) => {
			clearTimeout(timeoutTimer);
			clearImmediate(timeoutImmediate);
			socket.removeAllListeners('error').removeAllListeners('connect');
			if (result.kind === 'failed') {
				socket.on('error', () => {
					// The failure has already been reported; the socket is being destroyed.
				});
				socket.destroy();
			}

			resolve(result);
		};

		let timeoutImmediate: NodeJS.Immediate | undefined;
		const timeoutTimer = setTimeout(() => {
			// After a delay of the event loop, the connection may be established, but not polled yet.
			timeoutImmediate = setImmediate(() => {
				finish({kind: 'failed', reason: 'connect timeout'});
			});
		}, timeoutMs);
		socket.once('connect', () => {
			finish({kind: 'connected', socket, isReused: false});
		});
		socket.once('error', err => {
			finish({kind: 'failed', reason: (err as NodeJS.ErrnoException).code ?? err.message});
		});
	});
}
