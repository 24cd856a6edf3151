/** Continuous batching: a queue ordered by priority and a bounded number of running requests. */
import type {Run} from './run.js';

export type BatchOptions = {
	/** Requests that run at the same time at most. */
	readonly maxRunning: number;
	/** Prompt tokens processed in one step over all runs. */
	readonly prefillTokensPerStep: number;
	/** Called when a run leaves the queue and joins the batch. */
	readonly onStart: (run: Run) => void;
};

export class Batch {
	static create(options: BatchOptions): Batch {
		return new Batch(options);
	}

	readonly #options: BatchOptions;
	readonly #queue: Run[] = [];
	#running: Run[] = [];

	private constructor(options: BatchOptions) {
		this.#options = options;
	}

	get running(): readonly Run[] {
		return this.#running;
	}

	get queued(): readonly Run[] {
		return this.#queue;
	}

	/** Whether there is nothing to do. */
	get idle(): boolean {
		return this.#queue.length === 0 && this.#running.length === 0;
	}

	/** Tokens that wait: all those of queued requests and the unprocessed prompts of running ones. */
	get queuedTokens(): number {
		const prefill = this.#running.reduce((sum, run) => sum + run.remainingPrefillTokens, 0);
		return this.#queue.reduce((sum, run) => sum + run.remainingTokens, prefill);
	}

	/** Queues a run: higher priority numbers first, then in order of arrival. */
	add(run: Run): void {
		const index = this.#queue.findIndex(other => other.priority < run.priority);
		this.#queue.splice(index === -1 ? this.#queue.length : index, 0, run);
	}

	/** Fills the batch from the queue. */
	admit(): void {
		this.#running = this.#running.filter(run => !run.finished);
		while (this.#running.length < this.#options.maxRunning) {
			const run = this.#queue.shift();
			if (run === undefined) {
				return;
			}

			if (!run.finished) {
				run.state = 'running';
				this.#running.push(run);
				this.#options.onStart(run);
			}
		}
	}

	/**
	 * Advances all running requests by one step; each whose prompt is processed makes one token.
	 *
	 * @returns The runs that made a token, and the number of prompt tokens processed.
	 */
	step(): {readonly generated: readonly Run[]; readonly prefillTokens: number} {
		let budget = this.#options.prefillTokensPerStep;
		const made: Run[] = [];
		for (const run of this.#running.filter(running => !running.finished)) {
			const prefill = Math.min(budget, run.remainingPrefillTokens);
			budget -= prefill;
			run.remainingPrefillTokens -= prefill;
			if (run.remainingPrefillTokens === 0) {
				run.generateToken();
				made.push(run);
			}
		}

		this.#running = this.#running.filter(run => !run.finished);
		return {generated: made, prefillTokens: this.#options.prefillTokensPerStep - budget};
	}

	/** Removes all runs and returns them, the queued ones last. */
	clear(): readonly Run[] {
		const all = [...this.#running, ...this.#queue.splice(0)];
		this.#running = [];
		return all;
	}
}
