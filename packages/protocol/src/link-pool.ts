/**
 * Pool of the links of one process by peer id. A missing link is dialled on demand;
 * concurrent requests for the same address share one dial.
 */
import {dialPeer} from './dial-peer.js';
import {type MessageOf} from './messages.js';
import {type PeerLink} from './peer-link.js';
import {type PeerIdentity} from './session.js';
import {UnavailableError, type Teardown} from '#core';

/** After a failed dial, the same address is not dialled again for this time. */
const REDIAL_BACKOFF_MS = 500;

/** Default timeout for the answer to an `ask` message. */
const ASK_TIMEOUT_MS = 2000;

/** Handles one `ask` message and returns the answer. Undefined means that this process cannot answer. */
export type AskHandler = (payload: unknown, peer: PeerIdentity) => Promise<unknown>;

export type LinkPoolOptions = {
	readonly sharedKey: string;
	readonly identity: () => PeerIdentity;
	readonly onRefused: (reason: string) => void;
	readonly signal: AbortSignal;
};

type PendingAsk = {
	readonly resolve: (payload: unknown) => void;
	readonly reject: (error: Error) => void;
};

export class LinkPool {
	static create(options: LinkPoolOptions): LinkPool {
		return new LinkPool(options);
	}

	readonly #options: LinkPoolOptions;
	/** Links to use, by peer id. */
	readonly #links = new Map<string, PeerLink>();
	/** All open links: two peers that dial one another at the same time have two. */
	readonly #openLinks = new Set<PeerLink>();
	readonly #dials = new Map<string, Promise<PeerLink>>();
	readonly #backoffUntil = new Map<string, number>();
	readonly #linkListeners = new Set<(link: PeerLink) => void>();
	readonly #closeListeners = new Set<(link: PeerLink) => void>();
	readonly #askHandlers = new Map<string, AskHandler>();
	readonly #pendingAsks = new Map<number, PendingAsk>();
	#lastAskId = 0;

	private constructor(options: LinkPoolOptions) {
		this.#options = options;
		options.signal.addEventListener('abort', () => {
			for (const link of this.#openLinks) {
				link.close('process stops');
			}
		}, {once: true});
	}

	/** One open link per peer. */
	get links(): readonly PeerLink[] {
		return [...this.#links.values()];
	}

	/** Returns the open link to a peer, if there is one. */
	findLink(id: string): PeerLink | undefined {
		return this.#links.get(id);
	}

	/** Registers a listener that is called for all links that are open now and for each new one, before the peer's first message is handled. */
	registerLinkListener(listener: (link: PeerLink) => void): Teardown {
		this.#linkListeners.add(listener);
		for (const link of this.links) {
			listener(link);
		}

		return () => {
			this.#linkListeners.delete(listener);
		};
	}

	/** Registers a listener that is called when a link closes. */
	registerCloseListener(listener: (link: PeerLink) => void): Teardown {
		this.#closeListeners.add(listener);
		return () => {
			this.#closeListeners.delete(listener);
		};
	}

	/** Registers the handler of `ask` messages for a topic. */
	registerAskHandler(topic: string, handler: AskHandler): Teardown {
		this.#askHandlers.set(topic, handler);
		return () => {
			this.#askHandlers.delete(topic);
		};
	}

	/** Adds an authenticated link, whether dialled or accepted. */
	add(link: PeerLink): void {
		this.#links.set(link.peer.id, link);
		this.#openLinks.add(link);
		link.closed.addEventListener('abort', () => {
			this.#remove(link);
		}, {once: true});
		link.registerMessageHandler('ask', message => {
			void this.#handleAsk(link, message);
		});
		link.registerMessageHandler('answer', message => {
			this.#pendingAsks.get(message.id)?.resolve(message.payload);
			this.#pendingAsks.delete(message.id);
		});
		for (const listener of this.#linkListeners) {
			listener(link);
		}
	}

	/**
	 * Returns the open link to a peer, or dials the peer if there is none.
	 *
	 * @throws UnavailableError if the peer cannot be reached or a recent dial of its address failed.
	 */
	async getOrDial(id: string, address: string): Promise<PeerLink> {
		const open = this.#links.get(id);
		if (open !== undefined) {
			return open;
		}

		return this.dial(address);
	}

	/** Dials an address whose peer id is not known yet, for example a seed. */
	async dial(address: string): Promise<PeerLink> {
		const pendingDial = this.#dials.get(address);
		if (pendingDial !== undefined) {
			return pendingDial;
		}

		if ((this.#backoffUntil.get(address) ?? 0) > Date.now()) {
			throw new UnavailableError(`a recent dial of peer ${address} failed; not dialling again yet`);
		}

		const dial = this.#dialPeer(address);
		this.#dials.set(address, dial);
		try {
			return await dial;
		} finally {
			this.#dials.delete(address);
		}
	}

	/**
	 * Sends an `ask` message to a peer and waits for the answer.
	 *
	 * @returns The payload of the answer.
	 * @throws UnavailableError if the link closes or no answer arrives in time; the peer may have processed the message all the same.
	 */
	async ask(link: PeerLink, topic: string, payload: unknown, timeoutMs = ASK_TIMEOUT_MS): Promise<unknown> {
		this.#lastAskId += 1;
		const id = this.#lastAskId;
		return new Promise((resolve, reject) => {
			// A separate timer and listener instead of `AbortSignal.any`: Node 20 retains the memory of a combined signal for the lifetime of the link.
			const fail = () => {
				clearTimeout(timer);
				link.closed.removeEventListener('abort', fail);
				this.#pendingAsks.delete(id);
				reject(new UnavailableError(`no answer from ${link.peer.id} for topic ${topic}`));
			};

			const timer = setTimeout(fail, timeoutMs);
			link.closed.addEventListener('abort', fail, {once: true});
			this.#pendingAsks.set(id, {
				resolve(answer) {
					clearTimeout(timer);
					link.closed.removeEventListener('abort', fail);
					resolve(answer);
				},
				reject,
			});
			if (!link.send({
				kind: 'ask', id, topic, payload,
			})) {
				fail();
			}
		});
	}

	async #handleAsk(link: PeerLink, message: MessageOf<'ask'>): Promise<void> {
		const handler = this.#askHandlers.get(message.topic);
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

	async #dialPeer(address: string): Promise<PeerLink> {
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
			this.#backoffUntil.set(address, Date.now() + REDIAL_BACKOFF_MS);
			throw error;
		}
	}

	#remove(link: PeerLink): void {
		this.#openLinks.delete(link);
		if (this.#links.get(link.peer.id) === link) {
			const other = [...this.#openLinks].findLast(({peer}) => peer.id === link.peer.id);
			if (other === undefined) {
				this.#links.delete(link.peer.id);
			} else {
				this.#links.set(link.peer.id, other);
			}
		}

		for (const listener of this.#closeListeners) {
			listener(link);
		}
	}
}
