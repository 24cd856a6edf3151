/** Formats and prints differences, conflicts and failed changes of the rules. */
import {
	exitCodes, printJson, type CliContext, type ExitCode,
} from './context.js';
import {describeFailure} from './rules-store.js';
import {formatTable, replaceControlCharacters} from './table.js';
import {
	diffRules, formatRule, isEmptyDiff, parseRules, type Rule, type RulesDiff,
} from '#rules';
import type {ApplyResult, ConfigVersion, ConfigWrite} from '#coordination';

/**
 * Differences between the rules in two texts.
 *
 * @returns Undefined when either text has findings, for example because another version of the program wrote it.
 */
export function diffRulesTexts(before: string, after: string): RulesDiff | undefined {
	const [previous, updated] = [parseRules(before, 'stored'), parseRules(after, 'new')];
	return previous.kind === 'ok' && updated.kind === 'ok' ? diffRules(previous.value, updated.value) : undefined;
}

/** Lists removed, changed and added rules, one a line, with who asked for them. */
export function formatDiff(diff: RulesDiff | undefined): string {
	if (diff === undefined) {
		return 'The stored rules have findings and cannot be compared.\n';
	}

	if (isEmptyDiff(diff)) {
		return 'No rule differs.\n';
	}

	return [
		...diff.removed.map(rule => `- ${formatRule(rule)}\n`),
		...diff.changed.map(({before, after}) => `- ${formatRule(before)}\n+ ${formatRule(after)}\n`),
		...diff.added.map(rule => `+ ${formatRule(rule)}\n`),
	].join('');
}

/** Differences as JSON, each rule with its text, author and line; undefined when the texts could not be compared. */
export function diffToJson(diff: RulesDiff | undefined) {
	const toJson = (rule: Rule) => ({text: formatRule(rule), author: rule.attribution.author, line: rule.line});
	return diff === undefined
		? undefined
		: {
			added: diff.added.map(rule => toJson(rule)),
			removed: diff.removed.map(rule => toJson(rule)),
			changed: diff.changed.map(({before, after}) => ({before: toJson(before), after: toJson(after)})),
		};
}

/** Table of accepted writes. */
export function formatHistory(writes: readonly ConfigWrite[]): string {
	return formatTable(
		['VERSION', 'TIME', 'AUTHOR', 'WRITE ID'],
		writes.map(write => [String(write.version), formatWriteTime(write.at), write.author, write.writeId]),
	);
}

/** A conflict between a change and the rules in force. */
export type Conflict = {
	/** Version that the change was based on. */
	readonly base: {readonly version: number; readonly text?: string};
	readonly current: ConfigVersion | undefined;
	readonly changes: readonly ConfigWrite[];
};

/** Reports a conflict and what was changed since the base version. */
export function reportConflict(context: CliContext, {base, current, changes}: Conflict, json: boolean): ExitCode {
	const diff = base.text === undefined || current === undefined ? undefined : diffRulesTexts(base.text, current.text);
	const currentText = current === undefined ? 'there are no rules' : `version ${current.version} by ${replaceControlCharacters(current.author)} is in force`;
	context.writeStderr(`rules: conflict: ${currentText}, but the change was made for version ${base.version}; nothing was changed\n`);
	if (json) {
		printJson(context, {
			outcome: 'conflict', expected: base.version, current: current?.version ?? 0, changes, diff: diffToJson(diff),
		});
		return exitCodes.conflict;
	}

	if (changes.length > 0) {
		context.writeStderr(`Changes since version ${base.version}:\n${formatHistory(changes)}`);
	}

	if (diff !== undefined) {
		context.writeStderr(`Rules changed since version ${base.version}:\n${formatDiff(diff)}`);
	}

	return exitCodes.conflict;
}

/** Reports why a change was not accepted, or that its outcome is unknown. */
export function reportFailure(context: CliContext, result: Exclude<ApplyResult, {readonly kind: 'accepted' | 'conflict'}>, json: boolean): ExitCode {
	const {exitCode, message} = describeFailure(result.failure);
	const isUnknown = result.kind === 'unresolved';
	const text = isUnknown
		? `rules: outcome unknown: ${message}; the change may be accepted. "rules history" lists write id ${result.writeId} if it was\n`
		: `rules: ${message}; nothing was changed\n`;
	context.writeStderr(text);
	if (json) {
		printJson(context, {outcome: isUnknown ? 'unknown' : 'failed', message, ...(isUnknown ? {writeId: result.writeId} : {})});
	}

	return isUnknown ? exitCodes.unknown : exitCode;
}

/** Time of a write, or `-` when it is out of range, since it comes from the author's clock. */
function formatWriteTime(at: number): string {
	const date = new Date(at);
	return Number.isNaN(date.getTime()) ? '-' : date.toISOString();
}
