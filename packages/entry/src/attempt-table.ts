/** The attempts in progress at one entry; dispatches each frame to its attempt. */
import {type Attempt} from './attempt.js';
import {type Teardown, mergeTeardowns} from '#core';
import {type LinkPool, type PeerLink} from '#protocol';
import {type Metrics} from '#telemetry';

const frameKinds = ['accepted', 'refused', 'head', 'chunk', 'end', 'failed'] as const;

export class AttemptTable {
	/** Registers frame handlers on all links of the pool. */
	static create(pool: LinkPool, metrics: Metrics): AttemptTable {
		return new AttemptTable(pool, metrics);
	}

	readonly #metrics: Metrics;
	readonly #attempts = new Map<string, Map<number, Attempt>>();
	readonly #teardown: Teardown;

	private constructor(pool: LinkPool, metrics: Metrics) {
		this.#metrics = metrics;
		this.#teardown = pool.registerLinkListener(link => {
			this.#onLink(link);
		});
	}

	/** Adds an attempt. @returns Teardown that removes it. */
	add(attempt: Attempt): Teardown {
		const {requestId} = attempt;
		const ofRequest = this.#attempts.get(requestId) ?? new Map<number, Attempt>();
		this.#attempts.set(requestId, ofRequest.set(attempt.number, attempt));
		return () => {
			ofRequest.delete(attempt.number);
			if (ofRequest.size === 0) {
				this.#attempts.delete(requestId);
			}
		};
	}

	close(): void {
		mergeTeardowns(this.#teardown)();
	}

	#onLink(link: PeerLink): void {
		if (link.peer.role !== 'endpoint') {
			return;
		}

		for (const kind of frameKinds) {
			link.registerMessageHandler(kind, message => {
				const ofRequest = this.#attempts.get(message.requestId);
				const attempt = ofRequest?.get(message.attempt);
				// Frames are accepted only from the endpoint that the attempt was sent to.
				if (ofRequest === undefined) {
					this.#metrics.count('framesDropped', 'unknown-request');
				} else if (attempt === undefined) {
					this.#metrics.count('framesDropped', 'old-attempt');
				} else if (attempt.link === link) {
					attempt.receive(message);
				} else {
					this.#metrics.count('framesDropped', 'other-endpoint');
				}
			});
		}
	}
}
