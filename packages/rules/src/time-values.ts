/** Parsing and formatting of timestamps and daily hours. */
import type {DailyHours, DailyWindow} from './model.js';
import type {ValueProblem, ValueReader} from './problem.js';
import {readList, invalidValue} from './values.js';
import {ok, type Result} from '#core';

const MINUTE_MS = 60_000;
const DAY_MINUTES = 24 * 60;
const MAX_OFFSET_MINUTES = 14 * 60;
const MAX_WINDOWS = 8;
// Times outside this century are rejected as typing errors.
const MIN_TIME = Date.UTC(2000);
const MAX_TIME = Date.UTC(2100) - 1;

const TIME_PATTERN = /^(?<date>\d{4}-\d{2}-\d{2})T(?<time>\d{2}:\d{2}(?::\d{2})?)(?<offset>Z|[+-]\d{2}:\d{2})$/u;
const TIME_SYNTAX = 'a time such as 2026-12-05T18:00Z or 2026-12-05T23:30+05:30 in the years 2000 to 2099';
const OFFSET_SYNTAX = 'an offset from UTC such as Z or +05:30, at most 14:00';
const WINDOW_SYNTAX = 'a window such as 18:00-20:00 that ends at another time than it starts';
const HOURS_SYNTAX = 'daily hours such as 18:00-20:00@+05:30 or 06:00-12:00,13:00-22:00@Z';

/** Reads a timestamp with its UTC offset as milliseconds since the epoch. */
export const readTime: ValueReader<number> = text => {
	const groups = TIME_PATTERN.exec(text)?.groups;
	const offset = parseOffsetMinutes(groups?.offset ?? '');
	const local = groups === undefined ? undefined : parseLocalTime(groups.date ?? '', groups.time ?? '');
	if (offset === undefined || local === undefined) {
		return invalidValue(text, TIME_SYNTAX);
	}

	const time = local - (offset * MINUTE_MS);
	return time >= MIN_TIME && time <= MAX_TIME ? ok(time) : invalidValue(text, TIME_SYNTAX);
};

/** Formats a time in UTC, with seconds only if they are not zero. */
export function formatTime(time: number): string {
	const iso = new Date(time).toISOString();
	const seconds = iso.slice(16, 19);
	return `${iso.slice(0, 16)}${seconds === ':00' ? '' : seconds}Z`;
}

/** Reads daily time windows with an offset from UTC, for example `06:00-12:00,13:00-22:00@+05:30`. */
export const readHours: ValueReader<DailyHours> = text => {
	const separator = text.indexOf('@');
	if (separator === -1) {
		return invalidValue(text, HOURS_SYNTAX);
	}

	const offset = parseOffsetMinutes(text.slice(separator + 1));
	if (offset === undefined) {
		return invalidValue(text.slice(separator + 1), OFFSET_SYNTAX, separator + 1);
	}

	const windows = readList(readWindow, MAX_WINDOWS)(text.slice(0, separator));
	return windows.kind === 'failed' ? windows : toDailyHours(windows.value, offset, text);
};

/** Formats daily hours; the offset always includes its sign. */
export function formatHours(hours: DailyHours): string {
	const windows = hours.windows.map(({from, to}) => `${formatMinute(from)}-${formatMinute(to)}`);
	const offset = hours.offsetMinutes;
	return `${windows.join(',')}@${offset < 0 ? '-' : '+'}${formatMinute(Math.abs(offset))}`;
}

const readWindow: ValueReader<DailyWindow> = text => {
	const [from, to, ...rest] = text.split('-').map(part => parseMinuteOfDay(part));
	if (from === undefined || to === undefined || rest.length > 0 || from === to || from === DAY_MINUTES) {
		return invalidValue(text, WINDOW_SYNTAX);
	}

	return ok({from, to: to === 0 ? DAY_MINUTES : to});
};

function toDailyHours(windows: readonly DailyWindow[], offset: number, text: string): Result<DailyHours, readonly ValueProblem[]> {
	const sorted = windows.toSorted((a, b) => a.from - b.from);
	const isOverlapping = sorted.some((window, i) => overlapsNext(window, sorted[i + 1] ?? nextDay(sorted[0] ?? window)));
	return isOverlapping
		? invalidValue(text, 'windows that do not overlap')
		: ok({windows: sorted, offsetMinutes: offset});
}

function overlapsNext(window: DailyWindow, next: DailyWindow): boolean {
	const end = window.to > window.from ? window.to : window.to + DAY_MINUTES;
	return end > next.from;
}

function nextDay(window: DailyWindow): DailyWindow {
	return {from: window.from + DAY_MINUTES, to: window.to + DAY_MINUTES};
}

/** Parses a calendar date and a time of day to milliseconds, without an offset. Returns undefined if the date or time does not exist. */
function parseLocalTime(date: string, time: string): number | undefined {
	const value = Date.parse(`${date}T${time.length === 5 ? `${time}:00` : time}Z`);
	// `Date.parse` turns 30 February into 2 March and accepts 24:00, so the parsed value is compared with the text.
	return Number.isNaN(value) || !new Date(value).toISOString().startsWith(`${date}T${time}`) ? undefined : value;
}

function parseOffsetMinutes(text: string): number | undefined {
	if (text === 'Z') {
		return 0;
	}

	const minutes = parseMinuteOfDay(text.slice(1));
	if (!/^[+-]/u.test(text) || minutes === undefined || minutes > MAX_OFFSET_MINUTES) {
		return undefined;
	}

	return text.startsWith('-') && minutes !== 0 ? -minutes : minutes;
}

/** Parses `HH:MM` from 00:00 to 24:00 to minutes after midnight. */
function parseMinuteOfDay(text: string): number | undefined {
	const match = /^(?<hours>\d{2}):(?<minutes>[0-5]\d)$/u.exec(text);
	const minutes = (Number(match?.groups?.hours) * 60) + Number(match?.groups?.minutes);
	return minutes <= DAY_MINUTES ? minutes : undefined;
}

function formatMinute(minute: number): string {
	const hours = Math.floor(minute / 60);
	return `${String(hours).padStart(2, '0')}:${String(minute % 60).padStart(2, '0')}`;
}
