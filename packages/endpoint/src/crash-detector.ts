/**
 * Distinguishes an engine crash from a single broken connection: a crash breaks the connections
 * of the whole batch at nearly the same time.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {type CrashedBatch} from '#quarantine';

/** Connections that break within this time belong to the same event. */
const WINDOW_MS = 50;

/** Cause of the loss of a run. */
export type LossCause
	/** The id is the same for all requests of the batch; `alone` if the batch was one request that ran alone. */
	= | {readonly kind: 'crash'; readonly crashId: string; readonly alone: boolean}
		| {readonly kind: 'connection'};

export type CrashDetectorOptions = {
	/** Reads the keys of the runs that are active now. */
	readonly active: () => ReadonlySet<string>;
	/** Called once for each crash. */
	readonly onCrash: () => CrashedBatch;
	/** Prefix of the crash ids, unique to this process. */
	readonly prefix: string;
};

export class CrashDetector {
	static create(options: CrashDetectorOptions): CrashDetector {
		return new CrashDetector(options);
	}

	readonly #options: CrashDetectorOptions;
	#lostRuns = new Set<string>();
	#activeAtStart: ReadonlySet<string> = new Set();
	#pendingCause: Promise<LossCause> | undefined;
	#crashes = 0;

	private constructor(options: CrashDetectorOptions) {
		this.#options = options;
	}

	/**
	 * Reports that a run lost its connection; the set of active runs must still contain it.
	 *
	 * @returns The cause of the loss, once the window has closed.
	 */
	async reportLost(key: string): Promise<LossCause> {
		if (this.#pendingCause === undefined) {
			this.#activeAtStart = this.#options.active();
			this.#lostRuns = new Set();
			this.#pendingCause = this.#detectCause();
		}

		this.#lostRuns.add(key);
		return this.#pendingCause;
	}

	async #detectCause(): Promise<LossCause> {
		await sleep(WINDOW_MS);
		this.#pendingCause = undefined;
		const active = this.#options.active();
		const survived = [...this.#activeAtStart].some(key => !this.#lostRuns.has(key) && active.has(key));
		if (survived) {
			return {kind: 'connection'};
		}

		const {alone} = this.#options.onCrash();
		this.#crashes += 1;
		return {kind: 'crash', crashId: `${this.#options.prefix}/${this.#crashes}`, alone};
	}
}
