/** Edits of the text of a rules file that preserve the operators' comments, order and blank lines. */
import {formatRule} from './format.js';
import type {Rule} from './model.js';

/** Appends a rule as the last line. */
export function appendRule(text: string, rule: Rule): string {
	const separator = text === '' || text.endsWith('\n') ? '' : '\n';
	return `${text}${separator}${formatRule(rule)}\n`;
}

/** Removes the lines with these numbers, starting at 1. */
export function removeLines(text: string, numbers: readonly number[]): string {
	return text.split('\n').filter((_, i) => !numbers.includes(i + 1)).join('\n');
}
