/** Bounds the connections of callers, so that descriptors remain for all others. Decides only; the server closes what is named. */

/** Descriptors that are not for callers: 200 for files, and 400 for listeners and connections to endpoints, the store and peers. */
const RESERVED_DESCRIPTORS = 600;

/** Share of the descriptors that callers have at least, also of few. */
const MIN_CALLERS_SHARE = 0.25;

/** Descriptors of the machine if they are not known: those of the smallest known one. */
export const DEFAULT_OPEN_FILES = 4100;

/** Limits of a machine; undefined where they are not known, and those of the smallest known one apply. */
export type MachineLimits = {readonly memoryBytes: number | undefined; readonly openFiles: number | undefined};

/** Most connections of callers on a machine with this number of descriptors. */
export function maxCallerConnections(openFiles: number = DEFAULT_OPEN_FILES): number {
	return Math.floor(Math.max(openFiles - RESERVED_DESCRIPTORS, openFiles * MIN_CALLERS_SHARE));
}

/** What a connection is used for: no open request, one that is read, or one that may run. */
export type ConnectionUse = 'idle' | 'reading' | 'handling';

export class ConnectionBound<Connection> {
	/** @param useOf - What a connection is used for now. */
	static create<Connection>(max: number, useOf: (connection: Connection) => ConnectionUse): ConnectionBound<Connection> {
		return new ConnectionBound(max, useOf);
	}

	/** Connections in the order of their last use. */
	readonly #connections = new Set<Connection>();
	readonly #max: number;
	readonly #useOf: (connection: Connection) => ConnectionUse;

	private constructor(max: number, useOf: (connection: Connection) => ConnectionUse) {
		this.#max = max;
		this.#useOf = useOf;
	}

	/** Adds a new connection. Returns the connection that must be closed for it, which is the new one if all others are busy. */
	add(connection: Connection): Connection | undefined {
		const toClose = this.#connections.size >= this.#max ? this.#leastUseful() ?? connection : undefined;
		this.#connections.add(connection);
		return toClose;
	}

	/** Notes that a request on the connection began. Its end does not count, so that connections that close after it go first. */
	touch(connection: Connection): void {
		if (this.#connections.delete(connection)) {
			this.#connections.add(connection);
		}
	}

	/** Notes that the connection is closed. */
	remove(connection: Connection): void {
		this.#connections.delete(connection);
	}

	/** The connection that was used least recently among those without a request, or among those whose request is read. */
	#leastUseful(): Connection | undefined {
		let reading: Connection | undefined;
		for (const connection of this.#connections) {
			const use = this.#useOf(connection);
			if (use === 'idle') {
				return connection;
			}

			if (use === 'reading') {
				reading ??= connection;
			}
		}

		return reading;
	}
}
