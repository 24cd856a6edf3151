/** Accepts and authenticates connections from peers. Owns its listening socket. */
import {once} from 'node:events';
import {type AddressInfo} from 'node:net';
import {type WebSocket, WebSocketServer} from 'ws';
import {PeerLink, toBytes} from './peer-link.js';
import {MAX_MESSAGE_BYTES} from './messages.js';
import {
	acceptHello, createChallenge, encodeHandshake, Session, type PeerIdentity,
} from './session.js';

/** A peer that has not completed authentication within this time is disconnected. */
const HANDSHAKE_TIMEOUT_MS = 5000;

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
		const server = new WebSocketServer({
			host: options.host, port: options.port, maxPayload: MAX_MESSAGE_BYTES, perMessageDeflate: false,
		});
		await once(server, 'listening');
		return new PeerServer(server, options);
	}

	readonly port: number;
	readonly #server: WebSocketServer;
	readonly #options: PeerServerOptions;

	private constructor(server: WebSocketServer, options: PeerServerOptions) {
		this.#server = server;
		this.#options = options;
		this.port = (server.address() as AddressInfo).port;
		server.on('connection', socket => {
			this.#authenticate(socket);
		});
		options.signal.addEventListener('abort', () => {
			this.#close();
		}, {once: true});
	}

	#close(): void {
		this.#server.close();
		for (const socket of this.#server.clients) {
			socket.close();
			setTimeout(() => {
				socket.terminate();
			}, 200).unref();
		}
	}

	#authenticate(socket: WebSocket): void {
		const challenge = createChallenge();
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
