/** Boundaries for units of work outside a request: an exception ends one round of a task or one callback, not the process. */
import {sleep} from './sleep.js';

/** Delay before a task that threw is run again, in ms. */
const RESTART_DELAY_MS = 250;

/** Called with each exception. */
export type ErrorListener = (error: unknown) => void;

/** Runs a task until it returns or the signal aborts. A task that throws is run again from its start, after a delay. Never rejects. */
export async function superviseTask(run: () => Promise<void>, onError: ErrorListener, signal: AbortSignal): Promise<void> {
	while (!signal.aborted) {
		try {
			await run();
			return;
		} catch (error) {
			onError(error);
			await sleep(RESTART_DELAY_MS, signal);
		}
	}
}

/** Wraps a callback of a timer or an event whose caller cannot handle an exception. */
export function guardCallback<Args extends readonly unknown[]>(callback: (...args: Args) => void, onError: ErrorListener): (...args: Args) => void {
	return (...args) => {
		try {
			callback(...args);
		} catch (error) {
			onError(error);
		}
	};
}
