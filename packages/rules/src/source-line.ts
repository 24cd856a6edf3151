/** Splits the text of a rules file into lines, words and comments, and records their columns. */

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
	/** Words that precede the comment. */
	readonly words: readonly Word[];
	/** Text after the `#`. Absent if the line has no comment. */
	readonly comment?: Word;
	/** Column after the last word; problems about a missing word are reported there. */
	readonly endColumn: number;
};

/** Splits text into lines that end with LF or CRLF. */
export function splitLines(text: string): readonly string[] {
	return text.split('\n').map(line => line.endsWith('\r') ? line.slice(0, -1) : line);
}

/** Splits one line into its words and its comment. */
export function readSourceLine(text: string, number: number): SourceLine {
	const commentStart = text.indexOf('#');
	const statement = commentStart === -1 ? text : text.slice(0, commentStart);
	const words = splitWords(statement);
	const last = words.at(-1);
	const line = {
		number, text, words, endColumn: last === undefined ? 1 : last.column + last.text.length,
	};
	return commentStart === -1 ? line : {...line, comment: {text: text.slice(commentStart + 1), column: commentStart + 1}};
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
