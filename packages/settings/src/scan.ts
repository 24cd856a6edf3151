/**
 * Determines the positions of sections and keys in INI text. The `ini` library returns values without
 * positions and silently accepts several kinds of mistakes, which this scanner reports. No problem
 * contains a value, since any line may contain a key.
 */
import type {Finding} from '#core';
import {describeAllowedWords} from '#rules';

/** A finding without its file name. */
export type Problem = Omit<Finding, 'file'>;

/** Position of a `key = value` line. */
export type IniEntry = {
	readonly section: string;
	readonly key: string;
	readonly line: number;
	/** Column of the key, starting at 1. */
	readonly column: number;
	/** Column of the value, or after the end of the line if the value is empty. */
	readonly valueColumn: number;
	/** False if a problem was found in the line; its value is then not used. */
	readonly isValid: boolean;
};

/** Sections and entries in the order of their lines. */
export type IniScan = {
	readonly sections: ReadonlyMap<string, {readonly line: number}>;
	readonly entries: readonly IniEntry[];
	readonly lineCount: number;
	readonly problems: readonly Problem[];
};

/** Known keys by section name. */
export type KnownKeys = Readonly<Record<string, readonly string[]>>;

const FORBIDDEN_CHARACTERS = /(?!\t)\p{Cc}|\p{Cs}|[\u2028-\u202E\u2066-\u2069\uFEFF]/u;
const HEADER = /^\[(?<name>[^\]]*)\][ \t]*$/u;

/** Scans the text; unknown and duplicate sections and keys are reported as problems. */
export function scanIni(text: string, known: KnownKeys): IniScan {
	return IniScanner.create(known).scan(text);
}

type Position = {readonly line: number; readonly column: number};

class IniScanner {
	static create(known: KnownKeys): IniScanner {
		return new IniScanner(known);
	}

	readonly #known: KnownKeys;
	readonly #sections = new Map<string, {readonly line: number}>();
	readonly #entries = new Map<string, IniEntry>();
	readonly #problems: Problem[] = [];
	#section: string | undefined;
	/** True inside a section that was reported as a problem; its keys are not checked. */
	#isSkippingSection = false;

	private constructor(known: KnownKeys) {
		this.#known = known;
	}

	scan(text: string): IniScan {
		const lines = text.split(/\r\n|\n/u);
		for (const [i, line] of lines.entries()) {
			this.#readLine(line, i + 1);
		}

		return {
			sections: this.#sections, entries: [...this.#entries.values()], lineCount: lines.length, problems: this.#problems,
		};
	}

	#readLine(text: string, line: number): void {
		const forbidden = FORBIDDEN_CHARACTERS.exec(text);
		const column = text.search(/\S/u) + 1;
		if (forbidden !== null) {
			this.#report({line, column: forbidden.index + 1}, codePointName(forbidden[0]), 'printable text, spaces and tabs');
		} else if (text.trimStart().startsWith('[')) {
			this.#readHeader(text, line, column);
		} else if (column > 0 && !/^\s*[;#]/u.test(text) && !this.#isSkippingSection) {
			this.#readEntry(text, line, column);
		}
	}

	#readHeader(text: string, line: number, column: number): void {
		const name = HEADER.exec(text)?.groups?.name;
		const names = Object.keys(this.#known);
		const firstSection = this.#sections.get(name ?? '');
		this.#section = name;
		this.#isSkippingSection = true;
		if (name === undefined) {
			this.#report({line, column}, text.trim(), 'a section such as [daemon] at the start of the line and nothing after it');
		} else if (!names.includes(name)) {
			this.#report({line, column}, `[${name}]`, `a section that is ${describeAllowedWords(name, names)}`);
		} else if (firstSection === undefined) {
			this.#sections.set(name, {line});
			this.#isSkippingSection = false;
		} else {
			this.#report({line, column}, `[${name}]`, `each section once; the first is on line ${firstSection.line}`);
		}
	}

	#readEntry(text: string, line: number, column: number): void {
		const equalsIndex = text.indexOf('=');
		const key = (equalsIndex === -1 ? text : text.slice(0, equalsIndex)).trim();
		const section = this.#section;
		if (section === undefined) {
			this.#report({line, column}, '(a line before any section)', `a section: ${Object.keys(this.#known).map(name => `[${name}]`).join(', ')}`);
			return;
		}

		const keys = this.#known[section] ?? [];
		const firstEntry = this.#entries.get(`${section}.${key}`);
		if (equalsIndex === -1) {
			this.#report({line, column}, '(a line without "=")', 'key = value');
		} else if (!keys.includes(key)) {
			this.#report({line, column}, key, `in [${section}] a key that is ${describeAllowedWords(key, keys)}`);
		} else if (firstEntry === undefined) {
			this.#addEntry(section, key, text, {line, column, equalsIndex});
		} else {
			this.#report({line, column}, key, `each key once; the first is on line ${firstEntry.line}`, `${section}.${key}`);
		}
	}

	#addEntry(section: string, key: string, text: string, position: Position & {readonly equalsIndex: number}): void {
		const rest = text.slice(position.equalsIndex + 1);
		const rawValue = rest.trim();
		const valueColumn = position.equalsIndex + 2 + rest.length - rest.trimStart().length;
		const problem = findQuotingProblem(rawValue);
		if (problem !== undefined) {
			this.#report({line: position.line, column: valueColumn}, problem.read, problem.allowed, `${section}.${key}`);
		}

		this.#entries.set(`${section}.${key}`, {
			section, key, line: position.line, column: position.column, valueColumn, isValid: problem === undefined,
		});
	}

	#report(position: Position, read: string, allowed: string, key?: string): void {
		this.#problems.push({
			...position, ...(key === undefined ? {} : {key}), read, allowed,
		});
	}
}

/** Finds quoting mistakes, which make `ini` read a different value than intended. */
function findQuotingProblem(rawValue: string): {readonly read: string; readonly allowed: string} | undefined {
	if (rawValue.startsWith('\'')) {
		return {read: '(a value in single quotes)', allowed: 'a value without quotes or in double quotes'};
	}

	if (rawValue.startsWith('"')) {
		return isJsonString(rawValue) ? undefined : {read: '(a value with a broken quotation)', allowed: 'a value in double quotes, as in JSON, and nothing after it'};
	}

	return /[^\s\\][;#]/u.test(rawValue)
		? {read: '(a value with ";" or "#" in it)', allowed: 'the value in double quotes, or a space before a comment'}
		: undefined;
}

function isJsonString(rawValue: string): boolean {
	try {
		return typeof JSON.parse(rawValue) === 'string';
	} catch {
		return false;
	}
}

function codePointName(character: string): string {
	return `U+${(character.codePointAt(0) ?? 0).toString(16).toUpperCase().padStart(4, '0')}`;
}
