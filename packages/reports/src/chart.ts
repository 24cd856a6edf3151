/** Line and bar charts as SVG text without dependencies. */
import {createAxis, formatTick, type Axis} from './axis.js';

type ChartFields = {
	readonly title: string;
	readonly yLabel: string;
	/** Line below the chart, for example machine and date. */
	readonly note?: string;
};

/** Lines over a numeric x axis; points that are not finite interrupt their line. */
export type LineChart = ChartFields & {
	readonly kind: 'line';
	readonly xLabel: string;
	readonly series: ReadonlyArray<{readonly name: string; readonly points: ReadonlyArray<readonly [number, number]>}>;
};

/** Groups of bars, one group for each category and one bar for each series. */
export type BarChart = ChartFields & {
	readonly kind: 'bar';
	readonly categories: readonly string[];
	readonly series: ReadonlyArray<{readonly name: string; readonly values: readonly number[]}>;
};

export type Chart = LineChart | BarChart;

const WIDTH = 800;
const HEIGHT = 420;
const PLOT = {
	left: 80, top: 50, right: 780, bottom: 320,
};

/** Width of a character as a share of the font size. */
const CHARACTER_WIDTH = 0.55;

/** Colours that people with colour blindness can tell apart, with dashes as a second mark. */
const COLOURS = ['#0072b2', '#d55e00', '#009e73', '#cc79a7', '#e69f00', '#56b4e9', '#000000'];
const DASHES = ['', '6 3', '2 2', '8 3 2 3'];

function colour(index: number): string {
	return COLOURS[index % COLOURS.length] ?? '#000000';
}

function escapeText(text: string): string {
	return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;').replaceAll('"', '&quot;');
}

function text(x: number, y: number, value: string, attributes = ''): string {
	return `<text x="${x.toFixed(1)}" y="${y.toFixed(1)}" ${attributes}>${escapeText(value)}</text>`;
}

function yPosition(axis: Axis, value: number): number {
	return PLOT.bottom - ((value - axis.min) / (axis.max - axis.min) * (PLOT.bottom - PLOT.top));
}

function xPosition(axis: Axis, value: number): number {
	return PLOT.left + ((value - axis.min) / (axis.max - axis.min) * (PLOT.right - PLOT.left));
}

function renderFrame(chart: Chart, axis: Axis): readonly string[] {
	const middle = (PLOT.top + PLOT.bottom) / 2;
	const gridLines = axis.ticks.flatMap(tick => {
		const y = yPosition(axis, tick);
		return [
			`<line x1="${PLOT.left}" x2="${PLOT.right}" y1="${y.toFixed(1)}" y2="${y.toFixed(1)}" stroke="#dddddd"/>`,
			text(PLOT.left - 8, y + 4, formatTick(tick), 'text-anchor="end"'),
		];
	});
	return [
		text(WIDTH / 2, 24, chart.title, 'text-anchor="middle" font-size="16" font-weight="bold"'),
		...gridLines,
		`<path d="M${PLOT.left} ${PLOT.top}V${PLOT.bottom}H${PLOT.right}" fill="none" stroke="#333333"/>`,
		text(18, middle, chart.yLabel, `text-anchor="middle" transform="rotate(-90 18 ${middle})"`),
		...(chart.note === undefined ? [] : [text(WIDTH / 2, HEIGHT - 8, chart.note, 'text-anchor="middle" font-size="10" fill="#666666"')]),
	];
}

function renderLegend(names: readonly string[]): readonly string[] {
	const slot = Math.min(180, (PLOT.right - PLOT.left) / Math.max(1, names.length));
	return names.flatMap((name, index) => {
		const x = PLOT.left + (index * slot);
		return [
			`<rect x="${x.toFixed(1)}" y="376" width="12" height="12" fill="${colour(index)}"/>`,
			text(x + 18, 386, name),
		];
	});
}

