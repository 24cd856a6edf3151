import {Buffer} from 'node:buffer';
import {readAttribution} from './attribution.js';
import {runCrossChecks, type LineProblem} from './cross-checks.js';
import type {Rule, RuleSet} from './model.js';
import type {Problem} from './problem.js';
import {createRuleSet} from './rule-set.js';
import {readSourceLine, splitLines, type SourceLine} from './source-line.js';
import {StatementReader} from './statement-reader.js';
import {parseStatement} from './statements.js';
import {
	failed, ok, type Finding, type Result,
} from '#core';

/** Maximum size of a rules file in bytes. The platform stores values up to 1 MB; the remainder is for the author and the write ids stored with the text. */
export const maxRulesBytes = 900_000;

/** Maximum line length in characters. A workspace with four keys needs about 400. */
export const maxLineChars = 2000;

// Control characters except tab, lone surrogates, line separators, byte order marks, and bidirectional
// formatting characters, which can make a line display differently from how it is parsed.
const FORBIDDEN_CHARACTERS = /(?!\t)\p{Cc}|\p{Cs}|[\u2028-\u202E\u2066-\u2069\uFEFF]/gu;
const PLAIN_ASCII = /^[\t -~]*$/u;

/** Result of parsing a line; `rule` is present if its words are valid. */
type ParsedLine = {
	readonly source?: SourceLine;
	readonly rule?: Rule;
	readonly problems: readonly Problem[];
};

/**
 * Parses a rules file.
 *
 * @param text - Content of the file.
 * @param file - File name used in the findings.
 * @returns The rules, or all findings ordered by line and column.
 */
export function parseRules(text: string, file: string): Result<RuleSet, readonly Finding[]> {
	const bytes = Buffer.byteLength(text);
	if (bytes > maxRulesBytes) {
		return failed([{
			file, line: 1, column: 1, read: `${bytes} bytes`, allowed: `a file of at most ${maxRulesBytes} bytes`,
		}]);
	}

	const parsedLines = splitLines(text).map((line, i) => parseLine(line, i + 1));
	const rules = parsedLines.flatMap(({rule}) => rule === undefined ? [] : [rule]);
	const sources = parsedLines.flatMap(({source}) => source === undefined ? [] : [source]);
	const problems: LineProblem[] = [
		...parsedLines.flatMap((parsedLine, i) => parsedLine.problems.map(problem => ({...problem, line: i + 1}))),
		...runCrossChecks(sources, rules),
	];
	return problems.length === 0
		? ok(createRuleSet(rules))
		: failed(problems.map(problem => ({file, ...problem})).toSorted((a, b) => a.line - b.line || a.column - b.column));
}

function parseLine(text: string, number: number): ParsedLine {
	const textProblems = findInvalidText(text);
	if (textProblems.length > 0) {
		return {problems: textProblems};
	}

	const source = readSourceLine(text, number);
	if (source.words.length === 0) {
		return {problems: []};
	}

	const reader = StatementReader.create(source);
	const problems: Problem[] = [];
	const attribution = readAttribution(source, problem => {
		problems.push(problem);
	});
	const rule = parseStatement(reader, {line: number, attribution: attribution ?? {author: '', reason: ''}});
	problems.push(...reader.problems);
	// A rule without a valid attribution comment is still included in the cross-line checks.
	return rule === undefined || reader.problems.length > 0 ? {source, problems} : {source, rule, problems};
}

function findInvalidText(text: string): readonly Problem[] {
	if (text.length > maxLineChars) {
		return [{column: maxLineChars + 1, read: `${text.length} characters`, allowed: `a line of at most ${maxLineChars} characters`}];
	}

	return PLAIN_ASCII.test(text)
		? []
		: [...text.matchAll(FORBIDDEN_CHARACTERS)].map(match => ({
			column: match.index + 1,
			read: codePointName(match[0]),
			allowed: 'printable text, spaces and tabs',
		}));
}

function codePointName(character: string): string {
	return `U+${(character.codePointAt(0) ?? 0).toString(16).toUpperCase().padStart(4, '0')}`;
}
