/** Tables for people. */

/** Aligns columns by spaces. Control characters from outside are replaced, so that they cannot steer a terminal. */
export function formatTable(header: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
	const cells = [header, ...rows].map(row => row.map(cell => toPlain(cell)));
	const widths = header.map((_, i) => Math.max(...cells.map(row => (row[i] ?? '').length)));
	return cells
		.map(row => `${row.map((cell, i) => cell.padEnd(widths[i] ?? 0)).join('  ').trimEnd()}\n`)
		.join('');
}

/** Text on one line without control characters. */
export function toPlain(text: string): string {
	return text.replaceAll(/[\p{Cc}\u2028-\u202E\u2066-\u2069]/gu, '?');
}

/** A number with at most one digit after the point; `-` when it is not known. */
export function formatNumber(value: number | undefined): string {
	return value === undefined ? '-' : String(Math.round(value * 10) / 10);
}

/** A duration in its largest fitting unit; `-` when it is not known. */
export function formatAge(ms: number | undefined): string {
	if (ms === undefined) {
		return '-';
	}

	if (ms < 1000) {
		return `${Math.round(ms)} ms`;
	}

	return ms < 120_000 ? `${Math.round(ms / 1000)} s` : `${Math.round(ms / 60_000)} min`;
}
