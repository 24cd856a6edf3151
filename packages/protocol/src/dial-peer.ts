/** Opens an authenticated connection to a peer. */
import {WebSocket} from 'ws';
import {PeerLink, toBytes} from './peer-link.js';
import {MAX_MESSAGE_BYTES} from './messages.js';
import {
	answerChallenge, verifyWelcome, encodeHandshake, Session, type PeerIdentity,
} from './session.js';
import {InputError, UnavailableError} from '#core';

const DIAL_TIMEOUT_MS = 3000;

/** Options for dialling a peer. */
export type DialOptions = {
	/** IP address and port of the peer, for example `127.0.0.1:7001`. */
	readonly address: string;
	readonly sharedKey: string;
	readonly identity: PeerIdentity;
	readonly onRefused: (reason: string) => void;
	/** Called before any message from the peer is handled, so that the callee can register handlers. */
	readonly onLink: (link: PeerLink) => void;
	/** Aborts the dial; a link that is already open is not affected. */
	readonly signal: AbortSignal;
};

/**
 * Connects to a peer and performs the handshake.
 *
 * @throws UnavailableError if the peer cannot be reached in time.
 * @throws InputError if the peer does not prove that it holds the shared key.
 */
export async function dialPeer(options: DialOptions): Promise<PeerLink> {
	const {address, sharedKey, identity, onRefused} = options;
	const socket = new WebSocket(`ws://${address}`, {maxPayload: MAX_MESSAGE_BYTES, perMessageDeflate: false, handshakeTimeout: DIAL_TIMEOUT_MS});
	return new Promise((resolve, reject) => {
		// A separate timer and listener instead of `AbortSignal.any`, because Node 20 retains the memory of combined signals.
		const cleanUp = () => {
			clearTimeout(timer);
			options.signal.removeEventListener('abort', onTimeout);
		};

		let handshake: ReturnType<typeof answerChallenge> | undefined;
		const fail = (error: Error) => {
			cleanUp();
			socket.terminate();
			reject(error);
		};

		const onTimeout = () => {
			fail(new UnavailableError(`peer ${address} did not finish the handshake in time`));
		};

		const onMessage = (data: Parameters<typeof toBytes>[0]) => {
			try {
				if (handshake === undefined) {
					handshake = answerChallenge(toBytes(data), sharedKey, identity);
					socket.send(encodeHandshake(handshake.hello));
					return;
				}

				const welcome = verifyWelcome(toBytes(data), handshake.challenge, handshake.hello, sharedKey);
				cleanUp();
				socket.off('message', onMessage);
				socket.off('close', onClose);
				const session = Session.create(sharedKey, handshake.challenge, handshake.hello, 'dialled');
				const link = PeerLink.create({
					socket, session, peer: welcome.identity, onRefused,
				});
				options.onLink(link);
				resolve(link);
			} catch (error) {
				const reason = error instanceof Error ? error.message : 'handshake refused';
				onRefused(reason);
				fail(new InputError(reason));
			}
		};

		const onClose = () => {
			fail(new UnavailableError(`peer ${address} closed the connection during the handshake`));
		};

		const timer = setTimeout(onTimeout, DIAL_TIMEOUT_MS);
		options.signal.addEventListener('abort', onTimeout, {once: true});
		socket.on('error', error => {
			fail(new UnavailableError(`peer ${address}: ${error.message}`));
		});
		socket.on('close', onClose);
		socket.on('message', onMessage);
	});
}
