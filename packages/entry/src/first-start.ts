/** Whether this process may succeed another of the same machine, which may have used the retries of the current window. */
import {superviseTask, type ErrorListener} from '#core';
import {type ObjectStore} from '#coordination';

export type FirstStartOptions = {
	readonly machineId: string;
	readonly store: ObjectStore;
	readonly onError: ErrorListener;
	readonly signal: AbortSignal;
};

export class FirstStart {
	/** Asks the store once; until it answers, and if it does not, the process counts as a successor. */
	static create(options: FirstStartOptions): FirstStart {
		const start = new FirstStart();
		void superviseTask(async () => start.#register(options), options.onError, options.signal);
		return start;
	}

	#isFirst = false;

	private constructor() {
		// Created by `create`.
	}

	/** Whether no process of this machine has started before. */
	get isFirst(): boolean {
		return this.#isFirst;
	}

	/** The object is created by the first process and kept. */
	async #register({machineId, store, signal}: FirstStartOptions): Promise<void> {
		const created = await store.create(`entries/${machineId}/started`, {at: Date.now()}, {signal});
		this.#isFirst = created.kind === 'ok';
	}
}
