/**
 * A finding is one problem in an operator's file. Findings are collected with their
 * place and reported together, so that one run shows everything that must be mended.
 */
export type Finding = {
	/** Path of the file as the operator named it. */
	readonly file: string;
	/** Line, starting at 1. */
	readonly line: number;
	/** Column in characters, starting at 1. */
	readonly column: number;
	/** Setting or rule key that the finding is about, if any. */
	readonly key?: string;
	/** What was read. */
	readonly read: string;
	/** What is allowed in that place. */
	readonly allowed: string;
};

/** Renders one finding as a single line of text without a line break. */
export function formatFinding(finding: Finding): string {
	const key = finding.key === undefined ? '' : ` ${finding.key}:`;
	return `${finding.file}:${finding.line}:${finding.column}:${key} read ${JSON.stringify(finding.read)}, allowed: ${finding.allowed}`;
}
