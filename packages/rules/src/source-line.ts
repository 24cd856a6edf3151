/** Splits the text of a rules file into lines, words and comments, with their columns. */

/** A word of a rule. */
export type Word = {
	readonly text: string;
	/** Column in characters, starting at 1. */
	readonly column: number;
};

/** One line of the file. */
export type SourceLine = {
	/** Starting at 1. */
	readonly number: number;
	readonly text: string;
	/** Words before the comment. */
	readonly words: readonly Word[];
	/** Text after `#`, without the sign. Absent when the line has no comment. */
	readonly comment?: Word;
	/** Column after the last word, where a missing word belongs. */
	readonly endColumn: number;
};

/** Splits at line feeds; a carriage return before one belongs to the line end. */
export function splitLines(text: string): readonly string[] {
	return text.split('\n').map(line => line.endsWith('\r') ? line.slice(0, -1) : line);
}

/** Reads the words and the comment of one line. */
export function readSourceLine(text: string, number: number): SourceLine {
	const sign = text.indexOf('#');
	const statement = sign === -1 ? text : text.slice(0, sign);
	const words = splitWords(statement);
	const last = words.at(-1);
	const line = {
		number, text, words, endColumn: last === undefined ? 1 : last.column + last.text.length,
	};
	return sign === -1 ? line : {...line, comment: {text: text.slice(sign + 1), column: sign + 1}};
}

function splitWords(statement: string): readonly Word[] {
	const words: Word[] = [];
	let column = 1;
	for (const text of statement.replaceAll('\t', ' ').split(' ')) {
		if (text !== '') {
			words.push({text, column});
		}

		column += text.length + 1;
	}

	return words;
}
