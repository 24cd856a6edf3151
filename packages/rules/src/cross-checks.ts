/** Checks that compare rules of different lines: duplicates, contradictions and references. */
import {ruleKey} from './diff.js';
import {formatStatement} from './format.js';
import type {AccessRule, Rule} from './model.js';
import {describeAllowedWords} from './word-suggestions.js';
import {truncate, type Problem} from './problem.js';
import {createRuleSet} from './rule-set.js';
import type {SourceLine} from './source-line.js';

/** A problem with its line number. */
export type LineProblem = Problem & {readonly line: number};

const namedKinds = new Set(['workspace', 'model', 'experts', 'service', 'engines']);

/**
 * Runs the checks that involve more than one line of a file.
 *
 * @param lines - Lines that contain a rule, including invalid ones, so that an invalid line still declares its name.
 * @param rules - Rules that were parsed without a problem.
 */
export function runCrossChecks(lines: readonly SourceLine[], rules: readonly Rule[]): readonly LineProblem[] {
	const linesByNumber = new Map(lines.map(line => [line.number, line]));
	return [
		...findDuplicateNames(lines),
		...findDuplicateKeys(rules, linesByNumber),
		...findUnknownModels(lines),
		...findAccessConflicts(rules, linesByNumber),
	];
}

function findDuplicateNames(lines: readonly SourceLine[]): readonly LineProblem[] {
	const firstLines = new Map<string, number>();
	const problems: LineProblem[] = [];
	for (const {number, words: [kind, name]} of lines) {
		if (kind === undefined || name === undefined || !namedKinds.has(kind.text)) {
			continue;
		}

		const key = `${kind.text} ${name.text}`;
		const firstLine = firstLines.get(key);
		if (firstLine === undefined) {
			firstLines.set(key, number);
		} else {
			problems.push({
				line: number, column: name.column, read: truncate(key), allowed: `one line for each name; the first is line ${firstLine}`,
			});
		}
	}

	return problems;
}

/** Requires keys to be unique to a workspace, since usage of a shared key could be charged to either workspace. */
function findDuplicateKeys(rules: readonly Rule[], lines: ReadonlyMap<number, SourceLine>): readonly LineProblem[] {
	const owners = new Map<string, {readonly name: string; readonly line: number}>();
	const problems: LineProblem[] = [];
	for (const rule of rules) {
		if (rule.kind !== 'workspace') {
			continue;
		}

		for (const hash of rule.keyHashes) {
			const owner = owners.get(hash);
			if (owner === undefined || owner.name === rule.name) {
				owners.set(hash, rule);
				continue;
			}

			problems.push({
				line: rule.line,
				column: columnOf(lines.get(rule.line), 'key-sha256='),
				key: 'key-sha256',
				read: hash,
				allowed: `a key of one workspace only; ${owner.name} on line ${owner.line} has the same`,
			});
		}
	}

	return problems;
}

function findUnknownModels(lines: readonly SourceLine[]): readonly LineProblem[] {
	const declared = lines.filter(line => line.words[0]?.text === 'model').map(line => line.words[1]?.text ?? '');
	const models = new Set(declared);
	return lines.flatMap(({number, words: [kind, name]}) => {
		if (kind?.text !== 'experts' || name === undefined || models.has(name.text)) {
			return [];
		}

		const hint = models.size === 0 ? 'there is none' : describeAllowedWords(name.text, [...models]);
		return [{
			line: number, column: name.column, read: truncate(name.text), allowed: `a model that has a model rule: ${hint}`,
		}];
	});
}

/** Reports access rules for the same target that contradict each other. */
function findAccessConflicts(rules: readonly Rule[], lines: ReadonlyMap<number, SourceLine>): readonly LineProblem[] {
	const access = rules.filter(rule => rule.kind === 'access');
	const firstRules = new Map<string, AccessRule>();
	const problems: LineProblem[] = [];
	const report = (rule: AccessRule, allowed: string) => {
		problems.push({
			line: rule.line,
			column: lines.get(rule.line)?.words[2]?.column ?? 1,
			read: truncate(formatStatement(rule)),
			allowed,
		});
	};

	for (const rule of access) {
		const key = ruleKey(rule);
		const earlier = firstRules.get(key);
		if (earlier === undefined) {
			firstRules.set(key, rule);
		} else {
			report(rule, describeConflict(earlier, rule));
		}
	}

	for (const [key, targetRules] of createRuleSet(access).access) {
		const openRule = firstRules.get(`${key} state`);
		if (openRule?.access.kind === 'open' && startsClosed(targetRules)) {
			report(openRule, 'no open rule for a target whose first planned change opens it, since it is closed until then');
		}
	}

	return problems;
}

function describeConflict(earlier: AccessRule, rule: AccessRule): string {
	const isDuplicate = formatStatement(earlier) === formatStatement(rule);
	return isDuplicate
		? `one line for each rule; the first is line ${earlier.line}`
		: `no contradiction of line ${earlier.line}, which reads ${formatStatement(earlier)}`;
}

function startsClosed(rules: readonly AccessRule[]): boolean {
	const scheduled = rules.flatMap(({access}) => 'at' in access ? [access] : []);
	return scheduled.toSorted((a, b) => a.at - b.at)[0]?.kind === 'open-at';
}

function columnOf(line: SourceLine | undefined, prefix: string): number {
	return line?.words.find(word => word.text.startsWith(prefix))?.column ?? 1;
}
