/** Readers and writers for points in time and daily hours. */
import type {DailyHours, DailyWindow} from './model.js';
import type {ValueProblem, ValueReader} from './problem.js';
import {readList, refuse} from './values.js';
import {ok, type Result} from '#core';

const MINUTE_MS = 60_000;
const DAY_MINUTES = 24 * 60;
const MAX_OFFSET_MINUTES = 14 * 60;
const MAX_WINDOWS = 8;
// Times outside this century are taken for typing errors.
const FIRST_TIME = Date.UTC(2000);
const LAST_TIME = Date.UTC(2100) - 1;

const TIME = /^(?<date>\d{4}-\d{2}-\d{2})T(?<time>\d{2}:\d{2}(?::\d{2})?)(?<offset>Z|[+-]\d{2}:\d{2})$/u;
const TIME_ALLOWED = 'a time such as 2026-12-05T18:00Z or 2026-12-05T23:30+05:30 in the years 2000 to 2099';
const OFFSET_ALLOWED = 'an offset from UTC such as Z or +05:30, at most 14:00';
const WINDOW_ALLOWED = 'a window such as 18:00-20:00 that ends at another time than it starts';
const HOURS_ALLOWED = 'daily hours such as 18:00-20:00@+05:30 or 06:00-12:00,13:00-22:00@Z';

/** A point in time with its offset, as milliseconds since the epoch. */
export const readTime: ValueReader<number> = text => {
	const groups = TIME.exec(text)?.groups;
	const offset = offsetMinutes(groups?.offset ?? '');
	const local = groups === undefined ? undefined : localTime(groups.date ?? '', groups.time ?? '');
	if (offset === undefined || local === undefined) {
		return refuse(text, TIME_ALLOWED);
	}

	const time = local - (offset * MINUTE_MS);
	return time >= FIRST_TIME && time <= LAST_TIME ? ok(time) : refuse(text, TIME_ALLOWED);
};

/** Writes a time in UTC, with seconds only when they are not zero. */
export function formatTime(time: number): string {
	const iso = new Date(time).toISOString();
	const seconds = iso.slice(16, 19);
	return `${iso.slice(0, 16)}${seconds === ':00' ? '' : seconds}Z`;
}

/** Windows of the day with an offset from UTC, as in `06:00-12:00,13:00-22:00@+05:30`. */
export const readHours: ValueReader<DailyHours> = text => {
	const sign = text.indexOf('@');
	if (sign === -1) {
		return refuse(text, HOURS_ALLOWED);
	}

	const offset = offsetMinutes(text.slice(sign + 1));
	if (offset === undefined) {
		return refuse(text.slice(sign + 1), OFFSET_ALLOWED, sign + 1);
	}

	const windows = readList(readWindow, MAX_WINDOWS)(text.slice(0, sign));
	return windows.kind === 'failed' ? windows : sortWindows(windows.value, offset, text);
};

/** Writes daily hours; the offset is always written with its sign. */
export function formatHours(hours: DailyHours): string {
	const windows = hours.windows.map(({from, to}) => `${formatMinute(from)}-${formatMinute(to)}`);
	const offset = hours.offsetMinutes;
	return `${windows.join(',')}@${offset < 0 ? '-' : '+'}${formatMinute(Math.abs(offset))}`;
}

const readWindow: ValueReader<DailyWindow> = text => {
	const [from, to, ...rest] = text.split('-').map(part => minuteOfDay(part));
	if (from === undefined || to === undefined || rest.length > 0 || from === to || from === DAY_MINUTES) {
		return refuse(text, WINDOW_ALLOWED);
	}

	return ok({from, to: to === 0 ? DAY_MINUTES : to});
};

function sortWindows(windows: readonly DailyWindow[], offset: number, text: string): Result<DailyHours, readonly ValueProblem[]> {
	const sorted = windows.toSorted((a, b) => a.from - b.from);
	const isOverlapping = sorted.some((window, i) => overlapsNext(window, sorted[i + 1] ?? nextDay(sorted[0] ?? window)));
	return isOverlapping
		? refuse(text, 'windows that do not overlap')
		: ok({windows: sorted, offsetMinutes: offset});
}

function overlapsNext(window: DailyWindow, next: DailyWindow): boolean {
	const end = window.to > window.from ? window.to : window.to + DAY_MINUTES;
	return end > next.from;
}

function nextDay(window: DailyWindow): DailyWindow {
	return {from: window.from + DAY_MINUTES, to: window.to + DAY_MINUTES};
}

/** Milliseconds of a calendar date and a time of day, or undefined when there is no such day or time. */
function localTime(date: string, time: string): number | undefined {
	const value = Date.parse(`${date}T${time.length === 5 ? `${time}:00` : time}Z`);
	// `Date.parse` turns 30 February into 2 March and accepts 24:00, so compare what it made of the text.
	return Number.isNaN(value) || !new Date(value).toISOString().startsWith(`${date}T${time}`) ? undefined : value;
}

function offsetMinutes(text: string): number | undefined {
	if (text === 'Z') {
		return 0;
	}

	const minutes = minuteOfDay(text.slice(1));
	if (!/^[+-]/u.test(text) || minutes === undefined || minutes > MAX_OFFSET_MINUTES) {
		return undefined;
	}

	return text.startsWith('-') && minutes !== 0 ? -minutes : minutes;
}

/** Minutes of `HH:MM` from 00:00 to 24:00. */
function minuteOfDay(text: string): number | undefined {
	const match = /^(?<hours>\d{2}):(?<minutes>[0-5]\d)$/u.exec(text);
	const minutes = (Number(match?.groups?.hours) * 60) + Number(match?.groups?.minutes);
	return minutes <= DAY_MINUTES ? minutes : undefined;
}

function formatMinute(minute: number): string {
	const hours = Math.floor(minute / 60);
	return `${String(hours).padStart(2, '0')}:${String(minute % 60).padStart(2, '0')}`;
}
