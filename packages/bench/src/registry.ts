/** Registry of the benchmark's parts, and output of their results. */
import {mkdirSync, writeFileSync} from 'node:fs';
import {cpus, loadavg, totalmem} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import type {BenchPart, BenchResult} from './part.js';
import {controlPart} from './control-part.js';
import {overloadPart} from './overload-part.js';
import {passingPart} from './passing.js';
import {routingPart} from './routing-part.js';
import {slopesPart} from './slopes-part.js';
import {skewPart} from './skew-part.js';
import {throughputPart} from './throughput.js';
import {renderChart, renderMarkdownTable, renderTextTable} from '#reports';
import {InputError} from '#core';

/** All parts, in the order in which they run. */
export const BENCH_PARTS: readonly BenchPart[] = [passingPart, throughputPart, skewPart, routingPart, overloadPart, controlPart, slopesPart];

/** Machine and date of a measurement. */
export type MachineInfo = {
	readonly processor: string;
	readonly cores: number;
	readonly memoryGb: number;
	readonly node: string;
	/** One-minute load average at the start; other processes on the machine distort the results. */
	readonly loadAverage: number;
	/** ISO 8601. */
	readonly date: string;
};

export function readMachine(now: Date): MachineInfo {
	return {
		processor: cpus()[0]?.model ?? 'unknown',
		cores: cpus().length,
		memoryGb: Math.round(totalmem() / (2 ** 30)),
		node: process.version,
		loadAverage: loadavg()[0] ?? 0,
		date: now.toISOString(),
	};
}

export function formatMachine({processor, cores, memoryGb, node, loadAverage, date}: MachineInfo): string {
	return `${processor}, ${cores} cores, ${memoryGb} GB, Node ${node}, load average ${loadAverage.toFixed(1)} at the start, ${date}`;
}

/**
 * Selects parts by name; all parts if no names are given.
 *
 * @throws InputError for a name that is not in the registry.
 */
export function selectParts(parts: readonly BenchPart[], names: readonly string[]): readonly BenchPart[] {
	const unknown = names.find(name => !parts.some(part => part.name === name));
	if (unknown !== undefined) {
		throw new InputError(`bench: read ${JSON.stringify(unknown)}, allowed: ${parts.map(part => part.name).join(', ')}`);
	}

	return names.length === 0 ? parts : parts.filter(part => names.includes(part.name));
}

/** Formats a result as text for a terminal. */
export function formatResult(result: BenchResult): string {
	return [result.title, ...result.notes, ...result.tables.map(table => renderTextTable(table))].join('\n\n');
}

/**
 * Writes `NAME.json` with machine, date and raw results, `NAME.md` with tables, and one SVG file for each chart.
 *
 * @returns Paths of the written files.
 */
export function writeResult(folder: string, name: string, machine: MachineInfo, result: BenchResult): readonly string[] {
	mkdirSync(folder, {recursive: true});
	const markdown = [
		`# ${result.title}`,
		`Measured on ${formatMachine(machine)}.`,
		...result.notes,
		...result.tables.map(table => renderMarkdownTable(table)),
		...Object.entries(result.charts).map(([file, chart]) => `![${chart.title}](${file}.svg)`),
	].join('\n\n');
	const files: ReadonlyArray<readonly [string, string]> = [
		[`${name}.json`, `${JSON.stringify({name, machine, ...result}, undefined, '\t')}\n`],
		[`${name}.md`, `${markdown}\n`],
		...Object.entries(result.charts).map(([file, chart]) => [`${file}.svg`, renderChart(chart)] as const),
	];
	for (const [file, content] of files) {
		writeFileSync(path.join(folder, file), content);
	}

	return files.map(([file]) => path.join(folder, file));
}
