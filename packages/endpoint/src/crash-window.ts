/**
 * Tells an engine crash from a single broken connection: a crash breaks the connections
 * of the whole batch at nearly the same time.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {type CrashedBatch} from '#quarantine';

/** Connections that break within this time belong to the same event. */
const WINDOW_MS = 50;

/** What the loss of a run turned out to be. */
export type Loss
	/** The id is the same for all requests of the batch; `alone` if the batch was one request that ran alone. */
	= | {readonly kind: 'crash'; readonly crashId: string; readonly alone: boolean}
		| {readonly kind: 'connection'};

export type CrashWindowOptions = {
	/** Reads the keys of the runs that are active now. */
	readonly active: () => ReadonlySet<string>;
	/** Called once for each crash. */
	readonly onCrash: () => CrashedBatch;
	/** Beginning of the crash ids, unique for this process. */
	readonly prefix: string;
};

export class CrashWindow {
	static create(options: CrashWindowOptions): CrashWindow {
		return new CrashWindow(options);
	}

	readonly #options: CrashWindowOptions;
	#lost = new Set<string>();
	#before: ReadonlySet<string> = new Set();
	#verdict: Promise<Loss> | undefined;
	#crashes = 0;

	private constructor(options: CrashWindowOptions) {
		this.#options = options;
	}

	/**
	 * Notes that a run lost its connection; the set of active runs must still hold it.
	 *
	 * @returns What the loss was, once the window closed.
	 */
	async lost(key: string): Promise<Loss> {
		if (this.#verdict === undefined) {
			this.#before = this.#options.active();
			this.#lost = new Set();
			this.#verdict = this.#decide();
		}

		this.#lost.add(key);
		return this.#verdict;
	}

	async #decide(): Promise<Loss> {
		await sleep(WINDOW_MS);
		this.#verdict = undefined;
		const active = this.#options.active();
		const survived = [...this.#before].some(key => !this.#lost.has(key) && active.has(key));
		if (survived) {
			return {kind: 'connection'};
		}

		const {alone} = this.#options.onCrash();
		this.#crashes += 1;
		return {kind: 'crash', crashId: `${this.#options.prefix}/${this.#crashes}`, alone};
	}
}
