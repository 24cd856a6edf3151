/** The connections of callers and the responses that are open on each; closes one if there are too many. */
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {ConnectionBound, type ConnectionUse} from './connection-bound.js';

export type BoundedConnectionsOptions = {
	readonly max: number;
	/** Whether the request of an open response has been read, and may run. */
	readonly isHandled: (res: ServerResponse) => boolean;
	/** Called with a connection that is about to be closed for a new one. */
	readonly onDisplaced: (socket: Socket, use: ConnectionUse) => void;
};

export class BoundedConnections {
	static create(options: BoundedConnectionsOptions): BoundedConnections {
		return new BoundedConnections(options);
	}

	readonly #bound: ConnectionBound<Socket>;
	readonly #open = new Map<Socket, Set<ServerResponse>>();
	readonly #options: BoundedConnectionsOptions;

	private constructor(options: BoundedConnectionsOptions) {
		this.#options = options;
		this.#bound = ConnectionBound.create(options.max, socket => this.#useOf(socket));
	}

	/** Adds a new connection. Closes another one, or this one, if there are too many. */
	add(socket: Socket): void {
		if (socket.destroyed) {
			return;
		}

		const displaced = this.#bound.add(socket);
		socket.once('close', () => {
			this.#bound.remove(socket);
		});
		if (displaced !== undefined) {
			this.#options.onDisplaced(displaced, this.#useOf(displaced));
			this.#bound.remove(displaced);
			displaced.destroy();
		}
	}

	/** Adds the response to a request whose head was read. */
	addResponse(res: ServerResponse): void {
		const {socket} = res.req;
		const open = this.#open.get(socket) ?? new Set();
		open.add(res);
		this.#open.set(socket, open);
		this.#bound.touch(socket);
		res.once('close', () => {
			open.delete(res);
			if (open.size === 0) {
				this.#open.delete(socket);
			}
		});
	}

	#useOf(socket: Socket): ConnectionUse {
		const open = [...this.#open.get(socket) ?? []];
		return open.length === 0 ? 'idle' : (open.some(res => this.#options.isHandled(res)) ? 'handling' : 'reading');
	}
}
