/**
 * The links of one process by peer id. A link that is asked for and not there is dialled;
 * several callers that ask at the same time share one dial.
 */
import {dialPeer} from './dial-peer.js';
import {type MessageOf} from './messages.js';
import {type PeerLink} from './peer-link.js';
import {type PeerIdentity} from './session.js';
import {UnavailableError, type Teardown} from '#core';

/** After a failed dial the same peer is not dialled again for this time. */
const REDIAL_PAUSE_MS = 500;

/** An answer to `ask` that does not come within this time counts as not received. */
const ASK_LIMIT_MS = 2000;

/** Answers one question. Undefined means that this process cannot answer. */
export type AskHandler = (payload: unknown, peer: PeerIdentity) => Promise<unknown>;

export type LinkPoolOptions = {
	readonly sharedKey: string;
	readonly identity: () => PeerIdentity;
	readonly onRefused: (reason: string) => void;
	readonly signal: AbortSignal;
};

type Pending = {
	readonly resolve: (payload: unknown) => void;
	readonly reject: (error: Error) => void;
};

export class LinkPool {
	static create(options: LinkPoolOptions): LinkPool {
		return new LinkPool(options);
	}

	readonly #options: LinkPoolOptions;
	readonly #links = new Map<string, PeerLink>();
	readonly #dials = new Map<string, Promise<PeerLink>>();
	readonly #pausedUntil = new Map<string, number>();
	readonly #linkListeners = new Set<(link: PeerLink) => void>();
	readonly #closeListeners = new Set<(link: PeerLink) => void>();
	readonly #topics = new Map<string, AskHandler>();
	readonly #pending = new Map<number, Pending>();
	#askId = 0;

	private constructor(options: LinkPoolOptions) {
		this.#options = options;
		options.signal.addEventListener('abort', () => {
			for (const link of this.#links.values()) {
				link.close('process stops');
			}
		}, {once: true});
	}

	/** All open links. */
	get links(): readonly PeerLink[] {
		return [...this.#links.values()];
	}

	/** The open link to a peer, if any. */
	openLink(id: string): PeerLink | undefined {
		return this.#links.get(id);
	}

	/** Registers a listener for each link, open ones included; for a new link it runs before the peer's first message is handled. */
	registerLinkListener(listener: (link: PeerLink) => void): Teardown {
		this.#linkListeners.add(listener);
		for (const link of this.links) {
			listener(link);
		}

		return () => {
			this.#linkListeners.delete(listener);
		};
	}

	/** Registers a listener for each link that closed. */
	registerCloseListener(listener: (link: PeerLink) => void): Teardown {
		this.#closeListeners.add(listener);
		return () => {
			this.#closeListeners.delete(listener);
		};
	}

	/** Registers the handler of an `ask` topic. */
	registerAskHandler(topic: string, handler: AskHandler): Teardown {
		this.#topics.set(topic, handler);
		return () => {
			this.#topics.delete(topic);
		};
	}

	/** Takes in an authenticated link, whether it was dialled or accepted. */
	add(link: PeerLink): void {
		this.#links.set(link.peer.id, link);
		link.closed.addEventListener('abort', () => {
			this.#remove(link);
		}, {once: true});
		link.registerMessageHandler('ask', message => {
			void this.#answer(link, message);
		});
		link.registerMessageHandler('answer', message => {
			this.#pending.get(message.id)?.resolve(message.payload);
			this.#pending.delete(message.id);
		});
		for (const listener of this.#linkListeners) {
			listener(link);
		}
	}

	/**
	 * Returns the open link to a peer or dials it.
	 *
	 * @throws UnavailableError when the peer cannot be reached or was not reached a moment ago.
	 */
	async getOrDial(id: string, address: string): Promise<PeerLink> {
		const open = this.#links.get(id);
		if (open !== undefined) {
			return open;
		}

		return this.dial(address);
	}

	/** Dials an address whose peer is not known yet, for example a seed. */
	async dial(address: string): Promise<PeerLink> {
		const running = this.#dials.get(address);
		if (running !== undefined) {
			return running;
		}

		if ((this.#pausedUntil.get(address) ?? 0) > Date.now()) {
			throw new UnavailableError(`peer ${address} could not be reached a moment ago`);
		}

		const dial = this.#dial(address);
		this.#dials.set(address, dial);
		try {
			return await dial;
		} finally {
			this.#dials.delete(address);
		}
	}

	/**
	 * Asks a peer a question.
	 *
	 * @returns The answer's payload.
	 * @throws UnavailableError when the link closes or no answer comes in time; the peer may have acted on the question.
	 */
	async ask(link: PeerLink, topic: string, payload: unknown, limitMs = ASK_LIMIT_MS): Promise<unknown> {
		this.#askId += 1;
		const id = this.#askId;
		return new Promise((resolve, reject) => {
			// Node 20 keeps the memory of a combined signal for as long as the link lives, so timer and listener are separate.
			const onLimit = () => {
				clearTimeout(timer);
				link.closed.removeEventListener('abort', onLimit);
				this.#pending.delete(id);
				reject(new UnavailableError(`no answer from ${link.peer.id} to ${topic}`));
			};

			const timer = setTimeout(onLimit, limitMs);
			link.closed.addEventListener('abort', onLimit, {once: true});
			this.#pending.set(id, {
				resolve(answer) {
					clearTimeout(timer);
					link.closed.removeEventListener('abort', onLimit);
					resolve(answer);
				},
				reject,
			});
			if (!link.send({
				kind: 'ask', id, topic, payload,
			})) {
				onLimit();
			}
		});
	}

	async #answer(link: PeerLink, message: MessageOf<'ask'>): Promise<void> {
		const handler = this.#topics.get(message.topic);
		if (handler === undefined) {
			this.#options.onRefused(`no handler for topic ${message.topic}`);
			return;
		}

		try {
			const payload = await handler(message.payload, link.peer);
			link.send({kind: 'answer', id: message.id, payload});
		} catch (error) {
			this.#options.onRefused(`ask ${message.topic}: ${error instanceof Error ? error.message : 'failed'}`);
		}
	}

	async #dial(address: string): Promise<PeerLink> {
		try {
			return await dialPeer({
				address,
				sharedKey: this.#options.sharedKey,
				identity: this.#options.identity(),
				onRefused: this.#options.onRefused,
				onLink: link => {
					this.add(link);
				},
				signal: this.#options.signal,
			});
		} catch (error) {
			this.#pausedUntil.set(address, Date.now() + REDIAL_PAUSE_MS);
			throw error;
		}
	}

	#remove(link: PeerLink): void {
		if (this.#links.get(link.peer.id) === link) {
			this.#links.delete(link.peer.id);
		}

		for (const listener of this.#closeListeners) {
			listener(link);
		}
	}
}
