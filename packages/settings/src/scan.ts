/**
 * Finds the places of sections and keys in INI text. The library `ini` gives the values but no
 * places, and it accepts several mistakes in silence; this scan reports them. No problem
 * repeats a value, since any line may hold a key.
 */
import type {Finding} from '#core';
import {describeAllowedWords} from '#rules';

/** A finding within the text, without the file. */
export type Problem = Omit<Finding, 'file'>;

/** Place of one `key = value` line. */
export type Entry = {
	readonly section: string;
	readonly key: string;
	readonly line: number;
	/** Column of the key, starting at 1. */
	readonly column: number;
	/** Column of the value, or after the line's end when it is empty. */
	readonly valueColumn: number;
	/** False when a problem was found in the line, so that its value is not used. */
	readonly isValid: boolean;
};

/** Sections and entries in the order of the text. */
export type Scan = {
	readonly sections: ReadonlyMap<string, {readonly line: number}>;
	readonly entries: readonly Entry[];
	readonly lineCount: number;
	readonly problems: readonly Problem[];
};

/** Sections with their keys, by section name. */
export type KnownKeys = Readonly<Record<string, readonly string[]>>;

const FORBIDDEN = /(?!\t)\p{Cc}|\p{Cs}|[\u2028-\u202E\u2066-\u2069\uFEFF]/u;
const HEADER = /^\[(?<name>[^\]]*)\][ \t]*$/u;

/** Reads the places; unknown and repeated sections and keys are problems. */
export function scanIni(text: string, known: KnownKeys): Scan {
	return IniScanner.create(known).scan(text);
}

type Place = {readonly line: number; readonly column: number};

class IniScanner {
	static create(known: KnownKeys): IniScanner {
		return new IniScanner(known);
	}

	readonly #known: KnownKeys;
	readonly #sections = new Map<string, {readonly line: number}>();
	readonly #entries = new Map<string, Entry>();
	readonly #problems: Problem[] = [];
	#section: string | undefined;
	/** True inside a section that was reported, whose keys are not judged. */
	#isSkipping = false;

	private constructor(known: KnownKeys) {
		this.#known = known;
	}

	scan(text: string): Scan {
		const lines = text.split(/\r\n|\n/u);
		for (const [i, line] of lines.entries()) {
			this.#readLine(line, i + 1);
		}

		return {
			sections: this.#sections, entries: [...this.#entries.values()], lineCount: lines.length, problems: this.#problems,
		};
	}

	#readLine(text: string, line: number): void {
		const forbidden = FORBIDDEN.exec(text);
		const column = text.search(/\S/u) + 1;
		if (forbidden !== null) {
			this.#report({line, column: forbidden.index + 1}, codePointName(forbidden[0]), 'printable text, spaces and tabs');
		} else if (text.trimStart().startsWith('[')) {
			this.#readHeader(text, line, column);
		} else if (column > 0 && !/^\s*[;#]/u.test(text) && !this.#isSkipping) {
			this.#readEntry(text, line, column);
		}
	}

	#readHeader(text: string, line: number, column: number): void {
		const name = HEADER.exec(text)?.groups?.name;
		const names = Object.keys(this.#known);
		const first = this.#sections.get(name ?? '');
		this.#section = name;
		this.#isSkipping = true;
		if (name === undefined) {
			this.#report({line, column}, text.trim(), 'a section such as [daemon] at the start of the line and nothing after it');
		} else if (!names.includes(name)) {
			this.#report({line, column}, `[${name}]`, `a section that is ${describeAllowedWords(name, names)}`);
		} else if (first === undefined) {
			this.#sections.set(name, {line});
			this.#isSkipping = false;
		} else {
			this.#report({line, column}, `[${name}]`, `each section once; the first is on line ${first.line}`);
		}
	}

	#readEntry(text: string, line: number, column: number): void {
		const sign = text.indexOf('=');
		const key = (sign === -1 ? text : text.slice(0, sign)).trim();
		const section = this.#section;
		if (section === undefined) {
			this.#report({line, column}, '(a line before any section)', `a section: ${Object.keys(this.#known).map(name => `[${name}]`).join(', ')}`);
			return;
		}

		const keys = this.#known[section] ?? [];
		const first = this.#entries.get(`${section}.${key}`);
		if (sign === -1) {
			this.#report({line, column}, '(a line without "=")', 'key = value');
		} else if (!keys.includes(key)) {
			this.#report({line, column}, key, `in [${section}] a key that is ${describeAllowedWords(key, keys)}`);
		} else if (first === undefined) {
			this.#addEntry(section, key, text, {line, column, sign});
		} else {
			this.#report({line, column}, key, `each key once; the first is on line ${first.line}`, `${section}.${key}`);
		}
	}

	#addEntry(section: string, key: string, text: string, place: Place & {readonly sign: number}): void {
		const rest = text.slice(place.sign + 1);
		const raw = rest.trim();
		const valueColumn = place.sign + 2 + rest.length - rest.trimStart().length;
		const mistake = findValueMistake(raw);
		if (mistake !== undefined) {
			this.#report({line: place.line, column: valueColumn}, mistake.read, mistake.allowed, `${section}.${key}`);
		}

		this.#entries.set(`${section}.${key}`, {
			section, key, line: place.line, column: place.column, valueColumn, isValid: mistake === undefined,
		});
	}

	#report(place: Place, read: string, allowed: string, key?: string): void {
		this.#problems.push({
			...place, ...(key === undefined ? {} : {key}), read, allowed,
		});
	}
}

/** Values that `ini` reads as something else than an operator means. */
function findValueMistake(raw: string): {readonly read: string; readonly allowed: string} | undefined {
	if (raw.startsWith('\'')) {
		return {read: '(a value in single quotes)', allowed: 'a value without quotes or in double quotes'};
	}

	if (raw.startsWith('"')) {
		return isJsonText(raw) ? undefined : {read: '(a value with a broken quotation)', allowed: 'a value in double quotes, as in JSON, and nothing after it'};
	}

	return /[^\s\\][;#]/u.test(raw)
		? {read: '(a value with ";" or "#" in it)', allowed: 'the value in double quotes, or a space before a comment'}
		: undefined;
}

function isJsonText(raw: string): boolean {
	try {
		return typeof JSON.parse(raw) === 'string';
	} catch {
		return false;
	}
}

function codePointName(character: string): string {
	return `U+${(character.codePointAt(0) ?? 0).toString(16).toUpperCase().padStart(4, '0')}`;
}
