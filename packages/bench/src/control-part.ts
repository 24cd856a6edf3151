/**
 * Part of the benchmark that measures the control plane with real daemons: the time until rules are in force in
 * every process, and bytes, processor time and memory per process, at three sizes.
 */
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {parseProcessStat} from './fleet.js';
import {fitLine} from './fit.js';
import type {BenchContext, BenchPart, BenchResult} from './part.js';
import {Child, TestFleet, waitUntil} from '#harness';

/** Number of daemons in each run; a fifth of them are entries. */
const SIZES = [10, 25, 50] as const;
const ENTRY_SHARE = 0.2;
const CHANGES = 5;
/** Number of processes started concurrently; more would only compete for the cores. */
const START_BATCH = 10;
/** Wait before the idle measurement: the directory is still being distributed for some seconds after the last process has started. */
const SETTLE_SECONDS = 20;
const IDLE_SECONDS = 20;
const BYTES_PER_MB = 1024 * 1024;

type RunResult = {
	readonly processes: number;
	readonly entries: number;
	/** For each change, the time from the response to the write until the last process had the rules in force, in milliseconds. */
	readonly inForceMs: readonly number[];
	readonly entryCpuPercent: number;
	readonly endpointCpuPercent: number;
	readonly entryRssMb: number;
	readonly endpointRssMb: number;
	readonly entryBytesPerSecond: number;
	readonly endpointBytesPerSecond: number;
	readonly platformCallsPerSecond: number;
};

/** Sizes to run; can be set in the environment, for example `BENCH_CONTROL_SIZES=50,100,200`. */
function readSizes(): readonly number[] {
	const text = process.env.BENCH_CONTROL_SIZES;
	return text === undefined ? SIZES : text.split(',').map(Number);
}

function formatRules(version: number): string {
	return [
		'model drafting versions=1 # asked by bench: model of the measurement',
		`workspace bench key-sha256=${'ab'.repeat(32)} priority=${version % 10} # asked by bench: change ${version}`,
		'',
	].join('\n');
}

/** Time at which a process logged that a version is in force, in ms since the epoch; undefined if it has not done so. */
function readInForceTime(child: Child, version: number): number | undefined {
	const line = child.output.findLast(text => text.includes('rules in force') && text.includes(`"version":${version},`));
	return line === undefined ? undefined : Date.parse((JSON.parse(line) as {readonly time: string}).time);
}

async function startFleet(processes: number, log: (line: string) => void): Promise<TestFleet> {
	const fleet = await TestFleet.create();
	await fleet.putRules(1, formatRules(1));
	const entries = Math.max(2, Math.round(processes * ENTRY_SHARE));
	const backend = await Child.create('service', 'target/packages/standins-service/src/bin.js', []);
	fleet.addProcess(backend);
	const starts = [
		...Array.from({length: entries}, (_, i) => async () => fleet.addEntry({zone: `zone-${i % 3}`})),
		...Array.from({length: processes - entries}, (_, i) => async () => fleet.addSharedService('ledger', backend, {zone: `zone-${i % 3}`})),
	];
	for (let i = 0; i < starts.length; i += START_BATCH) {
		await Promise.all(starts.slice(i, i + START_BATCH).map(async start => start()));
		log(`${Math.min(starts.length, i + START_BATCH)} of ${processes} processes run`);
	}

	return fleet;
}

function listDaemons(fleet: TestFleet): readonly Child[] {
	return [...fleet.entries, ...fleet.endpoints].map(({daemon}) => daemon);
}

async function measureChange(fleet: TestFleet, version: number): Promise<number> {
	await fleet.putRules(version, formatRules(version));
	const acceptedAt = Date.now();
	const daemons = listDaemons(fleet);
	await waitUntil(`version ${version} is in force everywhere`, () => daemons.every(child => readInForceTime(child, version) !== undefined));
	return Math.max(...daemons.map(child => readInForceTime(child, version) ?? 0)) - acceptedAt;
}

type Usage = {readonly cpuMs: number; readonly rssBytes: number; readonly bytes: number};

function average(values: readonly number[]): number {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return values.length === 0 ? 0 : sum / values.length;
}

function readUsage(children: readonly Child[]): readonly Usage[] {
	return children.map(child => {
		const usage = parseProcessStat(readFileSync(`/proc/${child.pid}/stat`, 'utf8'));
		return {...usage, bytes: readLinkBytes(child)};
	});
}

/** Bytes that a process has sent and received on its peer links, read from its log. */
function readLinkBytes(child: Child): number {
	const line = child.output.findLast(text => text.includes('link bytes'));
	return line === undefined ? 0 : (JSON.parse(line) as {readonly bytes: number}).bytes;
}

