/** Checks that compare rules of different lines: duplicates, contradictions and references. */
import {ruleKey} from './diff.js';
import {formatStatement} from './format.js';
import type {AccessRule, Rule} from './model.js';
import {describeAllowedWords} from './word-suggestions.js';
import {excerpt, type Problem} from './problem.js';
import {createRuleSet} from './rule-set.js';
import type {SourceLine} from './source-line.js';

/** A problem with the number of its line. */
export type LineProblem = Problem & {readonly line: number};

const namedKinds = new Set(['workspace', 'model', 'experts', 'service', 'engines']);

/**
 * Checks all lines of a file against one another.
 *
 * @param lines - Lines that hold a rule, valid or not, so that a broken line still declares its name.
 * @param rules - Rules that were read without a problem.
 */
export function checkAcrossLines(lines: readonly SourceLine[], rules: readonly Rule[]): readonly LineProblem[] {
	const byNumber = new Map(lines.map(line => [line.number, line]));
	return [
		...findRepeatedNames(lines),
		...findSharedKeys(rules, byNumber),
		...findUnknownModels(lines),
		...findAccessConflicts(rules, byNumber),
	];
}

function findRepeatedNames(lines: readonly SourceLine[]): readonly LineProblem[] {
	const first = new Map<string, number>();
	const problems: LineProblem[] = [];
	for (const {number, words: [kind, name]} of lines) {
		if (kind === undefined || name === undefined || !namedKinds.has(kind.text)) {
			continue;
		}

		const key = `${kind.text} ${name.text}`;
		const earlier = first.get(key);
		if (earlier === undefined) {
			first.set(key, number);
		} else {
			problems.push({
				line: number, column: name.column, read: excerpt(key), allowed: `one line for each name; the first is line ${earlier}`,
			});
		}
	}

	return problems;
}

/** A key that two workspaces share could be charged to either. */
function findSharedKeys(rules: readonly Rule[], lines: ReadonlyMap<number, SourceLine>): readonly LineProblem[] {
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

		const known = models.size === 0 ? 'there is none' : describeAllowedWords(name.text, [...models]);
		return [{
			line: number, column: name.column, read: excerpt(name.text), allowed: `a model that has a model rule: ${known}`,
		}];
	});
}

/** Two rules that say when the same target opens and closes must not contradict each other. */
function findAccessConflicts(rules: readonly Rule[], lines: ReadonlyMap<number, SourceLine>): readonly LineProblem[] {
	const access = rules.filter(rule => rule.kind === 'access');
	const first = new Map<string, AccessRule>();
	const problems: LineProblem[] = [];
	const report = (rule: AccessRule, allowed: string) => {
		problems.push({
			line: rule.line,
			column: lines.get(rule.line)?.words[2]?.column ?? 1,
			read: excerpt(formatStatement(rule)),
			allowed,
		});
	};

	for (const rule of access) {
		const key = ruleKey(rule);
		const earlier = first.get(key);
		if (earlier === undefined) {
			first.set(key, rule);
		} else {
			report(rule, describeConflict(earlier, rule));
		}
	}

	for (const [key, group] of createRuleSet(access).access) {
		const open = first.get(`${key} state`);
		if (open?.access.kind === 'open' && startsClosed(group)) {
			report(open, 'no open rule for a target whose first planned change opens it, since it is closed until then');
		}
	}

	return problems;
}

function describeConflict(earlier: AccessRule, rule: AccessRule): string {
	const isRepeated = formatStatement(earlier) === formatStatement(rule);
	return isRepeated
		? `one line for each rule; the first is line ${earlier.line}`
		: `no contradiction of line ${earlier.line}, which reads ${formatStatement(earlier)}`;
}

function startsClosed(group: readonly AccessRule[]): boolean {
	const plans = group.flatMap(({access}) => 'at' in access ? [access] : []);
	return plans.toSorted((a, b) => a.at - b.at)[0]?.kind === 'open-at';
}

function columnOf(line: SourceLine | undefined, prefix: string): number {
	return line?.words.find(word => word.text.startsWith(prefix))?.column ?? 1;
}
