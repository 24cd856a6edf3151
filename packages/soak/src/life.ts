/** The life of one process in the soak: the signals that it gets from its first millisecond on, and when the next process starts. */
import type {Random} from '#standins-engine';

/** Signals that ask for the end of a process. */
export type StopSignal = 'SIGTERM' | 'SIGINT';

export type LifeSignal = StopSignal | 'SIGHUP' | 'SIGKILL' | 'SIGSTOP' | 'SIGCONT';

/** A signal, in ms after the moment from which a life counts. */
export type LifeStep = {readonly afterMs: number; readonly signal: LifeSignal};

/** When the next process of the machine starts, in ms after the end of this one or after the last signal to it. */
export type Restart = {readonly kind: 'after-end' | 'while-draining'; readonly delayMs: number};

export type Life = {
	/** In the order of their times; the last one asks for the end of the process or kills it. */
	readonly steps: readonly LifeStep[];
	/** The moment from which the times count: the start of the process, when its program reads the settings, or when it is ready. */
	readonly from: 'start' | 'settings' | 'ready';
	/** Whether nobody reads the standard output of the process; only from the start on, since a start that is over is read from there. */
	readonly isOutputBlocked: boolean;
	/** Time for which the metrics port of the machine is taken from the start of the process on, in ms. */
	readonly portTakenMs: number;
	readonly restart: Restart;
};

export type LifeOptions = {
	/** Whether signals come from the start of the process on, or only when it is ready. */
	readonly from: 'start' | 'ready';
	readonly stopSignals: readonly StopSignal[];
	/** Whether the process gets planned signals only: it is never killed nor paused. */
	readonly isPlanned: boolean;
};

/** Spans from which the time of the end is drawn, in ms: before a program is loaded, within its start, and beside requests. */
const END_SPANS_MS = [[0, 100], [100, 400], [400, 1500], [1500, 4000]] as const;

const MAX_RELOADS = 2;

/** Stop signals in a row, and the longest time between two of them in ms. */
const STOPS = {max: 3, gapMs: 300} as const;

/** Share of lives with signals in the start whose times count from the reading of the settings. */
const FROM_SETTINGS_SHARE = 0.6;

const KILL_SHARE = 0.3;
const PAUSE_SHARE = 0.3;
const BLOCKED_SHARE = 0.2;
const TAKEN_PORT_SHARE = 0.25;
const DRAINING_RESTART_SHARE = 0.3;

/** Longest pause of a process, in ms. */
const MAX_PAUSE_MS = 1500;

/** Shortest and longest time for which the port is taken, in ms. */
const PORT_TAKEN_MS = {min: 300, max: 3000} as const;

/** Longest delay of a restart, in ms. */
const MAX_RESTART_DELAY_MS = 1000;

/** Draws a life; the same state of `random` gives the same life. */
export function createLife(random: Random, {from, stopSignals, isPlanned}: LifeOptions): Life {
	const chance = (share: number) => random.next() < share;
	const [min, max] = END_SPANS_MS[random.int(0, END_SPANS_MS.length - 1)]!;
	const endMs = random.int(min, max);
	const steps: LifeStep[] = Array.from({length: random.int(0, MAX_RELOADS)}, () => ({afterMs: random.int(min, endMs + STOPS.gapMs), signal: 'SIGHUP'}));
	if (!isPlanned && chance(PAUSE_SHARE)) {
		const pausedAt = random.int(0, endMs);
		steps.push({afterMs: pausedAt, signal: 'SIGSTOP'}, {afterMs: pausedAt + random.int(1, MAX_PAUSE_MS), signal: 'SIGCONT'});
	}

	let lastMs = endMs;
	if (!isPlanned && chance(KILL_SHARE)) {
		steps.push({afterMs: endMs, signal: 'SIGKILL'});
	} else {
		for (let i = random.int(1, STOPS.max); i > 0; i -= 1) {
			steps.push({afterMs: lastMs, signal: stopSignals[random.int(0, stopSignals.length - 1)]!});
			lastMs += random.int(0, STOPS.gapMs);
		}
	}

	return {
		steps: steps.toSorted((a, b) => a.afterMs - b.afterMs),
		from: from === 'start' && chance(FROM_SETTINGS_SHARE) ? 'settings' : from,
		isOutputBlocked: chance(BLOCKED_SHARE) && from === 'start',
		portTakenMs: chance(TAKEN_PORT_SHARE) ? random.int(PORT_TAKEN_MS.min, PORT_TAKEN_MS.max) : 0,
		restart: {kind: chance(DRAINING_RESTART_SHARE) ? 'while-draining' : 'after-end', delayMs: random.int(0, MAX_RESTART_DELAY_MS)},
	};
}
