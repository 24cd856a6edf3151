/**
 * A finding is a problem in an operator's file. Findings are collected with their
 * positions and reported together, so that one run shows all problems to be fixed.
 */
export type Finding = {
	/** Path of the file as given by the operator. */
	readonly file: string;
	/** Line, starting at 1. */
	readonly line: number;
	/** Column in characters, starting at 1. */
	readonly column: number;
	/** Key of the setting or rule option, if any. */
	readonly key?: string;
	/** Text that was read. */
	readonly read: string;
	/** Description of the text that is allowed at this position. */
	readonly allowed: string;
};

/** Formats a finding as a single line without a line break. */
export function formatFinding(finding: Finding): string {
	const key = finding.key === undefined ? '' : ` ${finding.key}:`;
	return `${finding.file}:${finding.line}:${finding.column}:${key} read ${JSON.stringify(finding.read)}, allowed: ${finding.allowed}`;
}
