/** Value readers for rules: names, numbers, lists, hashes, durations and paths. */
import {truncate, type ValueProblem, type ValueReader} from './problem.js';
import {describeAllowedWords} from './word-suggestions.js';
import {failed, ok, type Result} from '#core';

const NAME = /^[A-Za-z\d][\w.-]{0,62}$/u;
/** Description of the names that `isValidName` accepts. */
export const nameSyntax = 'a name of 1 to 63 letters, digits, ".", "_" or "-" that starts with a letter or digit';
const HASH = /^[\da-f]{64}$/iu;
const MAX_LIST_ITEMS = 64;
const MAX_PATH_CHARS = 256;

const MINUTE_MS = 60_000;
const unitsMs = {
	d: 24 * 60 * MINUTE_MS, h: 60 * MINUTE_MS, m: MINUTE_MS, s: 1000,
} as const;

/** Returns a failure with a single problem that covers the whole value. */
export function invalidValue(read: string, allowed: string, offset = 0): Result<never, readonly ValueProblem[]> {
	return failed([{offset, read: truncate(read), allowed}]);
}

/** True if the text is a valid name of an endpoint, zone, group, workspace, model or service. */
export function isValidName(text: string): boolean {
	return NAME.test(text);
}

export const readName: ValueReader<string> = text => isValidName(text) ? ok(text) : invalidValue(text, nameSyntax);

export const readHash: ValueReader<string> = text =>
	// The value is hidden, since an operator may have entered the key itself instead of its hash.
	HASH.test(text) ? ok(text.toLowerCase()) : invalidValue(`(hidden, ${text.length} characters)`, '64 hex digits, the SHA-256 of the key');

/** Reads one of a fixed list of words. */
export function readOneOf<Word extends string>(words: readonly Word[]): ValueReader<Word> {
	return text => {
		const word = words.find(candidate => candidate === text);
		return word === undefined ? invalidValue(text, describeAllowedWords(text, words)) : ok(word);
	};
}

/** Reads an integer between `min` and `max`, inclusive. */
export function readInteger(min: number, max: number): ValueReader<number> {
	return text => {
		const value = /^\d{1,15}$/u.test(text) ? Number(text) : Number.NaN;
		return value >= min && value <= max ? ok(value) : invalidValue(text, `a whole number from ${min} to ${max}`);
	};
}

/** Reads a decimal number between 0 and `max` with at most six decimal places. */
export function readDecimal(max: number): ValueReader<number> {
	return text => {
		const value = /^\d{1,9}(?:\.\d{1,6})?$/u.test(text) ? Number(text) : Number.NaN;
		return value <= max ? ok(value) : invalidValue(text, `a number from 0 to ${max} with at most 6 digits after the point`);
	};
}

/** Reads a comma-separated list without duplicates. Each invalid item is reported as a separate problem. */
export function readList<Item>(readItem: ValueReader<Item>, max = MAX_LIST_ITEMS): ValueReader<readonly Item[]> {
	return text => {
		const parts = text.split(',');
		if (parts.length > max) {
			return invalidValue(`${parts.length} items`, `at most ${max} items`);
		}

		const items: Item[] = [];
		const problems: ValueProblem[] = [];
		const seen = new Set<string>();
		let offset = 0;
		for (const part of parts) {
			const result = readItem(part);
			const serialized = JSON.stringify(result);
			if (result.kind === 'failed') {
				problems.push(...shiftOffsets(result.failure, offset));
			} else if (seen.has(serialized)) {
				problems.push({offset, read: truncate(part), allowed: 'each item once'});
			} else {
				items.push(result.value);
			}

			seen.add(serialized);
			offset += part.length + 1;
		}

		return problems.length === 0 ? ok(items) : failed(problems);
	};
}

/** Reads a duration such as `24h`, between `minMs` and `maxMs`, as milliseconds. */
export function readDuration(minMs: number, maxMs: number): ValueReader<number> {
	const allowed = `a duration from ${formatDuration(minMs)} to ${formatDuration(maxMs)}, as a whole number with the unit s, m, h or d`;
	return text => {
		const match = /^(?<count>\d{1,9})(?<unit>[dhms])$/u.exec(text);
		const unit = match?.groups?.unit as keyof typeof unitsMs | undefined;
		const value = unit === undefined ? Number.NaN : Number(match?.groups?.count) * unitsMs[unit];
		return value >= minMs && value <= maxMs ? ok(value) : invalidValue(text, allowed);
	};
}

/** Formats a duration of whole seconds in the largest unit that divides it. */
export function formatDuration(ms: number): string {
	const units = Object.entries(unitsMs);
	const [unit, size] = units.find(([, unitMs]) => ms % unitMs === 0) ?? ['s', unitsMs.s];
	return `${Math.round(ms / size)}${unit}`;
}

/** Reads a path that contains `{key}` once. */
export const readLookupPath: ValueReader<string> = text =>
	isValidPath(text.replace('{key}', 'key')) && text.includes('{key}')
		? ok(text)
		: invalidValue(text, 'a path that starts with "/" and holds {key} once');

/** True if the text is an absolute path of allowed characters, without a query. */
export function isValidPath(text: string): boolean {
	return text.length <= MAX_PATH_CHARS && /^\/[\w\-.~%:@/]*$/u.test(text);
}

function shiftOffsets(problems: readonly ValueProblem[], offset: number): readonly ValueProblem[] {
	return problems.map(problem => ({...problem, offset: problem.offset + offset}));
}
