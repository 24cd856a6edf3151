/** The attempts in progress of one entry; gives each frame to its attempt. */
import {type Attempt} from './attempt.js';
import {type Teardown, mergeTeardowns} from '#core';
import {type LinkPool, type PeerLink} from '#protocol';
import {type Metrics} from '#telemetry';

const frameKinds = ['accepted', 'refused', 'head', 'chunk', 'end', 'failed'] as const;

export class AttemptTable {
	/** Registers for the frames of all links of the pool. */
	static create(pool: LinkPool, metrics: Metrics): AttemptTable {
		return new AttemptTable(pool, metrics);
	}

	readonly #metrics: Metrics;
	readonly #attempts = new Map<string, Attempt>();
	readonly #teardown: Teardown;

	private constructor(pool: LinkPool, metrics: Metrics) {
		this.#metrics = metrics;
		this.#teardown = pool.registerLinkListener(link => {
			this.#onLink(link);
		});
	}

	/** Number of attempts in progress. */
	get size(): number {
		return this.#attempts.size;
	}

	/** Adds an attempt for as long as it runs. */
	add(attempt: Attempt): Teardown {
		this.#attempts.set(attempt.requestId, attempt);
		return () => {
			if (this.#attempts.get(attempt.requestId) === attempt) {
				this.#attempts.delete(attempt.requestId);
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
			link.registerMessage(kind, message => {
				const attempt = this.#attempts.get(message.requestId);
				// A frame counts only if it comes from the endpoint that was given this attempt.
				if (attempt === undefined) {
					this.#metrics.count('framesDropped', 'unknown-request');
				} else if (attempt.link !== link) {
					this.#metrics.count('framesDropped', 'other-endpoint');
				} else if (attempt.number === message.attempt) {
					attempt.receive(message);
				} else {
					this.#metrics.count('framesDropped', 'old-attempt');
				}
			});
		}
	}
}