async function countPlatformCalls(fleet: TestFleet): Promise<number> {
	const calls = await fleet.readJson(`${fleet.platformUrl}/calls`) as Readonly<Record<string, unknown>>;
	let sum = 0;
	for (const value of Object.values(calls)) {
		sum += typeof value === 'number' ? value : 0;
	}

	return sum;
}

async function measure(processes: number, context: BenchContext): Promise<RunResult> {
	const fleet = await startFleet(processes, context.log);
	try {
		await waitUntil('version 1 is in force everywhere', () => listDaemons(fleet).every(child => readInForceTime(child, 1) !== undefined), 120_000);
		const inForceMs: number[] = [];
		for (let change = 2; change < 2 + CHANGES; change++) {
			inForceMs.push(await measureChange(fleet, change));
			await sleep(500);
		}

		context.log(`${processes} processes: in force after ${inForceMs.join(', ')} ms`);
		const entries = fleet.entries.map(({daemon}) => daemon);
		const endpoints = fleet.endpoints.map(({daemon}) => daemon);
		await sleep(SETTLE_SECONDS * 1000);
		const before = {entries: readUsage(entries), endpoints: readUsage(endpoints), calls: await countPlatformCalls(fleet)};
		await sleep(IDLE_SECONDS * 1000);
		const after = {entries: readUsage(entries), endpoints: readUsage(endpoints), calls: await countPlatformCalls(fleet)};
		const perSecond = (role: 'entries' | 'endpoints', field: keyof Usage) =>
			average(after[role].map((usage, i) => usage[field] - (before[role][i]?.[field] ?? 0))) / IDLE_SECONDS;
		return {
			processes,
			entries: entries.length,
			inForceMs,
			entryCpuPercent: perSecond('entries', 'cpuMs') / 10,
			endpointCpuPercent: perSecond('endpoints', 'cpuMs') / 10,
			entryRssMb: average(after.entries.map(({rssBytes}) => rssBytes)) / BYTES_PER_MB,
			endpointRssMb: average(after.endpoints.map(({rssBytes}) => rssBytes)) / BYTES_PER_MB,
			entryBytesPerSecond: perSecond('entries', 'bytes'),
			endpointBytesPerSecond: perSecond('endpoints', 'bytes'),
			platformCallsPerSecond: (after.calls - before.calls) / IDLE_SECONDS,
		};
	} finally {
		await fleet.destroy();
	}
}

function buildResult(runs: readonly RunResult[]): BenchResult {
	const slowestMs = runs.map(run => Math.max(...run.inForceMs));
	const points = runs.map((run, i) => ({x: run.processes, y: slowestMs[i] ?? 0}));
	const fit = fitLine(points);
	return {
		title: 'Control plane: rules in force, and the cost of an idle process',
		notes: [
			`Rules in force: slowest process, ${fit.intercept.toFixed(0)} ms + ${fit.slope.toFixed(2)} ms per process (least squares over the slowest of ${CHANGES} changes at each size). The target is 7 s at full size.`,
			'Idle means without callers: reports, heartbeats, demand and platform calls only. Bytes count both directions of all peer links.',
		],
		tables: [{
			columns: ['processes', 'entries', 'in force: slowest change ms', 'in force: all changes ms', 'entry CPU %', 'endpoint CPU %', 'entry RSS MB', 'endpoint RSS MB', 'entry B/s', 'endpoint B/s', 'platform calls/s'],
			rows: runs.map((run, i) => [
				String(run.processes),
				String(run.entries),
				String(slowestMs[i] ?? 0),
				run.inForceMs.join(' '),
				run.entryCpuPercent.toFixed(2),
				run.endpointCpuPercent.toFixed(2),
				run.entryRssMb.toFixed(0),
				run.endpointRssMb.toFixed(0),
				run.entryBytesPerSecond.toFixed(0),
				run.endpointBytesPerSecond.toFixed(0),
				run.platformCallsPerSecond.toFixed(1),
			]),
		}],
		charts: {
			'control-in-force': {
				kind: 'line', title: 'Rules in force in every process', xLabel: 'processes', yLabel: 'ms', series: [{name: 'slowest process, slowest change', points: points.map(({x, y}) => [x, y] as const)}],
			},
		},
		raw: runs,
	};
}

export const controlPart: BenchPart = {
	name: 'control',
	description: 'time until rules are in force, and cost per idle process, with real daemons',
	async run(context) {
		const runs: RunResult[] = [];
		for (const size of readSizes()) {
			runs.push(await measure(size, context));
		}

		return buildResult(runs);
	},
};
