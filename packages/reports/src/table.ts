/** Renders tables as Markdown and as aligned text. */

/** Columns and rows of a table; each row has one cell for each column. */
export type Table = {
	readonly title?: string;
	readonly columns: readonly string[];
	readonly rows: ReadonlyArray<readonly string[]>;
};

const NUMERIC_CELL = /^[-+]?[\d,.]+ ?%?$/u;

/** Whether all cells of a column are numbers; such columns are right-aligned. */
function isNumericColumn(table: Table, column: number): boolean {
	return table.rows.length > 0 && table.rows.every(row => NUMERIC_CELL.test(row[column] ?? ''));
}

/** Renders a table for a terminal; widths are counted in code points. */
export function renderTextTable(table: Table): string {
	const lines = [table.columns, ...table.rows];
	const widths = table.columns.map((_, column) => Math.max(...lines.map(line => [...line[column] ?? ''].length)));
	const renderLine = (line: readonly string[]): string => widths
		.map((width, column) => {
			const cell = line[column] ?? '';
			const padding = ' '.repeat(width - [...cell].length);
			return isNumericColumn(table, column) ? padding + cell : cell + padding;
		})
		.join('  ')
		.trimEnd();
	const body = [renderLine(table.columns), widths.map(width => '-'.repeat(width)).join('  '), ...table.rows.map(row => renderLine(row))].join('\n');
	return table.title === undefined ? body : `${table.title}\n\n${body}`;
}

/** Renders a table as GitHub Markdown; `|` in cells is escaped. */
export function renderMarkdownTable(table: Table): string {
	const escapeCell = (cell: string): string => cell.replaceAll('|', String.raw`\|`).replaceAll('\n', ' ');
	const renderLine = (line: readonly string[]): string => `| ${table.columns.map((_, column) => escapeCell(line[column] ?? '')).join(' | ')} |`;
	const separator = `| ${table.columns.map((_, column) => isNumericColumn(table, column) ? '--:' : '---').join(' | ')} |`;
	const body = [renderLine(table.columns), separator, ...table.rows.map(row => renderLine(row))].join('\n');
	return table.title === undefined ? body : `**${table.title}**\n\n${body}`;
}
