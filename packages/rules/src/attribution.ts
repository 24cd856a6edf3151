import type {Attribution} from './model.js';
import {truncate, type Problem} from './problem.js';
import type {SourceLine} from './source-line.js';

const ATTRIBUTION_COMMENT = /^[ \t]*asked by[ \t]+(?<author>[^:]*?)[ \t]*(?::(?<reason>.*))?$/iu;
const AUTHOR = /^(?=.*\p{L})[\p{L}\p{M}\p{N} .,'’_@\-\u200C\u200D]{1,64}$/u;
const COMMENT_SYNTAX = 'a comment "# asked by NAME: reason" that names who asked for the rule';
const AUTHOR_SYNTAX = 'a name of 1 to 64 letters, digits, spaces or . , \' _ @ -, with at least one letter';

/** Reads the author and the reason of a rule from the comment at the end of its line. */
export function readAttribution(line: SourceLine, report: (problem: Problem) => void): Attribution | undefined {
	const {comment} = line;
	const groups = comment === undefined ? undefined : ATTRIBUTION_COMMENT.exec(comment.text)?.groups;
	if (comment === undefined || groups === undefined) {
		report({
			column: comment?.column ?? line.endColumn,
			read: comment === undefined ? '' : truncate(`#${comment.text}`),
			allowed: COMMENT_SYNTAX,
		});
		return undefined;
	}

	const author = normaliseAuthor(groups.author ?? '');
	if (!isValidAuthor(author)) {
		report({column: comment.column, read: truncate(author), allowed: AUTHOR_SYNTAX});
		return undefined;
	}

	return {author, reason: (groups.reason ?? '').trim()};
}

/** True if the name is valid after `asked by`. */
export function isValidAuthor(name: string): boolean {
	return AUTHOR.test(name) && normaliseAuthor(name) === name;
}

function normaliseAuthor(text: string): string {
	return text.trim().replaceAll(/[ \t]+/gu, ' ');
}
