import type {Problem, Entry, Scan} from './scan.js';
import type {ValueReader} from './values.js';

/** Reads the keys of one section and adds a problem for each that is missing or not allowed. */
export class SectionReader {
	static create(name: string, scan: Scan, values: Readonly<Record<string, unknown>>, problems: Problem[]): SectionReader {
		return new SectionReader(name, scan, values, problems);
	}

	readonly #name: string;
	readonly #scan: Scan;
	readonly #values: Readonly<Record<string, unknown>>;
	readonly #problems: Problem[];

	private constructor(name: string, scan: Scan, values: Readonly<Record<string, unknown>>, problems: Problem[]) {
		this.#name = name;
		this.#scan = scan;
		this.#values = values;
		this.#problems = problems;
	}

	/** Place of a key, if the section has it. */
	entry(key: string): Entry | undefined {
		return this.#scan.entries.find(entry => entry.section === this.#name && entry.key === key);
	}

	/** The value of a key that must be there. Undefined after a problem. */
	required<Value>(key: string, read: ValueReader<Value>, allowed = `${key} = ...`): Value | undefined {
		if (this.entry(key) === undefined) {
			this.reportMissing(key, allowed);
		}

		return this.#read(key, read);
	}

	/** The value of a key that may be left out. Undefined after a problem. */
	optional<Value>(key: string, read: ValueReader<Value>, fallback: Value): Value | undefined {
		return this.entry(key) === undefined ? fallback : this.#read(key, read);
	}

	/** The value of one of two keys that exclude each other. */
	either<Value>(first: readonly [string, ValueReader<Value>], second: readonly [string, ValueReader<Value>]): Value | undefined {
		const extra = this.entry(second[0]);
		if (this.entry(first[0]) !== undefined && extra !== undefined) {
			this.report(extra, second[0], `either ${first[0]} or ${second[0]}`, extra.column);
		}

		return extra === undefined
			? this.required(first[0], first[1], `${first[0]} = ... or ${second[0]} = ...`)
			: this.#read(second[0], second[1]);
	}

	/** Adds a problem for each of these keys that is present. */
	forbid(keys: readonly string[], allowed: string): void {
		for (const key of keys) {
			const entry = this.entry(key);
			if (entry !== undefined) {
				this.report(entry, key, allowed, entry.column);
			}
		}
	}

	/** Adds a problem about a key that is present. */
	report(entry: Entry, read: string, allowed: string, column = entry.valueColumn): void {
		this.#problems.push({
			line: entry.line, column, key: `${this.#name}.${entry.key}`, read, allowed,
		});
	}

	/** Adds a problem for a missing key at the section's header, or at the end when there is no such section. */
	reportMissing(key: string, allowed: string): void {
		const line = this.#scan.sections.get(this.#name)?.line;
		this.#problems.push({
			line: line ?? this.#scan.lineCount,
			column: 1,
			key: `${this.#name}.${key}`,
			read: '',
			allowed: line === undefined ? `${allowed} in a section [${this.#name}]` : allowed,
		});
	}

	#read<Value>(key: string, read: ValueReader<Value>): Value | undefined {
		const entry = this.entry(key);
		if (!entry?.isValid) {
			return undefined;
		}

		// The library turns the words true, false and null into values of their own.
		const text = String(this.#values[key]);
		const result = read(text);
		if (result.kind === 'ok') {
			return result.value;
		}

		this.report(entry, result.failure.read ?? text, result.failure.allowed);
		return undefined;
	}
}
