/** Tables as Markdown and as aligned text. */

/** Columns and rows of a table; each row has one cell for each column. */
export type Table = {
	readonly title?: string;
	readonly columns: readonly string[];
	readonly rows: ReadonlyArray<readonly string[]>;
};

const NUMERIC = /^[-+]?[\d,.]+ ?%?$/u;

/** A column is aligned right when all its cells are numbers. */
function isNumeric(table: Table, column: number): boolean {
	return table.rows.length > 0 && table.rows.every(row => NUMERIC.test(row[column] ?? ''));
}

/** Renders a table for a terminal; widths are counted in characters. */
export function renderTextTable(table: Table): string {
	const lines = [table.columns, ...table.rows];
	const widths = table.columns.map((_, column) => Math.max(...lines.map(line => [...line[column] ?? ''].length)));
	const renderLine = (line: readonly string[]): string => widths
		.map((width, column) => {
			const cell = line[column] ?? '';
			const gap = ' '.repeat(width - [...cell].length);
			return isNumeric(table, column) ? gap + cell : cell + gap;
		})
		.join('  ')
		.trimEnd();
	const body = [renderLine(table.columns), widths.map(width => '-'.repeat(width)).join('  '), ...table.rows.map(row => renderLine(row))].join('\n');
	return table.title === undefined ? body : `${table.title}\n\n${body}`;
}

/** Renders a table as GitHub Markdown; `|` in cells is escaped. */
export function renderMarkdownTable(table: Table): string {
	const escape = (cell: string): string => cell.replaceAll('|', String.raw`\|`).replaceAll('\n', ' ');
	const renderLine = (line: readonly string[]): string => `| ${table.columns.map((_, column) => escape(line[column] ?? '')).join(' | ')} |`;
	const rule = `| ${table.columns.map((_, column) => isNumeric(table, column) ? '--:' : '---').join(' | ')} |`;
	const body = [renderLine(table.columns), rule, ...table.rows.map(row => renderLine(row))].join('\n');
	return table.title === undefined ? body : `**${table.title}**\n\n${body}`;
}
