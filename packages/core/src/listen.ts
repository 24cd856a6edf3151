/** Listening on an address that the previous process of the same machine may still be giving up. */
import {once} from 'node:events';
import type {Server} from 'node:net';
import type {Address} from './address.js';
import {sleep} from './sleep.js';

/** Interval between two attempts, in ms. */
const RETRY_INTERVAL_MS = 100;

/** Time after which a taken address is an error, in ms: the previous process ends within its grace period. */
const LISTEN_TIMEOUT_MS = 10_000;

export type ListenOptions = {
	/** Ends the waiting; a server that listens is not closed by it. */
	readonly signal: AbortSignal | undefined;
	/** Connections that wait to be accepted. */
	readonly backlog?: number;
};

/** Listens, and waits while the address is in use. Rejects if it is not free in time or the signal aborts, or for any other error. */
export async function listenWhenFree(server: Server, {host, port}: Address, {signal, backlog}: ListenOptions): Promise<void> {
	const deadline = performance.now() + LISTEN_TIMEOUT_MS;
	for (;;) {
		signal?.throwIfAborted();
		server.listen({host, port, backlog});
		try {
			await once(server, 'listening');
			return;
		} catch (error) {
			if ((error as NodeJS.ErrnoException).code !== 'EADDRINUSE' || performance.now() > deadline) {
				throw error;
			}

			await sleep(RETRY_INTERVAL_MS, signal);
		}
	}
}