function linePath(points: LineChart['series'][number]['points'], xAxis: Axis, yAxis: Axis): string {
	let drawing = false;
	return points.map(([x, y]) => {
		if (!Number.isFinite(x) || !Number.isFinite(y)) {
			drawing = false;
			return '';
		}

		const command = drawing ? 'L' : 'M';
		drawing = true;
		return `${command}${xPosition(xAxis, x).toFixed(1)} ${yPosition(yAxis, y).toFixed(1)}`;
	}).join('');
}

function renderLines(chart: LineChart): readonly string[] {
	const xAxis = createAxis(chart.series.flatMap(({points}) => points.map(([x]) => x)), 8, false);
	const yAxis = createAxis(chart.series.flatMap(({points}) => points.map(([, y]) => y)));
	const ticks = xAxis.ticks.map(tick => text(xPosition(xAxis, tick), PLOT.bottom + 18, formatTick(tick), 'text-anchor="middle"'));
	const lines = chart.series.flatMap(({points}, index) => {
		const dash = DASHES[Math.floor(index / COLOURS.length) % DASHES.length] ?? '';
		const path = `<path d="${linePath(points, xAxis, yAxis)}" fill="none" stroke="${colour(index)}" stroke-width="2" stroke-dasharray="${dash}"/>`;
		// A line through few points shows where they are.
		const marks = points.length > 40
			? []
			: points
				.filter(point => point.every(value => Number.isFinite(value)))
				.map(([x, y]) => `<circle cx="${xPosition(xAxis, x).toFixed(1)}" cy="${yPosition(yAxis, y).toFixed(1)}" r="3" fill="${colour(index)}"/>`);
		return [path, ...marks];
	});
	const label = text((PLOT.left + PLOT.right) / 2, PLOT.bottom + 40, chart.xLabel, 'text-anchor="middle"');
	return [...renderFrame(chart, yAxis), ...ticks, label, ...lines];
}

function renderBars(chart: BarChart): readonly string[] {
	const axis = createAxis(chart.series.flatMap(({values}) => [...values]));
	const slot = (PLOT.right - PLOT.left) / Math.max(1, chart.categories.length);
	const width = slot * 0.8 / Math.max(1, chart.series.length);
	// Long names of many categories would run into one another, so their characters are made narrower.
	const longest = Math.max(1, ...chart.categories.map(name => name.length));
	const size = Math.max(6, Math.min(12, Math.floor(slot / longest / CHARACTER_WIDTH)));
	const labels = chart.categories.map((name, index) => text(
		PLOT.left + (slot * (index + 0.5)),
		PLOT.bottom + 18,
		name,
		`text-anchor="middle" font-size="${size}"`,
	));
	const bars = chart.series.flatMap(({values}, series) => values.slice(0, chart.categories.length).flatMap((value, index) => {
		if (!Number.isFinite(value)) {
			return [];
		}

		const x = PLOT.left + (slot * (index + 0.1)) + (width * series);
		const y = Math.min(yPosition(axis, value), yPosition(axis, 0));
		const height = Math.abs(yPosition(axis, value) - yPosition(axis, 0));
		return [
			`<rect x="${x.toFixed(1)}" y="${y.toFixed(1)}" width="${width.toFixed(1)}" height="${height.toFixed(1)}" fill="${colour(series)}"/>`,
			text(x + (width / 2), y - 4, formatTick(Number(value.toPrecision(3))), 'text-anchor="middle" font-size="10"'),
		];
	}));
	return [...renderFrame(chart, axis), ...labels, ...bars];
}

/** Renders a chart as the text of an SVG file. The same data gives the same text. */
export function renderChart(chart: Chart): string {
	const body = chart.kind === 'line' ? renderLines(chart) : renderBars(chart);
	return [
		`<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 ${WIDTH} ${HEIGHT}" width="${WIDTH}" height="${HEIGHT}" font-family="sans-serif" font-size="12">`,
		`<rect width="${WIDTH}" height="${HEIGHT}" fill="#ffffff"/>`,
		...body,
		...renderLegend(chart.series.map(({name}) => name)),
		'</svg>',
		'',
	].join('\n');
}
