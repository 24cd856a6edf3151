import {Buffer} from 'node:buffer';
import {readAsked} from './attribution.js';
import {checkAcrossLines, type LineProblem} from './cross-checks.js';
import type {Rule, RuleSet} from './model.js';
import type {Problem} from './problem.js';
import {createRuleSet} from './rule-set.js';
import {readSourceLine, splitLines, type SourceLine} from './source-line.js';
import {StatementReader} from './statement-reader.js';
import {parseStatement} from './statements.js';
import {
	failed, ok, type Finding, type Result,
} from '#core';

/** The platform holds values up to 1 MB; the rest is for the author and the write ids beside the text. */
export const maxRulesBytes = 900_000;

/** Longest line in characters. A workspace with four keys needs about 400. */
export const maxLineChars = 2000;

// Controls but the tab, lone surrogates, line separators, byte order marks, and marks that
// change the direction of text and can make a line read other than it is parsed.
const FORBIDDEN = /(?!\t)\p{Cc}|\p{Cs}|[\u2028-\u202E\u2066-\u2069\uFEFF]/gu;
const PLAIN_ASCII = /^[\t -~]*$/u;

/** A line with the outcome of reading it; `rule` is present when its words are valid. */
type LineOutcome = {
	readonly source?: SourceLine;
	readonly rule?: Rule;
	readonly problems: readonly Problem[];
};

/**
 * Parses a rules file.
 *
 * @param text - Content of the file.
 * @param file - Name of the file for the findings.
 * @returns The rules, or all findings in the order of their places.
 */
export function parseRules(text: string, file: string): Result<RuleSet, readonly Finding[]> {
	const bytes = Buffer.byteLength(text);
	if (bytes > maxRulesBytes) {
		return failed([{
			file, line: 1, column: 1, read: `${bytes} bytes`, allowed: `a file of at most ${maxRulesBytes} bytes`,
		}]);
	}

	const outcomes = splitLines(text).map((line, i) => parseLine(line, i + 1));
	const rules = outcomes.flatMap(({rule}) => rule === undefined ? [] : [rule]);
	const sources = outcomes.flatMap(({source}) => source === undefined ? [] : [source]);
	const problems: LineProblem[] = [
		...outcomes.flatMap((outcome, i) => outcome.problems.map(problem => ({...problem, line: i + 1}))),
		...checkAcrossLines(sources, rules),
	];
	return problems.length === 0
		? ok(createRuleSet(rules))
		: failed(problems.map(problem => ({file, ...problem})).toSorted((a, b) => a.line - b.line || a.column - b.column));
}

function parseLine(text: string, number: number): LineOutcome {
	const unreadable = findUnreadable(text);
	if (unreadable.length > 0) {
		return {problems: unreadable};
	}

	const source = readSourceLine(text, number);
	if (source.words.length === 0) {
		return {problems: []};
	}

	const reader = StatementReader.create(source);
	const problems: Problem[] = [];
	const asked = readAsked(source, problem => {
		problems.push(problem);
	});
	const rule = parseStatement(reader, {line: number, attribution: asked ?? {author: '', reason: ''}});
	problems.push(...reader.problems);
	// A rule without its comment still takes part in the checks across lines.
	return rule === undefined || reader.problems.length > 0 ? {source, problems} : {source, rule, problems};
}

function findUnreadable(text: string): readonly Problem[] {
	if (text.length > maxLineChars) {
		return [{column: maxLineChars + 1, read: `${text.length} characters`, allowed: `a line of at most ${maxLineChars} characters`}];
	}

	return PLAIN_ASCII.test(text)
		? []
		: [...text.matchAll(FORBIDDEN)].map(match => ({
			column: match.index + 1,
			read: codePointName(match[0]),
			allowed: 'printable text, spaces and tabs',
		}));
}

function codePointName(character: string): string {
	return `U+${(character.codePointAt(0) ?? 0).toString(16).toUpperCase().padStart(4, '0')}`;
}
