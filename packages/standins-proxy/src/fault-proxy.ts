/** TCP proxy that injects faults, controlled by method calls or over HTTP. */
import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {fastify, type FastifyInstance} from 'fastify';
import {
	NO_FAULTS, parseProxyFaults, type Direction, type ProxyFaults,
} from './proxy-faults.js';
import {Pipe} from './pipe.js';
import {InputError, splitAddress, type Address} from '#core';

/** Options of a proxy. */
export type FaultProxyOptions = {
	/** Port to listen on; 0, the default, selects a free port. */
	readonly listen?: number;
	/** Address to listen on; default `127.0.0.1`. */
	readonly host?: string;
	/** `host:port` to connect to. */
	readonly target: string;
	/** Port of the HTTP control server, which is started only if a port is given; 0 selects a free port. */
	readonly control?: number;
};

/** Connections and forwarded bytes; all are totals except `open`. */
export type ProxyCounts = {
	readonly connections: number;
	readonly open: number;
	readonly refused: number;
	readonly resets: number;
	readonly bytesUp: number;
	readonly bytesDown: number;
};

type ProxiedConnection = {readonly client: Socket; readonly upstream: Socket; readonly pipes: Pipe[]};

export class FaultProxy {
	/**
	 * Starts a proxy and, if it has a port, the control server.
	 *
	 * @throws InputError if `target` is not `host:port`.
	 */
	static async create(options: FaultProxyOptions): Promise<FaultProxy> {
		const proxy = new FaultProxy(options.target);
		proxy.#server.listen(options.listen ?? 0, options.host ?? '127.0.0.1');
		await once(proxy.#server, 'listening');
		if (options.control !== undefined) {
			await proxy.#control.listen({host: options.host ?? '127.0.0.1', port: options.control});
		}

		return proxy;
	}

	#faults = NO_FAULTS;
	#target: Address;
	readonly #server: Server;
	readonly #control: FastifyInstance = fastify({forceCloseConnections: true});
	readonly #connections = new Set<ProxiedConnection>();
	readonly #counts = {
		connections: 0, refused: 0, resets: 0, bytesUp: 0, bytesDown: 0,
	};

