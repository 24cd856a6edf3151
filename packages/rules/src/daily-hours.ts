/** Arithmetic on daily hours. All times are milliseconds since the epoch. */
import type {DailyHours, DailyWindow} from './model.js';

const MINUTE_MS = 60_000;
const DAY_MINUTES = 24 * 60;
const DAY_MS = DAY_MINUTES * MINUTE_MS;

/** True if `now` is within one of the windows; a window includes its start and excludes its end. */
export function isWithinHours(hours: DailyHours, now: number): boolean {
	const minute = msSinceLocalMidnight(hours, now) / MINUTE_MS;
	return hours.windows.some(window => contains(window, minute));
}

/** The first start or end of a window strictly after `now`. */
export function nextBoundary(hours: DailyHours, now: number): number {
	const localMs = msSinceLocalMidnight(hours, now);
	const delays = hours.windows
		.flatMap(window => [window.from, window.to % DAY_MINUTES])
		.map(minute => (minute * MINUTE_MS) - localMs)
		.map(delay => delay > 0 ? delay : delay + DAY_MS);
	return now + Math.min(...delays);
}

/** Milliseconds after local midnight. */
function msSinceLocalMidnight(hours: DailyHours, now: number): number {
	const shifted = now + (hours.offsetMinutes * MINUTE_MS);
	return ((shifted % DAY_MS) + DAY_MS) % DAY_MS;
}

function contains(window: DailyWindow, minute: number): boolean {
	return window.from < window.to
		? minute >= window.from && minute < window.to
		: minute >= window.from || minute < window.to;
}
