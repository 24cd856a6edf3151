import {describeAllowedWords} from './word-suggestions.js';
import {truncate, type Problem, type ValueReader} from './problem.js';
import type {SourceLine, Word} from './source-line.js';
import type {Result} from '#core';

/** Value readers of the options of one kind of rule, by key. */
export type OptionReaders = Readonly<Record<string, ValueReader<unknown>>>;

/** Values of the options that were read without a problem. */
export type OptionValues<Readers extends OptionReaders> = {
	readonly [Key in keyof Readers]?: Readers[Key] extends ValueReader<infer Value> ? Value : never;
};

/** Reads the words of one line in order and collects the problems. */
export class StatementReader {
	static create(line: SourceLine): StatementReader {
		return new StatementReader(line);
	}

	readonly #line: SourceLine;
	readonly #problems: Problem[] = [];
	#position = 0;

	private constructor(line: SourceLine) {
		this.#line = line;
	}

	/** Problems found so far, in the order of discovery. */
	get problems(): readonly Problem[] {
		return this.#problems;
	}

	/** True if all words have been read. */
	get isAtEnd(): boolean {
		return this.#position >= this.#line.words.length;
	}

	/** Adds a problem that involves several words. It is reported at the option `key`, or at the end of the line if the option is missing. */
	addProblem(key: string, read: string, allowed: string): void {
		const word = this.#line.words.find(({text}) => text.startsWith(`${key}=`));
		this.#problems.push({
			column: word?.column ?? this.#line.endColumn, key, read: truncate(read), allowed,
		});
	}

	/** Reads the next word, which must be one of `words`. Returns undefined if a problem was reported. */
	keyword<Allowed extends string>(words: readonly Allowed[]): Allowed | undefined {
		const word = this.#next(() => describeAllowedWords('', words));
		const keyword = words.find(candidate => candidate === word?.text);
		if (word !== undefined && keyword === undefined) {
			this.#problems.push({column: word.column, read: truncate(word.text), allowed: describeAllowedWords(word.text, words)});
		}

		return keyword;
	}

	/** Reads the next word with `read`. Returns undefined if a problem was reported. */
	value<Value>(description: string, read: ValueReader<Value>): Value | undefined {
		const word = this.#next(() => description);
		return word === undefined ? undefined : this.#unwrap(read(word.text), word.column);
	}

	/** Reports a problem if words remain after the end of the rule. */
	expectEnd(): void {
		const word = this.#line.words[this.#position];
		if (word !== undefined) {
			this.#problems.push({column: word.column, read: truncate(word.text), allowed: 'a comment or the end of the line'});
		}
	}

	/** Reads all remaining words as `key=value` options. Missing keys of `required` are reported as problems. */
	options<Readers extends OptionReaders>(readers: Readers, required: ReadonlyArray<keyof Readers & string>): OptionValues<Readers> {
		const values = new Map<string, unknown>();
		const seen = new Set<string>();
		for (const word of this.#line.words.slice(this.#position)) {
			const [key, value] = splitOption(word.text);
			const read = Object.hasOwn(readers, key) ? readers[key] : undefined;
			if (read === undefined || value === undefined) {
				this.#problems.push({column: word.column, read: truncate(word.text), allowed: describeOptions(key, Object.keys(readers))});
			} else if (seen.has(key)) {
				this.#problems.push({
					column: word.column, key, read: truncate(word.text), allowed: 'each option once',
				});
			} else {
				values.set(key, this.#unwrap(read(value), word.column + key.length + 1, key));
			}

			seen.add(key);
		}

		for (const key of required.filter(name => !seen.has(name))) {
			this.#problems.push({
				column: this.#line.endColumn, key, read: '', allowed: `${key}=...`,
			});
		}

		return Object.fromEntries([...values].filter(([, value]) => value !== undefined)) as OptionValues<Readers>;
	}

	#next(allowed: () => string): Word | undefined {
		const word = this.#line.words[this.#position];
		if (word === undefined) {
			this.#problems.push({column: this.#line.endColumn, read: '', allowed: allowed()});
			return undefined;
		}

		this.#position += 1;
		return word;
	}

	#unwrap<Value>(
		result: Result<Value, ReadonlyArray<{readonly offset: number; readonly read: string; readonly allowed: string}>>,
		column: number,
		key?: string,
	): Value | undefined {
		if (result.kind === 'ok') {
			return result.value;
		}

		const keyField = key === undefined ? {} : {key};
		this.#problems.push(...result.failure.map(({offset, read, allowed}) => ({
			column: column + offset, ...keyField, read, allowed,
		})));
		return undefined;
	}
}

function splitOption(text: string): readonly [string, string | undefined] {
	const equalsIndex = text.indexOf('=');
	return equalsIndex === -1 ? [text, undefined] : [text.slice(0, equalsIndex), text.slice(equalsIndex + 1)];
}

function describeOptions(key: string, keys: readonly string[]): string {
	return `key=value with a key that is ${describeAllowedWords(key, keys)}`;
}
