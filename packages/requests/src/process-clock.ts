import type {ReadDelayClock} from './read-delay.js';
import {readInstant} from '#dispatch';

/** The clocks and the event loop of this process. */
export const processClock: ReadDelayClock = {
	now: readInstant,
	idleMs: () => performance.nodeTiming.idleTime,
	afterPoll(callback) {
		setImmediate(callback);
	},
};
