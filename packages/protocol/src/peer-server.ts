/** Accepts and authenticates connections from peers. Owns its listening socket. */
import {once} from 'node:events';
import {createServer, type IncomingMessage, type Server} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {type WebSocket, WebSocketServer} from 'ws';
import {PeerLink, toBytes} from './peer-link.js';
import {MAX_MESSAGE_BYTES} from './messages.js';
import {
	acceptHello, createChallenge, encodeHandshake, Session, type PeerIdentity,
} from './session.js';
import {ConnectionBound} from '#connections';

/** Bytes that a peer may send before it is authenticated; its hello has a few hundred. */
const MAX_HANDSHAKE_BYTES = 16 * 1024;

/** Connections that are not authenticated; the oldest is closed for a new one beyond that. All peers of an entry may connect at the same time. */
const MAX_HANDSHAKES = 512;

/** Parts in which a message may be received: those of 1.4 KB that the largest one has on a usual network, and some more. */
const MAX_MESSAGE_PARTS = 1024;

/** A peer that has not completed authentication within this time is disconnected. */
const HANDSHAKE_TIMEOUT_MS = 5000;

/** Status of the response to a request that is no WebSocket. */
const UPGRADE_REQUIRED_STATUS = 426;

/** Options of a peer server. */
export type PeerServerOptions = {
	/** IP address and port to listen on; port 0 selects a free port. */
	readonly host: string;
	readonly port: number;
	readonly sharedKey: string;
	readonly identity: () => PeerIdentity;
	readonly onLink: (link: PeerLink) => void;
	readonly onRefused: (reason: string) => void;
	readonly signal: AbortSignal;
};

export class PeerServer {
	/**
	 * Starts listening.
	 *
	 * @throws Error if the address is in use or not available.
	 */
	static async create(options: PeerServerOptions): Promise<PeerServer> {
		const httpServer = createServer((_req, res) => {
			res.writeHead(UPGRADE_REQUIRED_STATUS, {Connection: 'close'}).end();
		});
		httpServer.listen(options.port, options.host);
		await once(httpServer, 'listening');
		return new PeerServer(httpServer, options);
	}

	readonly port: number;
	readonly #httpServer: Server;
	readonly #server: WebSocketServer;
	/** Connections that are not authenticated. */
	readonly #handshakes = ConnectionBound.create<Socket>(MAX_HANDSHAKES, () => 'reading');
	readonly #options: PeerServerOptions;

	private constructor(httpServer: Server, options: PeerServerOptions) {
		this.#httpServer = httpServer;
		this.#server = new WebSocketServer({
			server: httpServer, maxPayload: MAX_MESSAGE_BYTES, maxFragments: 1, maxBufferedChunks: MAX_MESSAGE_PARTS, autoPong: false, perMessageDeflate: false,
		});
		this.#options = options;
		this.port = (httpServer.address() as AddressInfo).port;
		httpServer.on('connection', connection => {
			this.#addHandshake(connection);
		});
		this.#server.on('connection', (socket, {socket: connection}: IncomingMessage) => {
			this.#authenticate(socket, connection);
		});
		options.signal.addEventListener('abort', () => {
			this.#close();
		}, {once: true});
	}

	#close(): void {
		this.#httpServer.close();
		this.#server.close();
		for (const socket of this.#server.clients) {
			socket.close();
			setTimeout(() => {
				socket.terminate();
			}, 200).unref();
		}
	}

	/** Closes another connection, or this one, if too many are not authenticated. */
	#addHandshake(connection: Socket): void {
		const displaced = this.#handshakes.add(connection);
		connection.once('close', () => {
			this.#handshakes.remove(connection);
		});
		if (displaced !== undefined) {
			this.#options.onRefused('too many handshakes');
			displaced.destroy();
		}
	}

	#authenticate(socket: WebSocket, connection: Socket): void {
		const challenge = createChallenge();
		const countBytes = () => {
			if (connection.bytesRead > MAX_HANDSHAKE_BYTES) {
				this.#options.onRefused('handshake too large');
				socket.terminate();
			}
		};

		connection.prependListener('data', countBytes);
		const timer = setTimeout(() => {
			this.#options.onRefused('handshake timed out');
			socket.terminate();
		}, HANDSHAKE_TIMEOUT_MS);
		socket.on('error', () => {
			socket.terminate();
		});
		socket.once('close', () => {
			clearTimeout(timer);
		});
		socket.once('message', data => {
			clearTimeout(timer);
			connection.off('data', countBytes);
			this.#handshakes.remove(connection);
			this.#acceptHello(socket, challenge, toBytes(data));
		});
		socket.send(encodeHandshake(challenge));
	}

	#acceptHello(socket: WebSocket, challenge: ReturnType<typeof createChallenge>, data: Uint8Array): void {
		const {sharedKey, identity, onLink, onRefused} = this.#options;
		try {
			const {hello, welcome} = acceptHello(data, challenge, sharedKey, identity());
			const session = Session.create(sharedKey, challenge, hello, 'accepted');
			socket.send(encodeHandshake(welcome));
			onLink(PeerLink.create({
				socket, session, peer: hello.identity, onRefused,
			}));
		} catch (error) {
			onRefused(error instanceof Error ? error.message : 'handshake refused');
			socket.terminate();
		}
	}
}
