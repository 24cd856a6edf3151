import type {Finding, Result} from '#core';

/** A finding within a line; its file and line number are added later. */
export type Problem = Omit<Finding, 'file' | 'line'>;

/** A problem within a value; `offset` counts characters from the start of the value. */
export type ValueProblem = {
	readonly offset: number;
	readonly read: string;
	readonly allowed: string;
};

/** Parses one value of a rule. */
export type ValueReader<Value> = (text: string) => Result<Value, readonly ValueProblem[]>;

const MAX_EXCERPT_CHARS = 80;

/** Truncates text from the file for use in a message. */
export function truncate(text: string): string {
	return text.length > MAX_EXCERPT_CHARS ? `${text.slice(0, MAX_EXCERPT_CHARS)}...` : text;
}
