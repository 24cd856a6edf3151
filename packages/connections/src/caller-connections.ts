/** The connections of the callers of one server. */
import type {Socket} from 'node:net';
import {CallerConnection, UndrainedConnections} from './caller-connection.js';

export type CallerConnectionsOptions = {
	/** Called when a connection is closed with bytes that could not be written. */
	readonly onUnsent: (bytes: number) => void;
};

export class CallerConnections {
	static create(options: CallerConnectionsOptions): CallerConnections {
		return new CallerConnections(options);
	}

	/** Also holds connections that have closed, whose requests may still be asked for, as long as these are. */
	readonly #known = new WeakMap<Socket, CallerConnection>();
	readonly #open = new Set<CallerConnection>();
	readonly #undrained = UndrainedConnections.create();
	readonly #options: CallerConnectionsOptions;

	private constructor(options: CallerConnectionsOptions) {
		this.#options = options;
	}

	/** Number of connections whose last response may not have arrived yet. */
	get lingering(): number {
		return [...this.#open].filter(({isLingering}) => isLingering).length;
	}

	of(socket: Socket): CallerConnection {
		const known = this.#known.get(socket);
		if (known !== undefined) {
			return known;
		}

		const connection = CallerConnection.create(socket, {undrained: this.#undrained, onUnsent: this.#options.onUnsent});
		this.#known.set(socket, connection);
		if (!socket.destroyed) {
			this.#open.add(connection);
			socket.once('close', () => {
				this.#open.delete(connection);
			});
		}

		return connection;
	}
}
