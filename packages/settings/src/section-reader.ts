import type {Problem, IniEntry, IniScan} from './scan.js';
import type {ValueReader} from './values.js';

/** Reads the keys of one section and adds a problem for each missing or invalid one. */
export class SectionReader {
	static create(name: string, scan: IniScan, values: Readonly<Record<string, unknown>>, problems: Problem[]): SectionReader {
		return new SectionReader(name, scan, values, problems);
	}

	readonly #name: string;
	readonly #scan: IniScan;
	readonly #values: Readonly<Record<string, unknown>>;
	readonly #problems: Problem[];

	private constructor(name: string, scan: IniScan, values: Readonly<Record<string, unknown>>, problems: Problem[]) {
		this.#name = name;
		this.#scan = scan;
		this.#values = values;
		this.#problems = problems;
	}

	/** Returns the position of a key, if the section contains it. */
	entry(key: string): IniEntry | undefined {
		return this.#scan.entries.find(entry => entry.section === this.#name && entry.key === key);
	}

	/** Reads a required key. Returns undefined if a problem was reported. */
	required<Value>(key: string, read: ValueReader<Value>, allowed = `${key} = ...`): Value | undefined {
		if (this.entry(key) === undefined) {
			this.reportMissing(key, allowed);
		}

		return this.#read(key, read);
	}

	/** Reads an optional key. Returns undefined if a problem was reported. */
	optional<Value>(key: string, read: ValueReader<Value>, fallback: Value): Value | undefined {
		return this.entry(key) === undefined ? fallback : this.#read(key, read);
	}

	/** Reads one of two mutually exclusive keys, one of which is required. */
	either<Value>(first: readonly [string, ValueReader<Value>], second: readonly [string, ValueReader<Value>]): Value | undefined {
		const secondEntry = this.entry(second[0]);
		if (this.entry(first[0]) !== undefined && secondEntry !== undefined) {
			this.report(secondEntry, second[0], `either ${first[0]} or ${second[0]}`, secondEntry.column);
		}

		return secondEntry === undefined
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

	/** Adds a problem for a key that is present. */
	report(entry: IniEntry, read: string, allowed: string, column = entry.valueColumn): void {
		this.#problems.push({
			line: entry.line, column, key: `${this.#name}.${entry.key}`, read, allowed,
		});
	}

	/** Adds a problem for a missing key at the section header, or at the end of the text if the section is missing. */
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

		// The `ini` library converts the words true, false and null to non-string values.
		const text = String(this.#values[key]);
		const result = read(text);
		if (result.kind === 'ok') {
			return result.value;
		}

		this.report(entry, result.failure.read ?? text, result.failure.allowed);
		return undefined;
	}
}
