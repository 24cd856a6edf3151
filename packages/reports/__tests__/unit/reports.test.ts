import t from 'tap';
import fc from 'fast-check';
import {
	createAxis, renderChart, renderMarkdownTable, renderTextTable, type Chart,
} from '#reports';

const table = {columns: ['name', 'ms'], rows: [['a|b', '1.5'], ['පවුල', '120']]};

await t.test('tables right-align numeric columns and escape cell separators', t => {
	t.same(renderTextTable(table).split('\n').slice(0, 3), ['name   ms', '----  ---', 'a|b   1.5']);
	t.equal(renderMarkdownTable(table), '| name | ms |\n| --- | --: |\n| a\\|b | 1.5 |\n| පවුල | 120 |');
	t.equal(renderTextTable({columns: ['n'], rows: [['9'], ['10']]}), ' n\n--\n 9\n10');
	t.end();
});

await t.test('an axis has rounded limits that contain all values', t => {
	t.same(createAxis([3, 97]).ticks, [0, 20, 40, 60, 80, 100]);
	t.same([createAxis([]).min, createAxis([0]).max], [0, 1]);
	fc.assert(fc.property(fc.array(fc.double({min: -1e9, max: 1e9, noNaN: true}), {minLength: 1}), values => {
		const {min, max, ticks} = createAxis(values);
		return values.every(value => value >= min && value <= max) && min < max && ticks.length < 20;
	}), {seed: 3, numRuns: 300});
	t.end();
});

const line: Chart = {
	kind: 'line', title: 'A < B', xLabel: 'time', yLabel: 'ms', note: '10 cores', series: [{name: 'x', points: [[0, 1], [1, 5], [2, Number.NaN], [3, 2], [4, 3]]}],
};
const bar: Chart = {
	kind: 'bar', title: 'bars', yLabel: 'count', categories: ['a', 'b'], series: [{name: 's', values: [1, 2]}, {name: 'u', values: [3, -1]}],
};

await t.test('charts have a title, axes, a legend, one mark for each value and only escaped text', t => {
	const svg = renderChart(line);
	t.match(svg, /A &lt; B/u);
	t.match(svg, />time</u);
	t.match(svg, />ms</u);
	t.equal(svg.match(/<circle/gu)?.length, 4, 'the value that is not a number has no mark');
	t.match(svg, /d="M[\d.]+ [\d.]+L[\d. ]+M/u, 'and interrupts the line');
	t.equal(svg, renderChart(structuredClone(line)));
	const bars = renderChart(bar);
	t.equal(bars.match(/<rect/gu)?.length, 1 + 4 + 2, 'background, bars and legend');
	t.notMatch(bars, /NaN|undefined|height="-/u);
	t.end();
});

await t.test('a chart without data has no invalid numbers', t => {
	for (const chart of [{...line, series: []}, {...bar, categories: [], series: []}, {...line, series: [{name: 'x', points: []}]}] as const) {
		t.notMatch(renderChart(chart), /NaN|Infinity|undefined/u);
	}

	t.end();
});
