/** Renders line and bar charts as SVG, without dependencies. */
import {createAxis, formatTick, type Axis} from './axis.js';

type CommonFields = {
	readonly title: string;
	readonly yLabel: string;
	/** Text below the chart, for example the machine and the date. */
	readonly note?: string;
};

/** Lines over a numeric x axis. A point that is not finite interrupts its line. */
export type LineChart = CommonFields & {
	readonly kind: 'line';
	readonly xLabel: string;
	readonly series: ReadonlyArray<{readonly name: string; readonly points: ReadonlyArray<readonly [number, number]>}>;
};

/** Grouped bars: one group for each category, with one bar for each series. */
export type BarChart = CommonFields & {
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

/** Approximate width of a character as a fraction of the font size. */
const CHARACTER_WIDTH_RATIO = 0.55;

/** Palette that is distinguishable with colour blindness. Further series repeat it with dashes. */
const SERIES_COLOURS = ['#0072b2', '#d55e00', '#009e73', '#cc79a7', '#e69f00', '#56b4e9', '#000000'];
const DASH_PATTERNS = ['', '6 3', '2 2', '8 3 2 3'];

function seriesColour(index: number): string {
	return SERIES_COLOURS[index % SERIES_COLOURS.length] ?? '#000000';
}

function escapeText(text: string): string {
	return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;').replaceAll('"', '&quot;');
}

function renderText(x: number, y: number, value: string, attributes = ''): string {
	return `<text x="${x.toFixed(1)}" y="${y.toFixed(1)}" ${attributes}>${escapeText(value)}</text>`;
}

function toPixelY(axis: Axis, value: number): number {
	return PLOT.bottom - ((value - axis.min) / (axis.max - axis.min) * (PLOT.bottom - PLOT.top));
}

function toPixelX(axis: Axis, value: number): number {
	return PLOT.left + ((value - axis.min) / (axis.max - axis.min) * (PLOT.right - PLOT.left));
}

function renderAxes(chart: Chart, axis: Axis): readonly string[] {
	const centerY = (PLOT.top + PLOT.bottom) / 2;
	const gridLines = axis.ticks.flatMap(tick => {
		const y = toPixelY(axis, tick);
		return [
			`<line x1="${PLOT.left}" x2="${PLOT.right}" y1="${y.toFixed(1)}" y2="${y.toFixed(1)}" stroke="#dddddd"/>`,
			renderText(PLOT.left - 8, y + 4, formatTick(tick), 'text-anchor="end"'),
		];
	});
	return [
		renderText(WIDTH / 2, 24, chart.title, 'text-anchor="middle" font-size="16" font-weight="bold"'),
		...gridLines,
		`<path d="M${PLOT.left} ${PLOT.top}V${PLOT.bottom}H${PLOT.right}" fill="none" stroke="#333333"/>`,
		renderText(18, centerY, chart.yLabel, `text-anchor="middle" transform="rotate(-90 18 ${centerY})"`),
		...(chart.note === undefined ? [] : [renderText(WIDTH / 2, HEIGHT - 8, chart.note, 'text-anchor="middle" font-size="10" fill="#666666"')]),
	];
}

function renderLegend(names: readonly string[]): readonly string[] {
	const slotWidth = Math.min(180, (PLOT.right - PLOT.left) / Math.max(1, names.length));
	return names.flatMap((name, index) => {
		const x = PLOT.left + (index * slotWidth);
		return [
			`<rect x="${x.toFixed(1)}" y="376" width="12" height="12" fill="${seriesColour(index)}"/>`,
			renderText(x + 18, 386, name),
		];
	});
}

function renderLinePath(points: LineChart['series'][number]['points'], xAxis: Axis, yAxis: Axis): string {
	let isInLine = false;
	return points.map(([x, y]) => {
		if (!Number.isFinite(x) || !Number.isFinite(y)) {
			isInLine = false;
			return '';
		}

		const command = isInLine ? 'L' : 'M';
		isInLine = true;
		return `${command}${toPixelX(xAxis, x).toFixed(1)} ${toPixelY(yAxis, y).toFixed(1)}`;
	}).join('');
}

function renderLines(chart: LineChart): readonly string[] {
	const xAxis = createAxis(chart.series.flatMap(({points}) => points.map(([x]) => x)), 8, false);
	const yAxis = createAxis(chart.series.flatMap(({points}) => points.map(([, y]) => y)));
	const ticks = xAxis.ticks.map(tick => renderText(toPixelX(xAxis, tick), PLOT.bottom + 18, formatTick(tick), 'text-anchor="middle"'));
	const lines = chart.series.flatMap(({points}, index) => {
		const dashPattern = DASH_PATTERNS[Math.floor(index / SERIES_COLOURS.length) % DASH_PATTERNS.length] ?? '';
		const path = `<path d="${renderLinePath(points, xAxis, yAxis)}" fill="none" stroke="${seriesColour(index)}" stroke-width="2" stroke-dasharray="${dashPattern}"/>`;
		// Points are marked only on lines with few of them.
		const markers = points.length > 40
			? []
			: points
				.filter(point => point.every(value => Number.isFinite(value)))
				.map(([x, y]) => `<circle cx="${toPixelX(xAxis, x).toFixed(1)}" cy="${toPixelY(yAxis, y).toFixed(1)}" r="3" fill="${seriesColour(index)}"/>`);
		return [path, ...markers];
	});
	const label = renderText((PLOT.left + PLOT.right) / 2, PLOT.bottom + 40, chart.xLabel, 'text-anchor="middle"');
	return [...renderAxes(chart, yAxis), ...ticks, label, ...lines];
}

function renderBars(chart: BarChart): readonly string[] {
	const axis = createAxis(chart.series.flatMap(({values}) => [...values]));
	const slotWidth = (PLOT.right - PLOT.left) / Math.max(1, chart.categories.length);
	const barWidth = slotWidth * 0.8 / Math.max(1, chart.series.length);
	// The font size shrinks so that long names of many categories do not overlap.
	const maxNameLength = Math.max(1, ...chart.categories.map(name => name.length));
	const fontSize = Math.max(6, Math.min(12, Math.floor(slotWidth / maxNameLength / CHARACTER_WIDTH_RATIO)));
	const labels = chart.categories.map((name, index) => renderText(
		PLOT.left + (slotWidth * (index + 0.5)),
		PLOT.bottom + 18,
		name,
		`text-anchor="middle" font-size="${fontSize}"`,
	));
	const bars = chart.series.flatMap(({values}, series) => values.slice(0, chart.categories.length).flatMap((value, index) => {
		if (!Number.isFinite(value)) {
			return [];
		}

		const x = PLOT.left + (slotWidth * (index + 0.1)) + (barWidth * series);
		const y = Math.min(toPixelY(axis, value), toPixelY(axis, 0));
		const height = Math.abs(toPixelY(axis, value) - toPixelY(axis, 0));
		return [
			`<rect x="${x.toFixed(1)}" y="${y.toFixed(1)}" width="${barWidth.toFixed(1)}" height="${height.toFixed(1)}" fill="${seriesColour(series)}"/>`,
			renderText(x + (barWidth / 2), y - 4, formatTick(Number(value.toPrecision(3))), 'text-anchor="middle" font-size="10"'),
		];
	}));
	return [...renderAxes(chart, axis), ...labels, ...bars];
}

/** Renders a chart as the text of an SVG file. The output is deterministic. */
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
