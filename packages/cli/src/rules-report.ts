/** How differences, conflicts and outcomes of changes to the rules are shown. */
import {
	exitCodes, printJson, type CliContext, type ExitCode,
} from './context.js';
import {describeFailure} from './rules-store.js';
import {formatTable, toPlain} from './table.js';
import {
	diffRules, formatRule, isEmptyDiff, parseRules, type Rule, type RulesDiff,
} from '#rules';
import type {ApplyResult, ConfigVersion, ConfigWrite} from '#coordination';

/**
 * Differences between two texts.
 *
 * @returns Undefined when the stored text has findings, for example because another version of the program wrote it.
 */
export function diffTexts(before: string, after: string): RulesDiff | undefined {
	const [old, next] = [parseRules(before, 'stored'), parseRules(after, 'new')];
	return old.kind === 'ok' && next.kind === 'ok' ? diffRules(old.value, next.value) : undefined;
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

/** Differences as JSON, each rule with its text and author; undefined when they cannot be told. */
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
export function formatWrites(writes: readonly ConfigWrite[]): string {
	return formatTable(
		['VERSION', 'TIME', 'AUTHOR', 'WRITE ID'],
		writes.map(write => [String(write.version), formatWriteTime(write.at), write.author, write.writeId]),
	);
}

/** A conflict as the operator sees it. */
export type Conflict = {
	/** Version that the change was made against. */
	readonly base: {readonly version: number; readonly text?: string};
	readonly current: ConfigVersion | undefined;
	readonly changes: readonly ConfigWrite[];
};

/** Tells what somebody else changed. */
export function reportConflict(context: CliContext, {base, current, changes}: Conflict, json: boolean): ExitCode {
	const diff = base.text === undefined || current === undefined ? undefined : diffTexts(base.text, current.text);
	const inForce = current === undefined ? 'there are no rules' : `version ${current.version} by ${toPlain(current.author)} is in force`;
	context.tell(`rules: conflict: ${inForce}, but the change was made for version ${base.version}; nothing was changed\n`);
	if (json) {
		printJson(context, {
			outcome: 'conflict', expected: base.version, current: current?.version ?? 0, changes, diff: diffToJson(diff),
		});
		return exitCodes.conflict;
	}

	if (changes.length > 0) {
		context.tell(`Changes since version ${base.version}:\n${formatWrites(changes)}`);
	}

	if (diff !== undefined) {
		context.tell(`Rules changed since version ${base.version}:\n${formatDiff(diff)}`);
	}

	return exitCodes.conflict;
}

/** Tells why a change was not accepted, or that its outcome is unknown. */
export function reportFailure(context: CliContext, answer: Exclude<ApplyResult, {readonly kind: 'accepted' | 'conflict'}>, json: boolean): ExitCode {
	const {exitCode, message} = describeFailure(answer.failure);
	const isUnknown = answer.kind === 'unresolved';
	const text = isUnknown
		? `rules: outcome unknown: ${message}; the change may be accepted. "rules history" lists write id ${answer.writeId} if it was\n`
		: `rules: ${message}; nothing was changed\n`;
	context.tell(text);
	if (json) {
		printJson(context, {outcome: isUnknown ? 'unknown' : 'failed', message, ...(isUnknown ? {writeId: answer.writeId} : {})});
	}

	return isUnknown ? exitCodes.unknown : exitCode;
}

/** Time of a write; the author's clock may hold anything. */
function formatWriteTime(at: number): string {
	const time = new Date(at);
	return Number.isNaN(time.getTime()) ? '-' : time.toISOString();
}
