/** Formatting of tables and values for the terminal. */

/** Aligns columns with spaces. Control characters are replaced, since untrusted text could send escape sequences to the terminal. */
export function formatTable(header: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
	const cells = [header, ...rows].map(row => row.map(cell => replaceControlCharacters(cell)));
	const widths = header.map((_, i) => Math.max(...cells.map(row => (row[i] ?? '').length)));
	return cells
		.map(row => `${row.map((cell, i) => cell.padEnd(widths[i] ?? 0)).join('  ').trimEnd()}\n`)
		.join('');
}

/** Replaces control characters, line breaks and bidirectional controls by `?`. */
export function replaceControlCharacters(text: string): string {
	return text.replaceAll(/[\p{Cc}\u2028-\u202E\u2066-\u2069]/gu, '?');
}

/** A number with at most one decimal place; `-` when undefined. */
export function formatNumber(value: number | undefined): string {
	return value === undefined ? '-' : String(Math.round(value * 10) / 10);
}

/** A duration in milliseconds, seconds or minutes, whichever fits; `-` when undefined. */
export function formatDuration(ms: number | undefined): string {
	if (ms === undefined) {
		return '-';
	}

	if (ms < 1000) {
		return `${Math.round(ms)} ms`;
	}

	return ms < 120_000 ? `${Math.round(ms / 1000)} s` : `${Math.round(ms / 60_000)} min`;
}
