/** Continuous batching: a queue ordered by priority and a bounded number of running requests. */
import type {Run} from './run.js';

export type BatchOptions = {
	/** Maximum number of concurrently running requests. */
	readonly maxRunning: number;
	/** Prompt tokens processed per step, over all runs. */
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

	/** True if no run is queued or running. */
	get idle(): boolean {
		return this.#queue.length === 0 && this.#running.length === 0;
	}

	/** Tokens to process: all tokens of queued requests and the unprocessed prompt tokens of running ones. */
	get queuedTokens(): number {
		const prefill = this.#running.reduce((sum, run) => sum + run.remainingPrefillTokens, 0);
		return this.#queue.reduce((sum, run) => sum + run.remainingTokens, prefill);
	}

	/** Queues a run: higher priority first, then in order of arrival. */
	add(run: Run): void {
		const index = this.#queue.findIndex(other => other.priority < run.priority);
		this.#queue.splice(index === -1 ? this.#queue.length : index, 0, run);
	}

	/** Moves queued runs into the batch until it is full. */
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
	 * Advances all running requests by one step; each whose prompt is processed generates one token.
	 *
	 * @returns The runs that generated a token, and the number of prompt tokens processed.
	 */
	step(): {readonly generated: readonly Run[]; readonly prefillTokens: number} {
		let budget = this.#options.prefillTokensPerStep;
		const generated: Run[] = [];
		for (const run of this.#running.filter(running => !running.finished)) {
			const prefill = Math.min(budget, run.remainingPrefillTokens);
			budget -= prefill;
			run.remainingPrefillTokens -= prefill;
			if (run.remainingPrefillTokens === 0) {
				run.generateToken();
				generated.push(run);
			}
		}

		this.#running = this.#running.filter(run => !run.finished);
		return {generated, prefillTokens: this.#options.prefillTokensPerStep - budget};
	}

	/** Removes and returns all runs, queued ones last. */
	clear(): readonly Run[] {
		const runs = [...this.#running, ...this.#queue.splice(0)];
		this.#running = [];
		return runs;
	}
}
