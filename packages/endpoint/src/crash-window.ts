/**
 * Tells an engine crash from a single broken connection: a crash breaks the connections
 * of the whole batch at nearly the same time.
 */
import {setTimeout as sleep} from 'node:timers/promises';

/** Connections that break within this time belong to the same event. */
const WINDOW_MS = 50;

/** What the loss of a run turned out to be. */
export type Loss = {
	readonly crashed: boolean;
	/** Fingerprints of all requests of the batch that was lost. */
	readonly fingerprints: readonly string[];
};

export class CrashWindow {
	/** @param active - Reads the fingerprints of the runs that are active now. */
	static create(active: () => ReadonlyMap<string, string>): CrashWindow {
		return new CrashWindow(active);
	}

	readonly #active: () => ReadonlyMap<string, string>;
	#lost = new Map<string, string>();
	#before = new Map<string, string>();
	#verdict: Promise<Loss> | undefined;

	private constructor(active: () => ReadonlyMap<string, string>) {
		this.#active = active;
	}

	/**
	 * Notes that a run lost its connection.
	 *
	 * @param key - Key of the run in the map of active runs, which must still hold it.
	 * @returns What the loss was, once the window closed.
	 */
	async lost(key: string, fingerprint: string): Promise<Loss> {
		if (this.#verdict === undefined) {
			this.#before = new Map(this.#active());
			this.#lost = new Map();
			this.#verdict = this.#decide();
		}

		this.#lost.set(key, fingerprint);
		return this.#verdict;
	}

	async #decide(): Promise<Loss> {
		await sleep(WINDOW_MS);
		this.#verdict = undefined;
		const stillActive = this.#active();
		const survivors = [...this.#before.keys()].filter(key => !this.#lost.has(key) && stillActive.has(key));
		return {crashed: survivors.length === 0, fingerprints: [...new Set(this.#lost.values())]};
	}
}
