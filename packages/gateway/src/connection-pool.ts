/** Connections to endpoints: one request at a time on each, kept while they are certainly clean. */
import {connect, type Socket} from 'node:net';
import {splitAddress} from '#core';

/** Result of opening a connection. */
export type AcquiredConnection
	= | {readonly kind: 'connected'; readonly socket: Socket; readonly isReused: boolean}
		| {readonly kind: 'failed'; readonly reason: string};

/** Where to connect. */
export type ConnectionTarget = {
	readonly id: string;
	/** `HOST:PORT`. */
	readonly address: string;
};

/** Longest time to establish a connection, in ms: two round trips across zones and a lost packet's first retransmission. */
const CONNECT_TIMEOUT_MS = 400;

/** Longest time that a connection is kept idle, in ms; endpoints drop idle connections at times of their own, so old ones are not worth the risk. */
const MAX_IDLE_MS = 4000;

/** A connection is given up this long before the endpoint's announced idle timeout, in ms, so that no request crosses its close. */
const IDLE_MARGIN_MS = 700;

type IdleConnection = {readonly socket: Socket; readonly address: string; readonly expiresAt: number; readonly close: () => void};

export class ConnectionPool {
	/** @param now - Steady clock in ms. */
	static create(now: () => number, signal: AbortSignal): ConnectionPool {
		return new ConnectionPool(now, signal);
	}

	readonly #now: () => number;
	readonly #idle = new Map<string, IdleConnection[]>();

	private constructor(now: () => number, signal: AbortSignal) {
		this.#now = now;
		signal.addEventListener('abort', () => {
			for (const id of this.#idle.keys()) {
				this.closeIdle(id);
			}
		}, {once: true});
	}

	/**
	 * Takes a kept connection or makes a new one.
	 *
	 * @param isFresh - Always makes a new one: a kept connection may be closing while the request is on its way.
	 */
	async acquire(target: ConnectionTarget, {isFresh: isNewRequired, timeoutMs}: {readonly isFresh: boolean; readonly timeoutMs: number}): Promise<AcquiredConnection> {
		const kept = isNewRequired ? undefined : this.#takeIdle(target);
		if (kept !== undefined) {
			return {kind: 'connected', socket: kept, isReused: true};
		}

		return openConnection(target.address, Math.max(1, Math.min(timeoutMs, CONNECT_TIMEOUT_MS)));
	}

	/** Keeps a connection whose answer was complete. `keepAliveMs` is the idle timeout that the endpoint announced. */
	release(target: ConnectionTarget, socket: Socket, keepAliveMs: number | undefined): void {
		const idleMs = Math.min(MAX_IDLE_MS, (keepAliveMs ?? MAX_IDLE_MS) - IDLE_MARGIN_MS);
		if (socket.destroyed || !socket.writable || idleMs <= 0 || socket.readableLength > 0) {
			socket.destroy();
			return;
		}

		const list = this.#idle.get(target.id) ?? [];
		const drop = () => {
			socket.destroy();
			const at = list.findIndex(idle => idle.socket === socket);
			if (at !== -1) {
				list.splice(at, 1);
			}
		};

		// Whatever arrives on an idle connection belongs to no request.
		socket.on('data', drop).once('end', drop).once('error', drop);
		socket.setTimeout(idleMs, drop);
		list.push({
			socket, address: target.address, expiresAt: this.#now() + idleMs, close: drop,
		});
		this.#idle.set(target.id, list);
	}

	/** Closes the kept connections of an endpoint. */
	closeIdle(id: string): void {
		const list = this.#idle.get(id) ?? [];
		this.#idle.delete(id);
		for (const idle of list) {
			idle.close();
		}
	}

	#takeIdle(target: ConnectionTarget): Socket | undefined {
		const list = this.#idle.get(target.id);
		for (let idle = list?.pop(); idle !== undefined; idle = list?.pop()) {
			const {socket, close: drop} = idle;
			socket.off('data', drop).off('end', drop).off('error', drop);
			socket.setTimeout(0, drop);
			if (!socket.destroyed && idle.address === target.address && idle.expiresAt > this.#now()) {
				return socket;
			}

			socket.destroy();
		}

		return undefined;
	}
}

async function openConnection(address: string, timeoutMs: number): Promise<AcquiredConnection> {
	const socket = connect({...splitAddress(address), noDelay: true});
	return new Promise(resolve => {
		const finish = (result: AcquiredConnection) => {
			clearTimeout(timer);
			socket.removeAllListeners('error').removeAllListeners('connect');
			if (result.kind === 'failed') {
				socket.on('error', () => {
					// The outcome is already told; the socket is on its way out.
				});
				socket.destroy();
			}

			resolve(result);
		};

		const timer = setTimeout(() => {
			finish({kind: 'failed', reason: 'connect timeout'});
		}, timeoutMs);
		socket.once('connect', () => {
			finish({kind: 'connected', socket, isReused: false});
		});
		socket.once('error', err => {
			finish({kind: 'failed', reason: (err as NodeJS.ErrnoException).code ?? err.message});
		});
	});
}