	private constructor(target: string) {
		this.#target = parseTarget(target);
		this.#server = createServer({allowHalfOpen: true}, client => {
			this.#accept(client);
		});
		this.#addControlRoutes();
	}

	get port(): number {
		return (this.#server.address() as AddressInfo).port;
	}

	/** `host:port` that clients connect to. */
	get address(): string {
		return `${(this.#server.address() as AddressInfo).address}:${this.port}`;
	}

	/** Port of the control server; 0 without one. */
	get controlPort(): number {
		return (this.#control.server.address() as AddressInfo | undefined)?.port ?? 0;
	}

	get faults(): ProxyFaults {
		return this.#faults;
	}

	counts(): ProxyCounts {
		return {...this.#counts, open: this.#connections.size};
	}

	/** Directs new connections to another `host:port`. */
	retarget(target: string): void {
		this.#target = parseTarget(target);
	}

	/** Changes some faults; the others keep their values. */
	inject(change: Partial<ProxyFaults>): void {
		this.#faults = {...this.#faults, ...change};
		if (change.cut === 'both') {
			this.#resetConnections(() => true);
			this.#faults = {...this.#faults, cut: 'none'};
		}

		if (this.#faults.cut === 'none') {
			this.#resetConnections(connection => connection.pipes.some(pipe => pipe.lostBytes));
		}

		for (const connection of this.#connections) {
			for (const pipe of connection.pipes) {
				pipe.pump();
			}
		}
	}

	/** Resets all connections, or discards the bytes of one direction until `restore`. */
	cut(direction: Direction | 'both' = 'both'): void {
		this.inject({cut: direction});
	}

	/** Adds a delay in milliseconds in each direction. */
	delay(delayMs: number): void {
		this.inject({delayMs});
	}

	/** Limits the rate of each connection and direction; 0 removes the limit. */
	limitRate(bytesPerSecond: number): void {
		this.inject({bytesPerSecond});
	}

	/** Stops forwarding until `unfreeze`; received data is buffered. */
	freeze(): void {
		this.inject({frozen: true});
	}

	unfreeze(): void {
		this.inject({frozen: false});
	}

	/** Forwards `bytes` more bytes over all connections, then closes the connection of the next byte. */
	dropAfter(bytes: number): void {
		this.inject({dropAfterBytes: bytes});
	}

	/** Resets new connections, or with false accepts them again. */
	refuse(refuse = true): void {
		this.inject({refuse});
	}

	/** Clears all faults. */
	restore(): void {
		this.inject(NO_FAULTS);
	}

	/** Resets all connections and stops the proxy. */
	async close(): Promise<void> {
		this.#resetConnections(() => true);
		this.#server.close();
		await Promise.all([once(this.#server, 'close'), this.#control.close()]);
	}

	#accept(client: Socket): void {
		if (this.#faults.refuse) {
			this.#counts.refused++;
			client.resetAndDestroy();
			return;
		}

		this.#counts.connections++;
		const upstream = connect({...this.#target, allowHalfOpen: true, noDelay: true});
		client.setNoDelay(true);
		const connection: ProxiedConnection = {client, upstream, pipes: []};
		this.#connections.add(connection);
		connection.pipes.push(this.#pipe(connection, 'up'), this.#pipe(connection, 'down'));
		for (const socket of [client, upstream]) {
			socket.on('error', () => {
				this.#resetConnection(connection);
			});
			socket.on('close', () => {
				if (client.destroyed && upstream.destroyed) {
					this.#connections.delete(connection);
				}
			});
		}
	}

	#pipe(connection: ProxiedConnection, direction: Direction): Pipe {
		const [source, target] = direction === 'up' ? [connection.client, connection.upstream] : [connection.upstream, connection.client];
		return Pipe.create({
			source,
			target,
			direction,
			faults: () => this.#faults,
			admitBytes: count => this.#admitBytes(direction, count),
			onDrop: () => {
				this.#closeConnection(connection);
			},
		});
	}

	#admitBytes(direction: Direction, count: number): number {
		const {dropAfterBytes} = this.#faults;
		const allowed = Math.min(count, dropAfterBytes ?? count);
		if (dropAfterBytes !== null) {
			this.#faults = {...this.#faults, dropAfterBytes: allowed < count ? null : dropAfterBytes - count};
		}

		this.#counts[direction === 'up' ? 'bytesUp' : 'bytesDown'] += allowed;
		return allowed;
	}

	/** Closes a connection without a reset, so that bytes written before are still delivered. */
	#closeConnection(connection: ProxiedConnection): void {
		if (this.#connections.delete(connection)) {
			this.#counts.resets++;
			connection.client.destroy();
			connection.upstream.destroy();
		}
	}

	#resetConnection(connection: ProxiedConnection): void {
		if (this.#connections.delete(connection)) {
			this.#counts.resets++;
			resetSocket(connection.client);
			resetSocket(connection.upstream);
		}
	}

	#resetConnections(shouldReset: (connection: ProxiedConnection) => boolean): void {
		for (const connection of [...this.#connections].filter(candidate => shouldReset(candidate))) {
			this.#resetConnection(connection);
		}
	}

	#addControlRoutes(): void {
		this.#control.setErrorHandler((error, _req, reply) => {
			void reply.code(error instanceof InputError ? 400 : 500).send({error: error instanceof Error ? error.message : String(error)});
		});
		this.#control.get('/counts', async () => this.counts());
		this.#control.get('/faults', async () => this.faults);
		this.#control.post('/faults', async req => {
			this.inject(parseProxyFaults(req.body));
			return this.faults;
		});
		this.#control.post('/restore', async () => {
			this.restore();
			return this.faults;
		});
	}
}

/** Resets a socket. One whose end was already sent can only be destroyed, because a reset would leave its handle open. */
function resetSocket(socket: Socket): void {
	if (socket.writableEnded) {
		socket.destroy();
	} else {
		socket.resetAndDestroy();
	}
}

function parseTarget(target: string): Address {
	const {host, port} = splitAddress(target);
	if (host === '' || !Number.isInteger(port) || port < 1 || port > 65_535) {
		throw new InputError(`proxy target: read ${JSON.stringify(target)}, allowed: HOST:PORT`);
	}

	return {host, port};
}
