import type {Attribution} from './model.js';
import {excerpt, type Problem} from './problem.js';
import type {SourceLine} from './source-line.js';

const COMMENT = /^[ \t]*asked by[ \t]+(?<author>[^:]*?)[ \t]*(?::(?<reason>.*))?$/iu;
const AUTHOR = /^(?=.*\p{L})[\p{L}\p{M}\p{N} .,'’_@\-\u200C\u200D]{1,64}$/u;
const COMMENT_ALLOWED = 'a comment "# asked by NAME: reason" that names who asked for the rule';
const AUTHOR_ALLOWED = 'a name of 1 to 64 letters, digits, spaces or . , \' _ @ -, with at least one letter';

/** Reads who asked for a rule from the comment at the end of its line. */
export function readAsked(line: SourceLine, report: (problem: Problem) => void): Attribution | undefined {
	const {comment} = line;
	const groups = comment === undefined ? undefined : COMMENT.exec(comment.text)?.groups;
	if (comment === undefined || groups === undefined) {
		report({
			column: comment?.column ?? line.endColumn,
			read: comment === undefined ? '' : excerpt(`#${comment.text}`),
			allowed: COMMENT_ALLOWED,
		});
		return undefined;
	}

	const author = normaliseAuthor(groups.author ?? '');
	if (!isValidAuthor(author)) {
		report({column: comment.column, read: excerpt(author), allowed: AUTHOR_ALLOWED});
		return undefined;
	}

	return {author, reason: (groups.reason ?? '').trim()};
}

/** True when a name can stand after `asked by`. */
export function isValidAuthor(name: string): boolean {
	return AUTHOR.test(name) && normaliseAuthor(name) === name;
}

function normaliseAuthor(text: string): string {
	return text.trim().replaceAll(/[ \t]+/gu, ' ');
}
