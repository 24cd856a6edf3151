/** Readers for the values of rules: names, numbers, lists, hashes, durations and paths. */
import {excerpt, type ValueProblem, type ValueReader} from './problem.js';
import {describeAllowedWords} from './word-suggestions.js';
import {failed, ok, type Result} from '#core';

const NAME = /^[A-Za-z\d][\w.-]{0,62}$/u;
/** What `isName` accepts, in words. */
export const nameSyntax = 'a name of 1 to 63 letters, digits, ".", "_" or "-" that starts with a letter or digit';
const HASH = /^[\da-f]{64}$/iu;
const MAX_LIST = 64;
const MAX_PATH_CHARS = 256;

const MINUTE_MS = 60_000;
const unitsMs = {
	d: 24 * 60 * MINUTE_MS, h: 60 * MINUTE_MS, m: MINUTE_MS, s: 1000,
} as const;

/** A failure with one problem that covers the whole value. */
export function refuse(read: string, allowed: string, offset = 0): Result<never, readonly ValueProblem[]> {
	return failed([{offset, read: excerpt(read), allowed}]);
}

/** True for a name of an endpoint, zone, group, workspace, model or service. */
export function isValidName(text: string): boolean {
	return NAME.test(text);
}

export const readName: ValueReader<string> = text => isValidName(text) ? ok(text) : refuse(text, nameSyntax);

export const readHash: ValueReader<string> = text =>
	// The value is hidden, since an operator may have put the key itself here.
	HASH.test(text) ? ok(text.toLowerCase()) : refuse(`(hidden, ${text.length} characters)`, '64 hex digits, the SHA-256 of the key');

/** One of a fixed list of words. */
export function readOneOf<Word extends string>(words: readonly Word[]): ValueReader<Word> {
	return text => {
		const word = words.find(candidate => candidate === text);
		return word === undefined ? refuse(text, describeAllowedWords(text, words)) : ok(word);
	};
}

/** A whole number between `min` and `max`, both included. */
export function readInteger(min: number, max: number): ValueReader<number> {
	return text => {
		const value = /^\d{1,15}$/u.test(text) ? Number(text) : Number.NaN;
		return value >= min && value <= max ? ok(value) : refuse(text, `a whole number from ${min} to ${max}`);
	};
}

/** A decimal number of at most six digits after the point, between 0 and `max`. */
export function readDecimal(max: number): ValueReader<number> {
	return text => {
		const value = /^\d{1,9}(?:\.\d{1,6})?$/u.test(text) ? Number(text) : Number.NaN;
		return value <= max ? ok(value) : refuse(text, `a number from 0 to ${max} with at most 6 digits after the point`);
	};
}

/** A list between commas, without repeated items. Each bad item is a problem of its own. */
export function readList<Item>(readItem: ValueReader<Item>, max = MAX_LIST): ValueReader<readonly Item[]> {
	return text => {
		const parts = text.split(',');
		if (parts.length > max) {
			return refuse(`${parts.length} items`, `at most ${max} items`);
		}

		const items: Item[] = [];
		const problems: ValueProblem[] = [];
		const seen = new Set<string>();
		let offset = 0;
		for (const part of parts) {
			const read = readItem(part);
			const identity = JSON.stringify(read);
			if (read.kind === 'failed') {
				problems.push(...shift(read.failure, offset));
			} else if (seen.has(identity)) {
				problems.push({offset, read: excerpt(part), allowed: 'each item once'});
			} else {
				items.push(read.value);
			}

			seen.add(identity);
			offset += part.length + 1;
		}

		return problems.length === 0 ? ok(items) : failed(problems);
	};
}

/** A duration such as `24h`, between `minMs` and `maxMs`, as milliseconds. */
export function readDuration(minMs: number, maxMs: number): ValueReader<number> {
	const allowed = `a duration from ${formatDuration(minMs)} to ${formatDuration(maxMs)}, as a whole number with the unit s, m, h or d`;
	return text => {
		const match = /^(?<count>\d{1,9})(?<unit>[dhms])$/u.exec(text);
		const unit = match?.groups?.unit as keyof typeof unitsMs | undefined;
		const value = unit === undefined ? Number.NaN : Number(match?.groups?.count) * unitsMs[unit];
		return value >= minMs && value <= maxMs ? ok(value) : refuse(text, allowed);
	};
}

/** Writes whole seconds in the largest unit that divides them. */
export function formatDuration(ms: number): string {
	const units = Object.entries(unitsMs);
	const [unit, size] = units.find(([, unitMs]) => ms % unitMs === 0) ?? ['s', unitsMs.s];
	return `${Math.round(ms / size)}${unit}`;
}

/** A path that holds `{key}` once. */
export const readLookupPath: ValueReader<string> = text =>
	isPath(text.replace('{key}', 'key')) && text.includes('{key}')
		? ok(text)
		: refuse(text, 'a path that starts with "/" and holds {key} once');

/** True for an absolute path of unreserved characters, without a query. */
export function isPath(text: string): boolean {
	return text.length <= MAX_PATH_CHARS && /^\/[\w\-.~%:@/]*$/u.test(text);
}

function shift(problems: readonly ValueProblem[], by: number): readonly ValueProblem[] {
	return problems.map(problem => ({...problem, offset: problem.offset + by}));
}
