import {readFileSync} from 'node:fs';
import path from 'node:path';
import t from 'tap';
import {InputError} from '#core';
import {
	BENCH_PARTS, formatResult, median, parseProcessStat, readMachine, selectParts, writeResult, type BenchResult,
} from '#bench';

const result: BenchResult = {
	title: 'A part',
	notes: ['One note.'],
	tables: [{title: 'Figures', columns: ['name', 'ms'], rows: [['a', '1.5']]}],
	charts: {
		'a-chart': {
			kind: 'bar', title: 'A chart', yLabel: 'ms', categories: ['a'], series: [{name: 's', values: [1.5]}],
		},
	},
	raw: {figures: [1.5]},
};

await t.test('parts are selected by name in the order of the registry; the error for an unknown name lists them', t => {
	const names = BENCH_PARTS.map(part => part.name);
	t.same(selectParts(BENCH_PARTS, []).map(part => part.name), names);
	t.same(selectParts(BENCH_PARTS, ['throughput', 'passing']).map(part => part.name), ['passing', 'throughput']);
	t.throws(() => selectParts(BENCH_PARTS, ['pasing']), InputError);
	t.throws(() => selectParts(BENCH_PARTS, ['pasing']), /passing, throughput/u);
	t.equal(new Set(names).size, names.length);
	t.end();
});

await t.test('a result is written as a table, a chart and raw results with machine and date', t => {
	const folder = path.join(t.testdir(), 'out');
	const machine = readMachine(new Date(Date.UTC(2026, 0, 2)));
	const files = writeResult(folder, 'part', machine, result);
	t.same(files.map(file => path.basename(file)), ['part.json', 'part.md', 'a-chart.svg']);
	const [json, markdown, svg] = files.map(file => readFileSync(file, 'utf8'));
	t.match(JSON.parse(json ?? ''), {name: 'part', machine: {date: '2026-01-02T00:00:00.000Z', cores: Number}, raw: {figures: [1.5]}});
	t.match(markdown, /2026-01-02.*\| a \| 1\.5 \|.*!\[A chart\]\(a-chart\.svg\)/su);
	t.match(svg, /^<svg/u);
	t.match(formatResult(result), /A part\n\nOne note\.\n\nFigures\n\nname {3}ms/u);
	t.end();
});

await t.test('processor time and memory are parsed after a process name with spaces and parentheses', t => {
	const fields = ['S', ...Array.from({length: 49}, (_, index) => String(index))];
	t.same(parseProcessStat(`12 (a) b (c) ${fields.join(' ')}`), {cpuMs: (10 + 11) * 10, rssBytes: 20 * 4096});
	const self = parseProcessStat(readFileSync('/proc/self/stat', 'utf8'));
	t.ok(self.rssBytes > 1e6 && Number.isFinite(self.cpuMs));
	t.end();
});

await t.test('the median of an even number of values is the mean of the middle two', t => {
	t.same([median([3, 1, 2]), median([4, 1, 3, 2])], [2, 2.5]);
	t.end();
});
